use std::{collections::BTreeSet, time::Duration};

use base::{HostId, LogIndex, MonotonicTime};

use crate::{FolderId, Progress, Role, Status, VoterSet};

/// Settings for changes of voters without an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealingSettings {
    /// The number of disks that may be lost at once without losing committed entries.
    pub lost_disks: usize,
    /// Time without contact after which a voter may be replaced by a learner.
    pub replace_after: Duration,
    /// Time without contact after which a host is not added, and doesn't count as responsive.
    pub max_contact_age: Duration,
    /// Maximum entries that a host may lack when it is added.
    pub max_lag: u64,
}

impl Default for HealingSettings {
    fn default() -> Self {
        Self {
            lost_disks: 0,
            replace_after: Duration::from_secs(2),
            max_contact_age: Duration::from_millis(500),
            max_lag: 32,
        }
    }
}

impl HealingSettings {
    /// Returns the target number of voters.
    ///
    /// A majority of these is one more than the disks that may be lost.
    pub fn target_voters(&self) -> usize {
        2 * self.lost_disks + 1
    }

    /// Returns the minimum number of voters whose majority exceeds the disks that may be lost.
    pub fn min_voters(&self) -> usize {
        (2 * self.lost_disks).max(1)
    }

    /// Returns whether what `voters` commit outlives the disks that may be lost, and the rest can
    /// elect a leader that has it.
    ///
    /// Fewer voters than [`target_voters`](Self::target_voters) do only while one is replaced, as its
    /// disk is among the lost ones then: `were_complete` tells whether there were as many before.
    pub fn keeps_commits(&self, voters: usize, were_complete: bool) -> bool {
        self.target_voters() <= voters || were_complete && self.min_voters() <= voters
    }
}

/// A leader's view of the other hosts at a time.
#[derive(Clone, Copy, Debug)]
pub struct LeaderView<'a> {
    /// The leader's status.
    pub status: &'a Status,
    /// The leader's own host.
    pub me: &'a HostId,
    /// The current time.
    pub now: MonotonicTime,
    /// The time since it became the leader.
    pub leading_for: Duration,
}

/// Returns the next set of voters, one host more or less, or `None` if no change is due.
///
/// A host that returned with another folder is removed and then added again. An unresponsive voter
/// is replaced only by a learner that is up to date. No change leaves fewer voters than
/// [`HealingSettings::min_voters`], or too few responsive ones to commit the next change.
pub fn next_voters(view: &LeaderView<'_>, settings: &HealingSettings) -> Option<VoterSet> {
    let status = view.status;
    if status.role != Role::Leader || !status.voters_committed {
        return None;
    }
    let voters = status.voters.folders.len();
    if voters < settings.target_voters()
        && let Some((host, folder)) = view.find_spare(settings)
    {
        return Some(with(&status.voters, host, folder));
    }
    let replaced = view.voters().find(|(host, folder)| view.has_other_folder(host, **folder));
    let presumed_lost = || view.voters().find(|(host, _)| view.is_presumed_lost(host, settings));
    let may_remove_one = settings.target_voters() < voters || view.find_spare(settings).is_some();
    let leaving = replaced.or_else(|| if may_remove_one { presumed_lost() } else { None })?.0;
    let next = without(&status.voters, leaving);
    let stays_safe = settings.min_voters() <= next.folders.len();
    (stays_safe && view.can_commit(&next, settings)).then_some(next)
}

/// Returns the voters that take no part: those not heard from for
/// [`HealingSettings::replace_after`], and those whose host has another folder.
pub fn absent_voters(view: &LeaderView<'_>, settings: &HealingSettings) -> BTreeSet<HostId> {
    let is_absent = |(host, folder): &(&HostId, &FolderId)| {
        view.is_presumed_lost(host, settings) || view.has_other_folder(host, **folder)
    };
    view.voters().filter(is_absent).map(|(host, _)| host.clone()).collect()
}

impl LeaderView<'_> {
    /// Returns the voters other than the leader.
    fn voters(&self) -> impl Iterator<Item = (&HostId, &FolderId)> {
        self.status.voters.folders.iter().filter(|(host, _)| *host != self.me)
    }

    /// Returns a learner that is up to date and can be added as a voter.
    fn find_spare(&self, settings: &HealingSettings) -> Option<(&HostId, FolderId)> {
        let required = self.status.commit.as_u64().saturating_sub(settings.max_lag);
        let followers = self.status.progress.iter().filter(|(host, progress)| {
            let votes = self.status.voters.folders.contains_key(*host);
            !votes
                && self.is_responsive(progress, settings)
                && LogIndex::new(required.max(1)) <= progress.matched
        });
        followers.filter_map(|(host, progress)| Some((host, progress.folder?))).next()
    }

    fn has_other_folder(&self, host: &HostId, folder: FolderId) -> bool {
        let progress = self.status.progress.get(host);
        progress.and_then(|progress| progress.folder).is_some_and(|current| current != folder)
    }

    fn is_responsive(&self, progress: &Progress, settings: &HealingSettings) -> bool {
        let age = progress.last_contact.map(|contact| self.now.saturating_since(contact));
        age.is_some_and(|age| age < settings.max_contact_age)
    }

    fn is_presumed_lost(&self, host: &HostId, settings: &HealingSettings) -> bool {
        let contact = self.status.progress.get(host).and_then(|progress| progress.last_contact);
        let age = contact
            .map_or(self.leading_for, |at| self.now.saturating_since(at).min(self.leading_for));
        settings.replace_after <= age
    }

    /// Returns whether a majority of `voters` is responsive, with the right folder.
    fn can_commit(&self, voters: &VoterSet, settings: &HealingSettings) -> bool {
        let responsive = voters.folders.iter().filter(|(host, folder)| {
            *host == self.me
                || self.status.progress.get(*host).is_some_and(|progress| {
                    progress.folder == Some(**folder) && self.is_responsive(progress, settings)
                })
        });
        voters.majority() <= responsive.count()
    }
}

fn with(voters: &VoterSet, host: &HostId, folder: FolderId) -> VoterSet {
    let mut next = voters.clone();
    next.folders.insert(host.clone(), folder);
    next
}

fn without(voters: &VoterSet, host: &HostId) -> VoterSet {
    let mut next = voters.clone();
    next.folders.remove(host);
    next
}
