use std::{error, fmt};

/// A text that is not a valid value of the wanted type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    what: &'static str,
    text: String,
    allowed: &'static str,
}

impl ParseError {
    /// Describes `text`, which is no `what`, and what would be allowed.
    pub fn new(what: &'static str, text: &str, allowed: &'static str) -> Self {
        const SHOWN_CHARS: usize = 80;
        let text = text.chars().take(SHOWN_CHARS).collect();
        Self { what, text, allowed }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}; expected {}", self.text, self.what, self.allowed)
    }
}

impl error::Error for ParseError {}
