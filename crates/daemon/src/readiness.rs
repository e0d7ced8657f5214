use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use base::Revision;
use member::{PeerState, Roster};
use wire::operator::ServingState;

/// Longest time that a starting router waits for news from its peers.
pub(crate) const NEWS_TIMEOUT: Duration = Duration::from_secs(1);

const STARTING: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

/// Whether the router takes new requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness(Arc<AtomicU8>);

impl Readiness {
    /// Takes requests from now on, unless the router drains already.
    pub(crate) fn set_ready(&self) {
        let _ = self.0.compare_exchange(STARTING, READY, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Takes no new requests from now on.
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

/// Returns whether a peer has spoken and no newer configuration is known than the one in force.
pub(crate) fn has_news(roster: &Roster, in_force: Revision) -> bool {
    let heard = roster.peers.iter().any(|p| p.heard.is_some() && p.update.state != PeerState::Dead);
    heard && roster.newest.revision <= in_force
}
