use std::time::Duration;

use base::MonotonicTime;

use crate::ResponseSums;

/// Sums of response times in which older responses count less.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedSums {
    half_life: Duration,
    at: MonotonicTime,
    count: f64,
    expected: f64,
    observed: f64,
}

impl DecayedSums {
    /// Creates sums without responses.
    pub(crate) fn new(now: MonotonicTime, half_life: Duration) -> Self {
        Self { half_life, at: now, count: 0.0, expected: 0.0, observed: 0.0 }
    }

    /// Adds responses.
    pub(crate) fn add<K>(&mut self, now: MonotonicTime, sums: &ResponseSums<K>) {
        self.decay(now);
        self.count += f64::from(sums.count);
        self.expected += sums.expected_us as f64;
        self.observed += sums.observed_us as f64;
    }

    /// Decays the sums to `now`.
    pub(crate) fn decay(&mut self, now: MonotonicTime) {
        let age = now.saturating_since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        let share = (-age).exp2();
        self.at = self.at.max(now);
        self.count *= share;
        self.expected *= share;
        self.observed *= share;
    }

    /// Returns the number of responses.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// Returns observed over expected time; not a number without responses.
    pub(crate) fn ratio(&self) -> f64 {
        self.observed / self.expected
    }
}
