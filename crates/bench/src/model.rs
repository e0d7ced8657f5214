//! The fake engines' language model: each token follows from all text before it.

use xxhash_rust::xxh3::Xxh3;

/// Bytes of text in a token.
pub const TOKEN_BYTES: usize = 4;

/// Words that tokens are made of; each is a token long.
const LETTERS: &[u8; 16] = b"abcdefghiklmnoru";

/// The endless text that follows a prompt.
///
/// A text that goes on after a prompt and some of its tokens is the same as the uninterrupted one,
/// as with a real model that always takes the likeliest token.
#[derive(Clone)]
pub struct Generation {
    seen: Xxh3,
}

impl Generation {
    /// Starts after `text`.
    pub fn after(text: &[u8]) -> Self {
        let mut seen = Xxh3::new();
        seen.update(text);
        Self { seen }
    }
}

impl Iterator for Generation {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        let hash = self.seen.digest();
        let letter = |shift: u32| char::from(LETTERS[(hash >> shift) as usize % LETTERS.len()]);
        let token: String = [' ', letter(0), letter(8), letter(16)].into_iter().collect();
        self.seen.update(token.as_bytes());
        Some(token)
    }
}

/// Returns how many tokens a text has.
pub fn token_count(text: &[u8]) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}
