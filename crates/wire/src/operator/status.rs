use std::{net::SocketAddr, sync::Arc};

use base::{
    AdapterId, DataCentreId, EndpointId, HostId, Incarnation, LogIndex, ModelId, Revision,
    ServiceId, Term, TokenCount, WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// A router's status, with its view of its peers and the quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The router's host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of the daemon.
    pub version: Arc<str>,
    /// Whether it accepts requests.
    pub state: ServingState,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The newest revision known to it.
    #[serde(default)]
    pub newest: Revision,
    /// Its view of the quorum.
    pub quorum: QuorumStatus,
    /// The other routers.
    pub peers: Vec<Peer>,
    /// Request, endpoint and call counts.
    #[serde(default)]
    pub counts: Counts,
}

/// Whether a router accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// Waiting for state from its peers.
    Starting,
    /// Accepting requests.
    Ready,
    /// Finishing the requests in flight and accepting no new ones.
    Draining,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}

/// A router's state in the quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumStatus {
    /// Its role.
    pub role: QuorumRole,
    /// The latest term it has seen.
    pub term: Term,
    /// The term's leader, if known.
    pub leader: Option<HostId>,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Index of the last applied entry.
    pub applied: LogIndex,
    /// The voters known to it.
    pub voters: Vec<Voter>,
    /// Id of its data folder, in hexadecimal, if it can be a voter.
    #[serde(default)]
    pub folder: Option<Arc<str>>,
    /// Whether it may vote from that folder.
    #[serde(default)]
    pub registration: Option<Arc<str>>,
    /// The reason why it has stopped acknowledging entries, if it has.
    #[serde(default)]
    pub failure: Option<Arc<str>>,
}

/// A router's role in the quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuorumRole {
    /// Not a voter.
    Observer,
    /// Replicates the leader's log.
    Follower,
    /// Requests votes.
    Candidate,
    /// Appends to the log and replicates it.
    Leader,
    /// A role unknown to this version.
    #[serde(other)]
    Unknown,
}

/// A voter and its replication progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The voter's host.
    pub host: HostId,
    /// Id of the data folder it may vote from, in hexadecimal.
    pub folder: Arc<str>,
    /// Index of the last entry it is known to have stored; set only by a leader.
    #[serde(default)]
    pub matched: Option<LogIndex>,
    /// Time since the latest message that it replied to, in milliseconds; set only by a leader for
    /// the other voters that it has heard from.
    #[serde(default)]
    pub heard_ms: Option<u64>,
    /// Whether the leader counts it for majorities although it takes no part; set only by a leader.
    #[serde(default)]
    pub absent: bool,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its liveness.
    pub state: PeerState,
    /// The last revision it reported.
    pub revision: Revision,
    /// Whether it has remained behind the revision in force.
    pub laggard: bool,
    /// Time since the last message from it, in milliseconds.
    #[serde(default)]
    pub heard_ms: u64,
}

/// A peer's liveness, by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// Its messages arrive in time.
    Alive,
    /// No message from it arrived in time.
    Suspect,
    /// It is finishing its requests and will stop.
    Leaving,
    /// It is considered dead.
    Dead,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}

/// Counts of a router's requests, endpoints and calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests in flight.
    pub in_flight: u64,
    /// Requests queued for a slot.
    pub queued: u64,
    /// Endpoints that may be sent new requests.
    pub ready_endpoints: u64,
    /// Calls that are claimed or whose outcome is unknown; set only on a host that can be a voter.
    pub open_calls: Option<u64>,
}

/// The endpoints known to a router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// A router's view of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Whether it may be sent new requests.
    pub state: EndpointState,
    /// Time until its lease expires, in milliseconds.
    pub lease_ms: u64,
    /// The models it has loaded; empty for a plain service.
    #[serde(default)]
    pub models: Vec<ServedModel>,
    /// The service, for a plain service.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Requests of this router in flight to it.
    #[serde(default)]
    pub in_flight: u64,
    /// Requests waiting there, by its last report.
    #[serde(default)]
    pub waiting: u64,
    /// Tokens waiting there for prefill, by its last report.
    #[serde(default)]
    pub prefill_tokens: TokenCount,
}

/// Whether an endpoint may be sent new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It may be sent new requests.
    Ready,
    /// It has announced that it is leaving, and is sent no new requests.
    Leaving,
    /// Requests to it have failed; it is sent none for a while.
    Avoided,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model.
    pub model: ModelId,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
    /// The adapters loaded for the model.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}
