//! The caller's side of a stream that is relayed.

use bytes::Bytes;
use hyper::HeaderMap;
use tokio::sync::oneshot;

use crate::failure::Failure;

use super::headers;

/// Chunks that are buffered for a slow caller.
const CHUNK_BUFFER_LEN: usize = 16;

/// Sends a stream's head and events to the caller.
///
/// The head goes out with the first event, so that a failure before it is told by its status.
pub(super) struct CallerStream {
    head: Option<oneshot::Sender<Result<HeaderMap, Failure>>>,
    body: flume::Sender<StreamItem>,
}

/// An item of a stream's body; a stream without an [`StreamItem::End`] is truncated.
pub(super) enum StreamItem {
    Events(Bytes),
    End,
}

/// The receiving ends of a [`CallerStream`].
pub(super) struct CallerStreamReceivers {
    /// The stream's header fields, or why there is no stream.
    pub head: oneshot::Receiver<Result<HeaderMap, Failure>>,
    pub body: flume::Receiver<StreamItem>,
}

/// The caller's connection has closed.
pub(super) struct CallerDisconnected;

impl CallerStream {
    /// Creates a stream whose head was not sent yet.
    pub(super) fn new() -> (Self, CallerStreamReceivers) {
        let (head_tx, head) = oneshot::channel();
        let (body_tx, body) = flume::bounded(CHUNK_BUFFER_LEN);
        (Self { head: Some(head_tx), body: body_tx }, CallerStreamReceivers { head, body })
    }

    /// Sends events of an endpoint that responded with these header fields.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the caller's connection has closed.
    pub(super) async fn send(
        &mut self,
        endpoint_headers: &HeaderMap,
        events: Bytes,
    ) -> Result<(), CallerDisconnected> {
        if let Some(head) = self.head.take() {
            let headers = headers::end_to_end(endpoint_headers);
            head.send(Ok(headers)).map_err(|_| CallerDisconnected)?;
        }
        let events = StreamItem::Events(events);
        self.body.send_async(events).await.map_err(|_| CallerDisconnected)
    }

    /// Returns whether the head was sent, so that a failure can only truncate the stream.
    pub(super) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Ends the stream as complete.
    pub(super) async fn complete(self) {
        // The caller may have disconnected.
        let _ = self.body.send_async(StreamItem::End).await;
    }

    /// Ends the stream with a failure; one that has begun is truncated.
    pub(super) fn fail(self, failure: Failure) {
        if let Some(head) = self.head {
            let _ = head.send(Err(failure));
        }
    }
}
