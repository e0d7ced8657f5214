//! Requests for a completion, as a fake engine reads them.

use std::time::Instant;

use hyper::http::request::Parts;
use serde_json::Value;
use wire::kv_transfer::{self, KvTransfer};

use super::streams::StreamKey;

/// Path of completions that follow a prompt.
const COMPLETIONS: &str = "/v1/completions";

/// Path of completions that follow messages.
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";

/// Header that names a request.
const REQUEST_ID: &str = "x-request-id";

/// Tokens generated if a request names no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A request as the engine takes it.
pub(super) struct Job {
    pub request: String,
    pub salt: String,
    pub prompt: Vec<u8>,
    pub chat: bool,
    /// Answers asked for.
    pub choices: u32,
    pub max_tokens: u64,
    pub transfer: Option<KvTransfer>,
    pub arrived: Instant,
}

impl Job {
    /// Reads a request that arrived at `arrived`.
    pub(super) fn new(parts: &Parts, fields: &Value, arrived: Instant) -> Self {
        Self {
            request: request_id(parts).to_owned(),
            salt: fields["cache_salt"].as_str().unwrap_or_default().to_owned(),
            prompt: prompt_text(fields),
            chat: parts.uri.path() == CHAT_COMPLETIONS,
            choices: fields["n"].as_u64().and_then(|n| u32::try_from(n).ok()).unwrap_or(1),
            max_tokens: fields["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
            transfer: serde_json::from_value(fields[kv_transfer::PARAMS_FIELD].clone()).ok(),
            arrived,
        }
    }

    /// Returns what names its stream.
    pub(super) fn key(&self) -> StreamKey {
        StreamKey { request: self.request.clone(), salt: self.salt.clone() }
    }
}

/// Returns whether a request asks for a completion.
pub(super) fn is_completion(parts: &Parts) -> bool {
    matches!(parts.uri.path(), COMPLETIONS | CHAT_COMPLETIONS)
}

fn request_id(parts: &Parts) -> &str {
    let id = parts.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
    id.unwrap_or_default()
}

/// Returns the text that the completion follows.
fn prompt_text(fields: &Value) -> Vec<u8> {
    if let Some(prompt) = fields["prompt"].as_str() {
        return prompt.as_bytes().to_vec();
    }
    let messages = fields["messages"].as_array().map(Vec::as_slice).unwrap_or_default();
    let continues = fields["continue_final_message"] == true;
    let (told, begun) = match messages.split_last() {
        Some((last, told)) if continues => (told, last["content"].as_str().unwrap_or_default()),
        _ => (messages, ""),
    };
    let mut text = String::new();
    for message in told {
        let role = message["role"].as_str().unwrap_or_default();
        let content = message["content"].as_str().unwrap_or_default();
        text.extend([role, "\n", content, "\n"]);
    }
    text.push_str(begun);
    text.into_bytes()
}
