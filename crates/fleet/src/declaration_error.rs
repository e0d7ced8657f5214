//! Errors in a declaration, with their positions.

use std::{error, fmt, ops::Range, sync::Arc};

use serde::{Deserialize, Serialize};

/// An error in a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationError {
    line: u32,
    column: u32,
    message: Arc<str>,
}

/// Maximum number of characters of a value that a message shows.
const MAX_SHOWN_CHARS: usize = 80;

impl DeclarationError {
    /// Returns the line, from 1.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Returns the column, from 1, in characters.
    pub fn column(&self) -> u32 {
        self.column
    }

    /// Converts an error of the TOML parser.
    pub(crate) fn from_toml(text: &str, e: &toml::de::Error) -> Self {
        let span = e.span().unwrap_or(0..0);
        let (key, value) = entry_at(text, &span);
        let message = e.message().trim();
        Self::new(text, span.start, &key, &value, message)
    }

    /// Creates an error for the value of `key` at `span`.
    pub(crate) fn at(text: &str, span: Range<usize>, key: &str, allowed: &str) -> Self {
        let value = text.get(span.clone()).unwrap_or_default();
        Self::new(text, span.start, key, value, &format!("expected {allowed}"))
    }

    /// Creates an error for `key`, which is within `span`.
    pub(crate) fn at_key(text: &str, span: Range<usize>, key: &str, allowed: &str) -> Self {
        let start = key_start(text, &span, key);
        let (_, value) = entry_at(text, &(start..start + key.len()));
        Self::new(text, start, key, &value, &format!("expected {allowed}"))
    }

    /// Creates an error for a text of `found` bytes.
    pub(crate) fn too_long(found: usize, max: usize) -> Self {
        let message = format!("the text has {found} bytes; expected at most {max}").into();
        Self { line: 1, column: 1, message }
    }

    fn new(text: &str, start: usize, key: &str, value: &str, problem: &str) -> Self {
        let before = text.get(..start).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() as u32 + 1;
        let column = before[line_start..].chars().count() as u32 + 1;
        let key: String = one_line(key);
        let value = one_line(value);
        let message = match (key.is_empty(), value.is_empty()) {
            (true, _) => problem.to_owned(),
            (false, true) => format!("key `{key}`: {problem}"),
            (false, false) => format!("key `{key}`, value `{value}`: {problem}"),
        };
        Self { line, column, message: message.into() }
    }
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {} column {}: {}", self.line, self.column, self.message)
    }
}

impl error::Error for DeclarationError {}

fn one_line(text: &str) -> String {
    text.trim().lines().next().unwrap_or_default().chars().take(MAX_SHOWN_CHARS).collect()
}

/// Returns the key and the value that `span` belongs to, in the line where it starts.
fn entry_at(text: &str, span: &Range<usize>) -> (String, String) {
    let spanned = text.get(span.clone()).unwrap_or_default();
    let before = text.get(..span.start).unwrap_or_default();
    let line = &before[before.rfind('\n').map_or(0, |newline| newline + 1)..];
    if let Some(equals) = line.rfind('=') {
        let key = line[..equals].rsplit(['{', ',']).next().unwrap_or_default();
        if line[equals..].find([',', '{']).is_none() {
            return (key.trim().to_owned(), spanned.to_owned());
        }
    }
    let after = text.get(span.end..).unwrap_or_default().lines().next().unwrap_or_default();
    let value = after.trim_start().strip_prefix('=').unwrap_or_default();
    (spanned.to_owned(), value.trim_end_matches('}').trim().to_owned())
}

/// Returns the position where `key` starts a line or an inline entry; a table's span may cover only
/// its header.
fn key_start(text: &str, span: &Range<usize>, key: &str) -> usize {
    let rest = text.get(span.start..).unwrap_or_default();
    let is_key = |position: usize| {
        let after = rest[position + key.len()..].trim_start();
        let before = rest[..position].trim_end_matches([' ', '\t']);
        after.starts_with('=') && (before.is_empty() || before.ends_with(['\n', '{', ',']))
    };
    rest.match_indices(key)
        .map(|(position, _)| position)
        .find(|position| is_key(*position))
        .map_or(span.start, |position| span.start + position)
}
