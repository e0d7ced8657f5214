use base::{RequestId, WeightsVersion};
use wire::{EventId, chunk::Chunk, completion::Delivered};

use crate::edge::router::Chosen;

/// How far an answer has come, over all attempts.
pub(super) struct Progress {
    /// The tokens taken from engines; their text is known unless `text_missing`.
    taken: Delivered,
    /// Tokens that the caller had before it resumed the stream here.
    had: u64,
    text_missing: bool,
    /// Tokens that earlier engines generated.
    pub offset: u64,
    /// The version of the weights that generated the tokens.
    pub weights: Option<WeightsVersion>,
    /// Whether the engine numbers its tokens.
    numbered: bool,
    /// Chunks without a token delivered before the first token, and after the last one.
    heads: Chunks,
    tails: Chunks,
}

/// Chunks without a token: how many are delivered, and how many this attempt has brought.
#[derive(Default)]
struct Chunks {
    delivered: u64,
    seen: u64,
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// It is the next one.
    Deliver,
    /// The caller has it.
    Skip,
    /// Tokens before it are missing.
    Gap,
}

impl Progress {
    /// Starts at the beginning, or after the last event that the caller has.
    pub(super) fn new(resume: Option<&EventId>) -> Self {
        let mut progress = Self {
            taken: Delivered::default(),
            had: 0,
            text_missing: false,
            offset: 0,
            weights: None,
            numbered: true,
            heads: Chunks::default(),
            tails: Chunks::default(),
        };
        if let Some(id) = resume {
            progress.had = id.token;
            progress.offset = id.offset;
            progress.weights = Some(id.weights.clone());
            // The engine's own tokens are read again for their text; those before are out of reach.
            progress.taken.tokens = id.offset;
            progress.text_missing = id.offset != 0;
        }
        progress
    }

    /// Returns how many tokens have been taken from engines.
    pub(super) fn tokens(&self) -> u64 {
        self.taken.tokens
    }

    /// Returns what another engine goes on from.
    pub(super) fn taken(&self) -> &Delivered {
        &self.taken
    }

    /// Returns how many tokens of the present engine have been taken.
    pub(super) fn engine_tokens(&self) -> u64 {
        self.taken.tokens - self.offset
    }

    /// Returns whether all the text that the caller has is known here.
    pub(super) fn knows_text(&self) -> bool {
        !self.text_missing && self.had <= self.taken.tokens
    }

    /// Returns whether the present engine's stream can be resumed by number.
    pub(super) fn is_numbered(&self) -> bool {
        self.numbered
    }

    /// Makes what is taken so far part of the prompt for another engine.
    pub(super) fn go_on_elsewhere(&mut self) {
        self.offset = self.taken.tokens;
        self.numbered = true;
    }

    /// Starts to read an engine's answer.
    pub(super) fn begin_attempt(&mut self) {
        self.heads.seen = 0;
        self.tails.seen = 0;
    }

    /// Takes a chunk with the number that the engine gave it, if any.
    pub(super) fn take(&mut self, chunk: &Chunk<'_>, number: Option<u64>) -> Step {
        let text = chunk.text().unwrap_or_default();
        if number.is_none() && text.is_empty() {
            let chunks = if chunk.is_tail() { &mut self.tails } else { &mut self.heads };
            return chunks.take();
        }
        self.numbered = number.is_some();
        let expected = self.taken.tokens + 1;
        let number = number.map_or(expected, |number| number.saturating_add(self.offset));
        if number < expected {
            return Step::Skip;
        }
        if expected < number {
            return Step::Gap;
        }
        self.taken.tokens = expected;
        self.taken.text.push_str(text);
        if expected <= self.had { Step::Skip } else { Step::Deliver }
    }

    /// Returns whether the caller has a chunk that ends the answer.
    pub(super) fn has_tail(&self) -> bool {
        self.tails.seen != 0
    }

    /// Returns the id of the last token taken, from the engine `chosen`.
    pub(super) fn event_id(&self, chosen: &Chosen, request: &RequestId) -> EventId {
        EventId {
            endpoint: chosen.endpoint.clone(),
            incarnation: chosen.in_flight.target().announcement().incarnation,
            weights: chosen.weights.clone(),
            request: request.clone(),
            offset: self.offset,
            token: self.taken.tokens,
        }
    }
}

impl Chunks {
    fn take(&mut self) -> Step {
        self.seen += 1;
        if self.seen <= self.delivered {
            return Step::Skip;
        }
        self.delivered = self.seen;
        Step::Deliver
    }
}
