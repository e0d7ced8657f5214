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
    known: Arc<Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    addresses: BTreeMap<HostId, SocketAddr>,
    hints: LeaderHints,
}

impl Directory {
    pub(crate) fn new(clock: Clock, port: Option<u16>) -> Self {
        Self { clock, port, known: Arc::default() }
    }

    /// Returns where a router listens.
    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let told = self.lock().addresses.get(host).copied();
        told.or_else(|| Some(SocketAddr::new(host.as_str().parse().ok()?, self.port?)))
    }

    /// Notes where a router listens, and whether it votes.
    pub(crate) fn insert(&self, host: HostId, address: SocketAddr, votes: bool) {
        let mut known = self.lock();
        known.addresses.insert(host.clone(), address);
        known.hints.set_voter(host, votes);
    }

    /// Notes that a voter just named the leader.
    pub(crate) fn named(&self, leader: &HostId) {
        let now = self.clock.now();
        self.lock().hints.confirm_leader(now, leader);
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
    pub(crate) fn clear_timeout(&self, host: &HostId) {
        self.lock().hints.clear_timeout(host);
    }

    /// Notes that a host did not answer a request to the leader in time.
    pub(crate) fn record_timeout(&self, host: &HostId) {
        let now = self.clock.now();
        self.lock().hints.record_timeout(now, host);
    }

    /// Returns the hosts that may take a request to the leader, the likeliest first.
    pub(crate) fn voters(&self) -> Vec<HostId> {
        self.lock().hints.leader_candidates(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
