use std::time::Duration;

use base::{ByteCount, EndpointId, Incarnation, MonotonicTime};
use prefix::{
    BlockHash, Chain, HotPrefixes, IndexSettings, PrefixMatches, Replication, Slot, WarmIndex,
};

/// Most memory of the index of cached prefixes.
const MAX_INDEX_BYTES: ByteCount = ByteCount::new(64 << 20);

/// Most prefixes whose request rate is tracked.
const MAX_HOT_PREFIXES: usize = 4_096;

/// Window over which a prefix's request rate is averaged.
const HOT_RATE_WINDOW: Duration = Duration::from_secs(5);

/// Tracks which prefixes engines are expected to have cached, and how often each is requested.
///
/// A prefix has one or more homes: the engines that rendezvous hashing assigns to it.
pub(super) struct PrefixTracker {
    index: WarmIndex,
    hot: HotPrefixes,
    replication: Replication,
    matches: PrefixMatches,
    routers: f64,
}

impl PrefixTracker {
    /// Creates an empty tracker; `seed` keeps callers from crowding one bucket of the index.
    pub(super) fn new(seed: u64) -> Self {
        let settings = IndexSettings { memory: MAX_INDEX_BYTES, seed, ..IndexSettings::default() };
        Self {
            index: WarmIndex::new(settings),
            hot: HotPrefixes::new(MAX_HOT_PREFIXES, HOT_RATE_WINDOW),
            replication: Replication::default(),
            matches: PrefixMatches::default(),
            routers: 1.0,
        }
    }

    /// Sets how many routers share the requests.
    pub(super) fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1) as f64;
    }

    /// Sets how many requests per second for one prefix each of its homes serves.
    pub(super) fn set_rate_per_home(&mut self, rate: f64) {
        self.replication.rate_per_home = rate;
    }

    /// Binds an engine's incarnation to a slot; the cache of a new one is expected to be empty.
    pub(super) fn bind(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<Slot> {
        self.index.bind(endpoint, incarnation)
    }

    /// Removes an engine.
    pub(super) fn unbind(&mut self, endpoint: &EndpointId) {
        self.index.unbind(endpoint);
    }

    /// Counts a request for `prefix` and returns how many homes the prefix has now.
    pub(super) fn record_request(&mut self, now: MonotonicTime, prefix: BlockHash) -> u32 {
        let own_rate = self.hot.record(now, prefix);
        self.replication.homes(own_rate * self.routers)
    }

    /// Returns how many homes a prefix has now.
    pub(super) fn home_count(&self, now: MonotonicTime, prefix: BlockHash) -> u32 {
        self.replication.homes(self.hot.rate(now, prefix) * self.routers)
    }

    /// Looks up how much of `chain` each engine is expected to have cached.
    pub(super) fn match_chain(&mut self, now: MonotonicTime, chain: &Chain) {
        self.index.match_prefix(now, chain, &mut self.matches);
    }

    /// Returns the blocks that the last lookup found for an engine.
    pub(super) fn matched_blocks(&self, slot: Slot) -> usize {
        self.matches.blocks(slot)
    }

    /// Records that a request was sent, whose blocks the engine will cache.
    pub(super) fn record_sent(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain) {
        self.index.record_sent(now, slot, chain);
    }

    /// Records that a request failed, so that the blocks it would have cached may be missing.
    pub(super) fn record_failure(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        cached_blocks: usize,
    ) {
        self.index.record_cached(now, slot, chain, cached_blocks);
    }

    /// Records how many blocks of a prompt an engine had cached, against those expected.
    pub(super) fn record_response(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        expected_blocks: usize,
        cached_blocks: usize,
    ) {
        self.index.record_response(now, slot, chain, expected_blocks, cached_blocks);
    }
}
