//! The part of a stream that one endpoint sends.

use base::{ByteCount, MonotonicTime};
use http_body_util::BodyExt as _;
use wire::sse::{CompleteEvents, EventSplitter};

use crate::buffers::Buffered;

use super::exchange::StartedResponse;

/// Largest event that is buffered until it is complete.
const MAX_EVENT_BYTES: ByteCount = ByteCount::new(1 << 20);

/// Error of a stream that ended before its first event.
pub(super) const NO_EVENT: &str = "the stream ended before its first event";

/// The part of a stream that one endpoint sends.
pub(super) struct Segment {
    pub started: StartedResponse,
    splitter: EventSplitter,
    /// The memory that its incomplete event takes.
    buffered: Buffered,
    /// What was received while the stream was about to resume elsewhere.
    pending: Option<Received>,
    /// When its first event arrived.
    pub first_event: Option<MonotonicTime>,
    /// Whether its engine has written for long enough to show that the prompt doesn't crash it.
    pub has_survived: bool,
    /// Whether it may migrate before it has ended.
    pub may_migrate: bool,
}

/// What an endpoint sent next.
pub(super) enum Received {
    /// Whole events.
    Events(CompleteEvents),
    /// The end of the response, after a whole event.
    End,
    /// A connection that ended before the response did.
    BrokenOff(String),
    /// Events that are not valid.
    Malformed(String),
}

impl Segment {
    /// Creates a segment from a response whose head has arrived.
    pub(super) fn new(started: StartedResponse, buffered: Buffered, may_migrate: bool) -> Self {
        Self {
            started,
            splitter: EventSplitter::new(MAX_EVENT_BYTES),
            buffered,
            pending: None,
            first_event: None,
            has_survived: false,
            may_migrate,
        }
    }

    /// Receives events or the end; it may be cancelled.
    pub(super) async fn receive(&mut self) -> Received {
        match self.pending.take() {
            Some(received) => received,
            None => self.receive_next().await,
        }
    }

    /// Waits until the endpoint sends events or completes its response, and keeps what it sent.
    ///
    /// A response that breaks off is kept too, and waits for ever: it doesn't go on.
    pub(super) async fn wait_until_revived(&mut self) {
        if self.pending.is_none() {
            self.pending = Some(self.receive_next().await);
        }
        if !matches!(self.pending, Some(Received::Events(_) | Received::End)) {
            std::future::pending::<()>().await;
        }
    }

    async fn receive_next(&mut self) -> Received {
        loop {
            let frame = match self.started.response.body_mut().frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => return Received::BrokenOff(e.to_string()),
                None => return self.end(),
            };
            let Ok(data) = frame.into_data() else { continue };
            let split = match self.splitter.push(&data) {
                Ok(split) => split,
                Err(e) => return Received::Malformed(e.to_string()),
            };
            if let Err(e) = self.buffered.resize(self.splitter.buffered_bytes()) {
                return Received::Malformed(e.to_string());
            }
            if split.events != 0 {
                return Received::Events(split);
            }
        }
    }

    fn end(&self) -> Received {
        if self.splitter.is_within_event() {
            return Received::BrokenOff("the stream ended within an event".to_owned());
        }
        if self.first_event.is_none() && self.started.is_unframed {
            return Received::BrokenOff(NO_EVENT.to_owned());
        }
        Received::End
    }
}
