//! The leader's ledger of organisation quotas.

use std::{collections::HashMap, sync::Arc};

use base::{HostId, MonotonicTime};
use quota::{Answer, Bounds, Demand, Ledger, OrganisationKey, Quota, QuotaReport, QuotaView};

/// The names of limited organisations, with their quotas.
pub(crate) type QuotaList = Arc<[(Arc<str>, Quota)]>;

/// The quotas of the configuration, and the ledger of the term in which this host leads.
#[derive(Default)]
pub(super) struct Quotas {
    list: Option<QuotaList>,
    bounds: Bounds,
    names: HashMap<OrganisationKey, Arc<str>>,
    ledger: Option<Ledger<HostId>>,
}

impl Quotas {
    /// Sets the quotas of the configuration in force and this host's bounds; a list that is set
    /// already is ignored.
    pub(super) fn set(&mut self, now: MonotonicTime, list: QuotaList, bounds: Bounds) {
        if self.list.as_ref().is_some_and(|current| Arc::ptr_eq(current, &list)) {
            return;
        }
        let named = list.iter().map(|(name, _)| (OrganisationKey::of(name), Arc::clone(name)));
        self.names = named.collect();
        self.list = Some(list);
        self.bounds = bounds;
        self.apply(now);
    }

    /// Starts a term in which this host leads, with empty buckets.
    pub(super) fn start_term(&mut self, now: MonotonicTime) {
        self.ledger = Some(Ledger::new(now));
        self.apply(now);
    }

    /// Forgets the buckets, as this host no longer leads.
    pub(super) fn end_term(&mut self) {
        self.ledger = None;
    }

    /// Records a router's report.
    pub(super) fn record(&mut self, now: MonotonicTime, from: &HostId, report: &QuotaReport) {
        if let Some(ledger) = &mut self.ledger {
            ledger.record_report(now, from, report);
        }
    }

    /// Answers demands, if this host leads.
    pub(super) fn answer(&mut self, now: MonotonicTime, demands: &[Demand]) -> Option<Vec<Answer>> {
        Some(self.ledger.as_mut()?.answer(now, demands))
    }

    /// Logs changes of organisations; returns whether one became metered.
    pub(super) fn review(&mut self, now: MonotonicTime) -> bool {
        let Some(ledger) = &mut self.ledger else { return false };
        ledger.review(now);
        for (organisation, is_open) in ledger.take_changes() {
            let organisation = self.names.get(&organisation).map_or("-", |name| &**name);
            log::info!(organisation, metered = !is_open; "quota state changed");
        }
        ledger.take_metered()
    }

    /// Returns what changed since a follower's position, if there are quotas.
    pub(super) fn view(&self, position: u64) -> Option<QuotaView> {
        let ledger = self.ledger.as_ref().filter(|ledger| ledger.has_quotas())?;
        Some(ledger.view(position))
    }

    fn apply(&mut self, now: MonotonicTime) {
        let (Some(ledger), Some(list)) = (&mut self.ledger, &self.list) else { return };
        let keyed = list.iter().map(|(name, quota)| (OrganisationKey::of(name), *quota));
        ledger.set_bounds(self.bounds);
        ledger.set_quotas(now, keyed);
    }
}
