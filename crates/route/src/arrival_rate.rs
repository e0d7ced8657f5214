use std::time::Duration;

use base::MonotonicTime;

/// Time in which an arrival's weight decays to 1/e.
const DECAY: Duration = Duration::from_secs(4);

/// The rate of requests, over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    weight: f64,
    updated_at: MonotonicTime,
}

impl ArrivalRate {
    /// Records an arrival.
    pub fn record(&mut self, now: MonotonicTime) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the number of arrivals that are expected in `period`.
    pub fn expected_in(&self, now: MonotonicTime, period: Duration) -> f64 {
        self.weight_at(now) * period.as_secs_f64() / DECAY.as_secs_f64()
    }

    fn weight_at(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.updated_at).as_secs_f64();
        self.weight * (-age / DECAY.as_secs_f64()).exp()
    }
}
