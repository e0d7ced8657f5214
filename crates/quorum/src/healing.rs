use std::time::Duration;

use base::{HostId, LogIndex, MonotonicTime};

use crate::{FolderId, Progress, Role, Status, VoterSet};

/// How a leader changes the voters without an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealingSettings {
    /// Disks that may be lost at once without losing what was committed.
    pub lost_disks: usize,
    /// Time without a word after which a voter may be replaced by a host that follows the log.
    pub silence: Duration,
    /// Time without a word after which a host is not taken in.
    pub hearing: Duration,
    /// Entries that a host may lack when it is taken in.
    pub lag: u64,
}

impl Default for HealingSettings {
    fn default() -> Self {
        Self {
            lost_disks: 0,
            silence: Duration::from_secs(2),
            hearing: Duration::from_millis(500),
            lag: 32,
        }
    }
}

impl HealingSettings {
    /// Returns the number of voters wanted.
    ///
    /// A majority of so many holds one copy more than disks may be lost.
    pub fn target(&self) -> usize {
        2 * self.lost_disks + 1
    }

    /// Returns the fewest voters whose majority outlives the disks that may be lost.
    pub fn fewest(&self) -> usize {
        (2 * self.lost_disks).max(1)
    }
}

/// What a leader that has led for `led` sees of the others at `now`.
#[derive(Clone, Copy, Debug)]
pub struct LeaderView<'a> {
    /// The leader's status.
    pub status: &'a Status,
    /// The leader's host.
    pub me: &'a HostId,
    /// The time.
    pub now: MonotonicTime,
    /// How long it has led.
    pub led: Duration,
}

/// Returns the voters to change to, one host more or less, or nothing if all is well.
///
/// A host that came back with another folder is taken out and then in again. A silent voter is
/// replaced only by a host that follows the log already. No change leaves fewer voters than
/// [`HealingSettings::fewest`], or too few that answer to commit the next change.
pub fn next_voters(view: &LeaderView<'_>, settings: &HealingSettings) -> Option<VoterSet> {
    let status = view.status;
    if status.role != Role::Leader || !status.voters_committed {
        return None;
    }
    let voters = status.voters.folders.len();
    if voters < settings.target()
        && let Some((host, folder)) = view.spare(settings)
    {
        return Some(with(&status.voters, host, folder));
    }
    let replaced = view.voters().find(|(host, folder)| view.has_other_folder(host, **folder));
    let silent = || view.voters().find(|(host, _)| view.is_silent(host, settings));
    let is_spared = settings.target() < voters || view.spare(settings).is_some();
    let leaving = replaced.or_else(|| if is_spared { silent() } else { None })?.0;
    let next = without(&status.voters, leaving);
    let stays_safe = settings.fewest() <= next.folders.len();
    (stays_safe && view.can_commit(&next, settings)).then_some(next)
}

impl LeaderView<'_> {
    /// Returns the voters other than the leader.
    fn voters(&self) -> impl Iterator<Item = (&HostId, &FolderId)> {
        self.status.voters.folders.iter().filter(|(host, _)| *host != self.me)
    }

    /// Returns a host that follows the log and doesn't vote.
    fn spare(&self, settings: &HealingSettings) -> Option<(&HostId, FolderId)> {
        let wanted = self.status.commit.as_u64().saturating_sub(settings.lag);
        let followers = self.status.progress.iter().filter(|(host, progress)| {
            let votes = self.status.voters.folders.contains_key(*host);
            !votes
                && self.hears(progress, settings)
                && LogIndex::new(wanted.max(1)) <= progress.matched
        });
        followers.filter_map(|(host, progress)| Some((host, progress.folder?))).next()
    }

    fn has_other_folder(&self, host: &HostId, folder: FolderId) -> bool {
        let progress = self.status.progress.get(host);
        progress.and_then(|progress| progress.folder).is_some_and(|answered| answered != folder)
    }

    fn hears(&self, progress: &Progress, settings: &HealingSettings) -> bool {
        let heard = progress.heard.map(|heard| self.now.saturating_since(heard));
        heard.is_some_and(|ago| ago < settings.hearing)
    }

    fn is_silent(&self, host: &HostId, settings: &HealingSettings) -> bool {
        let heard = self.status.progress.get(host).and_then(|progress| progress.heard);
        let ago = heard.map_or(self.led, |heard| self.now.saturating_since(heard).min(self.led));
        settings.silence <= ago
    }

    /// Returns whether a majority of `voters` answers from the right folder.
    fn can_commit(&self, voters: &VoterSet, settings: &HealingSettings) -> bool {
        let answering = voters.folders.iter().filter(|(host, folder)| {
            *host == self.me
                || self.status.progress.get(*host).is_some_and(|progress| {
                    progress.folder == Some(**folder) && self.hears(progress, settings)
                })
        });
        voters.majority() <= answering.count()
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
