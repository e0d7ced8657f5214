//! The fake engines' language model: each token is a hash of all text before it.

use xxhash_rust::xxh3::Xxh3;

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// Letters that tokens are made of; a token is a space and three of them.
const LETTERS: &[u8; 16] = b"abcdefghiklmnoru";

/// Iterator over the endless sequence of tokens that follows a prompt.
///
/// Generation is deterministic: continuing after a prompt and some of its tokens gives the same
/// tokens as an uninterrupted generation, as with a real model under greedy decoding.
#[derive(Clone)]
pub struct Generation {
    hasher: Xxh3,
}

impl Generation {
    /// Creates a generation that continues `text`.
    pub fn after(text: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(text);
        Self { hasher }
    }
}

impl Iterator for Generation {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        let hash = self.hasher.digest();
        let letter = |shift: u32| char::from(LETTERS[(hash >> shift) as usize % LETTERS.len()]);
        let token: String = [' ', letter(0), letter(8), letter(16)].into_iter().collect();
        self.hasher.update(token.as_bytes());
        Some(token)
    }
}

/// Returns the number of tokens in a text.
pub fn token_count(text: &[u8]) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}
