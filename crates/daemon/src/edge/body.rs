use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use crate::{buffers::BufferedBody, failure::Failure, net::AbortOnDrop, serve::RequestBody};
use bytes::Bytes;
use futures_util::Stream as _;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::{ActiveRequest, Edge};

/// The body of a response to a caller.
pub(super) enum Body {
    /// A complete body.
    Whole(Full<Bytes>),
    /// A body that is sent chunk by chunk as it arrives.
    Streamed(StreamBody),
}

/// A body that a task writes into a channel.
pub(super) struct StreamBody {
    rx: flume::r#async::RecvStream<'static, Bytes>,
    _task: AbortOnDrop,
    _active: ActiveRequest,
}

impl Body {
    pub(super) fn empty() -> Self {
        Self::Whole(Full::default())
    }

    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    pub(super) fn streamed(
        rx: flume::Receiver<Bytes>,
        task: AbortOnDrop,
        active: ActiveRequest,
    ) -> Self {
        Self::Streamed(StreamBody { rx: rx.into_stream(), _task: task, _active: active })
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::whole(bytes)
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Streamed(body) => {
                Pin::new(&mut body.rx).poll_next(cx).map(|bytes| bytes.map(|b| Ok(Frame::data(b))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Reads a request's body within the configured limits on size and time.
pub(super) async fn read(edge: &Edge, body: RequestBody) -> Result<BufferedBody, Failure> {
    let max_bytes = usize::try_from(edge.cfg.limits.body_bytes.as_u64()).unwrap_or(usize::MAX);
    let timeout = edge.cfg.timeouts.body;
    let reading = edge.buffer_budget.read_request(body, max_bytes);
    let Ok(read) = tokio::time::timeout(timeout, reading).await else {
        return Err(Failure::body_timeout(timeout));
    };
    read.map_err(|e| e.into_failure(max_bytes))
}
