use std::time::Duration;

use base::{ByteCount, EndpointId, Incarnation, MonotonicTime};
use prefix::{
    BlockHash, Chain, HotPrefixes, IndexSettings, PrefixMatches, Replication, Slot, WarmIndex,
};

/// Most memory for what is believed of the engines' caches.
const INDEX_MEMORY: ByteCount = ByteCount::new(64 << 20);

/// Prefixes whose rate of requests is followed.
const HOT_PREFIXES: usize = 4_096;

/// Time over which a prefix's rate of requests is averaged.
const HOT_WINDOW: Duration = Duration::from_secs(5);

/// What this router believes of the engines' caches, and how hot prefixes are.
pub(super) struct PrefixWarmth {
    index: WarmIndex,
    hot: HotPrefixes,
    replication: Replication,
    measured: PrefixMatches,
    routers: f64,
}

impl PrefixWarmth {
    /// Creates an empty memory; `seed` keeps callers from crowding a bucket of it.
    pub(super) fn new(seed: u64) -> Self {
        let settings = IndexSettings { memory: INDEX_MEMORY, seed, ..IndexSettings::default() };
        Self {
            index: WarmIndex::new(settings),
            hot: HotPrefixes::new(HOT_PREFIXES, HOT_WINDOW),
            replication: Replication::default(),
            measured: PrefixMatches::default(),
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
    pub(super) fn bind(&mut self, endpoint: &EndpointId, life: Incarnation) -> Option<Slot> {
        self.index.bind(endpoint, life)
    }

    /// Forgets an engine.
    pub(super) fn unbind(&mut self, endpoint: &EndpointId) {
        self.index.unbind(endpoint);
    }

    /// Counts a request for `prefix` and returns how many homes the prefix has now.
    pub(super) fn count(&mut self, now: MonotonicTime, prefix: BlockHash) -> u32 {
        let own_rate = self.hot.record(now, prefix);
        self.replication.homes(own_rate * self.routers)
    }

    /// Returns how many homes a prefix has now.
    pub(super) fn homes(&self, now: MonotonicTime, prefix: BlockHash) -> u32 {
        self.replication.homes(self.hot.rate(now, prefix) * self.routers)
    }

    /// Finds how much of `chain` each engine is believed to hold.
    pub(super) fn measure(&mut self, now: MonotonicTime, chain: &Chain) {
        self.index.match_prefix(now, chain, &mut self.measured);
    }

    /// Returns the blocks that the last measurement found at an engine.
    pub(super) fn blocks(&self, slot: Slot) -> usize {
        self.measured.blocks(slot)
    }

    /// Learns that a request was sent.
    pub(super) fn sent(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain) {
        self.index.record_sent(now, slot, chain);
    }

    /// Learns that a request failed, so that what it was to leave behind may be missing.
    pub(super) fn failed(&mut self, now: MonotonicTime, slot: Slot, chain: &Chain, held: usize) {
        self.index.record_cached(now, slot, chain, held);
    }

    /// Learns how much of a prompt an engine had cached.
    pub(super) fn answered(
        &mut self,
        now: MonotonicTime,
        slot: Slot,
        chain: &Chain,
        believed: usize,
        cached: usize,
    ) {
        self.index.record_response(now, slot, chain, believed, cached);
    }
}
