//! The caller's side of a stream that is relayed.

use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::{buffers::BufferBudget, failure::Failure};

use super::headers;

/// Chunks that are buffered for a slow caller.
const CHUNK_BUFFER_LEN: usize = 16;

/// Bytes of a stream that are held until its caller reads them, unless one event is longer; the
/// endpoint's connection isn't read meanwhile.
const MAX_HELD_BYTES: usize = 64 << 10;

/// Sends a stream's head and events to the caller.
///
/// The head goes out with the first event, so that a failure before it is told by its status.
pub(super) struct CallerStream {
    head: Option<oneshot::Sender<Result<HeaderMap, Failure>>>,
    body: flume::Sender<StreamItem>,
    /// A permit for each byte that may be held.
    may_hold: Arc<Semaphore>,
    budget: Arc<BufferBudget>,
}

/// Events that count toward the bytes that their stream holds.
struct HeldEvents {
    events: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldEvents {
    fn as_ref(&self) -> &[u8] {
        &self.events
    }
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

/// Why events can't be sent to the caller.
pub(super) enum SendError {
    /// The caller's connection has closed.
    Disconnected,
    /// No memory is left to hold them until the caller reads.
    MemoryFull,
}

impl CallerStream {
    /// Creates a stream whose head was not sent yet.
    pub(super) fn new(budget: Arc<BufferBudget>) -> (Self, CallerStreamReceivers) {
        let (head_tx, head) = oneshot::channel();
        let (body_tx, body) = flume::bounded(CHUNK_BUFFER_LEN);
        let may_hold = Arc::new(Semaphore::new(MAX_HELD_BYTES));
        let stream = Self { head: Some(head_tx), body: body_tx, may_hold, budget };
        (stream, CallerStreamReceivers { head, body })
    }

    /// Sends events of an endpoint that responded with these header fields, once the caller has read
    /// enough of those before.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection has closed or no memory is left.
    pub(super) async fn send(
        &mut self,
        endpoint_headers: &HeaderMap,
        events: Bytes,
    ) -> Result<(), SendError> {
        if let Some(head) = self.head.take() {
            let headers = headers::end_to_end(endpoint_headers);
            head.send(Ok(headers)).map_err(|_| SendError::Disconnected)?;
        }
        let events = StreamItem::Events(self.hold(events).await?);
        self.body.send_async(events).await.map_err(|_| SendError::Disconnected)
    }

    /// Returns events that take their memory until they are written to the caller's connection.
    async fn hold(&self, events: Bytes) -> Result<Bytes, SendError> {
        let permits = events.len().min(MAX_HELD_BYTES) as u32;
        let permit = Arc::clone(&self.may_hold).acquire_many_owned(permits).await;
        let permit = permit.map_err(|_| SendError::Disconnected)?;
        let mut buffered = self.budget.begin();
        buffered.resize(events.len()).map_err(|_| SendError::MemoryFull)?;
        Ok(buffered.hold(Bytes::from_owner(HeldEvents { events, _permit: permit })))
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
