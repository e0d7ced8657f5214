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

/// Peers that a starting router hears before it takes their news for the fleet's.
const NEWS_PEERS: usize = 2;

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

/// Returns whether peers have spoken and none knows a newer configuration than the one in force.
///
/// `seeds` is how many peers the router was told of.
pub(crate) fn has_news(roster: &Roster, seeds: usize, in_force: Revision) -> bool {
    let live = roster.peers.iter().filter(|peer| peer.update.state != PeerState::Dead);
    let heard = live.filter(|peer| peer.heard.is_some()).count();
    seeds.min(NEWS_PEERS) <= heard && roster.newest.revision <= in_force
}
