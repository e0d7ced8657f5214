use std::{collections::BTreeMap, time::Duration};

use base::{HostId, MonotonicTime};

/// Time for which a host that did not answer is asked last.
const SILENCE_MEMORY: Duration = Duration::from_secs(2);

/// What a host outside the quorum believes of who leads, and whom to ask first.
#[derive(Clone, Debug, Default)]
pub struct LeaderHints {
    voters: Vec<HostId>,
    leader: Option<HostId>,
    /// When hosts last failed to answer in time.
    silent: BTreeMap<HostId, MonotonicTime>,
}

impl LeaderHints {
    /// Notes whether a host votes.
    pub fn set_voter(&mut self, host: HostId, votes: bool) {
        self.voters.retain(|voter| *voter != host);
        if votes {
            self.voters.push(host);
        }
    }

    /// Notes that a voter names the leader in its answer at `now`.
    ///
    /// That is news: a host that was silent before is asked first again.
    pub fn confirm_leader(&mut self, now: MonotonicTime, leader: &HostId) {
        if self.silent.get(leader).is_some_and(|since| *since < now) {
            self.silent.remove(leader);
        }
        self.leader = Some(leader.clone());
    }

    /// Notes which host is said to lead, by word that may be old.
    pub fn set_leader(&mut self, leader: Option<HostId>) {
        self.leader = leader;
    }

    /// Returns the host that was last said to lead.
    pub fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Notes that a host answered.
    pub fn answered(&mut self, host: &HostId) {
        self.silent.remove(host);
    }

    /// Notes that a host did not answer in time; it is asked last for a while, unless a voter names
    /// it afterwards.
    pub fn timed_out(&mut self, now: MonotonicTime, host: &HostId) {
        self.silent.insert(host.clone(), now);
        if self.leader.as_ref() == Some(host) {
            self.leader = None;
        }
    }

    /// Returns the hosts that may lead, the likeliest first.
    pub fn leader_candidates(&self, now: MonotonicTime) -> Vec<HostId> {
        let leader = self.leader.iter();
        let others = self.voters.iter().filter(|voter| Some(*voter) != self.leader.as_ref());
        let mut order: Vec<HostId> = leader.chain(others).cloned().collect();
        // Stable: among equals the leader stays first.
        order.sort_by_key(|host| self.silent_since(now, host));
        order
    }

    /// Returns when a host last failed to answer, as long as that counts.
    fn silent_since(&self, now: MonotonicTime, host: &HostId) -> Option<MonotonicTime> {
        let since = self.silent.get(host).copied()?;
        (now.saturating_since(since) < SILENCE_MEMORY).then_some(since)
    }
}
