//! Bodies of requests, and what handlers leave unread of them.

use std::{
    cell::Cell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response, StatusCode,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
    header::{CONNECTION, HeaderValue},
};
use tokio::sync::Notify;

use super::activity::Activity;

/// Longest time for which the rest of a body is discarded to keep its connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of a request.
///
/// What its handler doesn't read is left to the connection: the HTTP library would close the
/// connection with unread bytes, which resets it, and the reset may overtake the response.
pub(crate) struct RequestBody {
    /// `None` once the body has ended or failed.
    incoming: Option<Incoming>,
    read_bytes: u64,
    unread: Unread,
    activity: Activity,
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = &mut self.incoming else { return Poll::Ready(None) };
        let frame = std::task::ready!(Pin::new(incoming).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                self.read_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            }
            Some(Err(_)) => {
                self.unread.0.is_abandoned.set(true);
                self.incoming = None;
            }
            None => self.incoming = None,
        }
        if self.is_end_stream() {
            self.activity.end_reading();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or(SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.activity.end_reading();
        if let Some(incoming) = self.incoming.take().filter(|body| !body.is_end_stream()) {
            let rest = Rest { incoming, read_bytes: self.read_bytes };
            self.unread.0.rest.set(Some(rest));
        }
    }
}

/// The rest of a body that its handler left unread.
struct Rest {
    incoming: Incoming,
    /// Bytes of the body that were read before.
    read_bytes: u64,
}

impl Rest {
    /// Returns whether the whole body may be longer than `max_bytes`, as far as is known.
    fn exceeds(&self, max_bytes: u64) -> bool {
        max_bytes < self.read_bytes.saturating_add(self.incoming.size_hint().lower())
    }

    /// Reads to the end of the body, of at most `max_bytes` in all; returns whether it was reached.
    async fn discard(mut self, max_bytes: u64) -> bool {
        while let Some(frame) = self.incoming.frame().await {
            let Ok(frame) = frame else { return false };
            self.read_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            if self.exceeds(max_bytes) {
                return false;
            }
        }
        true
    }
}

/// What the handlers of a connection's requests leave unread; clones share their state.
#[derive(Clone, Default)]
pub(super) struct Unread(Rc<State>);

#[derive(Default)]
struct State {
    rest: Cell<Option<Rest>>,
    max_bytes: Cell<u64>,
    /// Wakes [`Unread::discard`].
    may_discard: Notify,
    is_discarding: Cell<bool>,
    is_abandoned: Cell<bool>,
}

impl Unread {
    /// Wraps the body of a request, to learn what its handler leaves unread.
    pub(super) fn watch(
        &self,
        req: Request<Incoming>,
        activity: &Activity,
    ) -> Request<RequestBody> {
        if !req.body().is_end_stream() {
            activity.begin_body();
        }
        req.map(|incoming| RequestBody {
            incoming: Some(incoming),
            read_bytes: 0,
            unread: self.clone(),
            activity: activity.clone(),
        })
    }

    /// Lets what a handler left unread be discarded, or else makes its response close the connection.
    pub(super) fn settle<B>(
        &self,
        max_bytes: u64,
        expects_continue: bool,
        response: &mut Response<B>,
    ) {
        let Some(rest) = self.0.rest.take() else { return };
        let closes = response.headers().get(CONNECTION).is_some_and(|value| value == "close")
            || response.status() == StatusCode::REQUEST_TIMEOUT;
        // A caller that waits for 100 may leave the body out, so the next request has no known start.
        if closes || expects_continue || rest.exceeds(max_bytes) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            self.0.is_abandoned.set(true);
            return;
        }
        self.0.rest.set(Some(rest));
        self.0.max_bytes.set(max_bytes);
        self.0.is_discarding.set(true);
        self.0.may_discard.notify_one();
    }

    /// Discards what may be discarded, while the response is written; calls `on_end` after each body.
    pub(super) async fn discard(&self, on_end: impl Fn()) -> Infallible {
        loop {
            self.0.may_discard.notified().await;
            let Some(rest) = self.0.rest.take() else { continue };
            let discarding = rest.discard(self.0.max_bytes.get());
            let ended = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
            if !ended.unwrap_or(false) {
                self.0.is_abandoned.set(true);
            }
            self.0.is_discarding.set(false);
            on_end();
        }
    }

    /// Returns whether the rest of a body is being discarded.
    pub(super) fn is_discarding(&self) -> bool {
        self.0.is_discarding.get()
    }

    /// Returns whether a body was not read to its end, so that more of it may arrive.
    pub(super) fn is_abandoned(&self) -> bool {
        self.0.is_abandoned.get()
    }
}
