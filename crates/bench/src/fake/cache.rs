use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::{TOKEN_BYTES, token_count};

/// Tokens in a cached block.
pub const BLOCK_TOKENS: usize = 16;

/// An engine's cache of prompt prefixes: blocks, least recently used out first.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, Cached>,
    order: BTreeMap<u64, u64>,
    evicted: Vec<Evicted>,
}

#[derive(Debug)]
struct Cached {
    salt: Arc<str>,
    used: u64,
}

/// A block that no longer fitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evicted {
    /// The salt of its prompt.
    pub salt: Arc<str>,
    /// Its hash.
    pub block: u64,
}

/// Returns the hashes of a prompt's whole blocks; each names all blocks before it.
pub fn block_hashes(salt: &str, prompt: &[u8]) -> Vec<u64> {
    let mut last = xxh3_64_with_seed(salt.as_bytes(), 0);
    let blocks = prompt.chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    let hashes = blocks.map(|block| {
        last = xxh3_64_with_seed(block, last);
        last
    });
    hashes.collect()
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
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Looks a prompt up and caches its blocks; `computed` holds all blocks computed on the site.
    pub fn lookup_and_insert(
        &mut self,
        salt: &str,
        prompt: &[u8],
        computed: &mut HashSet<u64>,
    ) -> Lookup {
        let mut lookup = Lookup { prompt_tokens: token_count(prompt), ..Lookup::default() };
        let salt: Arc<str> = salt.into();
        let mut warm = true;
        self.evicted.clear();
        for block in block_hashes(&salt, prompt) {
            warm = warm && self.used.contains_key(&block);
            let first = computed.insert(block);
            match (warm, first) {
                (true, _) => lookup.cached_tokens += BLOCK_TOKENS as u64,
                (false, false) => lookup.wasted_tokens += BLOCK_TOKENS as u64,
                (false, true) => {}
            }
            self.touch(&salt, block);
        }
        lookup
    }

    /// Returns how many of the first `blocks` are cached under `salt`.
    pub fn leading(&self, salt: &str, blocks: &[u64]) -> usize {
        let is_held = |block: &&u64| self.used.get(block).is_some_and(|held| *held.salt == *salt);
        blocks.iter().take_while(is_held).count()
    }

    /// Caches blocks that were fetched.
    pub fn import(&mut self, salt: &str, blocks: &[u64]) {
        let salt: Arc<str> = salt.into();
        self.evicted.clear();
        for &block in blocks {
            self.touch(&salt, block);
        }
    }

    /// Takes the blocks that the last lookup or import evicted.
    pub fn take_evicted(&mut self) -> Vec<Evicted> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns how many blocks are cached.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn touch(&mut self, salt: &Arc<str>, block: u64) {
        self.clock += 1;
        let cached = Cached { salt: Arc::clone(salt), used: self.clock };
        if let Some(before) = self.used.insert(block, cached) {
            self.order.remove(&before.used);
        }
        self.order.insert(self.clock, block);
        while self.capacity < self.used.len() {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            let Some(Cached { salt, .. }) = self.used.remove(&oldest) else { return };
            self.evicted.push(Evicted { salt, block: oldest });
        }
    }
}
