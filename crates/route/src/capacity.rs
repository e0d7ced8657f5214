use std::time::Duration;

use base::MonotonicTime;

/// Bounds of a [`Capacity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacitySettings {
    /// Fewest requests under way at once.
    pub min: u32,
    /// Most requests under way at once.
    pub max: u32,
    /// Time to first token that the service is to keep.
    pub target: Duration,
    /// Shortest time between two reductions.
    pub pause: Duration,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            min: 4,
            max: 4_096,
            target: Duration::from_millis(790),
            pause: Duration::from_secs(1),
        }
    }
}

/// Estimates how many requests can be under way while the time to first token stays within its
/// target: additive increase, multiplicative decrease.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    settings: CapacitySettings,
    estimate: f64,
    reduced: Option<MonotonicTime>,
}

/// Factor of a reduction.
const REDUCTION: f64 = 0.9;

impl Capacity {
    /// Starts with `first` requests.
    pub fn new(first: u32, settings: CapacitySettings) -> Self {
        let estimate = f64::from(first.min(settings.max).max(settings.min));
        Self { settings, estimate, reduced: None }
    }

    /// Counts the time to first token of a request while `running` requests were under way, and
    /// returns the new estimate.
    pub fn record(&mut self, now: MonotonicTime, took: Duration, running: u32) -> u32 {
        if self.settings.target < took {
            self.reduce(now);
        } else if self.estimate <= f64::from(running) * 2.0 {
            self.estimate += 1.0 / self.estimate.max(1.0);
        }
        let CapacitySettings { min, max, .. } = self.settings;
        self.estimate = self.estimate.min(max.into()).max(min.into());
        self.requests()
    }

    /// Returns the estimate.
    pub fn requests(&self) -> u32 {
        self.estimate as u32
    }

    fn reduce(&mut self, now: MonotonicTime) {
        if self.reduced.is_some_and(|last| now < last + self.settings.pause) {
            return;
        }
        self.estimate *= REDUCTION;
        self.reduced = Some(now);
    }
}
