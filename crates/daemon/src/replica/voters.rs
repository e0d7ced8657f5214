//! Changes of the voters, asked for or found due by the leader itself.

use std::time::Duration;

use base::{HostId, MonotonicTime};
use quorum::{HealingSettings, LeaderView, Node, Status, VoterSet, next_voters};
use rand_pcg::Pcg64Mcg;

/// Time between looks at whether the voters should change.
const HEALING_PERIOD: Duration = Duration::from_millis(100);

/// Looks now and then at whether the voters should change, if that is wanted.
pub(super) struct Healing {
    settings: Option<HealingSettings>,
    looked: MonotonicTime,
}

impl Healing {
    /// Creates one that never looks without `settings`.
    pub(super) fn new(settings: Option<HealingSettings>) -> Self {
        Self { settings, looked: MonotonicTime::ZERO }
    }

    /// Returns whether the replica mends itself.
    pub(super) fn is_on(&self) -> bool {
        self.settings.is_some()
    }

    /// Returns the voters to change to, if a look is due; `me` has led since `since`.
    pub(super) fn due_voters(
        &mut self,
        now: MonotonicTime,
        node: &Node<Pcg64Mcg>,
        me: &HostId,
        since: MonotonicTime,
    ) -> Option<VoterSet> {
        let settings = self.settings?;
        if now.saturating_since(self.looked) < HEALING_PERIOD {
            return None;
        }
        self.looked = now;
        let status = node.status();
        let led = now.saturating_since(since);
        next_voters(&LeaderView { status: &status, me, now, led }, &settings)
    }
}

/// Returns the voters after a change, or `None` if just those are committed already.
pub(super) fn changed(status: &Status, change: impl FnOnce(&mut VoterSet)) -> Option<VoterSet> {
    let mut voters = status.voters.clone();
    change(&mut voters);
    let is_done = voters == status.voters && status.voters_committed;
    (!is_done).then_some(voters)
}
