use std::time::Duration;

use base::MonotonicTime;

use crate::RetryBudget;

/// Whether a call may be made more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotence {
    /// Repeating the call has no further effect.
    Idempotent,
    /// The call may run at most once.
    NotIdempotent,
}

/// Bounds of a [`Hedge`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeSettings {
    /// Share of the calls that are answered before the delay.
    pub quantile: f64,
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay, and the first.
    pub max_delay: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        let min_delay = Duration::from_millis(5);
        Self { quantile: 0.95, min_delay, max_delay: Duration::from_secs(1) }
    }
}

/// What to do about a call that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send the call to a second endpoint too; the budget has been charged.
    Send,
    /// Ask again after this time.
    Wait(Duration),
    /// Wait for the first endpoint only.
    Never,
}

/// Decides when an idempotent call is sent to a second endpoint as well.
///
/// The delay follows a quantile of the times that calls take: each longer one raises it, each
/// shorter one lowers it by less, so that both balance at the quantile.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    delay: Duration,
}

/// Share by which one call moves the delay.
const STEP: f64 = 0.05;

impl Hedge {
    /// Creates the decision with the longest delay.
    pub fn new(settings: HedgeSettings) -> Self {
        Self { settings, delay: settings.max_delay }
    }

    /// Counts a call that took `took`.
    pub fn record(&mut self, took: Duration) {
        let HedgeSettings { quantile, min_delay, max_delay } = self.settings;
        let factor =
            if self.delay < took { 1.0 + STEP * quantile } else { 1.0 - STEP * (1.0 - quantile) };
        self.delay = self.delay.mul_f64(factor).min(max_delay).max(min_delay);
    }

    /// Returns the delay after which a call is hedged.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Decides about a call that was sent `waited` ago, charging `budget` if it is hedged.
    pub fn decide(
        &self,
        now: MonotonicTime,
        idempotence: Idempotence,
        waited: Duration,
        budget: &mut RetryBudget,
    ) -> HedgeDecision {
        if idempotence == Idempotence::NotIdempotent {
            return HedgeDecision::Never;
        }
        if waited < self.delay {
            return HedgeDecision::Wait(self.delay - waited);
        }
        if budget.try_spend(now) { HedgeDecision::Send } else { HedgeDecision::Never }
    }
}
