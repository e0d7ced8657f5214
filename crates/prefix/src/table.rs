use crate::{BlockHash, Slot, hot::map_to_range};

/// Marks the end of a linked list.
const NIL: u32 = u32::MAX;

/// Maximum number of endpoints tracked for one block; beyond it the oldest entry is replaced.
pub(crate) const MAX_HOLDERS: usize = 32;

/// Entries compared to find one to evict.
const EVICTION_SAMPLE: usize = 8;

/// Records that one endpoint holds one block.
#[derive(Clone, Copy, Debug)]
#[repr(C, packed(4))]
pub(crate) struct Entry {
    pub(crate) block: u64,
    /// When it was recorded, in milliseconds since the clock's origin, modulo 2^32.
    pub(crate) recorded_at: u32,
    pub(crate) slot: u16,
    pub(crate) generation: u16,
    next: u32,
}

/// Entries by block, in a fixed amount of memory: a hash table with a linked list per bucket.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    heads: Vec<u32>,
    entries: Vec<Entry>,
    capacity: usize,
    /// Where the search for an entry to evict starts.
    eviction_cursor: usize,
    /// Head of the list of free entries.
    free_head: u32,
    len: usize,
    seed: u64,
}

impl Table {
    /// Memory per entry, in bytes: the entry itself and its share of the buckets.
    pub(crate) const ENTRY_BYTES: usize = size_of::<Entry>() + size_of::<u32>();

    pub(crate) fn new(capacity: usize, seed: u64) -> Self {
        let capacity = capacity.clamp(1, NIL as usize - 1);
        Self {
            heads: vec![NIL; capacity],
            entries: Vec::with_capacity(capacity),
            capacity,
            eviction_cursor: 0,
            free_head: NIL,
            len: 0,
            seed,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn bytes(&self) -> usize {
        self.heads.capacity() * size_of::<u32>() + self.entries.capacity() * size_of::<Entry>()
    }

    /// Returns the entries of `block`, the most recently recorded first.
    pub(crate) fn holders(&self, block: BlockHash) -> impl Iterator<Item = Entry> + '_ {
        self.indices(block).map(|index| self.entries[index])
    }

    /// Returns the indices of the entries of `block`.
    fn indices(&self, block: BlockHash) -> impl Iterator<Item = usize> + '_ {
        let mut index = self.heads[self.bucket(block.as_u64())];
        std::iter::from_fn(move || {
            let found = (index != NIL).then_some(index as usize)?;
            index = self.entries[found].next;
            Some(found)
        })
        .filter(move |&index| self.entries[index].block == block.as_u64())
    }

    /// Inserts or refreshes the entry for `block` at `slot`.
    pub(crate) fn insert(
        &mut self,
        block: BlockHash,
        slot: Slot,
        generation: u16,
        recorded_at: u32,
    ) {
        let existing = self.indices(block).find(|&index| self.entries[index].slot == slot.number);
        let oldest_if_full = || self.indices(block).nth(MAX_HOLDERS - 1);
        if let Some(index) = existing.or_else(oldest_if_full) {
            let entry = &mut self.entries[index];
            entry.slot = slot.number;
            entry.generation = generation;
            entry.recorded_at = recorded_at;
            self.move_to_front(index);
            return;
        }
        let index = self.allocate(recorded_at);
        let bucket = self.bucket(block.as_u64());
        let next = self.heads[bucket];
        let entry =
            Entry { block: block.as_u64(), recorded_at, slot: slot.number, generation, next };
        match self.entries.get_mut(index) {
            Some(old) => *old = entry,
            None => self.entries.push(entry),
        }
        self.heads[bucket] = index as u32;
        self.len += 1;
    }

    /// Removes the entry for `block` at `slot`.
    pub(crate) fn remove(&mut self, block: BlockHash, slot: Slot) {
        let found = self.indices(block).find(|&index| self.entries[index].slot == slot.number);
        let Some(index) = found else { return };
        self.unlink(index);
        self.entries[index].next = self.free_head;
        self.free_head = index as u32;
    }

    /// Returns the index for a new entry, evicting another one if the table is full.
    fn allocate(&mut self, now: u32) -> usize {
        if self.free_head != NIL {
            let index = self.free_head as usize;
            self.free_head = self.entries[index].next;
            return index;
        }
        if self.entries.len() < self.capacity {
            return self.entries.len();
        }
        let index = self.oldest_after_cursor(now);
        self.eviction_cursor = (self.eviction_cursor + 1) % self.capacity;
        self.unlink(index);
        index
    }

    /// Returns the oldest of the entries that follow the cursor, so that a refreshed entry stays.
    fn oldest_after_cursor(&self, now: u32) -> usize {
        let indices = (self.eviction_cursor..self.eviction_cursor + EVICTION_SAMPLE)
            .map(|index| index % self.capacity);
        let age = |index: &usize| now.wrapping_sub(self.entries[*index].recorded_at);
        indices.rev().max_by_key(age).unwrap_or(self.eviction_cursor)
    }

    fn move_to_front(&mut self, index: usize) {
        self.unlink(index);
        let bucket = self.bucket(self.entries[index].block);
        self.entries[index].next = self.heads[bucket];
        self.heads[bucket] = index as u32;
        self.len += 1;
    }

    fn unlink(&mut self, index: usize) {
        let Entry { block, next, .. } = self.entries[index];
        let bucket = self.bucket(block);
        self.len -= 1;
        if self.heads[bucket] == index as u32 {
            self.heads[bucket] = next;
            return;
        }
        let mut previous = self.heads[bucket] as usize;
        while self.entries[previous].next != index as u32 {
            previous = self.entries[previous].next as usize;
        }
        self.entries[previous].next = next;
    }

    fn bucket(&self, block: u64) -> usize {
        map_to_range(mix(block ^ self.seed), self.heads.len())
    }
}

/// Multiplies by a constant and folds the product, so that the seed affects every bit.
fn mix(number: u64) -> u64 {
    const MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;
    let product = u128::from(number).wrapping_mul(MULTIPLIER);
    (product >> u64::BITS) as u64 ^ product as u64
}
