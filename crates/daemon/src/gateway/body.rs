//! Bodies of responses to callers.

use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::Stream as _;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::{buffers::BufferedBody, net::AbortOnDrop};

use super::{ActiveRequest, caller_stream::StreamItem};

/// The body of a response to a caller.
pub(super) enum Body {
    /// A body that is fully buffered.
    Whole(Full<Bytes>),
    /// A body that is streamed as it arrives.
    Relayed(RelayedBody),
}

/// A body that a task writes into a channel.
pub(super) struct RelayedBody {
    rx: flume::r#async::RecvStream<'static, StreamItem>,
    _task: AbortOnDrop,
    _active: ActiveRequest,
}

/// The error of a truncated response; the caller's connection closes before the response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl error::Error for Truncated {}

impl Body {
    /// Creates the body of an endpoint's response.
    pub(super) fn buffered(body: BufferedBody) -> Self {
        Self::Whole(Full::new(body.buffered.hold(body.bytes)))
    }

    pub(super) fn relayed(
        rx: flume::Receiver<StreamItem>,
        task: AbortOnDrop,
        active: ActiveRequest,
    ) -> Self {
        Self::Relayed(RelayedBody { rx: rx.into_stream(), _task: task, _active: active })
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Relayed(body) => Pin::new(&mut body.rx).poll_next(cx).map(|item| match item {
                Some(StreamItem::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamItem::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
