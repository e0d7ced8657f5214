use std::time::Duration;

use base::{ByteCount, EndpointId, Incarnation, MonotonicTime};
use prefix::{BlockHash, Chain, HotPrefixes, IndexSettings, Replication, Slot, WarmIndex, Warmth};

/// Most memory for what is believed of the engines' caches.
const MAX_INDEX_BYTES: ByteCount = ByteCount::new(64 << 20);

/// Prefixes whose rate of requests is followed.
const MAX_HOT_PREFIXES: usize = 4_096;

/// Time over which a prefix's rate of requests is averaged.
const HOT_RATE_WINDOW: Duration = Duration::from_secs(5);

/// What this router believes of the engines' caches, and how hot prefixes are.
pub(super) struct PrefixTracker {
    index: WarmIndex,
    hot: HotPrefixes,
    replication: Replication,
    matches: Warmth,
    routers: f64,
}

impl PrefixTracker {
    /// Creates an empty memory; `seed` keeps callers from crowding a bucket of it.
    pub(super) fn new(seed: u64) -> Self {
        let settings = IndexSettings { memory: MAX_INDEX_BYTES, seed, ..IndexSettings::default() };
        Self {
            index: WarmIndex::new(settings),
            hot: HotPrefixes::new(MAX_HOT_PREFIXES, HOT_RATE_WINDOW),
            replication: Replication::default(),
            matches: Warmth::default(),
            routers: 1.0,
        }
    }

    /// Sets how many routers share the requests.
    pub(super) fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1) as f64;
    }

    /// Sets how many requests a second for one prefix a home takes.
    pub(super) fn set_rate_per_home(&mut self, rate: f64) {
        self.replication.rate_per_home = rate;
    }

    /// Binds an engine's life to a slot; a new life is believed to hold nothing.
    pub(super) fn bind(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<Slot> {
        self.index.bind(endpoint, incarnation)
    }

    /// Forgets an engine.
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

    /// Finds how much of `chain` each engine is believed to hold.
    pub(super) fn match_chain(&mut self, now: MonotonicTime, chain: &Chain) {
        self.index.warm_blocks(now, chain, &mut self.matches);
    }

    /// Returns the blocks that the last measurement found at an engine.
    pub(super) fn matched_blocks(&self, slot: Slot) -> usize {
        self.matches.blocks(slot)
    }

    /// Learns that a request was sent.
    pub(super) fn record_sent(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain) {
        self.index.learn_sent(now, slot, chain);
    }

    /// Learns that a request failed, so that what it was to leave behind may be missing.
    pub(super) fn record_failure(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        cached_blocks: usize,
    ) {
        self.index.learn_cached(now, slot, chain, cached_blocks);
    }

    /// Learns how much of a prompt an engine had cached.
    pub(super) fn record_response(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        expected_blocks: usize,
        cached_blocks: usize,
    ) {
        self.index.learn_answer(now, slot, chain, expected_blocks, cached_blocks);
    }
}
