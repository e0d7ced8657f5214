use std::time::Duration;

use base::MonotonicTime;

use crate::window::Window;

/// Bounds of a [`CapacityEstimator`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// Fewest requests under way at once.
    pub min: u32,
    /// Most requests under way at once.
    pub max: u32,
    /// Time to first token that the service is to keep.
    pub target: Duration,
    /// Share of the requests that may miss the target.
    pub tolerated: f64,
    /// Shortest time between two reductions, and the time over which requests count.
    pub pause: Duration,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            min: 4,
            max: 4_096,
            target: Duration::from_millis(790),
            tolerated: 0.05,
            pause: Duration::from_secs(1),
        }
    }
}

/// Estimates how many requests can be under way while the time to first token stays within its
/// target: additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    settings: CapacitySettings,
    estimate: f64,
    outcomes: Window,
    reduced: Option<MonotonicTime>,
}

/// Fewest requests that can lead to a reduction.
const MIN_OUTCOMES: u32 = 10;

/// Factor of growth while no bound is known.
const PROBE_GROWTH: f64 = 1.25;

/// Factor of a reduction.
const REDUCTION: f64 = 0.9;

impl CapacityEstimator {
    /// Starts with `first` requests.
    pub fn new(first: u32, settings: CapacitySettings) -> Self {
        let estimate = f64::from(first.min(settings.max).max(settings.min));
        Self { settings, estimate, outcomes: Window::new(settings.pause), reduced: None }
    }

    /// Counts the time to first token of a request while `running` requests were under way, and
    /// returns the new estimate.
    pub fn record(&mut self, now: MonotonicTime, took: Duration, running: u32) -> u32 {
        let is_late = self.settings.target < took;
        let outcomes = self.outcomes.record(now, is_late);
        let tolerated = self.settings.tolerated * f64::from(outcomes.total);
        if is_late && MIN_OUTCOMES <= outcomes.total && tolerated < f64::from(outcomes.bad) {
            self.reduce(now);
        } else if !is_late && self.estimate <= f64::from(running) * 2.0 {
            self.estimate += 1.0 / self.estimate.max(1.0);
        }
        let CapacitySettings { min, max, .. } = self.settings;
        self.estimate = self.estimate.min(max.into()).max(min.into());
        self.requests()
    }

    /// Sets the fewest requests under way at once, as what endpoints can carry becomes known, and
    /// returns the new estimate.
    pub fn set_min(&mut self, min: u32) -> u32 {
        self.settings.min = min.min(self.settings.max);
        self.estimate = self.estimate.max(self.settings.min.into());
        self.requests()
    }

    /// Grows the estimate at once if the `running` requests come near it and none was late so far,
    /// and returns the new one.
    ///
    /// It finds the capacity of endpoints that have shown no bound of their own.
    pub fn probe(&mut self, running: u32) -> u32 {
        if self.reduced.is_none() && self.estimate <= f64::from(running) * 2.0 {
            self.estimate = (self.estimate * PROBE_GROWTH).min(self.settings.max.into());
        }
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
