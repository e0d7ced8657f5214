use std::{
    future::Future,
    io::Read,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll, Wake, Waker},
    thread::{self, Thread},
    time::Duration,
};

use attohttpc::{ProxySettings, RequestBuilder};
use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response};

/// Maximum number of bytes read of a collector's response.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;

/// Sends OTLP requests with blocking calls.
#[derive(Debug)]
pub(crate) struct BlockingClient {
    timeout: Duration,
}

impl BlockingClient {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    fn send(&self, req: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (head, body) = req.into_parts();
        let mut call = RequestBuilder::try_new(head.method, head.uri.to_string())?
            .timeout(self.timeout)
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .bytes(body);
        for (name, value) in &head.headers {
            call = call.try_header(name, value)?;
        }
        let (status, _, reader) = call.send()?.split();
        let mut response = Vec::new();
        reader.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
        Ok(Response::builder().status(status.as_u16()).body(response.into())?)
    }
}

impl HttpClient for BlockingClient {
    fn send_bytes<'a, 'f>(
        &'a self,
        req: Request<Bytes>,
    ) -> Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'f>>
    where
        'a: 'f,
        Self: 'f,
    {
        Box::pin(async move { self.send(req) })
    }
}

/// Runs `future` to completion on this thread.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let waker = Waker::from(Arc::new(Unpark(thread::current())));
    let mut cx = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        match future.as_mut().poll(&mut cx) {
            Poll::Ready(output) => return output,
            Poll::Pending => thread::park(),
        }
    }
}

struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}
