use std::{
    io,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use base::Revision;
use member::{PeerState, Roster};
use wire::{
    leader::{LeaderRequest, LeaderResponse},
    operator::ServingState,
};

use crate::{configurations::Configurations, leader_client::LeaderClient, roster::LatestRoster};

/// Longest time that a starting router waits for its peers and the leader.
pub(crate) const STARTUP_SYNC_TIMEOUT: Duration = Duration::from_secs(2);

const STARTING: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

/// Whether the router accepts new requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness(Arc<AtomicU8>);

impl Readiness {
    /// Sets the router ready, unless it is draining already.
    pub(crate) fn set_ready(&self) {
        let _ = self.0.compare_exchange(STARTING, READY, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Sets the router draining; it accepts no new requests from now on.
    pub(crate) fn set_draining(&self) {
        self.0.store(DRAINING, Ordering::Release);
    }

    /// Returns the state.
    pub(crate) fn state(&self) -> ServingState {
        match self.0.load(Ordering::Acquire) {
            STARTING => ServingState::Starting,
            READY => ServingState::Ready,
            _ => ServingState::Draining,
        }
    }
}

/// The state that a starting router needs from its peers and the leader before it is ready.
pub(crate) struct StartupSync {
    /// Whether the settings name other routers.
    pub has_peers: bool,
    /// The newest roster.
    pub roster: LatestRoster,
    /// The configuration in force here.
    pub configurations: Configurations,
    /// The committed revision, once the leader has returned it.
    pub committed: Arc<OnceLock<Revision>>,
}

impl StartupSync {
    /// Returns whether a peer has responded and the committed configuration is in force here.
    ///
    /// The first peer to respond may lag; only the leader has the newest revision.
    pub(crate) fn is_complete(&self) -> bool {
        if !self.has_peers {
            return true;
        }
        let Some(committed) = self.committed.get() else { return false };
        let has_contact = self.roster.load().is_some_and(|roster| has_contact(&roster));
        has_contact && *committed <= self.configurations.revision()
    }
}

/// Requests the committed revision from the leader, on a thread of its own.
///
/// # Errors
///
/// Returns an error if the thread or its runtime can't be started.
pub(crate) fn fetch_committed_revision(
    leader: LeaderClient,
) -> io::Result<Arc<OnceLock<Revision>>> {
    let committed = Arc::new(OnceLock::new());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let result = Arc::clone(&committed);
    std::thread::Builder::new().name("news".into()).spawn(move || {
        let request = leader.submit(&LeaderRequest::ReadRevision, STARTUP_SYNC_TIMEOUT);
        if let Ok(LeaderResponse::Revision(revision)) = runtime.block_on(request) {
            let _ = result.set(revision);
        }
    })?;
    Ok(committed)
}

fn has_contact(roster: &Roster) -> bool {
    roster.peers.iter().any(|p| p.last_contact.is_some() && p.update.state != PeerState::Dead)
}
