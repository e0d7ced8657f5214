use std::{
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    rc::Rc,
    thread::JoinHandle,
};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::{Either, Full, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;

/// Body of a fake's response.
pub type FakeBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// Chunks of a streaming response.
pub type FrameStream = futures_util::stream::Map<
    flume::r#async::RecvStream<'static, Bytes>,
    fn(Bytes) -> Result<Frame<Bytes>, Infallible>,
>;

/// An HTTP server on its own thread; dropping it closes its connections.
pub struct Server {
    address: SocketAddr,
    stop: Option<flume::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server that handles requests with `handler`.
    ///
    /// # Panics
    ///
    /// Panics if no address on the loopback interface can be bound.
    pub fn start<H, F>(handler: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<FakeBody>> + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
        let (stop_tx, stop_rx) = flume::bounded(1);
        let thread = std::thread::Builder::new()
            .name("fake".into())
            .spawn(move || serve(listener, handler, stop_rx))
            .expect("a thread can be started");
        Self { address, stop: Some(stop_tx), thread: Some(thread) }
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve<H, F>(listener: TcpListener, handler: H, stop: flume::Receiver<()>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<FakeBody>> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async move {
        let handler = Rc::new(handler);
        let accepting = tokio::task::spawn_local(accept(listener, handler));
        let _ = stop.recv_async().await;
        accepting.abort();
    });
}

async fn accept<H, F>(listener: TcpListener, handler: Rc<H>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<FakeBody>> + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).expect("the listener is usable");
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        let service = service_fn(move |req| {
            let response = handler(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        tokio::task::spawn_local(
            http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

/// Returns a response with a complete body.
pub(super) fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<FakeBody> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    let json = "application/json".parse().expect("a valid header");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a response whose body is received from a channel.
pub(super) fn streaming_response(rx: flume::Receiver<Bytes>) -> Response<FakeBody> {
    let frame: fn(Bytes) -> Result<Frame<Bytes>, Infallible> = |bytes| Ok(Frame::data(bytes));
    let mut response = Response::new(Either::Right(StreamBody::new(rx.into_stream().map(frame))));
    let events = "text/event-stream".parse().expect("a valid header");
    response.headers_mut().insert(CONTENT_TYPE, events);
    response
}
