//! The pieces of a streamed completion.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::BodyError;

/// The data of the event that ends a stream.
pub const DONE_MARKER: &str = "[DONE]";

/// A piece of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk<'a> {
    /// The completion it belongs to, from the request's `X-Request-Id`.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The answers; the router asks for one.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// What the request took, on the last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A piece of one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice<'a> {
    /// Which answer.
    #[serde(default)]
    pub index: u32,
    /// The text, for completions.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// The text, for chat.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta<'a>>,
    /// Why the answer ended, on its last piece.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// A piece of a chat message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<'a> {
    /// The text.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
}

/// What a request took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
    /// How the prompt was taken.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// How a prompt was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens of the prompt that the engine had cached.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl<'a> Chunk<'a> {
    /// Reads a piece from the data of an event.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the data.
    pub fn parse(data: &'a str) -> Result<Self, BodyError> {
        Ok(serde_json::from_str(data)?)
    }

    /// Returns whether the piece belongs to the completion of `request`.
    ///
    /// Engines put the kind of completion before the request's id.
    pub fn belongs_to(&self, request: &str) -> bool {
        let id = self.id.as_ref();
        let id = id.strip_prefix("chatcmpl-").or_else(|| id.strip_prefix("cmpl-")).unwrap_or(id);
        id == request
    }

    /// Returns whether the piece ends an answer or tells what the request took.
    pub fn is_tail(&self) -> bool {
        self.usage.is_some() || self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }

    /// Returns the text of the piece's first answer.
    pub fn text(&self) -> Option<&str> {
        self.choices.first()?.text()
    }
}

impl Choice<'_> {
    /// Returns the piece's text, of completions as of chat.
    pub fn text(&self) -> Option<&str> {
        let chat = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        self.text.as_deref().or(chat)
    }
}

impl Usage {
    /// Returns what the whole answer took, of which earlier engines generated `tokens` that this
    /// engine was given as part of the prompt.
    #[must_use]
    pub fn with_earlier_tokens(self, tokens: u64) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(tokens),
            completion_tokens: self.completion_tokens + tokens,
            ..self
        }
    }
}
