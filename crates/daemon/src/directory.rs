use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::HostId;
use quorum::LeaderHints;

use crate::clock::Clock;

/// Where other routers listen, and which of them vote or lead.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    clock: Clock,
    /// Port of hosts that are named by their addresses, if they are.
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

    /// Returns where a router listens.
    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let known = self.lock().addresses.get(host).copied();
        known.or_else(|| Some(SocketAddr::new(host.as_str().parse().ok()?, self.port?)))
    }

    /// Notes where a router listens, and whether it votes.
    pub(crate) fn insert(&self, host: HostId, address: SocketAddr, votes: bool) {
        let mut state = self.lock();
        state.addresses.insert(host.clone(), address);
        state.hints.set_voter(host, votes);
    }

    /// Notes that a voter just named the leader.
    pub(crate) fn confirm_leader(&self, leader: &HostId) {
        let now = self.clock.now();
        self.lock().hints.named(now, leader);
    }

    /// Notes which host is said to lead, by word that may be old.
    pub(crate) fn set_leader(&self, leader: Option<HostId>) {
        self.lock().hints.set_leader(leader);
    }

    /// Returns the host that was last said to lead.
    pub(crate) fn leader(&self) -> Option<HostId> {
        self.lock().hints.leader().cloned()
    }

    /// Notes that a host answered a request to the leader.
    pub(crate) fn record_response(&self, host: &HostId) {
        self.lock().hints.answered(host);
    }

    /// Notes that a host did not answer a request to the leader in time.
    pub(crate) fn record_timeout(&self, host: &HostId) {
        let now = self.clock.now();
        self.lock().hints.timed_out(now, host);
    }

    /// Returns the hosts that may take a request to the leader, the likeliest first.
    pub(crate) fn leader_candidates(&self) -> Vec<HostId> {
        self.lock().hints.order(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, DirectoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
