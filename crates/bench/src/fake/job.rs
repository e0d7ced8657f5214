//! Completion requests as a fake engine parses them.

use std::time::Instant;

use hyper::http::request::Parts;
use serde_json::Value;
use wire::kv_transfer::{self, KvTransfer};

use super::streams::StreamKey;

/// Path of completions of a prompt.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Path of completions of chat messages.
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Header with the request id.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Tokens generated if a request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A parsed completion request.
pub(super) struct Job {
    pub request: String,
    pub salt: String,
    pub prompt: Vec<u8>,
    pub chat: bool,
    /// Number of choices requested.
    pub choices: u32,
    pub max_tokens: u64,
    pub transfer: Option<KvTransfer>,
    pub arrived_at: Instant,
}

impl Job {
    /// Parses a request that arrived at `arrived_at`.
    pub(super) fn new(parts: &Parts, fields: &Value, arrived_at: Instant) -> Self {
        Self {
            request: request_id(parts).to_owned(),
            salt: fields["cache_salt"].as_str().unwrap_or_default().to_owned(),
            prompt: prompt_text(fields),
            chat: parts.uri.path() == CHAT_COMPLETIONS_PATH,
            choices: fields["n"].as_u64().and_then(|n| u32::try_from(n).ok()).unwrap_or(1),
            max_tokens: fields["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
            transfer: serde_json::from_value(fields[kv_transfer::PARAMS_FIELD].clone()).ok(),
            arrived_at,
        }
    }

    /// Returns the key of its stream.
    pub(super) fn key(&self) -> StreamKey {
        StreamKey { request: self.request.clone(), salt: self.salt.clone() }
    }
}

/// Returns whether a request's path is one of the completion paths.
pub(super) fn is_completion(parts: &Parts) -> bool {
    matches!(parts.uri.path(), COMPLETIONS_PATH | CHAT_COMPLETIONS_PATH)
}

fn request_id(parts: &Parts) -> &str {
    let id = parts.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
    id.unwrap_or_default()
}

/// Returns the text that the completion continues.
fn prompt_text(fields: &Value) -> Vec<u8> {
    if let Some(prompt) = fields["prompt"].as_str() {
        return prompt.as_bytes().to_vec();
    }
    let messages = fields["messages"].as_array().map(Vec::as_slice).unwrap_or_default();
    let continues = fields["continue_final_message"] == true;
    let (messages, partial) = match messages.split_last() {
        Some((last, earlier)) if continues => {
            (earlier, last["content"].as_str().unwrap_or_default())
        }
        _ => (messages, ""),
    };
    let mut text = String::new();
    for message in messages {
        let role = message["role"].as_str().unwrap_or_default();
        let content = message["content"].as_str().unwrap_or_default();
        text.extend([role, "\n", content, "\n"]);
    }
    text.push_str(partial);
    text.into_bytes()
}
