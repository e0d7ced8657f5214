use std::time::Duration;

use base::{ByteCount, MonotonicTime, TokenCount};
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};
use telemetry::RequestStage;
use wire::{
    chunk::{Chunk, DONE_MARKER, Usage},
    sse::{Event, Parser},
};

use crate::edge::router::ChosenEngine;

use super::{Relay, RelayEnd, StreamItem, attempt::AttemptError, progress::ChunkAction};

/// Longest event accepted from an engine.
const MAX_EVENT_BYTES: ByteCount = ByteCount::new(1 << 20);

/// Type of the event that an engine sends when another reader has taken over the stream.
const TAKEN_OVER_EVENT: &str = "taken-over";

impl Relay<'_> {
    /// Forwards an engine's events to the caller until the stream ends.
    pub(super) async fn forward_events(
        &mut self,
        chosen: &ChosenEngine,
        mut body: Incoming,
        first_token_deadline: MonotonicTime,
        resumes: bool,
    ) -> RelayEnd {
        self.progress.begin_attempt();
        let before = self.progress.tokens();
        let mut span = self.job.span.child(RequestStage::FirstToken);
        let mut parser = Parser::new(MAX_EVENT_BYTES);
        let mut events = Vec::new();
        let mut last_token = None;
        loop {
            let wait = match last_token {
                None => first_token_deadline.saturating_since(self.edge.clock.now()),
                Some(_) => self.edge.cfg.timeouts.idle,
            };
            let frame = match next_frame(&mut body, wait).await {
                Ok(frame) => frame,
                Err(error) => return RelayEnd::Failed(self.resumable_if_numbered(error)),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Err(e) = parser.push(&data, &mut events) {
                return RelayEnd::Failed(AttemptError::interrupted(e.to_string()));
            }
            for event in events.drain(..) {
                let received = self.progress.tokens();
                if let Some(end) = self.handle_event(chosen, event).await {
                    return end;
                }
                if received == self.progress.tokens() {
                    continue;
                }
                if last_token.is_none() {
                    self.report_first_token(chosen, resumes);
                    drop(std::mem::replace(&mut span, self.job.span.child(RequestStage::Stream)));
                    span.set("resumed_after", i64::try_from(before).unwrap_or(i64::MAX));
                }
                last_token = Some(self.record_token(last_token));
            }
        }
    }

    /// Handles an event; returns how the attempt ends if this event ends it.
    async fn handle_event(&mut self, chosen: &ChosenEngine, event: Event) -> Option<RelayEnd> {
        if event.data == DONE_MARKER {
            if self.progress.has_final_chunk() {
                return Some(RelayEnd::Done);
            }
            return Some(RelayEnd::Failed(AttemptError::interrupted(
                "[DONE] came before the final chunk",
            )));
        }
        if event.kind.as_deref() == Some(TAKEN_OVER_EVENT) {
            return Some(RelayEnd::Failed(AttemptError::taken_over()));
        }
        let chunk = match Chunk::parse(&event.data) {
            Ok(chunk) => chunk,
            Err(e) => {
                return Some(RelayEnd::Failed(AttemptError::interrupted(format!(
                    "malformed chunk: {e}"
                ))));
            }
        };
        if !chunk.belongs_to(self.engine_request_id().as_str()) {
            self.job.recorder.mismatched_response();
            log::warn!(
                request:% = self.job.request, other:? = chunk.id;
                "chunk of another request dropped"
            );
            return None;
        }
        let number = event.id.as_deref().and_then(|id| id.parse().ok());
        match self.progress.accept(&chunk, number) {
            ChunkAction::Deliver => {}
            ChunkAction::Skip => return None,
            ChunkAction::Gap => {
                return Some(RelayEnd::Failed(AttemptError::interrupted(
                    "gap in the engine's token numbers",
                )));
            }
        }
        let usage = chunk.usage.map(|usage| usage.with_earlier_tokens(self.progress.offset));
        if let Some(usage) = usage {
            self.record_usage(chosen, usage);
        }
        let data = match usage {
            Some(_) if self.progress.offset != 0 => {
                let whole = Chunk { usage, ..chunk };
                serde_json::to_string(&whole).expect("a chunk is valid JSON")
            }
            _ => event.data,
        };
        let id = self.progress.event_id(chosen, self.engine_request_id());
        if self.tx.send_async(StreamItem::Data { id, data }).await.is_err() {
            return Some(RelayEnd::CallerGone);
        }
        None
    }

    /// Reports an attempt's time to first token to the router and to admission control.
    fn report_first_token(&self, chosen: &ChosenEngine, resumes: bool) {
        let now = self.edge.clock.now();
        let time_to_first_token = self.edge.router.borrow_mut().record_first_token(now, chosen);
        if let (Some(time_to_first_token), false) = (time_to_first_token, resumes) {
            self.edge.admission.record_first_token(time_to_first_token);
        }
    }

    /// Records a token's latency and returns its time; `last` is the time of the token before it.
    fn record_token(&self, last: Option<MonotonicTime>) -> MonotonicTime {
        let now = self.edge.clock.now();
        match last {
            Some(last) => self.job.recorder.between_tokens(now.saturating_since(last)),
            None if self.progress.tokens() == 1 => {
                self.job.recorder.first_token(now.saturating_since(self.job.arrived));
            }
            None => {}
        }
        now
    }

    fn record_usage(&self, chosen: &ChosenEngine, usage: Usage) {
        let cached = TokenCount::new(usage.prompt_tokens_details.cached_tokens);
        self.edge.router.borrow_mut().record_usage(self.edge.clock.now(), chosen, cached);
        self.job.recorder.prompt(TokenCount::new(usage.prompt_tokens), cached);
    }

    /// Marks the error as not resumable if the engine doesn't number its tokens.
    fn resumable_if_numbered(&self, error: AttemptError) -> AttemptError {
        AttemptError { resumable: error.resumable && self.progress.is_numbered(), ..error }
    }
}

async fn next_frame(
    body: &mut Incoming,
    wait: Duration,
) -> Result<Frame<bytes::Bytes>, AttemptError> {
    match tokio::time::timeout(wait, body.frame()).await {
        Err(_) => Err(AttemptError::timed_out()),
        Ok(None) => Err(AttemptError::interrupted("the stream ended without [DONE]")),
        Ok(Some(Err(e))) => Err(AttemptError::interrupted(e.to_string())),
        Ok(Some(Ok(frame))) => Ok(frame),
    }
}
