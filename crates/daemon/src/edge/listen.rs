use std::{convert::Infallible, rc::Rc, time::Duration};

use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    Control, Edge, EdgeEnd,
    active::{ActiveRequest, OpenConnection},
    announce,
    body::Body,
    completions,
    failure::Failure,
    services,
};

/// Most header fields in a request.
const MAX_HEADERS: usize = 64;

/// Time between looks at whether all requests have ended, while draining.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Time from the end of accepting to the close of idle connections.
///
/// A request that arrived before the close is read in that time, and then served.
const IDLE_CLOSE: Duration = Duration::from_millis(500);

/// Time to wait after a failure to accept, such as too many open files.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves callers until told to end.
pub(super) async fn run(
    edge: Rc<Edge>,
    listener: std::net::TcpListener,
    control: flume::Receiver<Control>,
) -> EdgeEnd {
    let listener = TcpListener::from_std(listener).expect("the listener is in non-blocking mode");
    let (drain_tx, drain_rx) = watch::channel(false);
    let accepting = tokio::task::spawn_local(accept(Rc::clone(&edge), listener, drain_rx));
    while let Ok(order) = control.recv_async().await {
        match order {
            Control::Leave => edge.leaving.set(true),
            Control::Drain => {
                edge.leaving.set(true);
                let _ = drain_tx.send(true);
                drain(&edge, &control).await;
                break;
            }
            Control::Abort => break,
        }
    }
    accepting.abort();
    let active = edge.active.borrow();
    active.log_cut(edge.clock.now());
    EdgeEnd { cut: active.len() }
}

/// Waits until every request has ended and its answer is sent, or for an order to abort.
async fn drain(edge: &Edge, control: &flume::Receiver<Control>) {
    while 0 < edge.active.borrow().len() || 0 < edge.connections.get() {
        tokio::select! {
            order = control.recv_async() => {
                if !matches!(order, Ok(Control::Drain | Control::Leave)) {
                    return;
                }
            }
            () = tokio::time::sleep(DRAIN_POLL) => {}
        }
    }
}

/// Accepts connections until the drain, those included that wait to be accepted then.
async fn accept(edge: Rc<Edge>, listener: TcpListener, mut drain: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|draining| *draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let open = OpenConnection::begin(&edge);
                let serving = connection(Rc::clone(&edge), stream, drain.clone(), open);
                tokio::task::spawn_local(serving);
            }
            Err(e) => {
                log::warn!(error:% = e; "could not accept a connection");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(
    edge: Rc<Edge>,
    stream: TcpStream,
    mut drain: watch::Receiver<bool>,
    _open: OpenConnection,
) {
    let _ = stream.set_nodelay(true);
    let service = {
        let edge = Rc::clone(&edge);
        service_fn(move |req| {
            let edge = Rc::clone(&edge);
            async move { Ok::<_, Infallible>(handle(edge, req).await) }
        })
    };
    let header_bytes = edge.cfg.limits.header_bytes.as_u64();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(edge.cfg.timeouts.header)
        .max_buf_size(usize::try_from(header_bytes).unwrap_or(usize::MAX))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let close = async {
        let _ = drain.wait_for(|draining| *draining).await;
        tokio::time::sleep(IDLE_CLOSE).await;
    };
    tokio::select! {
        biased;
        end = connection.as_mut() => return log_end(end),
        () = close => {}
    }
    connection.as_mut().graceful_shutdown();
    log_end(connection.await);
}

fn log_end(end: hyper::Result<()>) {
    if let Err(e) = end {
        log::debug!("a caller's connection ended: {e}");
    }
}

async fn handle(edge: Rc<Edge>, req: Request<Incoming>) -> Response<Body> {
    let active = ActiveRequest::begin(&edge, req.uri().path());
    let answer = match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            completions::handle(&edge, req, active).await
        }
        (&Method::GET, "/v1/models") => completions::models(&edge, &req),
        (&Method::POST, "/announce") => announce::handle(&edge, req).await,
        (_, path) if path.starts_with(services::PATH_PREFIX) => {
            services::handle(&edge, req, active).await
        }
        (_, "/v1/completions" | "/v1/chat/completions" | "/v1/models" | "/announce") => {
            Err(Failure::method_not_allowed())
        }
        _ => Err(Failure::not_found("no such path")),
    };
    let mut response = answer.unwrap_or_else(|failure| failure.to_response());
    if edge.leaving.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
