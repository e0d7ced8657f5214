//! Completion requests in the format of the OpenAI API.

use std::borrow::Cow;

use base::{AdapterId, CacheSalt, ModelId};
use serde_json::{Map, Value};

use crate::{
    BodyError,
    kv_transfer::{self, KvTransfer},
};

/// Separates the model from the adapter in a request's `model`.
const ADAPTER_SEPARATOR: char = '+';

/// Fields that limit the number of generated tokens.
const TOKEN_LIMIT_FIELDS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// Fields that prevent resumption, since the rest of the response depends on more than the text
/// before it.
const NON_RESUMABLE_FIELDS: [&str; 9] = [
    "best_of",
    "echo",
    "guided_choice",
    "guided_json",
    "guided_regex",
    "logprobs",
    "response_format",
    "structured_outputs",
    "tools",
];

/// A completion request; fields unknown to the router are forwarded unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    model: ModelId,
    adapter: Option<AdapterId>,
    kind: CompletionKind,
    stream: bool,
    max_tokens: Option<u64>,
    fields: Map<String, Value>,
}

/// The API of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `POST /v1/completions`, with a `prompt`.
    Text,
    /// `POST /v1/chat/completions`, with `messages`.
    Chat,
}

impl CompletionRequest {
    /// Parses a request from a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error that describes what is malformed, and where.
    pub fn from_slice(body: &[u8]) -> Result<Self, BodyError> {
        let Value::Object(fields) = serde_json::from_slice(body)? else {
            return Err(BodyError::new("the body must be a JSON object"));
        };
        let kind = completion_kind(&fields)?;
        let (model, adapter) = parse_model(&fields)?;
        let stream = optional_field(&fields, "stream", "true or false", Value::as_bool)?;
        let [max_tokens, max_completion_tokens] = TOKEN_LIMIT_FIELDS
            .map(|limit| optional_field(&fields, limit, "a non-negative integer", Value::as_u64));
        let max_tokens = max_tokens?.or(max_completion_tokens?);
        Ok(Self { model, adapter, kind, stream: stream.unwrap_or(false), max_tokens, fields })
    }

    /// Returns the requested model.
    pub fn model(&self) -> &ModelId {
        &self.model
    }

    /// Returns the requested adapter.
    pub fn adapter(&self) -> Option<&AdapterId> {
        self.adapter.as_ref()
    }

    /// Returns the API of the request.
    pub fn kind(&self) -> CompletionKind {
        self.kind
    }

    /// Returns whether the caller requests a streamed response.
    pub fn wants_stream(&self) -> bool {
        self.stream
    }

    /// Returns the caller's limit on generated tokens.
    pub fn max_tokens(&self) -> Option<u64> {
        self.max_tokens
    }

    /// Returns the prompt's parts in order; their concatenation identifies the prompt.
    pub fn prompt_parts(&self) -> Vec<Cow<'_, [u8]>> {
        match self.kind {
            CompletionKind::Text => match &self.fields["prompt"] {
                Value::String(text) => vec![Cow::Borrowed(text.as_bytes())],
                tokens => vec![Cow::Owned(token_bytes(tokens))],
            },
            CompletionKind::Chat => {
                let Value::Array(messages) = &self.fields["messages"] else { return Vec::new() };
                messages.iter().flat_map(message_parts).map(Cow::Borrowed).collect()
            }
        }
    }

    /// Encodes the request for an engine: always streamed, with `salt` and `priority` overriding
    /// the caller's, and continuing after the text already `delivered`.
    ///
    /// A caller's own transfer parameters are replaced by `transfer` or removed, since they could
    /// name blocks of another organisation.
    pub fn to_engine_body(
        &self,
        salt: &CacheSalt,
        priority: i32,
        delivered: &Delivered,
        transfer: Option<&KvTransfer>,
    ) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove(kv_transfer::PARAMS_FIELD);
        if let Some(transfer) = transfer {
            let params =
                serde_json::to_value(transfer).expect("KV transfer parameters serialise to JSON");
            fields.insert(kv_transfer::PARAMS_FIELD.into(), params);
        }
        fields.insert("stream".into(), true.into());
        fields.insert("stream_options".into(), serde_json::json!({"include_usage": true}));
        fields.insert("cache_salt".into(), salt.as_str().into());
        fields.insert("priority".into(), priority.into());
        if delivered.tokens != 0 {
            self.set_continuation(&mut fields, delivered);
        }
        Value::Object(fields).to_string().into_bytes()
    }

    fn set_continuation(&self, fields: &mut Map<String, Value>, delivered: &Delivered) {
        for limit in TOKEN_LIMIT_FIELDS {
            if let Some(max_tokens) = fields.get(limit).and_then(Value::as_u64) {
                let remaining = max_tokens.saturating_sub(delivered.tokens);
                fields.insert(limit.into(), remaining.into());
            }
        }
        match self.kind {
            CompletionKind::Text => continue_prompt(fields, &delivered.text),
            CompletionKind::Chat => continue_chat(fields, &delivered.text),
        }
    }

    fn is_set(&self, name: &str) -> bool {
        !matches!(self.fields.get(name), None | Some(Value::Null | Value::Bool(false)))
    }

    /// Returns whether another engine can continue the request after part of the response.
    pub fn can_continue(&self) -> bool {
        let single_choice = self.fields.get("n").is_none_or(|n| n == 1);
        let text_prompt = self.fields.get("prompt").is_none_or(Value::is_string);
        let non_resumable = NON_RESUMABLE_FIELDS.iter().any(|name| self.is_set(name));
        single_choice && text_prompt && !non_resumable
    }
}

