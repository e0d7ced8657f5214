use std::time::Duration;

use crate::{Cost, Quota};

/// Longest time for which a router relies on a view, whatever the bound allows.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Standard deviations of the sum of all local shares that the bound must cover.
const SHARE_DEVIATIONS: f64 = 3.0;

/// What may run for an organisation in any window: (rate × window + burst) × (1 + overage) + slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    window: Duration,
    overage: f64,
    slack: f64,
}

impl Default for Bounds {
    /// Returns the bound for 8 s, a tenth more than the quota, and 110,000 units.
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overage: 0.1, slack: 110_000.0 }
    }
}

impl Bounds {
    /// Creates the bound for a window, an overage as a share of the quota, and a slack in units.
    ///
    /// Returns `None` if the window is empty, or a number is negative or not finite.
    pub fn new(window: Duration, overage: f64, slack: f64) -> Option<Self> {
        let is_valid = |number: f64| number.is_finite() && 0.0 <= number;
        let are_valid = !window.is_zero() && is_valid(overage) && is_valid(slack);
        are_valid.then_some(Self { window, overage, slack })
    }

    /// Returns the units that may run in a window in addition to a quota: the largest debt of its
    /// bucket.
    pub fn allowance(&self, quota: &Quota) -> f64 {
        self.overage * (self.rated(quota) + quota.burst()) + self.slack
    }

    /// Returns the largest age of a view in which an organisation is open: consumption that the
    /// leader learns of later than this, at the quota's rate, would exceed the allowance.
    pub fn max_report_delay(&self, quota: &Quota) -> Duration {
        let delay = Duration::try_from_secs_f64(self.allowance(quota) / quota.rate());
        delay.unwrap_or(MAX_REPORT_DELAY).min(MAX_REPORT_DELAY)
    }

    /// Returns the share of a quota for one of some routers without a leader, for requests of this
    /// cost.
    ///
    /// Each router may be up to a request ahead of its share. The number of requests that all of them
    /// admit in a window varies like a binomial sum, by at most half a request per router or the root
    /// of the mean. The rate is lowered by the part of that which the allowance doesn't cover.
    pub(crate) fn local_share(&self, quota: &Quota, routers: u32, cost: Cost) -> Quota {
        let (rated, cost) = (self.rated(quota), cost.units().max(1.0));
        let variance = (f64::from(routers) / 4.0).min(rated / cost);
        let deviation = SHARE_DEVIATIONS * cost * variance.sqrt();
        let uncovered = (deviation - self.allowance(quota)).max(0.0);
        quota.share(routers, (1.0 - uncovered / rated).max(0.0))
    }

    /// Returns the units of a quota's rate in a window.
    fn rated(&self, quota: &Quota) -> f64 {
        quota.rate() * self.window.as_secs_f64()
    }
}
