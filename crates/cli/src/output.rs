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
        // A reader that closed the pipe, such as `head`, has what it wants.
        let _ = writeln!(io::stdout().lock(), "{}", text.trim_end_matches('\n'));
    }
}

/// Returns text from elsewhere without what a terminal would obey.
pub(crate) fn printable(text: &str) -> String {
    let is_plain = |c: char| c == '\n' || !c.is_control();
    text.chars().map(|c| if is_plain(c) { c } else { ' ' }).collect()
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("results have string keys and finite numbers")
}
