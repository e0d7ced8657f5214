//! Requests to the quorum's leader, and its responses.

use std::{sync::Arc, time::Duration};

use base::{HostId, Revision, Term};
use fleet::{
    Call, CallKey, ChangeRecord, Command, ConfigurationNumber, EngineUpdate, Reply, WeightsAge,
};
use member::IncarnationKey;
use prefix::SentPrompt;
use quarantine::{Crash, Quarantined, Survival, Suspect};
use quorum::{FolderId, VoterSet};
use quota::{Answer, Demand, QuotaReport, QuotaView};
use route::{PublishedSlowness, ResponseSums, SentLoad};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::BodyError;

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Appends a command to the log.
    Command(Command),
    /// Reads a call's record.
    ReadCall(CallKey),
    /// Lists the calls that are open or whose outcome is unknown.
    ReadUnsettled,
    /// Reads the revision of the configuration in force.
    ReadRevision,
    /// Adds a voter.
    AddVoter {
        /// The voter's host.
        host: HostId,
        /// The data folder that it may vote from.
        folder: FolderId,
    },
    /// Removes a voter.
    RemoveVoter {
        /// The voter's host.
        host: HostId,
    },
    /// Lists the retained configuration changes.
    ReadHistory,
    /// Lists the voters.
    ReadVoters,
    /// Reads the configuration in force, with its number, and the named weights.
    ReadPublished,
    /// Reads the published state once it differs from the cursor's, or after a timeout (long poll).
    FollowPublished(FollowRequest),
    /// Asks whether requests of limited organisations may run; not repeated by the sender.
    AskQuota(Vec<Demand>),
}

/// A long poll for the published state, which also reports the sender's loads and prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The requesting router's host.
    pub from: HostId,
    /// The state that the router already has.
    pub seen: FollowCursor,
    /// How long the leader may wait for a change before it responds.
    pub max_wait: Duration,
    /// The load that the router has in flight at endpoints.
    pub loads: Vec<SentLoad>,
    /// The prompts that the router has sent to endpoints since its last request.
    pub sent: Vec<SentPrompt>,
    /// Endpoint incarnations that the router knows to be leaving.
    pub leaving: Vec<IncarnationKey>,
    /// What the router knows of crashes of endpoints.
    pub crashes: CrashReport,
    /// Response times of endpoints since its last request.
    pub response_times: Vec<ResponseSums<IncarnationKey>>,
    /// What the router has admitted of limited organisations, if it serves callers and there are any.
    pub quota: Option<QuotaReport>,
}

/// A router's evidence on the parts of prompts and the requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes since its last request.
    pub crashes: Vec<Crash<IncarnationKey>>,
    /// The latest survivals of the suspects in the last response.
    pub survivals: Vec<Survival>,
    /// What was quarantined in the last response, for a leader that is new.
    pub quarantined: Vec<Quarantined>,
}

/// The position of a follower in the published state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowCursor {
    /// The number of the configuration that it has.
    pub number: ConfigurationNumber,
    /// The version of the last response.
    pub version: ViewVersion,
    /// The position after the sent prompts of the last response, in the same term.
    pub next_sent: u64,
    /// The version of the endpoints' slowness that it has.
    pub slowness: ViewVersion,
    /// The position after the quota changes of the last response, in the same term.
    pub next_quota: u64,
}

/// The version of a leader's response; equal versions come from the same leader and state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewVersion {
    /// The leader's term.
    pub term: Term,
    /// Counter of changes of the leader's published state.
    pub changes: u64,
}

/// The published state, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedView {
    /// The response's version.
    pub version: ViewVersion,
    /// The number of the configuration in force.
    pub number: ConfigurationNumber,
    /// The configuration, unless the requester has it already.
    pub content: Option<Arc<[u8]>>,
    /// The named weights with their ages; the newest of each model are to be loaded.
    pub weights: Vec<WeightsAge>,
    /// The engines that are paused, and those that have loaded weights since the cursor.
    pub engines: Vec<EngineUpdate>,
    /// The load that all routers, including the requester, have in flight at endpoints.
    pub loads: Vec<SentLoad>,
    /// Endpoint incarnations that any router knows to be leaving.
    pub leaving: Vec<IncarnationKey>,
    /// Prompts that other routers have sent to endpoints since the last response.
    pub sent: Vec<SentPrompt>,
    /// The position after these prompts.
    pub next_sent: u64,
    /// What may crash endpoints; routers report its survivals.
    pub suspects: Vec<Suspect>,
    /// What is kept from endpoints.
    pub quarantined: Vec<Quarantined>,
    /// How slow endpoints are, if that has changed since the cursor.
    pub slowness: Option<SlownessList>,
    /// The limited organisations whose requests need no ask, if there are any limits.
    pub quota: Option<QuotaView>,
}

/// All endpoints that differ in speed from their service's median endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlownessList {
    /// The list's version.
    pub version: ViewVersion,
    /// The endpoints.
    pub endpoints: Vec<PublishedSlowness<IncarnationKey>>,
}

/// The leader's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// The result of a committed command.
    Reply(Reply),
    /// The call's record, if there is one.
    Call(Option<Box<Call>>),
    /// The calls that are open or whose outcome is unknown.
    Unsettled(Vec<UnsettledCall>),
    /// The revision of the configuration in force.
    Revision(Revision),
    /// The current voters.
    Voters(VoterSet),
    /// The request was valid but refused; nothing changed.
    Refused(String),
    /// The retained configuration changes, oldest first.
    History(Vec<ChangeRecord>),
    /// The published state.
    Published(Box<PublishedView>),
    /// The answers to demands, in order.
    Quota(Vec<Answer>),
}

/// A call that is open or whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnsettledCall {
    /// The call's key.
    pub key: CallKey,
    /// The call's record.
    pub call: Call,
}

impl LeaderRequest {
    /// Encodes the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BodyError> {
        from_bytes(bytes)
    }
}

impl LeaderResponse {
    /// Encodes the response.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Decodes a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BodyError> {
        from_bytes(bytes)
    }
}

pub(crate) fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("each message type can be encoded with postcard")
}

pub(crate) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    postcard::from_bytes(bytes).map_err(|e| BodyError::new(format!("malformed message: {e}")))
}
