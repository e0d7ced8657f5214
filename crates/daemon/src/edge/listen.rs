use std::{convert::Infallible, rc::Rc, time::Duration};

use hyper::{Method, Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    Control, Edge, EdgeEnd, announce, body::Body, completions, failure::Failure, services,
};

/// Most header fields in a request.
const MAX_HEADERS: usize = 64;

/// Time between looks at whether all requests have ended, while draining.
const DRAIN_POLL: Duration = Duration::from_millis(10);

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
    match control.recv_async().await {
        Ok(Control::Drain) => {
            accepting.abort();
            let _ = drain_tx.send(true);
            drain(&edge, &control).await;
        }
        Ok(Control::Abort) | Err(_) => {}
    }
    EdgeEnd { cut: edge.active.get() }
}

async fn drain(edge: &Rc<Edge>, control: &flume::Receiver<Control>) {
    while 0 < edge.active.get() {
        tokio::select! {
            order = control.recv_async() => {
                if order != Ok(Control::Drain) {
                    return;
                }
            }
            () = tokio::time::sleep(DRAIN_POLL) => {}
        }
    }
}

async fn accept(edge: Rc<Edge>, listener: TcpListener, drain: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(Rc::clone(&edge), stream, drain.clone()));
            }
            Err(e) => {
                log::warn!("could not accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(edge: Rc<Edge>, stream: TcpStream, mut drain: watch::Receiver<bool>) {
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
    tokio::select! {
        end = connection.as_mut() => return log_end(end),
        _ = drain.wait_for(|draining| *draining) => {}
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
    let active = edge.begin();
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
    answer.unwrap_or_else(|failure| failure.to_response())
}
