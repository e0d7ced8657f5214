use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{DataCentreId, EndpointId, Hasher, HostId, Incarnation, Revision, Sequence};
use serde::{Deserialize, Serialize};

use crate::{
    Announcement, EndpointKind, Load,
    budget::{LOAD_BYTES, RENEWAL_BYTES},
};

/// A gossip message; each request is answered by a response of the same type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own state.
    pub from: PeerUpdate,
    /// The newest revision of the configuration that the sender has seen.
    pub newest: NewestRevision,
    /// The number of endpoints with a valid lease at the sender; it determines the lease floor.
    pub endpoint_count: u32,
    /// Updates of other routers, and of the receiver if it is suspected.
    pub peers: Vec<PeerUpdate>,
    /// Updates of endpoints.
    pub endpoints: Vec<EndpointUpdate>,
    /// Leases renewed without another change.
    pub renewals: Vec<Renewal>,
    /// Checksums of a range of the sender's buckets, for anti-entropy.
    pub checksums: Option<Checksums>,
    /// Incarnations whose newer announcements the sender requests.
    pub announcement_requests: Vec<AnnouncementRequest>,
    /// Routers that the receiver should probe for the sender.
    pub probe_requests: Vec<HostId>,
    /// The buckets whose records the sender requests in full.
    pub pull: Option<Pull>,
    /// In the response to a pull: the next bucket to pull, or the number of buckets if none is
    /// left.
    pub pull_next: Option<u16>,
}

/// A router's state as gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The router's host.
    pub host: HostId,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// The address that receives gossip.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The version of its state in this incarnation; raised to refute suspicion or to gossip a
    /// change.
    pub sequence: Sequence,
    /// The number of messages sent in this incarnation; an increase proves that it runs.
    pub heartbeat: Sequence,
    /// The revision of the configuration in force at the router.
    pub revision: Revision,
    /// The quorum leader known to it, if any.
    pub leader: Option<HostId>,
    /// Whether it is a voter of the quorum.
    pub votes: bool,
    /// Whether it drains and accepts no new requests.
    pub draining: bool,
    /// Its liveness.
    pub state: PeerState,
}

/// A router's liveness; at equal sequence a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerState {
    /// It responds to probes.
    Alive,
    /// It did not respond, and may still refute the suspicion.
    Suspect,
    /// It neither responded nor refuted the suspicion in time.
    Dead,
}

/// The newest known revision of the configuration, and a router that has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestRevision {
    /// The revision.
    pub revision: Revision,
    /// A router that has it.
    pub host: HostId,
}

/// An endpoint's announcement and its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The announcement; its lease starts when it was written.
    pub announcement: Arc<Announcement>,
    /// Its age when the message was sent.
    pub age: Duration,
}

/// A compact renewal of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The incarnation that renewed its lease.
    pub key: IncarnationKey,
    /// The sequence number of its newest announcement.
    pub sequence: Sequence,
    /// The announcement's age when the message was sent, in milliseconds, rounded up.
    pub age_millis: u32,
    /// The engine's load; omitted where renewals are too rare for it to be useful.
    pub load: Option<Load>,
}

/// A request for all records from one bucket on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The first bucket requested.
    pub first: u16,
    /// The number of records that the sender already has.
    pub record_count: u32,
}

/// A request for an announcement newer than the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementRequest {
    /// The incarnation.
    pub key: IncarnationKey,
    /// The sequence number of the newest announcement that the sender has; zero if it has none.
    pub sequence: Sequence,
}

/// A short hash that identifies one incarnation of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationKey([u8; IncarnationKey::BYTES]);

impl IncarnationKey {
    /// Length in bytes; the chance that two of 1,800 incarnations collide is below 1 in 10⁸.
    pub const BYTES: usize = 6;

    /// Returns the key of the incarnation that made `announcement`.
    pub fn of(announcement: &Announcement) -> Self {
        Self::new(&announcement.endpoint, announcement.incarnation)
    }

    /// Returns the key of `incarnation` of `endpoint`.
    pub fn new(endpoint: &EndpointId, incarnation: Incarnation) -> Self {
        let digest = Hasher::default()
            .field(endpoint.as_str().as_bytes())
            .field(&incarnation.as_u64().to_le_bytes())
            .finish();
        Self(std::array::from_fn(|i| digest.as_bytes()[i]))
    }
}

/// Checksums of consecutive buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checksums {
    /// The first bucket.
    pub first: u16,
    /// One checksum for each bucket.
    pub sums: Vec<u32>,
}

/// Returns an upper bound on the encoded length of a message without its lists, in bytes.
pub(crate) fn header_bytes(from: &PeerUpdate, newest: &NewestRevision) -> usize {
    const FLAGS_AND_LENGTHS_BYTES: usize = 15;
    peer_bytes(from) + newest.host.as_str().len() + 5 + FLAGS_AND_LENGTHS_BYTES
}

/// Returns an upper bound on the encoded length of a router's update, in bytes.
pub(crate) fn peer_bytes(peer: &PeerUpdate) -> usize {
    const FIXED_BYTES: usize = 42;
    let leader = peer.leader.as_ref().map_or(0, |host| host.as_str().len() + 1);
    FIXED_BYTES + peer.host.as_str().len() + peer.data_centre.as_str().len() + leader
}

/// Returns an upper bound on the encoded length of an endpoint's update, in bytes.
pub(crate) fn endpoint_bytes(announcement: &Announcement) -> usize {
    const FIXED_BYTES: usize = 80;
    let kind = match &announcement.kind {
        EndpointKind::Service(service) => service.as_str().len() + 2,
        EndpointKind::Engine(engine) => {
            let models = engine.models.iter().map(|served| {
                let adapters: usize = served.adapters.iter().map(|a| a.as_str().len() + 2).sum();
                served.model.as_str().len() + served.weights.as_str().len() + adapters + 6
            });
            let service = engine.service.as_ref().map_or(0, |name| name.as_str().len() + 1);
            41 + service + models.sum::<usize>()
        }
    };
    let ids = announcement.endpoint.as_str().len() + announcement.data_centre.as_str().len();
    FIXED_BYTES + ids + kind
}

/// Returns an upper bound on the encoded length of a renewal, in bytes.
pub(crate) fn renewal_bytes(renewal: &Renewal) -> usize {
    RENEWAL_BYTES + renewal.load.map_or(0, |_| LOAD_BYTES)
}
