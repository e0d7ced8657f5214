use std::{collections::HashMap, hash::Hash};

use crate::QuotaReport;

/// The last report of each router that has been counted.
#[derive(Clone, Debug)]
pub(crate) struct CountedReports<R> {
    last: HashMap<R, (u64, u64)>,
}

impl<R> Default for CountedReports<R> {
    fn default() -> Self {
        Self { last: HashMap::new() }
    }
}

impl<R: Clone + Eq + Hash> CountedReports<R> {
    /// Returns whether a report is new, and records it.
    pub(crate) fn record(&mut self, router: &R, report: &QuotaReport) -> bool {
        let last = self.last.get(router);
        if last
            .is_some_and(|&(process, number)| process == report.process && report.number <= number)
        {
            return false;
        }
        self.last.insert(router.clone(), (report.process, report.number));
        true
    }
}
