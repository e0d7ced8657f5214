//! Changes of the voters, requested by operators or proposed by the leader itself.

use std::time::Duration;

use base::{HostId, MonotonicTime};
use quorum::{HealingSettings, LeaderView, Node, Status, VoterSet, next_voters};
use rand_pcg::Pcg64Mcg;

/// Time between checks whether the voters should change.
const HEALING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Periodic check whether the voters should change, if self-healing is enabled.
pub(super) struct VoterHealing {
    settings: Option<HealingSettings>,
    last_checked: MonotonicTime,
}

impl VoterHealing {
    /// Creates a check that is disabled without `settings`.
    pub(super) fn new(settings: Option<HealingSettings>) -> Self {
        Self { settings, last_checked: MonotonicTime::ZERO }
    }

    /// Returns whether self-healing is enabled.
    pub(super) fn is_enabled(&self) -> bool {
        self.settings.is_some()
    }

    /// Returns the voters to propose, if a check is due and finds any; `me` has led since `since`.
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
        let leading_for = now.saturating_since(since);
        next_voters(&LeaderView { status: &status, me, now, leading_for }, &settings)
    }
}

/// Returns the voters after a change, or `None` if they are committed already.
pub(super) fn changed(status: &Status, change: impl FnOnce(&mut VoterSet)) -> Option<VoterSet> {
    let mut voters = status.voters.clone();
    change(&mut voters);
    let is_done = voters == status.voters && status.voters_committed;
    (!is_done).then_some(voters)
}
