use std::collections::HashMap;

use base::{MonotonicTime, TokenCount};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockHash;

/// A part of a prompt that its caller has named and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name; equal names stand for equal text.
    pub id: u64,
    /// Its length.
    pub tokens: TokenCount,
}

/// A prompt in parts, each known by itself and all parts before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartChain {
    levels: Vec<Level>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Level {
    hash: BlockHash,
    tokens: TokenCount,
}

impl PartChain {
    /// Hashes the parts, first to last, from a salt of all that makes cached text valid.
    pub fn new(salt: u64, parts: &[Part]) -> Self {
        let mut last = salt;
        let levels = parts
            .iter()
            .map(|part| {
                last = xxh3_64_with_seed(&part.id.to_le_bytes(), last);
                Level { hash: BlockHash::new(last), tokens: part.tokens }
            })
            .collect();
        Self { levels }
    }

    /// Returns the length of the whole prompt.
    pub fn tokens(&self) -> TokenCount {
        sum(&self.levels)
    }

    /// Returns the length of all parts but the last, which belongs to the request itself.
    pub fn shared_tokens(&self) -> TokenCount {
        sum(self.shared())
    }

    /// Returns the hash of all parts that other requests may share, if there are any.
    pub fn shared_hash(&self) -> Option<BlockHash> {
        self.shared().last().map(|level| level.hash)
    }

    /// Returns the hash of the first part, if others share it.
    pub fn first_hash(&self) -> Option<BlockHash> {
        self.shared().first().map(|level| level.hash)
    }

    fn shared(&self) -> &[Level] {
        match self.levels.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }
}

fn sum(levels: &[Level]) -> TokenCount {
    TokenCount::new(levels.iter().map(|level| level.tokens.as_u64()).sum())
}

/// The parts that an engine is believed to hold, as far as its memory reaches.
#[derive(Clone, Debug)]
pub struct PartCacheModel {
    capacity: u64,
    held: HashMap<BlockHash, Held>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    used: MonotonicTime,
}

impl PartCacheModel {
    /// Creates the view of an empty memory for so many tokens.
    pub fn new(capacity: TokenCount) -> Self {
        Self { capacity: capacity.as_u64(), held: HashMap::new(), tokens: 0 }
    }

    /// Returns whether all parts of the prompt that others share are believed to be held.
    pub fn holds_shared(&self, chain: &PartChain) -> bool {
        chain.shared_tokens() <= self.warm_tokens(chain)
    }

    /// Returns how much of the prompt's beginning is believed to be held.
    pub fn warm_tokens(&self, chain: &PartChain) -> TokenCount {
        let levels = chain.levels.iter();
        let warm = levels.take_while(|level| self.held.contains_key(&level.hash));
        TokenCount::new(warm.map(|level| level.tokens.as_u64()).sum())
    }

    /// Notes that a request with this prompt was read at `now`; what was used least lately yields.
    pub fn record(&mut self, now: MonotonicTime, chain: &PartChain) {
        for level in &chain.levels {
            let tokens = level.tokens.as_u64();
            let held = Held { tokens, used: now };
            self.tokens += tokens;
            if let Some(old) = self.held.insert(level.hash, held) {
                self.tokens -= old.tokens;
            }
        }
        while self.capacity < self.tokens {
            let oldest = self.held.iter().min_by_key(|(hash, held)| (held.used, **hash));
            let Some((&hash, _)) = oldest else { return };
            if let Some(old) = self.held.remove(&hash) {
                self.tokens -= old.tokens;
            }
        }
    }

    /// Forgets everything, as after new weights.
    pub fn clear(&mut self) {
        self.held.clear();
        self.tokens = 0;
    }
}
