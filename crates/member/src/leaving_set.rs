use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, Incarnation, MonotonicTime};

use crate::IncarnationKey;

/// Time for which an incarnation is kept after its last report; longer than gossip takes to reach
/// all routers.
const DEFAULT_RETENTION: Duration = Duration::from_secs(30);

/// Leaving incarnations of endpoints, collected from the reports of several routers.
///
/// It bounds the time after which a leaving endpoint gets no more requests: gossip is probabilistic
/// and sometimes reaches a router seconds late.
#[derive(Clone, Debug)]
pub struct LeavingSet {
    retention: Duration,
    last_reported: BTreeMap<IncarnationKey, MonotonicTime>,
}

impl Default for LeavingSet {
    fn default() -> Self {
        Self::new(DEFAULT_RETENTION)
    }
}

impl LeavingSet {
    /// Creates an empty set that keeps an incarnation for `retention` after its last report.
    pub fn new(retention: Duration) -> Self {
        Self { retention, last_reported: BTreeMap::new() }
    }

    /// Adds the incarnations that a router reports; returns whether any of them is new.
    pub fn record_leaving(&mut self, now: MonotonicTime, keys: &[IncarnationKey]) -> bool {
        self.remove_expired(now);
        let before = self.last_reported.len();
        self.last_reported.extend(keys.iter().map(|key| (*key, now)));
        before < self.last_reported.len()
    }

    /// Returns whether an incarnation is leaving.
    pub fn contains(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        !self.last_reported.is_empty()
            && self.last_reported.contains_key(&IncarnationKey::new(endpoint, incarnation))
    }

    /// Returns the leaving incarnations, after removing those whose last report is too old.
    pub fn leaving(&mut self, now: MonotonicTime) -> Vec<IncarnationKey> {
        self.remove_expired(now);
        self.last_reported.keys().copied().collect()
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        let retention = self.retention;
        self.last_reported
            .retain(|_, last_reported| now.saturating_since(*last_reported) < retention);
    }
}