/// The part of a response already delivered to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// Number of delivered tokens.
    pub tokens: u64,
    /// The delivered text.
    pub text: String,
}

fn continue_prompt(fields: &mut Map<String, Value>, delivered: &str) {
    if let Some(Value::String(prompt)) = fields.get_mut("prompt") {
        prompt.push_str(delivered);
    }
}

fn continue_chat(fields: &mut Map<String, Value>, delivered: &str) {
    if let Some(Value::Array(messages)) = fields.get_mut("messages") {
        messages.push(serde_json::json!({"role": "assistant", "content": delivered}));
    }
    fields.insert("continue_final_message".into(), true.into());
    fields.insert("add_generation_prompt".into(), false.into());
}

fn completion_kind(fields: &Map<String, Value>) -> Result<CompletionKind, BodyError> {
    match (fields.get("prompt"), fields.get("messages")) {
        (Some(prompt), None) => check_prompt(prompt).map(|()| CompletionKind::Text),
        (None, Some(messages)) => check_messages(messages).map(|()| CompletionKind::Chat),
        _ => Err(BodyError::new("expected either \"prompt\" or \"messages\"")),
    }
}

fn check_prompt(prompt: &Value) -> Result<(), BodyError> {
    let valid = match prompt {
        Value::String(_) => true,
        Value::Array(tokens) => tokens.iter().all(is_token),
        _ => false,
    };
    if !valid {
        return Err(BodyError::new("\"prompt\" must be a string or an array of token ids"));
    }
    Ok(())
}

fn is_token(token: &Value) -> bool {
    token.as_u64().is_some_and(|token| u32::try_from(token).is_ok())
}

fn check_messages(messages: &Value) -> Result<(), BodyError> {
    let Value::Array(messages) = messages else {
        return Err(BodyError::new("\"messages\" must be an array"));
    };
    let valid = !messages.is_empty() && messages.iter().all(is_message);
    if !valid {
        return Err(BodyError::new(
            "each of \"messages\" must have a string \"role\" and \"content\"",
        ));
    }
    Ok(())
}

fn is_message(message: &Value) -> bool {
    message["role"].is_string() && message["content"].is_string()
}

fn message_parts(message: &Value) -> [&[u8]; 4] {
    let role = message["role"].as_str().unwrap_or_default();
    let content = message["content"].as_str().unwrap_or_default();
    [role.as_bytes(), b"\n", content.as_bytes(), b"\n"]
}

fn token_bytes(tokens: &Value) -> Vec<u8> {
    let tokens = tokens.as_array().into_iter().flatten();
    tokens.filter_map(Value::as_u64).flat_map(|token| (token as u32).to_le_bytes()).collect()
}

fn parse_model(fields: &Map<String, Value>) -> Result<(ModelId, Option<AdapterId>), BodyError> {
    let Some(Value::String(text)) = fields.get("model") else {
        return Err(BodyError::new("\"model\" must be a string"));
    };
    let (model, adapter) = match text.split_once(ADAPTER_SEPARATOR) {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (text.as_str(), None),
    };
    let invalid = |e: base::ParseError| BodyError::new(format!("\"model\": {e}"));
    let adapter = adapter.map(str::parse).transpose().map_err(invalid)?;
    Ok((model.parse().map_err(invalid)?, adapter))
}

fn optional_field<T>(
    fields: &Map<String, Value>,
    name: &str,
    allowed: &str,
    read: fn(&Value) -> Option<T>,
) -> Result<Option<T>, BodyError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match read(value) {
            Some(value) => Ok(Some(value)),
            None => Err(BodyError::new(format!("\"{name}\" must be {allowed}"))),
        },
    }
}
