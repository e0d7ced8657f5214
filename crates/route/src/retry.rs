use std::time::Duration;

use base::MonotonicTime;
use rand::{Rng, RngExt as _};

/// Bounds of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Retries per second that are added without any requests.
    pub min_rate: f64,
    /// Maximum number of retries in the budget.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { ratio: 0.1, min_rate: 1.0, burst: 20.0 }
    }
}

/// Limits retries and hedged requests to a share of the requests, so that failures do not multiply
/// the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    tokens: f64,
    updated: MonotonicTime,
}

impl RetryBudget {
    /// Creates a full budget at `now`.
    pub fn new(now: MonotonicTime, settings: BudgetSettings) -> Self {
        Self { settings, tokens: settings.burst, updated: now }
    }

    /// Sets the number of retries that each request adds from now on.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.settings.ratio = ratio;
    }

    /// Replaces the bounds; retries beyond the new maximum are discarded.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.tokens = self.tokens.min(settings.burst);
    }

    /// Counts a request that is not a retry.
    pub fn earn(&mut self, now: MonotonicTime) {
        self.refill(now);
        self.add(self.settings.ratio);
    }

    /// Takes one retry from the budget; returns `false` if there is none.
    pub fn try_spend(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes one retry if that leaves a reserve for callers that need retries more; the reserve is
    /// a part of the maximum budget.
    pub fn try_spend_above_reserve(&mut self, now: MonotonicTime, reserved_share: f64) -> bool {
        self.refill(now);
        let reserve = (self.settings.burst * reserved_share).min(self.settings.burst - 1.0);
        if self.tokens < reserve + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.add(elapsed * self.settings.min_rate);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.burst);
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(10), max: Duration::from_secs(1) }
    }
}

impl Backoff {
    /// Returns a random delay before retry number `attempt`, counted from 0.
    pub fn delay<R: Rng>(&self, attempt: u32, rng: &mut R) -> Duration {
        let factor = 2_u32.saturating_pow(attempt);
        let bound = self.base.saturating_mul(factor).min(self.max);
        bound.mul_f64(rng.random_range(0.0..=1.0))
    }
}
