use std::time::Duration;

use base::{BlockCount, ByteCount, EndpointId, Incarnation, MonotonicTime, Sequence};

use crate::{
    Applied, BlockHash, CacheEvent, Chain, Slot,
    slot::{Slots, State},
    table::{Holding, MAX_HOLDERS, Table},
};

/// Bounds of a [`WarmIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexSettings {
    /// Most memory for holdings.
    pub memory: ByteCount,
    /// Longest time that a holding is believed after it was learnt.
    pub max_trust: Duration,
    /// Shortest time that a holding is believed, also after a gap in the endpoint's events.
    pub min_trust: Duration,
    /// Scatters blocks over buckets; a random one keeps callers from crowding a bucket.
    pub seed: u64,
}

impl Default for IndexSettings {
    fn default() -> Self {
        Self {
            memory: ByteCount::new(64 << 20),
            max_trust: Duration::from_secs(60),
            min_trust: Duration::from_secs(2),
            seed: 0,
        }
    }
}

/// Remembers which endpoints are believed to hold which blocks.
///
/// Each pair of a block and an endpoint's incarnation is one holding of
/// [`ENTRY_BYTES`](Self::ENTRY_BYTES). Holdings are learnt from own requests, from engines'
/// answers and from cache events, and are believed for a time: the endpoint's trust, which shrinks
/// when an answer shows a believed block gone and grows when it confirms one.
///
/// After a gap in an endpoint's events, what was learnt before is believed for no longer than
/// [`IndexSettings::min_trust`] since it was learnt, because its removal may have been lost. What
/// is learnt after the gap counts in full.
///
/// A full index evicts the oldest of a few holdings.
#[derive(Clone, Debug)]
pub struct WarmIndex {
    table: Table,
    slots: Slots,
    settings: IndexSettings,
}

impl WarmIndex {
    /// Memory that one holding takes, in bytes.
    pub const ENTRY_BYTES: usize = Table::ENTRY_BYTES;

    /// Most endpoints remembered for one block.
    pub const MAX_HOLDERS: usize = MAX_HOLDERS;

    /// Creates an empty index and reserves its memory.
    pub fn new(settings: IndexSettings) -> Self {
        let capacity = settings.memory.as_u64() as usize / Self::ENTRY_BYTES;
        Self { table: Table::new(capacity, settings.seed), slots: Slots::default(), settings }
    }

    /// Binds `endpoint` to a slot; a new incarnation voids what was learnt of the old one.
    ///
    /// An older incarnation than the one bound changes nothing. Returns `None` when 65,536
    /// endpoints are bound.
    pub fn bind(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<Slot> {
        let trust = span_millis(self.settings.max_trust);
        let Some(slot) = self.slots.of(endpoint) else {
            return self.slots.add(endpoint, incarnation, trust);
        };
        let state = self.slots.live_mut(slot)?;
        if state.incarnation < incarnation {
            state.restart(incarnation, trust);
        }
        self.slots.of(endpoint)
    }

    /// Returns the slot of `endpoint`.
    pub fn slot(&self, endpoint: &EndpointId) -> Option<Slot> {
        self.slots.of(endpoint)
    }

    /// Forgets `endpoint` and frees its slot.
    pub fn unbind(&mut self, endpoint: &EndpointId) {
        self.slots.remove(endpoint);
    }

    /// Voids what was learnt of the endpoint, as when it loads new weights.
    pub fn void(&mut self, slot: Slot) {
        if let Some(state) = self.slots.live_mut(slot) {
            state.void();
        }
    }

    /// Learns that a request with `chain` was sent to the endpoint at `now`.
    pub fn record_sent(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain) {
        self.store(now, slot, chain.blocks());
    }

    /// Learns that the endpoint holds exactly the first `cached` blocks of `chain`.
    pub fn record_cached(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain, cached: usize) {
        let (held, gone) = chain.blocks().split_at(cached.min(chain.blocks().len()));
        self.store(now, slot, held);
        self.erase(slot, gone);
    }

    /// Learns from the answer to a request with `chain`: when it was sent, `believed` blocks were
    /// expected, and `cached` were found.
    ///
    /// The whole chain is held after it, as the rest was computed.
    pub fn record_response(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        believed: usize,
        cached: usize,
    ) {
        let min_trust = span_millis(self.settings.min_trust);
        let max_trust = span_millis(self.settings.max_trust);
        let Some(state) = self.slots.live_mut(slot) else { return };
        let trust = match (cached < believed, believed == 0) {
            (true, _) => state.trust / 4 * 3,
            (false, false) => state.trust.saturating_add(max_trust / 64),
            (false, true) => state.trust,
        };
        state.trust = trust.min(max_trust).max(min_trust);
        self.store(now, slot, chain.blocks());
    }

    /// Applies a cache event that an incarnation of the endpoint published.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        incarnation: Incarnation,
        sequence: Sequence,
        event: &CacheEvent,
    ) -> Applied {
        let Some(state) = self.slots.live_mut(slot) else { return Applied::Stale };
        let is_old = state.sequence.is_some_and(|last| sequence <= last);
        if state.incarnation != incarnation || is_old {
            return Applied::Stale;
        }
        let in_order = state.sequence.is_none_or(|last| last.next() == sequence);
        state.sequence = Some(sequence);
        if !in_order {
            state.doubted_until = Some(millis(now));
        }
        match event {
            CacheEvent::Stored(blocks) => self.store(now, slot, blocks),
            CacheEvent::Removed(blocks) => self.erase(slot, blocks),
            CacheEvent::Cleared => state.void(),
        }
        if in_order { Applied::InOrder } else { Applied::AfterGap }
    }

