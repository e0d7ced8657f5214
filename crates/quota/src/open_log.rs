use std::collections::{HashSet, VecDeque};

use crate::{OrganisationKey, QuotaView};

/// Largest number of changes that are kept; a router that has missed more gets the complete set.
const MAX_CHANGES: usize = 4_096;

/// The open organisations, and the latest changes of them.
#[derive(Clone, Debug)]
pub(crate) struct OpenLog {
    open: HashSet<OrganisationKey>,
    changes: VecDeque<OrganisationKey>,
    /// The position after the last change; positions start at 1, so 0 is that of a new follower.
    next: u64,
}

impl Default for OpenLog {
    fn default() -> Self {
        Self { open: HashSet::new(), changes: VecDeque::new(), next: 1 }
    }
}

impl OpenLog {
    pub(crate) fn is_open(&self, organisation: OrganisationKey) -> bool {
        self.open.contains(&organisation)
    }

    /// Records that an organisation is open or metered; returns whether that is a change.
    pub(crate) fn set(&mut self, organisation: OrganisationKey, is_open: bool) -> bool {
        let changed = match is_open {
            true => self.open.insert(organisation),
            false => self.open.remove(&organisation),
        };
        if changed {
            self.changes.push_back(organisation);
            self.next += 1;
            if MAX_CHANGES < self.changes.len() {
                self.changes.pop_front();
            }
        }
        changed
    }

    /// Returns what changed since a position, for routers of this number.
    pub(crate) fn since(&self, position: u64, routers: u32) -> QuotaView {
        let first = self.next - self.changes.len() as u64;
        let is_complete = !(first..=self.next).contains(&position) || position == 0;
        let changed: HashSet<_> = match is_complete {
            true => self.open.clone(),
            false => self.changes.range((position - first) as usize..).copied().collect(),
        };
        let (opened, metered) = changed.into_iter().partition(|key| self.is_open(*key));
        QuotaView { is_complete, opened, metered, next: self.next, routers }
    }
}
