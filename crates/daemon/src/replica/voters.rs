//! Changes of the voters, asked for or found due by the leader itself.

use std::time::Duration;

use base::{HostId, MonotonicTime};
use quorum::{HealingSettings, LeaderView, Node, Status, VoterSet, next_voters};
use rand_pcg::Pcg64Mcg;

/// Time between looks at whether the voters should change.
const HEALING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Looks now and then at whether the voters should change, if that is wanted.
pub(super) struct VoterHealing {
    settings: Option<HealingSettings>,
    last_checked: MonotonicTime,
}

impl VoterHealing {
    /// Creates one that never looks without `settings`.
    pub(super) fn new(settings: Option<HealingSettings>) -> Self {
        Self { settings, last_checked: MonotonicTime::ZERO }
    }

    /// Returns whether the replica mends itself.
    pub(super) fn is_enabled(&self) -> bool {
        self.settings.is_some()
    }

    /// Returns the voters to change to, if a look is due; `me` has led since `since`.
    pub(super) fn due_voters_change(
        &mut self,
        now: MonotonicTime,
        node: &Node<Pcg64Mcg>,
        me: &HostId,
        since: MonotonicTime,
    ) -> Option<VoterSet> {
        let settings = self.settings?;
        if now.saturating_since(self.last_checked) < HEALING_CHECK_INTERVAL {
            return None;
        }
        self.last_checked = now;
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
