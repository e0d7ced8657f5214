//! The chunks of a streamed completion.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::BodyError;

/// The data of the event that ends a stream.
pub const DONE_MARKER: &str = "[DONE]";

/// A chunk of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk<'a> {
    /// The id of the completion, derived from the request's `X-Request-Id`.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The choices; the router requests one.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// The request's token usage, on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A chunk of one choice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice<'a> {
    /// The index of the choice.
    #[serde(default)]
    pub index: u32,
    /// The text, for text completions.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// The message delta, for chat completions.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta<'a>>,
    /// Why generation ended, on the choice's last chunk.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// A delta of a chat message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<'a> {
    /// The text.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
}

/// A request's token usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Details on the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Details on a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Prompt tokens that the engine had cached.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl<'a> Chunk<'a> {
    /// Parses a chunk from the data of an event.
    ///
    /// # Errors
    ///
    /// Returns an error that describes what is malformed.
    pub fn parse(data: &'a str) -> Result<Self, BodyError> {
        Ok(serde_json::from_str(data)?)
    }

    /// Returns whether the chunk belongs to the completion of `request`.
    ///
    /// Engines prefix the request's id with the kind of completion.
    pub fn belongs_to(&self, request: &str) -> bool {
        let id = self.id.as_ref();
        let id = id.strip_prefix("chatcmpl-").or_else(|| id.strip_prefix("cmpl-")).unwrap_or(id);
        id == request
    }

    /// Returns whether the chunk ends a choice or reports the token usage.
    pub fn is_tail(&self) -> bool {
        self.usage.is_some() || self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }

    /// Returns the text of the chunk's first choice.
    pub fn text(&self) -> Option<&str> {
        self.choices.first()?.text()
    }
}

impl Choice<'_> {
    /// Returns the chunk's text, for text and chat completions.
    pub fn text(&self) -> Option<&str> {
        let chat = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        self.text.as_deref().or(chat)
    }
}

impl Usage {
    /// Returns the usage of the whole response, of which earlier engines generated `tokens`; this
    /// engine counted them as part of the prompt.
    #[must_use]
    pub fn with_earlier_tokens(self, tokens: u64) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(tokens),
            completion_tokens: self.completion_tokens + tokens,
            ..self
        }
    }
}
