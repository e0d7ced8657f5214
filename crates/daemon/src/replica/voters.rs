//! Changes of the voters, requested by operators or proposed by the leader itself.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{HostId, MonotonicTime};
use quorum::{
    HealingSettings, LeaderView, Node, Registration, Status, VoterSet, absent_voters, next_voters,
};
use rand_pcg::Pcg64Mcg;

/// Time between checks whether the voters should change, or are absent.
pub(super) const HEALING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a voter's registration may last before it is logged; others may start later.
const LATE_REGISTRATION_THRESHOLD: Duration = Duration::from_secs(3);

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

    /// Returns whether the voters keep what they commit if as many disks are lost as may be.
    ///
    /// Without self-healing, operators decide how many voters there are.
    pub(super) fn keeps_commits(&self, voters: usize, were_complete: bool) -> bool {
        self.settings.is_none_or(|settings| settings.keeps_commits(voters, were_complete))
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

/// Logs, on the leader, which voters take no part although a majority counts them.
#[derive(Debug, Default)]
pub(super) struct AbsenceLog {
    absent: Arc<BTreeSet<HostId>>,
}

impl AbsenceLog {
    /// Logs the voters that are absent or take part again since the last call; `me` has led for
    /// `leading_for`.
    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        status: &Status,
        me: &HostId,
        leading_for: Duration,
    ) {
        let view = LeaderView { status, me, now, leading_for };
        let absent = absent_voters(&view, &HealingSettings::default());
        let voters = status.voters.folders.len();
        let active = voters - absent.len();
        let majority = status.voters.majority();
        for voter in absent.difference(&self.absent) {
            log::warn!(voter:%, active, voters, majority; "voter takes no part");
        }
        for voter in self.absent.difference(&absent) {
            log::info!(voter:%, active, voters, majority; "voter takes part again");
        }
        if *self.absent != absent {
            self.absent = Arc::new(absent);
        }
    }

    /// Forgets the absent voters, as this host no longer leads.
    pub(super) fn clear(&mut self) {
        self.absent = Arc::default();
    }

    /// Returns the absent voters.
    pub(super) fn absent(&self) -> Arc<BTreeSet<HostId>> {
        Arc::clone(&self.absent)
    }
}

/// Logs the registration of this voter's folder, if it is refused or takes long.
#[derive(Debug)]
pub(super) struct RegistrationLog {
    started: MonotonicTime,
    logged: Registration,
}

impl RegistrationLog {
    /// Creates the log of a registration that began at `started`.
    pub(super) fn new(started: MonotonicTime) -> Self {
        Self { started, logged: Registration::Done }
    }

    /// Logs the state of the registration, if it is due and not logged yet.
    pub(super) fn record(&mut self, now: MonotonicTime, registration: Registration) {
        let age = now.saturating_since(self.started);
        let is_late = LATE_REGISTRATION_THRESHOLD <= age;
        let is_due = is_late || registration == Registration::Refused;
        if registration == self.logged || !is_due {
            return;
        }
        let age_ms = age.as_millis() as u64;
        match registration {
            Registration::Done => log::info!(age_ms; "data folder confirmed, this host votes"),
            state => log::warn!(age_ms, state:%; "this host does not vote"),
        }
        self.logged = registration;
    }
}

/// Returns the voters after a change, or `None` if they are committed already.
pub(super) fn changed(status: &Status, change: impl FnOnce(&mut VoterSet)) -> Option<VoterSet> {
    let mut voters = status.voters.clone();
    change(&mut voters);
    let is_done = voters == status.voters && status.voters_committed;
    (!is_done).then_some(voters)
}
