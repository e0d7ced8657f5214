use std::{collections::HashMap, fmt, str::FromStr};

use base::{MonotonicTime, ParseError, TokenCount};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockHash;

/// The id of a prompt's part: parts with equal ids have equal text.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartId(u64);

impl PartId {
    /// Wraps a plain id.
    pub const fn new(id: u64) -> Self {
        Self(id)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("part id", text, "up to 16 hexadecimal digits");
        u64::from_str_radix(text, 16).map(Self).map_err(|_| invalid())
    }
}

/// A part of a prompt, with the id and the length that the caller supplied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the text.
    pub id: PartId,
    /// Length of the part.
    pub tokens: TokenCount,
}

/// A prompt in parts, each identified by a hash of itself and all parts before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartChain {
    parts: Vec<HashedPart>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HashedPart {
    hash: BlockHash,
    tokens: TokenCount,
}

impl PartChain {
    /// Hashes the parts in order; `salt` covers all fields that cached text depends on.
    pub fn new(salt: u64, parts: &[Part]) -> Self {
        let mut last = salt;
        let parts = parts
            .iter()
            .map(|part| {
                last = xxh3_64_with_seed(&part.id.0.to_le_bytes(), last);
                HashedPart { hash: BlockHash::new(last), tokens: part.tokens }
            })
            .collect();
        Self { parts }
    }

    /// Returns the length of the whole prompt.
    pub fn tokens(&self) -> TokenCount {
        total_tokens(&self.parts)
    }

    /// Returns the length of all parts but the last, which is specific to the request.
    pub fn shared_tokens(&self) -> TokenCount {
        total_tokens(self.shared())
    }

    /// Returns the hash of all parts that other requests may share, or `None` if there are none.
    pub fn shared_hash(&self) -> Option<BlockHash> {
        self.shared().last().map(|part| part.hash)
    }

    /// Returns the hash of the first part if other requests may share it.
    pub fn first_hash(&self) -> Option<BlockHash> {
        self.shared().first().map(|part| part.hash)
    }

    fn shared(&self) -> &[HashedPart] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }
}

fn total_tokens(parts: &[HashedPart]) -> TokenCount {
    TokenCount::new(parts.iter().map(|part| part.tokens.as_u64()).sum())
}

/// The parts that an engine is expected to have cached: an LRU model of its cache.
#[derive(Clone, Debug)]
pub struct PartCacheModel {
    capacity: u64,
    entries: HashMap<BlockHash, CachedPart>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    last_used: MonotonicTime,
}

impl PartCacheModel {
    /// Creates the model of an empty cache of `capacity` tokens.
    pub fn new(capacity: TokenCount) -> Self {
        Self { capacity: capacity.as_u64(), entries: HashMap::new(), tokens: 0 }
    }

    /// Returns whether all parts that other requests may share are expected to be cached.
    pub fn holds_shared(&self, chain: &PartChain) -> bool {
        chain.shared_tokens() <= self.warm_tokens(chain)
    }

    /// Returns the length of the prompt's leading parts that are expected to be cached.
    pub fn warm_tokens(&self, chain: &PartChain) -> TokenCount {
        let parts = chain.parts.iter();
        let warm = parts.take_while(|part| self.entries.contains_key(&part.hash));
        TokenCount::new(warm.map(|part| part.tokens.as_u64()).sum())
    }

    /// Records that the engine processed this prompt at `now`, and evicts the least recently used
    /// parts beyond the capacity.
    pub fn record(&mut self, now: MonotonicTime, chain: &PartChain) {
        for part in &chain.parts {
            let tokens = part.tokens.as_u64();
            let cached = CachedPart { tokens, last_used: now };
            self.tokens += tokens;
            if let Some(old) = self.entries.insert(part.hash, cached) {
                self.tokens -= old.tokens;
            }
        }
        while self.capacity < self.tokens {
            let oldest =
                self.entries.iter().min_by_key(|(hash, cached)| (cached.last_used, **hash));
            let Some((&hash, _)) = oldest else { return };
            if let Some(old) = self.entries.remove(&hash) {
                self.tokens -= old.tokens;
            }
        }
    }

    /// Removes all parts, as after a change of weights.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.tokens = 0;
    }
}
