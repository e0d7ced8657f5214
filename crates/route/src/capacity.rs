use std::time::Duration;

use base::MonotonicTime;

use crate::window::Window;

/// Bounds of a [`CapacityEstimator`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// Minimum number of requests in flight.
    pub min: u32,
    /// Maximum number of requests in flight.
    pub max: u32,
    /// Target for the time to first token.
    pub target: Duration,
    /// Share of the requests that may miss the target without a reduction.
    pub tolerated_late_share: f64,
    /// Minimum interval between two reductions, and the length of the window of outcomes.
    pub min_reduction_interval: Duration,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            min: 4,
            max: 4_096,
            target: Duration::from_millis(790),
            tolerated_late_share: 0.05,
            min_reduction_interval: Duration::from_secs(1),
        }
    }
}

/// Estimates how many requests can be in flight while the time to first token stays within its
/// target, by additive increase and multiplicative decrease (AIMD).
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    settings: CapacitySettings,
    estimate: f64,
    outcomes: Window,
    reduced_at: Option<MonotonicTime>,
    /// Timely responses since the estimate last doubled.
    proofs: u32,
}

/// Minimum number of outcomes in the window before a reduction.
const MIN_OUTCOMES: u32 = 10;

/// Growth factor of a probe, while no limit is known.
const PROBE_GROWTH_FACTOR: f64 = 2.0;

/// Part of the target within which a first token proves the estimate. At twice the requests, which
/// is the next estimate, the time is still within the target.
const PROOF_TARGET_SHARE: f64 = 0.5;

/// Factor of one reduction.
const REDUCTION_FACTOR: f64 = 0.9;

impl CapacityEstimator {
    /// Creates an estimator that starts at `first` requests.
    pub fn new(first: u32, settings: CapacitySettings) -> Self {
        let estimate = f64::from(first.min(settings.max).max(settings.min));
        Self {
            settings,
            estimate,
            outcomes: Window::new(settings.min_reduction_interval),
            reduced_at: None,
            proofs: 0,
        }
    }

    /// Records the time to first token of a request while `running` requests were in flight, and
    /// returns the new estimate.
    pub fn record(&mut self, now: MonotonicTime, ttft: Duration, running: u32) -> u32 {
        let is_late = self.settings.target < ttft;
        let outcomes = self.outcomes.record(now, is_late);
        let tolerated_late = self.settings.tolerated_late_share * f64::from(outcomes.total);
        if is_late && MIN_OUTCOMES <= outcomes.total && tolerated_late < f64::from(outcomes.bad) {
            self.reduce(now);
        } else if !is_late && self.estimate <= f64::from(running) * 2.0 {
            self.estimate += 1.0 / self.estimate.max(1.0);
        }
        let CapacitySettings { min, max, .. } = self.settings;
        self.estimate = self.estimate.min(max.into()).max(min.into());
        self.requests()
    }

    /// Sets the minimum, as the capacity of endpoints becomes known, and returns the new estimate.
    pub fn set_min(&mut self, min: u32) -> u32 {
        self.settings.min = min.min(self.settings.max);
        self.estimate = self.estimate.max(self.settings.min.into());
        self.requests()
    }

    /// Grows the estimate at once if `running` is at least half of it and it was never reduced, and
    /// returns the new estimate.
    ///
    /// This finds the capacity of endpoints that have not shown a limit of their own.
    pub fn probe(&mut self, running: u32) -> u32 {
        if self.reduced_at.is_none() && self.estimate <= f64::from(running) * 2.0 {
            self.estimate = (self.estimate * PROBE_GROWTH_FACTOR).min(self.settings.max.into());
        }
        self.requests()
    }

    /// Records the time to first token of a request at endpoints that have not shown a limit, while
    /// `running` requests were in flight, and returns the new estimate.
    ///
    /// The estimate doubles by a [`probe`](Self::probe) after responses to half as many requests, which
    /// are those that the last doubling admitted (slow start). More might never come while the streams
    /// admitted before go on.
    pub fn record_proof(&mut self, ttft: Duration, running: u32) -> u32 {
        if self.settings.target.mul_f64(PROOF_TARGET_SHARE) < ttft {
            return self.requests();
        }
        self.proofs += 1;
        if self.proofs < self.requests() / 2 {
            return self.requests();
        }
        self.proofs = 0;
        self.probe(running)
    }

    /// Returns the estimated number of requests that can be in flight.
    pub fn requests(&self) -> u32 {
        self.estimate as u32
    }

    fn reduce(&mut self, now: MonotonicTime) {
        if self.reduced_at.is_some_and(|last| now < last + self.settings.min_reduction_interval) {
            return;
        }
        self.estimate *= REDUCTION_FACTOR;
        self.reduced_at = Some(now);
    }
}
