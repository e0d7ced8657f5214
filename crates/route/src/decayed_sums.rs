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
    /// Sum of the squares of the observed times.
    squares: f64,
}

impl DecayedSums {
    /// Creates sums without responses.
    pub(crate) fn new(now: MonotonicTime, half_life: Duration) -> Self {
        Self { half_life, at: now, count: 0.0, expected: 0.0, observed: 0.0, squares: 0.0 }
    }

    /// Adds responses.
    pub(crate) fn add<K>(&mut self, now: MonotonicTime, sums: &ResponseSums<K>) {
        self.decay(now);
        let (count, observed) = (f64::from(sums.count), sums.observed_us as f64);
        self.count += count;
        self.expected += sums.expected_us as f64;
        self.observed += observed;
        self.squares += observed * observed / count;
    }

    /// Decays the sums to `now`.
    pub(crate) fn decay(&mut self, now: MonotonicTime) {
        let age = now.saturating_since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        let share = (-age).exp2();
        self.at = self.at.max(now);
        self.count *= share;
        self.expected *= share;
        self.observed *= share;
        self.squares *= share;
    }

    /// Returns the number of responses.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// Returns the number of responses that determine the observed sum; a few long ones among many short
    /// ones count as few.
    pub(crate) fn effective_count(&self) -> f64 {
        if self.squares == 0.0 { 0.0 } else { self.observed * self.observed / self.squares }
    }

    /// Returns observed over expected time; not a number without responses.
    pub(crate) fn ratio(&self) -> f64 {
        self.observed / self.expected
    }
}
