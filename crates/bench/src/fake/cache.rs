use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::{TOKEN_BYTES, token_count};

/// Tokens in a cached block.
pub const BLOCK_TOKENS: usize = 16;

/// An engine's LRU cache of prompt prefix blocks.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, CachedBlock>,
    order: BTreeMap<u64, u64>,
    evicted: Vec<EvictedBlock>,
}

#[derive(Debug)]
struct CachedBlock {
    salt: Arc<str>,
    last_used: u64,
}

/// A block that was evicted from the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvictedBlock {
    /// The cache salt of its prompt.
    pub salt: Arc<str>,
    /// Its hash.
    pub block: u64,
}

/// Returns the hashes of a prompt's full blocks; each hash covers all blocks before it too.
pub fn block_hashes(salt: &str, prompt: &[u8]) -> Vec<u64> {
    let mut last = xxh3_64_with_seed(salt.as_bytes(), 0);
    let blocks = prompt.chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    let hashes = blocks.map(|block| {
        last = xxh3_64_with_seed(block, last);
        last
    });
    hashes.collect()
}

/// Result of a prompt's cache lookup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens that were cached.
    pub cached_tokens: u64,
    /// Number of tokens computed here that some engine had computed before.
    pub wasted_tokens: u64,
}

impl BlockCache {
    /// Creates a cache that holds `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Looks a prompt up and caches its blocks; `computed` holds every block computed on the site.
    pub fn lookup_and_insert(
        &mut self,
        salt: &str,
        prompt: &[u8],
        computed: &mut HashSet<u64>,
    ) -> Lookup {
        let mut lookup = Lookup { prompt_tokens: token_count(prompt), ..Lookup::default() };
        let salt: Arc<str> = salt.into();
        let mut cached = true;
        self.evicted.clear();
        for block in block_hashes(&salt, prompt) {
            cached = cached && self.blocks.contains_key(&block);
            let is_new = computed.insert(block);
            match (cached, is_new) {
                (true, _) => lookup.cached_tokens += BLOCK_TOKENS as u64,
                (false, false) => lookup.wasted_tokens += BLOCK_TOKENS as u64,
                (false, true) => {}
            }
            self.touch(&salt, block);
        }
        lookup
    }

    /// Returns how many leading blocks of `blocks` are cached under `salt`.
    pub fn prefix_len(&self, salt: &str, blocks: &[u64]) -> usize {
        let is_cached =
            |block: &&u64| self.blocks.get(block).is_some_and(|cached| *cached.salt == *salt);
        blocks.iter().take_while(is_cached).count()
    }

    /// Caches fetched blocks.
    pub fn import(&mut self, salt: &str, blocks: &[u64]) {
        let salt: Arc<str> = salt.into();
        self.evicted.clear();
        for &block in blocks {
            self.touch(&salt, block);
        }
    }

    /// Takes the blocks evicted by the last lookup or import.
    pub fn take_evicted(&mut self) -> Vec<EvictedBlock> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns how many blocks are cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn touch(&mut self, salt: &Arc<str>, block: u64) {
        self.clock += 1;
        let entry = CachedBlock { salt: Arc::clone(salt), last_used: self.clock };
        if let Some(previous) = self.blocks.insert(block, entry) {
            self.order.remove(&previous.last_used);
        }
        self.order.insert(self.clock, block);
        while self.capacity < self.blocks.len() {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            let Some(CachedBlock { salt, .. }) = self.blocks.remove(&oldest) else { return };
            self.evicted.push(EvictedBlock { salt, block: oldest });
        }
    }
}
