use std::time::Duration;

use base::MonotonicTime;

use crate::BlockHash;

/// Counters in each set of the estimator.
const COUNTERS_PER_SET: usize = 8;

/// Estimates how often prefixes are requested, in bounded memory.
///
/// Each prefix maps to one of a fixed number of sets with eight counters each. A counter decays
/// exponentially. A prefix without a counter replaces the lowest one of its set, so that a
/// frequently requested prefix keeps its counter.
#[derive(Clone, Debug)]
pub struct HotPrefixes {
    sets: Vec<[Counter; COUNTERS_PER_SET]>,
    window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    prefix: u64,
    count: f64,
    updated: MonotonicTime,
}

impl HotPrefixes {
    /// Creates an estimator with room for `capacity` prefixes, averaging over about `window`.
    ///
    /// # Panics
    ///
    /// Panics if `window` is zero.
    pub fn new(capacity: usize, window: Duration) -> Self {
        assert!(!window.is_zero(), "the window must not be zero");
        let sets = capacity.div_ceil(COUNTERS_PER_SET).max(1);
        Self { sets: vec![[Counter::default(); COUNTERS_PER_SET]; sets], window }
    }

    /// Counts a request for `prefix` at `now` and returns the prefix's rate per second.
    pub fn record(&mut self, now: MonotonicTime, prefix: BlockHash) -> f64 {
        let window = self.window;
        let set = self.set_of(prefix);
        let counters = &mut self.sets[set];
        let found = counters.iter().position(|c| c.prefix == prefix.as_u64());
        let way = found.unwrap_or_else(|| lowest_counter(counters, now, window));
        let before = found.map_or(0.0, |way| counters[way].at(now, window));
        let count = before + 1.0;
        counters[way] = Counter { prefix: prefix.as_u64(), count, updated: now };
        count / window.as_secs_f64()
    }

    /// Returns the rate of requests for `prefix` at `now`, per second.
    pub fn rate(&self, now: MonotonicTime, prefix: BlockHash) -> f64 {
        let counters = &self.sets[self.set_of(prefix)];
        let found = counters.iter().find(|c| c.prefix == prefix.as_u64());
        found.map_or(0.0, |c| c.at(now, self.window)) / self.window.as_secs_f64()
    }

    fn set_of(&self, prefix: BlockHash) -> usize {
        map_to_range(prefix.as_u64(), self.sets.len())
    }
}

impl Counter {
    fn at(&self, now: MonotonicTime, window: Duration) -> f64 {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.count * (-elapsed / window.as_secs_f64()).exp()
    }
}

fn lowest_counter(
    counters: &[Counter; COUNTERS_PER_SET],
    now: MonotonicTime,
    window: Duration,
) -> usize {
    let count = |way: &usize| counters[*way].at(now, window);
    (0..COUNTERS_PER_SET).min_by(|a, b| count(a).total_cmp(&count(b))).unwrap_or(0)
}

/// Maps a hash uniformly to `0..len`.
pub(crate) fn map_to_range(hash: u64, len: usize) -> usize {
    let product = u128::from(hash) * (len as u128);
    (product >> u64::BITS) as usize
}
