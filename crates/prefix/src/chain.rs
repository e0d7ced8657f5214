use std::num::NonZeroUsize;

use base::{AdapterId, ModelId, OrganisationId, WeightsVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// The size of a prompt's blocks, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockBytes(NonZeroUsize);

impl BlockBytes {
    /// Wraps a size, unless it is zero.
    pub const fn new(bytes: usize) -> Option<Self> {
        match NonZeroUsize::new(bytes) {
            Some(bytes) => Some(Self(bytes)),
            None => None,
        }
    }

    /// Returns the size, in bytes.
    pub const fn as_usize(self) -> usize {
        self.0.get()
    }
}

/// A hash of everything but the prompt that must match for a cached block to be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Salt(u64);

impl Salt {
    /// Derives the salt from all fields that a cached block depends on.
    pub fn new(
        organisation: &OrganisationId,
        model: &ModelId,
        weights: &WeightsVersion,
        adapter: Option<&AdapterId>,
    ) -> Self {
        let adapter = adapter.map_or("", AdapterId::as_str);
        let mut hasher = Xxh3::new();
        for field in [organisation.as_str(), model.as_str(), weights.as_str(), adapter] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        Self(hasher.digest())
    }

    /// Returns the salt as a number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// The identity of a block and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockHash(u64);

impl BlockHash {
    /// Wraps a hash received from an engine.
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash as a number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// The hashes of a prompt's whole blocks, first to last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    blocks: Vec<BlockHash>,
}

impl Chain {
    /// Hashes the whole blocks of `prompt` in one pass; an incomplete last block is ignored.
    pub fn of(salt: Salt, size: BlockBytes, prompt: &[u8]) -> Self {
        let mut last = salt.0;
        let blocks = prompt
            .chunks_exact(size.as_usize())
            .map(|block| {
                last = xxh3_64_with_seed(block, last);
                BlockHash(last)
            })
            .collect();
        Self { blocks }
    }

    /// Hashes a prompt given in parts as if they were concatenated; a block may span several parts.
    pub fn of_parts<'a>(
        salt: Salt,
        size: BlockBytes,
        parts: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut builder = ChainBuilder::new(salt.0, size);
        for part in parts {
            builder.push(part);
        }
        Self { blocks: builder.blocks }
    }

    /// Returns the hashes.
    pub fn blocks(&self) -> &[BlockHash] {
        &self.blocks
    }

    /// Returns the hash of the prompt's first `level` blocks, or of all blocks if there are fewer.
    pub fn at_level(&self, level: usize) -> Option<BlockHash> {
        let last = level.min(self.blocks.len()).checked_sub(1)?;
        Some(self.blocks[last])
    }
}

/// Hashes a prompt whose bytes arrive in parts.
struct ChainBuilder {
    blocks: Vec<BlockHash>,
    block_bytes: usize,
    last_hash: u64,
    filled_bytes: usize,
    hasher: Xxh3,
}

impl ChainBuilder {
    fn new(seed: u64, size: BlockBytes) -> Self {
        let hasher = Xxh3::with_seed(seed);
        Self {
            blocks: Vec::new(),
            block_bytes: size.as_usize(),
            last_hash: seed,
            filled_bytes: 0,
            hasher,
        }
    }

    fn push(&mut self, part: &[u8]) {
        let missing = (self.block_bytes - self.filled_bytes) % self.block_bytes;
        let (head, rest) = part.split_at(missing.min(part.len()));
        self.extend(head);
        let whole = rest.chunks_exact(self.block_bytes);
        let tail = whole.remainder();
        for block in whole {
            self.finish_block(xxh3_64_with_seed(block, self.last_hash));
        }
        self.extend(tail);
    }

    fn extend(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.filled_bytes == 0 {
            self.hasher = Xxh3::with_seed(self.last_hash);
        }
        self.hasher.update(bytes);
        self.filled_bytes += bytes.len();
        if self.filled_bytes == self.block_bytes {
            self.finish_block(self.hasher.digest());
        }
    }

    fn finish_block(&mut self, hash: u64) {
        self.last_hash = hash;
        self.filled_bytes = 0;
        self.blocks.push(BlockHash(hash));
    }
}
