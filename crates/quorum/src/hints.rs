use std::{collections::BTreeMap, time::Duration};

use base::{HostId, MonotonicTime};

/// Time for which a host that timed out is ordered last.
const TIMEOUT_RETENTION: Duration = Duration::from_secs(2);

/// The leader as known to a host outside the quorum, and the order in which to try the voters.
#[derive(Clone, Debug, Default)]
pub struct LeaderHints {
    voters: Vec<HostId>,
    leader: Option<HostId>,
    /// When a voter last named the leader.
    named_at: Option<MonotonicTime>,
    /// Time of each host's last request timeout.
    timeouts: BTreeMap<HostId, MonotonicTime>,
}

impl LeaderHints {
    /// Records whether a host is a voter.
    pub fn set_voter(&mut self, host: HostId, votes: bool) {
        self.voters.retain(|voter| *voter != host);
        if votes {
            self.voters.push(host);
        }
    }

    /// Records the leader that a voter named in its response at `now`.
    ///
    /// An earlier timeout of that leader is cleared, so that it is tried first again.
    pub fn confirm_leader(&mut self, now: MonotonicTime, leader: &HostId) {
        if self.timeouts.get(leader).is_some_and(|since| *since < now) {
            self.timeouts.remove(leader);
        }
        self.leader = Some(leader.clone());
        self.named_at = Some(now);
    }

    /// Returns whether a voter named the leader within the last `max_age`.
    pub fn is_leader_named(&self, now: MonotonicTime, max_age: Duration) -> bool {
        self.named_at.is_some_and(|named_at| now.saturating_since(named_at) <= max_age)
    }

    /// Sets the leader from a source that may be outdated.
    pub fn set_leader(&mut self, leader: Option<HostId>) {
        self.leader = leader;
    }

    /// Returns the last known leader.
    pub fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Clears the timeout of a host that responded.
    pub fn clear_timeout(&mut self, host: &HostId) {
        self.timeouts.remove(host);
    }

    /// Records that a request to a host timed out; the host is tried last for a while, unless a
    /// voter names it as the leader afterwards.
    pub fn record_timeout(&mut self, now: MonotonicTime, host: &HostId) {
        self.timeouts.insert(host.clone(), now);
        if self.leader.as_ref() == Some(host) {
            self.leader = None;
        }
    }

    /// Returns the hosts that may lead, the most likely first.
    pub fn leader_candidates(&self, now: MonotonicTime) -> Vec<HostId> {
        let leader = self.leader.iter();
        let others = self.voters.iter().filter(|voter| Some(*voter) != self.leader.as_ref());
        let mut order: Vec<HostId> = leader.chain(others).cloned().collect();
        // The sort is stable: the leader stays first among hosts with equal timeouts.
        order.sort_by_key(|host| self.recent_timeout(now, host));
        order
    }

    /// Returns when a host last timed out, if that is recent.
    fn recent_timeout(&self, now: MonotonicTime, host: &HostId) -> Option<MonotonicTime> {
        let since = self.timeouts.get(host).copied()?;
        (now.saturating_since(since) < TIMEOUT_RETENTION).then_some(since)
    }
}
