use std::{error, fmt};

/// Error returned for a body or message that can't be decoded or breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyError {
    message: String,
}

impl BodyError {
    pub(crate) fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for BodyError {}

impl From<serde_json::Error> for BodyError {
    fn from(e: serde_json::Error) -> Self {
        Self::new(e.to_string())
    }
}
