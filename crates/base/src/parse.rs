use std::{error, fmt};

/// An error from parsing a text that is not a valid value of the target type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    type_name: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseError {
    /// Creates an error for an invalid `text` of a `type_name`; `expected` describes valid texts.
    pub fn new(type_name: &'static str, text: &str, expected: &'static str) -> Self {
        const MAX_SHOWN_CHARS: usize = 80;
        let text = text.chars().take(MAX_SHOWN_CHARS).collect();
        Self { type_name, text, expected }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}; expected {}", self.text, self.type_name, self.expected)
    }
}

impl error::Error for ParseError {}
