use std::time::Duration;

use base::{ByteCount, MonotonicTime, TokenCount};
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};
use telemetry::RequestStage;
use wire::{
    chunk::{Chunk, DONE_MARKER, Usage},
    sse::{Event, Parser},
};

use crate::edge::router::Chosen;

use super::{End, Piece, Relay, attempt::Broken, progress::Step};

/// Longest event taken from an engine.
const MAX_EVENT: ByteCount = ByteCount::new(1 << 20);

/// Type of the event with which an engine tells that another reader has taken the stream over.
const TAKEN_OVER: &str = "taken-over";

impl Relay<'_> {
    /// Passes an engine's events on until the stream ends.
    pub(super) async fn pump(
        &mut self,
        chosen: &Chosen,
        mut body: Incoming,
        first_token_by: MonotonicTime,
        resumes: bool,
    ) -> End {
        self.progress.begin_attempt();
        let before = self.progress.tokens();
        let mut span = self.job.span.child(RequestStage::FirstToken);
        let mut parser = Parser::new(MAX_EVENT);
        let mut events = Vec::new();
        let mut last_token = None;
        loop {
            let wait = match last_token {
                None => first_token_by.saturating_since(self.edge.clock.now()),
                Some(_) => self.edge.cfg.timeouts.idle,
            };
            let frame = match next_frame(&mut body, wait).await {
                Ok(frame) => frame,
                Err(broken) => return End::Broken(self.unless_unnumbered(broken)),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Err(e) = parser.push(&data, &mut events) {
                return End::Broken(Broken::cut(e.to_string()));
            }
            for event in events.drain(..) {
                let taken = self.progress.tokens();
                if let Some(end) = self.take(chosen, event).await {
                    return end;
                }
                if taken == self.progress.tokens() {
                    continue;
                }
                if last_token.is_none() {
                    self.note_first_token(chosen, resumes);
                    drop(std::mem::replace(&mut span, self.job.span.child(RequestStage::Stream)));
                    span.set("resumed_after", i64::try_from(before).unwrap_or(i64::MAX));
                }
                last_token = Some(self.record_token(last_token));
            }
        }
    }

    /// Takes an event; returns how the attempt ends if it ends with it.
    async fn take(&mut self, chosen: &Chosen, event: Event) -> Option<End> {
        if event.data == DONE_MARKER {
            if self.progress.has_tail() {
                return Some(End::Done);
            }
            return Some(End::Broken(Broken::cut("the end mark came before the answer's end")));
        }
        if event.kind.as_deref() == Some(TAKEN_OVER) {
            return Some(End::Broken(Broken::taken_over()));
        }
        let chunk = match Chunk::parse(&event.data) {
            Ok(chunk) => chunk,
            Err(e) => return Some(End::Broken(Broken::cut(format!("a malformed chunk: {e}")))),
        };
        if !chunk.belongs_to(self.engine_request().as_str()) {
            self.job.recorder.mismatched_response();
            log::warn!(request:% = self.job.request, other:? = chunk.id; "crossed answer dropped");
            return None;
        }
        let number = event.id.as_deref().and_then(|id| id.parse().ok());
        match self.progress.take(&chunk, number) {
            Step::Deliver => {}
            Step::Skip => return None,
            Step::Gap => return Some(End::Broken(Broken::cut("tokens are missing"))),
        }
        let usage = chunk.usage.map(|usage| usage.with_earlier_tokens(self.progress.offset));
        if let Some(usage) = usage {
            self.record_prompt(chosen, usage);
        }
        let data = match usage {
            Some(_) if self.progress.offset != 0 => {
                let whole = Chunk { usage, ..chunk };
                serde_json::to_string(&whole).expect("a chunk is valid JSON")
            }
            _ => event.data,
        };
        let id = self.progress.event_id(chosen, self.engine_request());
        if self.tx.send_async(Piece::Data { id, data }).await.is_err() {
            return Some(End::CallerGone);
        }
        None
    }

    /// Tells the router and the gate how long an attempt's first token took.
    fn note_first_token(&self, chosen: &Chosen, resumes: bool) {
        let now = self.edge.clock.now();
        let took = self.edge.router.borrow_mut().first_token(now, chosen);
        if let (Some(took), false) = (took, resumes) {
            self.edge.gate.first_token(took);
        }
    }

    /// Counts a token and returns its time; `last` is the attempt's token before.
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

    fn record_prompt(&self, chosen: &Chosen, usage: Usage) {
        let cached = TokenCount::new(usage.prompt_tokens_details.cached_tokens);
        self.edge.router.borrow_mut().answered(self.edge.clock.now(), chosen, cached);
        self.job.recorder.prompt(TokenCount::new(usage.prompt_tokens), cached);
    }

    /// Keeps a stream without numbers from being resumed at its engine.
    fn unless_unnumbered(&self, broken: Broken) -> Broken {
        Broken { held: broken.held && self.progress.is_numbered(), ..broken }
    }
}

async fn next_frame(body: &mut Incoming, wait: Duration) -> Result<Frame<bytes::Bytes>, Broken> {
    match tokio::time::timeout(wait, body.frame()).await {
        Err(_) => Err(Broken::silent()),
        Ok(None) => Err(Broken::cut("the stream ended without its end mark")),
        Ok(Some(Err(e))) => Err(Broken::cut(e.to_string())),
        Ok(Some(Ok(frame))) => Ok(frame),
    }
}
