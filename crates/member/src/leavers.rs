use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, Incarnation, MonotonicTime};

use crate::IncarnationKey;

/// Time for which a life counts after the last word of it: longer than gossip takes to reach all.
const MEMORY: Duration = Duration::from_secs(30);

/// Lives of endpoints that are known to leave, from several routers' words.
///
/// It answers sites that promise when a leaving endpoint gets its last request: gossip reaches
/// every router soon, but by chance, and now and then one hears of it seconds late.
#[derive(Clone, Debug)]
pub struct LeavingSet {
    memory: Duration,
    heard: BTreeMap<IncarnationKey, MonotonicTime>,
}

impl Default for LeavingSet {
    fn default() -> Self {
        Self::new(MEMORY)
    }
}

impl LeavingSet {
    /// Creates an empty set that remembers a life for `memory` after the last word of it.
    pub fn new(memory: Duration) -> Self {
        Self { memory, heard: BTreeMap::new() }
    }

    /// Takes a router's word; returns whether any of the lives was not known to leave.
    pub fn record_leaving(&mut self, now: MonotonicTime, lives: &[IncarnationKey]) -> bool {
        self.forget(now);
        let before = self.heard.len();
        self.heard.extend(lives.iter().map(|life| (*life, now)));
        before < self.heard.len()
    }

    /// Returns whether a life is known to leave.
    pub fn contains(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        !self.heard.is_empty()
            && self.heard.contains_key(&IncarnationKey::new(endpoint, incarnation))
    }

    /// Returns the lives that leave, and forgets those not heard of for long.
    pub fn leaving(&mut self, now: MonotonicTime) -> Vec<IncarnationKey> {
        self.forget(now);
        self.heard.keys().copied().collect()
    }

    fn forget(&mut self, now: MonotonicTime) {
        let memory = self.memory;
        self.heard.retain(|_, heard| now.saturating_since(*heard) < memory);
    }
}
