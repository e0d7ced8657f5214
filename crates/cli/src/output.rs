use std::io::{self, Write as _};

use serde::Serialize;

/// Prints results as JSON or as text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    pub(crate) fn print<T: Serialize>(self, value: &T, text: impl FnOnce() -> String) {
        let text = if self.json { to_json(value) } else { text() };
        // Errors are ignored: a reader such as `head` may have closed the pipe.
        let _ = writeln!(io::stdout().lock(), "{}", text.trim_end_matches('\n'));
    }
}

/// Replaces control characters except newlines with spaces, so that untrusted text can't control
/// the terminal.
pub(crate) fn printable(text: &str) -> String {
    let is_plain = |c: char| c == '\n' || !c.is_control();
    text.chars().map(|c| if is_plain(c) { c } else { ' ' }).collect()
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("results have string keys and finite numbers")
}
