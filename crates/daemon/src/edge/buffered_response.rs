use std::collections::BTreeMap;

use base::{RequestId, Verdict};
use serde_json::{Value, json};
use wire::{
    chunk::{Chunk, Usage},
    completion::CompletionKind,
};

use crate::failure::Failure;

/// A response assembled from its chunks, for a caller that did not ask for a stream.
#[derive(Default)]
pub(super) struct BufferedResponse {
    choices: BTreeMap<u32, BufferedChoice>,
    usage: Usage,
}

#[derive(Default)]
struct BufferedChoice {
    text: String,
    finish_reason: Option<String>,
}

impl BufferedResponse {
    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// Returns a failure if the chunk is malformed.
    pub(super) fn add(&mut self, data: &str) -> Result<(), Failure> {
        let chunk = Chunk::parse(data).map_err(|e| {
            Failure::bad_gateway(format!("malformed chunk: {e}"), Verdict::MayHaveRun)
        })?;
        for piece in &chunk.choices {
            let choice = self.choices.entry(piece.index).or_default();
            choice.text.push_str(piece.text().unwrap_or_default());
            if let Some(reason) = &piece.finish_reason {
                choice.finish_reason = Some(reason.clone().into_owned());
            }
        }
        self.usage = chunk.usage.unwrap_or(self.usage);
        Ok(())
    }

    /// Returns the body of the response.
    pub(super) fn to_body(&self, request: &RequestId, kind: CompletionKind) -> Value {
        let object = match kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion",
        };
        let choices: Vec<_> =
            self.choices.iter().map(|(index, choice)| choice.to_json(*index, kind)).collect();
        json!({"id": request, "object": object, "choices": choices, "usage": self.usage})
    }
}

impl BufferedChoice {
    fn to_json(&self, index: u32, kind: CompletionKind) -> Value {
        let Self { text, finish_reason } = self;
        match kind {
            CompletionKind::Text => {
                json!({"index": index, "text": text, "finish_reason": finish_reason})
            }
            CompletionKind::Chat => {
                let message = json!({"role": "assistant", "content": text});
                json!({"index": index, "message": message, "finish_reason": finish_reason})
            }
        }
    }
}
