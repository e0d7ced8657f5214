use std::{collections::HashMap, hash::Hash, time::Duration};

use base::MonotonicTime;
use prefix::PartId;

use crate::{RequestFingerprint, Survival, Suspect};

/// Time for which a survival is kept; long enough for parts that are used now and then.
const RETENTION: Duration = Duration::from_secs(60);

/// Largest number of parts that are kept, and of requests.
const MAX_ENTRIES: usize = 4_096;

/// A router's record of the parts and the requests that endpoints have answered.
#[derive(Clone, Debug, Default)]
pub struct Survivals {
    parts: LatestTimes<PartId>,
    requests: LatestTimes<RequestFingerprint>,
}

impl Survivals {
    /// Records that an endpoint has answered a request with these parts or fingerprints.
    pub fn record(&mut self, now: MonotonicTime, survivors: impl IntoIterator<Item = Suspect>) {
        for survivor in survivors {
            match survivor {
                Suspect::Part(part) => self.parts.record(now, part),
                Suspect::Request(request) => self.requests.record(now, request),
            }
        }
    }

    /// Returns the latest survivals of these suspects.
    pub fn among(&self, now: MonotonicTime, suspects: &[Suspect]) -> Vec<Survival> {
        let survival = |&suspect: &Suspect| {
            let latest = match suspect {
                Suspect::Part(part) => self.parts.latest(part),
                Suspect::Request(request) => self.requests.latest(request),
            };
            let age = now.saturating_since(latest?);
            (age < RETENTION).then_some(Survival { suspect, age })
        };
        suspects.iter().filter_map(survival).collect()
    }
}

#[derive(Clone, Debug)]
struct LatestTimes<K> {
    latest: HashMap<K, MonotonicTime>,
}

impl<K> Default for LatestTimes<K> {
    fn default() -> Self {
        Self { latest: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> LatestTimes<K> {
    fn record(&mut self, now: MonotonicTime, key: K) {
        self.latest.insert(key, now);
        if MAX_ENTRIES < self.latest.len() {
            self.make_room();
        }
    }

    fn latest(&self, key: K) -> Option<MonotonicTime> {
        self.latest.get(&key).copied()
    }

    /// Removes the older half.
    fn make_room(&mut self) {
        let mut times: Vec<_> = self.latest.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median, _) = times.select_nth_unstable(middle);
        self.latest.retain(|_, at| median < *at);
    }
}
