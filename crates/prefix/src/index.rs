use std::time::Duration;

use base::{BlockCount, ByteCount, EndpointId, Incarnation, MonotonicTime, Sequence};

use crate::{
    BlockHash, CacheEvent, Chain, EventOutcome, Slot,
    slot::{SlotState, Slots},
    table::{Entry, MAX_HOLDERS, Table},
};

/// Bounds of a [`WarmIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexSettings {
    /// Maximum memory for entries.
    pub memory: ByteCount,
    /// Longest TTL of an entry, from the time it was recorded.
    pub max_ttl: Duration,
    /// Shortest TTL of an entry; also the TTL of entries recorded before a gap in the endpoint's
    /// events.
    pub min_ttl: Duration,
    /// Seed of the bucket hash; a random one keeps callers from provoking collisions.
    pub seed: u64,
}

impl Default for IndexSettings {
    fn default() -> Self {
        Self {
            memory: ByteCount::new(64 << 20),
            max_ttl: Duration::from_secs(60),
            min_ttl: Duration::from_secs(2),
            seed: 0,
        }
    }
}

/// Tracks which endpoints are expected to have which blocks cached.
///
/// Each pair of a block and an endpoint's incarnation is one entry of
/// [`ENTRY_BYTES`](Self::ENTRY_BYTES). Entries are recorded from this router's requests, from
/// engines' responses and from cache events. They expire after the endpoint's TTL, which shrinks
/// when a response shows that an expected block was evicted and grows when it confirms one.
///
/// After a gap in an endpoint's events, entries recorded before the gap expire after
/// [`IndexSettings::min_ttl`] at the latest, because the event that removed them may have been
/// lost. Entries recorded after the gap keep the full TTL.
///
/// A full index evicts the oldest of a small sample of entries.
#[derive(Clone, Debug)]
pub struct WarmIndex {
    table: Table,
    slots: Slots,
    settings: IndexSettings,
}

impl WarmIndex {
    /// Memory that one entry takes, in bytes.
    pub const ENTRY_BYTES: usize = Table::ENTRY_BYTES;

    /// Maximum number of endpoints tracked for one block.
    pub const MAX_HOLDERS: usize = MAX_HOLDERS;

    /// Creates an empty index and reserves its memory.
    pub fn new(settings: IndexSettings) -> Self {
        let capacity = settings.memory.as_u64() as usize / Self::ENTRY_BYTES;
        Self { table: Table::new(capacity, settings.seed), slots: Slots::default(), settings }
    }

    /// Binds `endpoint` to a slot; a new incarnation invalidates the entries of the old one.
    ///
    /// An older incarnation than the bound one is ignored. Returns `None` if 65,536 endpoints are
    /// bound.
    pub fn bind(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<Slot> {
        let ttl = duration_millis(self.settings.max_ttl);
        let Some(slot) = self.slots.get(endpoint) else {
            return self.slots.add(endpoint, incarnation, ttl);
        };
        let state = self.slots.live_mut(slot)?;
        if state.incarnation < incarnation {
            state.restart(incarnation, ttl);
        }
        self.slots.get(endpoint)
    }

    /// Returns the slot of `endpoint`.
    pub fn slot(&self, endpoint: &EndpointId) -> Option<Slot> {
        self.slots.get(endpoint)
    }

    /// Frees the slot of `endpoint` and invalidates its entries.
    pub fn unbind(&mut self, endpoint: &EndpointId) {
        self.slots.remove(endpoint);
    }

    /// Invalidates the endpoint's entries, as when it loads new weights.
    pub fn invalidate(&mut self, slot: Slot) {
        if let Some(state) = self.slots.live_mut(slot) {
            state.invalidate();
        }
    }

    /// Records that a request with `chain` was sent to the endpoint at `now`.
    pub fn record_sent(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain) {
        self.insert_blocks(now, slot, chain.blocks());
    }

    /// Records that the endpoint holds exactly the first `cached` blocks of `chain`.
    pub fn record_cached(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain, cached: usize) {
        let (present, missing) = chain.blocks().split_at(cached.min(chain.blocks().len()));
        self.insert_blocks(now, slot, present);
        self.remove_blocks(slot, missing);
    }

    /// Records the response to a request with `chain`: `expected` blocks were thought to be cached
    /// when it was sent, and `cached` were found.
    ///
    /// The endpoint holds the whole chain afterwards, because it computed the rest.
    pub fn record_response(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        expected: usize,
        cached: usize,
    ) {
        let min_ttl = duration_millis(self.settings.min_ttl);
        let max_ttl = duration_millis(self.settings.max_ttl);
        let Some(state) = self.slots.live_mut(slot) else { return };
        let ttl = match (cached < expected, expected == 0) {
            (true, _) => state.ttl / 4 * 3,
            (false, false) => state.ttl.saturating_add(max_ttl / 64),
            (false, true) => state.ttl,
        };
        state.ttl = ttl.min(max_ttl).max(min_ttl);
        self.insert_blocks(now, slot, chain.blocks());
    }

    /// Applies a cache event that an incarnation of the endpoint published.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        incarnation: Incarnation,
        sequence: Sequence,
        event: &CacheEvent,
    ) -> EventOutcome {
        let Some(state) = self.slots.live_mut(slot) else { return EventOutcome::Stale };
        let is_old = state.sequence.is_some_and(|last| sequence <= last);
        if state.incarnation != incarnation || is_old {
            return EventOutcome::Stale;
        }
        let in_order = state.sequence.is_none_or(|last| last.next() == sequence);
        state.sequence = Some(sequence);
        if !in_order {
            state.last_gap = Some(millis(now));
        }
        match event {
            CacheEvent::Stored(blocks) => self.insert_blocks(now, slot, blocks),
            CacheEvent::Removed(blocks) => self.remove_blocks(slot, blocks),
            CacheEvent::Cleared => state.invalidate(),
        }
        if in_order { EventOutcome::InOrder } else { EventOutcome::AfterGap }
    }

