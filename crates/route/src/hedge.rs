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
    /// Share of the calls whose response arrives before the delay.
    pub quantile: f64,
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay, which is also the initial one.
    pub max_delay: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        let min_delay = Duration::from_millis(5);
        Self { quantile: 0.95, min_delay, max_delay: Duration::from_secs(1) }
    }
}

/// What to do with a call that has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send the call to a second endpoint too; the budget has been charged.
    Send,
    /// Decide again after this time.
    Wait(Duration),
    /// Wait for the first endpoint only.
    Never,
}

/// Decides when an idempotent call is sent to a second endpoint as well.
///
/// The delay tracks a quantile of the calls' durations: each call that takes longer raises it, and
/// each shorter one lowers it by less, so that the two balance at the quantile.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    delay: Duration,
}

/// Step of the delay per call, as a share of it.
const DELAY_STEP: f64 = 0.05;

impl Hedge {
    /// Creates a hedge that starts with the longest delay.
    pub fn new(settings: HedgeSettings) -> Self {
        Self { settings, delay: settings.max_delay }
    }

    /// Records the duration of a call.
    pub fn record(&mut self, duration: Duration) {
        let HedgeSettings { quantile, min_delay, max_delay } = self.settings;
        let factor = if self.delay < duration {
            1.0 + DELAY_STEP * quantile
        } else {
            1.0 - DELAY_STEP * (1.0 - quantile)
        };
        self.delay = self.delay.mul_f64(factor).min(max_delay).max(min_delay);
    }

    /// Returns the delay after which a call is hedged.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Decides whether to hedge a call that was sent `waited` ago; charges `budget` if so.
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
