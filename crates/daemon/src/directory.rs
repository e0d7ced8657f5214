use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::HostId;

/// Where other routers listen, and which of them vote.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory(Arc<Mutex<Known>>);

#[derive(Debug, Default)]
struct Known {
    addresses: BTreeMap<HostId, SocketAddr>,
    voters: Vec<HostId>,
    leader: Option<HostId>,
}

impl Directory {
    /// Returns where a router listens.
    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.lock().addresses.get(host).copied()
    }

    /// Notes where a router listens, and whether it votes.
    pub(crate) fn insert(&self, host: HostId, address: SocketAddr, votes: bool) {
        let mut known = self.lock();
        known.addresses.insert(host.clone(), address);
        known.voters.retain(|voter| *voter != host);
        if votes {
            known.voters.push(host);
        }
    }

    /// Notes which host was last said to lead.
    pub(crate) fn set_leader(&self, leader: Option<HostId>) {
        self.lock().leader = leader;
    }

    /// Returns the host that was last said to lead.
    pub(crate) fn leader(&self) -> Option<HostId> {
        self.lock().leader.clone()
    }

    /// Returns the hosts that may take a request to the leader, the likeliest first.
    pub(crate) fn voters(&self) -> Vec<HostId> {
        let known = self.lock();
        let leader = known.leader.iter();
        let others = known.voters.iter().filter(|voter| Some(*voter) != known.leader.as_ref());
        leader.chain(others).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