    /// Finds the longest believed prefix of `chain` at every endpoint, in one walk over the chain.
    pub fn match_prefix(&self, now: MonotonicTime, chain: &Chain, warmth: &mut PrefixMatches) {
        warmth.reset(self.slots.states().len());
        let now = millis(now);
        let min_trust = span_millis(self.settings.min_trust);
        for (depth, &block) in (0..).zip(chain.blocks()) {
            let mut extended = false;
            for holding in self.table.holders(block) {
                let state = &self.slots.states()[usize::from(holding.slot)];
                if state.believes(now, &holding, min_trust) {
                    extended |= warmth.extend(holding.slot, depth);
                }
            }
            if !extended {
                return;
            }
        }
    }

    /// Returns how long a holding of the endpoint is believed.
    pub fn trust(&self, slot: Slot) -> Option<Duration> {
        self.slots.live(slot).map(|state| Duration::from_millis(state.trust.into()))
    }

    /// Returns the number of holdings, void ones that were not evicted yet included.
    pub fn len(&self) -> BlockCount {
        BlockCount::new(self.table.len() as u64)
    }

    /// Returns whether the index has no holding.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// Returns the memory reserved for holdings.
    pub fn memory(&self) -> ByteCount {
        ByteCount::new(self.table.bytes() as u64)
    }

    fn store(&mut self, now: MonotonicTime, slot: Slot, blocks: &[BlockHash]) {
        let Some(&State { generation, .. }) = self.slots.live(slot) else { return };
        for &block in blocks {
            self.table.insert(block, slot, generation, millis(now));
        }
    }

    fn erase(&mut self, slot: Slot, blocks: &[BlockHash]) {
        for &block in blocks {
            self.table.remove(block, slot);
        }
    }
}

impl State {
    /// Returns whether the endpoint is believed to hold the block at `now`.
    fn believes(&self, now: u32, holding: &Holding, min_trust: u32) -> bool {
        if self.generation != holding.generation {
            return false;
        }
        let age = now.wrapping_sub(holding.learnt);
        let is_doubted = self.doubted_until.is_some_and(|until| now.wrapping_sub(until) < age);
        let trust = if is_doubted { min_trust } else { self.trust };
        age < trust
    }
}

/// The longest believed prefix of one chain at each endpoint; reused from request to request.
#[derive(Clone, Debug, Default)]
pub struct PrefixMatches {
    blocks: Vec<u32>,
}

impl PrefixMatches {
    /// Returns the number of blocks that the endpoint is believed to hold.
    pub fn blocks(&self, slot: Slot) -> usize {
        self.blocks.get(slot.as_usize()).map_or(0, |&blocks| blocks as usize)
    }

    fn reset(&mut self, slots: usize) {
        self.blocks.clear();
        self.blocks.resize(slots, 0);
    }

    /// Counts the block at `depth` if all before it are held.
    fn extend(&mut self, number: u16, depth: u32) -> bool {
        let blocks = &mut self.blocks[usize::from(number)];
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

/// Returns a span in milliseconds, at most 2^32 - 1.
fn span_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
