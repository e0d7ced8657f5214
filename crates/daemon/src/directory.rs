use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::HostId;
use quorum::LeaderHints;

use crate::clock::Clock;

/// Peer addresses of other routers, and which of them are voters or the leader.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    clock: Clock,
    /// Peer port of hosts whose ids are their addresses, if they are.
    port: Option<u16>,
    state: Arc<Mutex<DirectoryState>>,
}

#[derive(Debug, Default)]
struct DirectoryState {
    addresses: BTreeMap<HostId, SocketAddr>,
    hints: LeaderHints,
}

impl Directory {
    pub(crate) fn new(clock: Clock, port: Option<u16>) -> Self {
        Self { clock, port, state: Arc::default() }
    }

    /// Returns a router's peer address.
    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let known = self.lock().addresses.get(host).copied();
        known.or_else(|| Some(SocketAddr::new(host.as_str().parse().ok()?, self.port?)))
    }

    /// Records a router's peer address and whether it votes.
    pub(crate) fn insert(&self, host: HostId, address: SocketAddr, votes: bool) {
        let mut state = self.lock();
        state.addresses.insert(host.clone(), address);
        state.hints.set_voter(host, votes);
    }

    /// Records that a voter's response named the leader.
    pub(crate) fn confirm_leader(&self, leader: &HostId) {
        let now = self.clock.now();
        self.lock().hints.confirm_leader(now, leader);
    }

    /// Returns whether a voter named the leader within the last `max_age`.
    pub(crate) fn is_leader_named(&self, max_age: Duration) -> bool {
        let now = self.clock.now();
        self.lock().hints.is_leader_named(now, max_age)
    }

    /// Records the leader according to information that may be outdated.
    pub(crate) fn set_leader(&self, leader: Option<HostId>) {
        self.lock().hints.set_leader(leader);
    }

    /// Returns the last recorded leader.
    pub(crate) fn leader(&self) -> Option<HostId> {
        self.lock().hints.leader().cloned()
    }

    /// Records that a host responded to a leader request.
    pub(crate) fn record_response(&self, host: &HostId) {
        self.lock().hints.clear_timeout(host);
    }

    /// Records that a host didn't respond to a leader request in time.
    pub(crate) fn record_timeout(&self, host: &HostId) {
        let now = self.clock.now();
        self.lock().hints.record_timeout(now, host);
    }

    /// Returns the hosts to send a leader request to, the likeliest leader first.
    pub(crate) fn leader_candidates(&self) -> Vec<HostId> {
        self.lock().hints.leader_candidates(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, DirectoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
