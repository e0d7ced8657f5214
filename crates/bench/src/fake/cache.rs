use std::collections::{BTreeMap, HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::{TOKEN_BYTES, token_count};

/// Tokens in a cached block.
pub const BLOCK_TOKENS: usize = 16;

/// An engine's cache of prompt prefixes: blocks, least recently used out first.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

/// What a prompt found in the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that were cached.
    pub cached_tokens: u64,
    /// Tokens computed here that had been computed before, here or elsewhere.
    pub wasted_tokens: u64,
}

impl BlockCache {
    /// Creates a cache that holds `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, used: HashMap::new(), order: BTreeMap::new() }
    }

    /// Looks a prompt up and caches its blocks; `computed` holds all blocks computed on the site.
    pub fn take(&mut self, salt: &str, prompt: &[u8], computed: &mut HashSet<u64>) -> Lookup {
        let mut lookup = Lookup { prompt_tokens: token_count(prompt), ..Lookup::default() };
        let mut last = xxh3_64_with_seed(salt.as_bytes(), 0);
        let mut warm = true;
        for block in prompt.chunks_exact(BLOCK_TOKENS * TOKEN_BYTES) {
            last = xxh3_64_with_seed(block, last);
            warm = warm && self.used.contains_key(&last);
            let first = computed.insert(last);
            match (warm, first) {
                (true, _) => lookup.cached_tokens += BLOCK_TOKENS as u64,
                (false, false) => lookup.wasted_tokens += BLOCK_TOKENS as u64,
                (false, true) => {}
            }
            self.touch(last);
        }
        lookup
    }

    /// Returns how many blocks are cached.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
        while self.capacity < self.used.len() {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.used.remove(&oldest);
        }
    }
}