    /// Finds the longest prefix of `chain` that each endpoint is expected to hold, in one pass over
    /// the chain.
    pub fn match_prefix(&self, now: MonotonicTime, chain: &Chain, matches: &mut PrefixMatches) {
        matches.reset(self.slots.states().len());
        let now = millis(now);
        let min_ttl = duration_millis(self.settings.min_ttl);
        for (depth, &block) in (0..).zip(chain.blocks()) {
            let mut extended = false;
            for entry in self.table.holders(block) {
                let state = &self.slots.states()[usize::from(entry.slot)];
                if state.is_valid(now, &entry, min_ttl) {
                    extended |= matches.extend(entry.slot, depth);
                }
            }
            if !extended {
                return;
            }
        }
    }

    /// Returns the TTL of the endpoint's entries.
    pub fn ttl(&self, slot: Slot) -> Option<Duration> {
        self.slots.live(slot).map(|state| Duration::from_millis(state.ttl.into()))
    }

    /// Returns the number of entries, including invalid ones that have not been evicted yet.
    pub fn len(&self) -> BlockCount {
        BlockCount::new(self.table.len() as u64)
    }

    /// Returns whether the index has no entry.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// Returns the memory reserved for entries.
    pub fn memory(&self) -> ByteCount {
        ByteCount::new(self.table.bytes() as u64)
    }

    fn insert_blocks(&mut self, now: MonotonicTime, slot: Slot, blocks: &[BlockHash]) {
        let Some(&SlotState { generation, .. }) = self.slots.live(slot) else { return };
        for &block in blocks {
            self.table.insert(block, slot, generation, millis(now));
        }
    }

    fn remove_blocks(&mut self, slot: Slot, blocks: &[BlockHash]) {
        for &block in blocks {
            self.table.remove(block, slot);
        }
    }
}

impl SlotState {
    /// Returns whether `entry` is neither invalidated nor expired at `now`.
    fn is_valid(&self, now: u32, entry: &Entry, min_ttl: u32) -> bool {
        if self.generation != entry.generation {
            return false;
        }
        let age = now.wrapping_sub(entry.recorded_at);
        let predates_gap = self.last_gap.is_some_and(|gap| now.wrapping_sub(gap) < age);
        let ttl = if predates_gap { min_ttl } else { self.ttl };
        age < ttl
    }
}

/// The longest prefix of one chain that each endpoint is expected to hold; reused across requests.
#[derive(Clone, Debug, Default)]
pub struct PrefixMatches {
    blocks: Vec<u32>,
}

impl PrefixMatches {
    /// Returns the number of leading blocks that the endpoint is expected to hold.
    pub fn blocks(&self, slot: Slot) -> usize {
        self.blocks.get(slot.as_usize()).map_or(0, |&blocks| blocks as usize)
    }

    fn reset(&mut self, slots: usize) {
        self.blocks.clear();
        self.blocks.resize(slots, 0);
    }

    /// Counts the block at `depth` if the endpoint holds all blocks before it.
    fn extend(&mut self, slot: u16, depth: u32) -> bool {
        let blocks = &mut self.blocks[usize::from(slot)];
        let extends = *blocks == depth;
        if extends {
            *blocks += 1;
        }
        extends
    }
}

/// Returns the time in milliseconds since the clock's origin, modulo 2^32 (49 days).
fn millis(time: MonotonicTime) -> u32 {
    time.since_origin().as_millis() as u32
}

/// Returns a duration in milliseconds, at most 2^32 - 1.
fn duration_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
