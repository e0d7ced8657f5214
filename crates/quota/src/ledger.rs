use std::{
    collections::{HashMap, HashSet},
    hash::Hash,
    time::Duration,
};

use base::MonotonicTime;

use crate::{
    Answer, Bounds, Cost, Demand, OrganisationKey, Quota, QuotaReport, QuotaView, bucket::Bucket,
    fill_clock::FillClock, open_log::OpenLog, reports::CountedReports,
};

/// Time since its last traffic for which an organisation may be open.
const TRAFFIC_RETENTION: Duration = Duration::from_secs(60);

/// Time between searches for organisations that may reopen or have no traffic.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest wait of a denial.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Longest wait of a denial.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The leader's token buckets, one for each limited organisation.
///
/// `R` identifies a router. The state belongs to one term: a new leader starts with a new ledger.
#[derive(Clone, Debug)]
pub struct Ledger<R> {
    bounds: Bounds,
    clock: FillClock<R>,
    buckets: HashMap<OrganisationKey, Bucket>,
    /// When the organisations with traffic had their last.
    active: HashMap<OrganisationKey, MonotonicTime>,
    open: OpenLog,
    reports: CountedReports<R>,
    next_review: MonotonicTime,
    /// Changes of organisations since the last [`Ledger::take_changes`], and whether each is open.
    changes: Vec<(OrganisationKey, bool)>,
    /// Whether an organisation became metered since the last [`Ledger::take_metered`].
    has_metered: bool,
}

impl<R: Clone + Eq + Hash> Ledger<R> {
    /// Creates a ledger without quotas for a term that starts at `now`, with the default bounds.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            bounds: Bounds::default(),
            clock: FillClock::new(now),
            buckets: HashMap::new(),
            active: HashMap::new(),
            open: OpenLog::default(),
            reports: CountedReports::default(),
            next_review: now,
            changes: Vec::new(),
            has_metered: false,
        }
    }

    /// Sets the bounds for the answers to come.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Sets the quotas of all limited organisations.
    ///
    /// A new organisation starts with an empty bucket; one that isn't listed is forgotten.
    pub fn set_quotas(
        &mut self,
        now: MonotonicTime,
        quotas: impl IntoIterator<Item = (OrganisationKey, Quota)>,
    ) {
        let at = self.clock.at(now);
        let mut earlier = std::mem::take(&mut self.buckets);
        for (organisation, quota) in quotas {
            let bucket = earlier.remove(&organisation);
            let mut bucket = bucket.unwrap_or_else(|| Bucket::new(quota, at));
            bucket.set_quota(at, quota);
            self.buckets.insert(organisation, bucket);
            self.meter_if_low(organisation, at);
        }
        for organisation in earlier.into_keys() {
            self.active.remove(&organisation);
            self.set_metered(organisation);
        }
    }

    /// Returns whether any organisation is limited.
    pub fn has_quotas(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Records a poll of a router that knows this number of routers.
    pub fn record_poll(&mut self, now: MonotonicTime, router: &R, routers: u32) {
        self.clock.record_poll(now, router, routers);
    }

    /// Takes what a router reports from the buckets, unless the report was counted before.
    pub fn record_report(&mut self, now: MonotonicTime, router: &R, report: &QuotaReport) {
        self.record_poll(now, router, report.routers);
        if report.costs.is_empty() || !self.reports.record(router, report) {
            return;
        }
        let at = self.clock.at(now);
        for reported in &report.costs {
            let Some(bucket) = self.buckets.get_mut(&reported.organisation) else { continue };
            bucket.take(at, reported.units as f64);
            self.active.insert(reported.organisation, now);
            self.meter_if_low(reported.organisation, at);
        }
    }

    /// Answers demands in order.
    ///
    /// Each is granted while the bucket is above zero and the debt that it leaves is within the
    /// bounds' allowance, so that expensive requests up to that cost aren't starved by cheap ones.
    pub fn answer(&mut self, now: MonotonicTime, demands: &[Demand]) -> Vec<Answer> {
        let at = self.clock.at(now);
        demands.iter().map(|demand| self.answer_one(now, at, demand)).collect()
    }

    fn answer_one(&mut self, now: MonotonicTime, at: f64, demand: &Demand) -> Answer {
        let Demand { organisation, cost } = *demand;
        // This host may apply a new limit slightly later than the router.
        let Some(bucket) = self.buckets.get_mut(&organisation) else { return Answer::Granted };
        self.active.insert(organisation, now);
        let max_debt = self.bounds.allowance(bucket.quota());
        if !bucket.try_take(at, cost, max_debt) {
            if bucket.is_above_zero() {
                let seconds = bucket.seconds_until(cost, max_debt);
                return Answer::TooLarge { wait: self.wait(seconds) };
            }
            // Holds for the organisation's cheaper requests as well.
            let seconds = bucket.seconds_until(Cost::default(), max_debt);
            return Answer::Denied { wait: self.wait(seconds) };
        }
        self.meter_if_low(organisation, at);
        Answer::Granted
    }

    /// Returns the expected time in which this much fill time passes.
    fn wait(&self, fill_seconds: f64) -> Duration {
        let wait = Duration::try_from_secs_f64(fill_seconds / self.clock.expected_speed())
            .unwrap_or(MAX_WAIT);
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Reopens organisations whose buckets have filled, and meters those without traffic.
    pub fn review(&mut self, now: MonotonicTime) {
        if now < self.next_review || self.active.is_empty() {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        let at = self.clock.at(now);
        let Self { active, buckets, open, changes, .. } = self;
        active.retain(|&organisation, last_traffic| {
            let is_active = now.saturating_since(*last_traffic) < TRAFFIC_RETENTION;
            let bucket = buckets.get_mut(&organisation);
            if !is_active {
                open.set(organisation, false);
            } else if bucket.is_some_and(|bucket| bucket.may_reopen(at))
                && open.set(organisation, true)
            {
                changes.push((organisation, true));
            }
            is_active
        });
    }

    /// Returns whether an organisation became metered since the last call; routers must learn of it
    /// at once.
    pub fn take_metered(&mut self) -> bool {
        std::mem::take(&mut self.has_metered)
    }

    /// Takes the organisations that became open or metered since the last call, and whether each is
    /// open; those without traffic aren't among them.
    pub fn take_changes(&mut self) -> Vec<(OrganisationKey, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns what changed of the open organisations since a router's position in this term; 0 is
    /// that of a router without a view.
    pub fn view(&self, position: u64) -> QuotaView {
        self.open.since(position, self.clock.known())
    }

    /// Returns the organisations with traffic in the last minute that are metered.
    pub fn metered(&self) -> HashSet<OrganisationKey> {
        self.active.keys().copied().filter(|key| !self.open.is_open(*key)).collect()
    }

    fn meter_if_low(&mut self, organisation: OrganisationKey, at: f64) {
        let bucket = self.buckets.get_mut(&organisation);
        if self.open.is_open(organisation) && bucket.is_none_or(|bucket| bucket.is_below_open(at)) {
            self.set_metered(organisation);
        }
    }

    fn set_metered(&mut self, organisation: OrganisationKey) {
        if self.open.set(organisation, false) {
            self.changes.push((organisation, false));
            self.has_metered = true;
        }
    }
}
