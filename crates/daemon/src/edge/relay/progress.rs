use base::{RequestId, WeightsVersion};
use wire::{EventId, chunk::Chunk, completion::Delivered};

use crate::edge::router::ChosenEngine;

/// Progress of a response over all attempts.
pub(super) struct Progress {
    /// The tokens received from engines; their text is complete unless `text_incomplete`.
    received: Delivered,
    /// Tokens that the caller had received before it resumed the stream here.
    caller_tokens: u64,
    text_incomplete: bool,
    /// Tokens that earlier engines generated.
    pub offset: u64,
    /// The version of the weights that generated the tokens.
    pub weights: Option<WeightsVersion>,
    /// Whether the engine numbers its tokens.
    numbered: bool,
    /// Chunks without a token, before the first token and after the last one.
    leading: ChunkCounts,
    trailing: ChunkCounts,
}

/// Chunks without a token: those delivered over all attempts, and those received in this one.
#[derive(Default)]
struct ChunkCounts {
    delivered: u64,
    received: u64,
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkAction {
    /// It is the next one for the caller.
    Deliver,
    /// The caller has it already.
    Skip,
    /// Tokens before it are missing.
    Gap,
}

impl Progress {
    /// Starts at the beginning, or after the last event that the caller has.
    pub(super) fn new(resume: Option<&EventId>) -> Self {
        let mut progress = Self {
            received: Delivered::default(),
            caller_tokens: 0,
            text_incomplete: false,
            offset: 0,
            weights: None,
            numbered: true,
            leading: ChunkCounts::default(),
            trailing: ChunkCounts::default(),
        };
        if let Some(id) = resume {
            progress.caller_tokens = id.token;
            progress.offset = id.offset;
            progress.weights = Some(id.weights.clone());
            // The engine's own tokens are read again for their text; that of earlier engines' tokens
            // is lost.
            progress.received.tokens = id.offset;
            progress.text_incomplete = id.offset != 0;
        }
        progress
    }

    /// Returns how many tokens have been received from engines.
    pub(super) fn tokens(&self) -> u64 {
        self.received.tokens
    }

    /// Returns what another engine continues from.
    pub(super) fn received(&self) -> &Delivered {
        &self.received
    }

    /// Returns how many tokens have been received from the current engine.
    pub(super) fn engine_tokens(&self) -> u64 {
        self.received.tokens - self.offset
    }

    /// Returns whether all the text that the caller has is known to this router.
    pub(super) fn has_full_text(&self) -> bool {
        !self.text_incomplete && self.caller_tokens <= self.received.tokens
    }

    /// Returns whether the current engine's stream can be resumed by token number.
    pub(super) fn is_numbered(&self) -> bool {
        self.numbered
    }

    /// Makes the tokens received so far part of the prompt for another engine.
    pub(super) fn continue_on_other_engine(&mut self) {
        self.offset = self.received.tokens;
        self.numbered = true;
    }

    /// Resets the per-attempt counts before an engine's response is read.
    pub(super) fn begin_attempt(&mut self) {
        self.leading.received = 0;
        self.trailing.received = 0;
    }

    /// Accounts for a chunk with its token number, if the engine gave one.
    pub(super) fn accept(&mut self, chunk: &Chunk<'_>, number: Option<u64>) -> ChunkAction {
        let text = chunk.text().unwrap_or_default();
        if number.is_none() && text.is_empty() {
            let chunks = if chunk.is_tail() { &mut self.trailing } else { &mut self.leading };
            return chunks.count();
        }
        self.numbered = number.is_some();
        let expected = self.received.tokens + 1;
        let number = number.map_or(expected, |number| number.saturating_add(self.offset));
        if number < expected {
            return ChunkAction::Skip;
        }
        if expected < number {
            return ChunkAction::Gap;
        }
        self.received.tokens = expected;
        self.received.text.push_str(text);
        if expected <= self.caller_tokens { ChunkAction::Skip } else { ChunkAction::Deliver }
    }

    /// Returns whether this attempt has received a chunk that ends the response.
    pub(super) fn has_final_chunk(&self) -> bool {
        self.trailing.received != 0
    }

    /// Returns the event id of the last token received, from the engine `chosen`.
    pub(super) fn event_id(&self, chosen: &ChosenEngine, request: &RequestId) -> EventId {
        EventId {
            endpoint: chosen.endpoint.clone(),
            incarnation: chosen.in_flight.target().announcement().incarnation,
            weights: chosen.weights.clone(),
            request: request.clone(),
            offset: self.offset,
            token: self.received.tokens,
        }
    }
}

impl ChunkCounts {
    fn count(&mut self) -> ChunkAction {
        self.received += 1;
        if self.received <= self.delivered {
            return ChunkAction::Skip;
        }
        self.delivered = self.received;
        ChunkAction::Deliver
    }
}
