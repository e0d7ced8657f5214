use std::{net::SocketAddr, sync::Arc};

use base::{
    AdapterId, DataCentreId, EndpointId, HostId, Incarnation, LogIndex, ModelId, Revision,
    ServiceId, Term, TokenCount, WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// How a router sees itself, its peers and the quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The router's host.
    pub host: HostId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of its program.
    pub version: Arc<str>,
    /// Whether it takes requests.
    pub state: ServingState,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The newest revision that it heard of.
    #[serde(default)]
    pub newest: Revision,
    /// What it knows of the quorum.
    pub quorum: QuorumStatus,
    /// The other routers.
    pub peers: Vec<Peer>,
    /// Totals.
    #[serde(default)]
    pub counts: Counts,
}

/// Whether a router takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// It waits for news from its peers.
    Starting,
    /// It takes requests.
    Ready,
    /// It ends the requests it has, and takes no new ones.
    Draining,
    /// A state that this program does not know.
    #[serde(other)]
    Unknown,
}

/// A router's part in the quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumStatus {
    /// What it does.
    pub role: QuorumRole,
    /// The latest term it saw.
    pub term: Term,
    /// The term's leader, if known.
    pub leader: Option<HostId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry applied.
    pub applied: LogIndex,
    /// The voters, as far as it knows.
    pub voters: Vec<Voter>,
    /// Its own data folder, in hexadecimal, if it can hold a vote.
    #[serde(default)]
    pub folder: Option<Arc<str>>,
    /// Whether it may vote from that folder.
    #[serde(default)]
    pub registration: Option<Arc<str>>,
    /// Why it acknowledges nothing any more, if so.
    #[serde(default)]
    pub failure: Option<Arc<str>>,
}

/// What a router does in the quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuorumRole {
    /// It holds no vote.
    Observer,
    /// It follows the leader.
    Follower,
    /// It asks for votes.
    Candidate,
    /// It writes the log.
    Leader,
    /// A role that this program does not know.
    #[serde(other)]
    Unknown,
}

/// A voter and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The voter's host.
    pub host: HostId,
    /// The data folder it may vote from, in hexadecimal.
    pub folder: Arc<str>,
    /// The last entry it is known to hold; only a leader knows.
    #[serde(default)]
    pub matched: Option<LogIndex>,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its host.
    pub host: HostId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is heard.
    pub state: PeerState,
    /// The revision it reported last.
    pub revision: Revision,
    /// Whether it has stayed behind the revision in force.
    pub laggard: bool,
    /// Time since it was heard, in milliseconds.
    #[serde(default)]
    pub heard_ms: u64,
}

/// Whether a peer is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It is heard.
    Alive,
    /// It was not heard in time.
    Suspect,
    /// It ends its requests and will stop.
    Leaving,
    /// It is taken to be dead.
    Dead,
    /// A state that this program does not know.
    #[serde(other)]
    Unknown,
}

/// Totals of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests under way.
    pub in_flight: u64,
    /// Requests that wait for a slot.
    pub queued: u64,
    /// Endpoints that may get new work.
    pub ready_endpoints: u64,
    /// Calls that are claimed or whose outcome is unknown, on a host that can hold a vote.
    pub open_calls: Option<u64>,
}

/// The endpoints that a router knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// Each endpoint.
    pub endpoints: Vec<EndpointStatus>,
}

/// An endpoint as a router knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it may get new work.
    pub state: EndpointState,
    /// What is left of its lease, in milliseconds.
    pub lease_ms: u64,
    /// The models it has loaded; empty for a plain service.
    #[serde(default)]
    pub models: Vec<ServedModel>,
    /// The plain service it is, if it is one.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Requests of this router under way there.
    #[serde(default)]
    pub in_flight: u64,
    /// Requests that wait there, by its last report.
    #[serde(default)]
    pub waiting: u64,
    /// Tokens that wait there for prefill, by its last report.
    #[serde(default)]
    pub prefill_tokens: TokenCount,
}

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It may get new work.
    Ready,
    /// It wants no new work.
    Leaving,
    /// Requests to it have failed, and it gets none for a while.
    Avoided,
    /// A state that this program does not know.
    #[serde(other)]
    Unknown,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapters loaded on top.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}
