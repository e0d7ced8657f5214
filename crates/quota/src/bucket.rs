use crate::{Cost, Quota};

/// Level below which an open organisation becomes metered, as a share of the burst.
const METERED_BELOW: f64 = 0.5;

/// Level from which a metered organisation becomes open again, as a share of the burst.
const OPEN_FROM: f64 = 0.75;

/// An organisation's token bucket; times are fill times in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    quota: Quota,
    /// The level at `at`, in units; negative for a debt.
    level: f64,
    at: f64,
}

impl Bucket {
    pub(crate) fn new(quota: Quota, at: f64) -> Self {
        Self { quota, level: 0.0, at }
    }

    pub(crate) fn quota(&self) -> &Quota {
        &self.quota
    }

    /// Sets the quota; a level above the burst is clipped, and one in other units is reset.
    pub(crate) fn set_quota(&mut self, at: f64, quota: Quota) {
        self.fill(at);
        if self.quota.unit() != quota.unit() {
            self.level = 0.0;
        }
        self.level = self.level.min(quota.burst());
        self.quota = quota;
    }

    /// Takes a request's cost if the level is above zero and no larger debt than `max_debt` is left.
    pub(crate) fn try_take(&mut self, at: f64, cost: Cost, max_debt: f64) -> bool {
        self.fill(at);
        let may_take = self.is_above_zero() && cost.units() - self.level <= max_debt;
        if may_take {
            self.level -= cost.units();
        }
        may_take
    }

    /// Returns whether a request of a small cost may run, as of the last operation.
    pub(crate) fn is_above_zero(&self) -> bool {
        // A bucket without burst never rises above zero.
        0.0 < self.level || self.quota.burst() == 0.0 && 0.0 <= self.level
    }

    /// Takes units unconditionally; negative ones are returned.
    pub(crate) fn take(&mut self, at: f64, units: f64) {
        self.fill(at);
        self.level = (self.level - units).min(self.quota.burst());
    }

    /// Returns a request's cost.
    pub(crate) fn put_back(&mut self, cost: Cost) {
        self.level = (self.level + cost.units()).min(self.quota.burst());
    }

    /// Returns the fill time until the level is above zero and a request of this cost leaves no larger
    /// debt than `max_debt`, in seconds; infinite if that never is.
    pub(crate) fn seconds_until(&self, cost: Cost, max_debt: f64) -> f64 {
        let needed = (cost.units() - max_debt).max(0.0);
        if self.quota.burst() < needed {
            return f64::INFINITY;
        }
        ((needed - self.level) / self.quota.rate()).max(0.0)
    }

    pub(crate) fn is_below_open(&mut self, at: f64) -> bool {
        self.fill(at);
        !self.quota.may_open() || self.level < METERED_BELOW * self.quota.burst()
    }

    pub(crate) fn may_reopen(&mut self, at: f64) -> bool {
        self.fill(at);
        self.quota.may_open() && OPEN_FROM * self.quota.burst() <= self.level
    }

    fn fill(&mut self, at: f64) {
        let filled = self.level + self.quota.rate() * (at - self.at).max(0.0);
        self.level = filled.min(self.quota.burst());
        self.at = self.at.max(at);
    }
}
