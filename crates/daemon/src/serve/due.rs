//! The response that a connection owes its caller.

use std::{
    cell::Cell,
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    Version,
    body::{Body as HttpBody, Frame, SizeHint},
};
use tokio::time::Instant;

use super::activity::Activity;

/// How far a response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The request's head was read, and the response hasn't begun.
    Waiting,
    /// The response has begun, and its body hasn't ended.
    Sending,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Sending => "sending",
        })
    }
}

/// A response that is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Due {
    pub stage: Stage,
    /// The version that the caller speaks.
    pub version: Version,
    /// When the request's head was read.
    pub since: Instant,
}

/// Tells whether a connection owes a response; clones share their state.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseDue(Rc<Cell<Option<Due>>>);

impl ResponseDue {
    /// Records that a request's head was read.
    pub(super) fn begin(&self, version: Version) {
        self.0.set(Some(Due { stage: Stage::Waiting, version, since: Instant::now() }));
    }

    /// Tracks the body of a response that begins.
    pub(super) fn track<B>(&self, body: B, activity: Activity) -> TrackedBody<B> {
        self.0.set(self.0.get().map(|due| Due { stage: Stage::Sending, ..due }));
        TrackedBody { body, due: self.clone(), activity, failed: false }
    }

    /// Returns the response that is due, if any.
    pub(super) fn get(&self) -> Option<Due> {
        self.0.get()
    }
}

/// A response's body that settles what is due when the connection is done with it.
pub(super) struct TrackedBody<B> {
    body: B,
    due: ResponseDue,
    activity: Activity,
    failed: bool,
}

impl<B: HttpBody<Data = Bytes> + Unpin> HttpBody for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.failed |= matches!(frame, Poll::Ready(Some(Err(_))));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        if !self.failed {
            self.due.0.set(None);
            self.activity.end_request();
        }
    }
}
