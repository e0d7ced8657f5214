use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{DataCentreId, EndpointId, Hasher, HostId, Incarnation, Revision, Sequence};
use serde::{Deserialize, Serialize};

use crate::{
    Announcement, EndpointKind, Load,
    budget::{LOAD_BYTES, RENEWAL_BYTES},
};

/// The only message between routers; each one sent is answered by one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender, as it sees itself.
    pub from: PeerUpdate,
    /// The highest revision of the configuration that the sender knows of.
    pub newest: Rumour,
    /// The number of endpoints whose lease runs at the sender, which sets the shortest lease.
    pub endpoint_count: u32,
    /// News of other routers, and of the receiver if it is doubted.
    pub peers: Vec<PeerUpdate>,
    /// News of endpoints.
    pub endpoints: Vec<EndpointUpdate>,
    /// Leases renewed without any other change.
    pub renewals: Vec<Renewal>,
    /// Checksums of a range of the sender's buckets, to find lost news.
    pub checksums: Option<Checksums>,
    /// Lives of which the sender asks for newer news.
    pub wanted: Vec<Want>,
    /// Routers that the receiver should probe on the sender's behalf.
    pub probe: Vec<HostId>,
    /// The buckets that the sender wants in full.
    pub pull: Option<Pull>,
    /// Answers a pull: the bucket to go on from, or the number of buckets when all were sent.
    pub pull_next: Option<u16>,
}

/// What a router says about a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The router's host.
    pub host: HostId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes gossip.
    pub address: SocketAddr,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The version of its state in this life; raised to refute doubt or to spread a change.
    pub sequence: Sequence,
    /// The number of messages it has sent in this life, which proves that it runs.
    pub heartbeat: Sequence,
    /// The revision of the configuration in force there.
    pub revision: Revision,
    /// The leader it knows, if any.
    pub leader: Option<HostId>,
    /// Whether it votes in the quorum.
    pub votes: bool,
    /// Whether it drains and takes no new requests.
    pub draining: bool,
    /// Whether it is thought alive.
    pub state: PeerState,
}

/// Whether a router is thought alive; a later variant wins over an earlier one at equal sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It did not answer, and may yet refute.
    Suspect,
    /// It did not answer or refute in time.
    Dead,
}

/// The highest revision of the configuration known, and who has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The revision.
    pub revision: Revision,
    /// A router that has it.
    pub host: HostId,
}

/// An endpoint's announcement with its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The announcement; its lease counts from when it was written.
    pub announcement: Arc<Announcement>,
    /// Its age when the message was sent.
    pub age: Duration,
}

/// A renewed lease, in few bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The life that renewed.
    pub life: IncarnationKey,
    /// The position of its newest announcement.
    pub sequence: Sequence,
    /// The announcement's age when the message was sent, in milliseconds, rounded up.
    pub age_millis: u32,
    /// The engine's load, where reports still come often enough to be of use.
    pub load: Option<Load>,
}

/// A question for all records from one bucket on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The first bucket wanted.
    pub first: u16,
    /// The number of records that the sender has already.
    pub known: u32,
}

/// A question for news of a life that is newer than the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The life.
    pub life: IncarnationKey,
    /// The position of the newest announcement that the sender has; zero if it has none.
    pub sequence: Sequence,
}

/// A short name for one life of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationKey([u8; IncarnationKey::BYTES]);

impl IncarnationKey {
    /// Length, in bytes: two of 1,800 lives share a name with a chance below 1 in 10⁸.
    pub const BYTES: usize = 6;

    /// Names the life that made `announcement`.
    pub fn of(announcement: &Announcement) -> Self {
        Self::new(&announcement.endpoint, announcement.incarnation)
    }

    /// Names the life of `endpoint` that has `incarnation`.
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
    /// A checksum a bucket.
    pub sums: Vec<u32>,
}

/// Bounds the encoded length of a message without its lists, in bytes.
pub(crate) fn head_bytes(from: &PeerUpdate, newest: &Rumour) -> usize {
    const MARKS: usize = 15;
    peer_bytes(from) + newest.host.as_str().len() + 5 + MARKS
}

/// Bounds the encoded length of news of a router, in bytes.
pub(crate) fn peer_bytes(peer: &PeerUpdate) -> usize {
    const FIXED: usize = 42;
    let leader = peer.leader.as_ref().map_or(0, |host| host.as_str().len() + 1);
    FIXED + peer.host.as_str().len() + peer.data_centre.as_str().len() + leader
}

/// Bounds the encoded length of news of an endpoint, in bytes.
pub(crate) fn endpoint_bytes(announcement: &Announcement) -> usize {
    const FIXED: usize = 80;
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
    FIXED + ids + kind
}

/// Bounds the encoded length of a renewal, in bytes.
pub(crate) fn renewal_bytes(renewal: &Renewal) -> usize {
    RENEWAL_BYTES + renewal.load.map_or(0, |_| LOAD_BYTES)
}
