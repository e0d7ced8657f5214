//! Requests to the quorum's leader, and its answers.

use std::{sync::Arc, time::Duration};

use base::{HostId, Revision, Term};
use fleet::{
    Call, CallKey, ChangeRecord, Command, ConfigurationNumber, EngineUpdate, Reply, WeightsAge,
};
use member::LifeKey;
use prefix::SentPrompt;
use quorum::{FolderId, VoterSet};
use route::SentLoad;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::BodyError;

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Writes a command to the log.
    Command(Command),
    /// Reads what is known of a call.
    ReadCall(CallKey),
    /// Lists the calls that are open or whose outcome is unknown.
    ReadUnsettled,
    /// Reads the revision of the configuration in force.
    ReadRevision,
    /// Takes a voter in.
    AddVoter {
        /// Its host.
        host: HostId,
        /// The folder that it may vote from.
        folder: FolderId,
    },
    /// Takes a voter out.
    RemoveVoter {
        /// Its host.
        host: HostId,
    },
    /// Lists the changes of configuration that are kept.
    ReadHistory,
    /// Lists the voters.
    ReadVoters,
    /// Reads the numbered configuration in force and the weights named.
    ReadPublished,
    /// Reads what is published, once it differs from what was seen or some time has passed.
    FollowPublished(Follow),
}

/// A question for what is published, with what its sender tells in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// The router that asks.
    pub from: HostId,
    /// What it has seen.
    pub seen: Seen,
    /// How long the question may be held for news.
    pub hold: Duration,
    /// What it has under way at endpoints.
    pub loads: Vec<SentLoad>,
    /// The prompts that it has sent since the last question.
    pub sent: Vec<SentPrompt>,
    /// Lives of endpoints that it has heard to leave.
    pub leaving: Vec<LifeKey>,
}

/// What a follower of the published state has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The configuration that it holds.
    pub number: ConfigurationNumber,
    /// The version of the last answer.
    pub version: ViewVersion,
    /// The position after the prompts that the last answer told of, in the same term.
    pub next_sent: u64,
}

/// The version of a leader's answer; equal ones come from the same leader and say the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewVersion {
    /// The leader's term.
    pub term: Term,
    /// How often what it tells has changed.
    pub changes: u64,
}

/// What is published, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedView {
    /// The answer's version.
    pub version: ViewVersion,
    /// The number of the configuration in force.
    pub number: ConfigurationNumber,
    /// The configuration, unless the asker holds it.
    pub content: Option<Arc<[u8]>>,
    /// The weights that were named, with their ages; each model's newest are those to have.
    pub weights: Vec<WeightsAge>,
    /// What is known of engines beyond their announcements.
    pub engines: Vec<EngineUpdate>,
    /// What all routers have under way at endpoints, the asker included.
    pub loads: Vec<SentLoad>,
    /// Lives of endpoints that any router has heard to leave.
    pub leaving: Vec<LifeKey>,
    /// Prompts that other routers have sent since the last answer.
    pub sent: Vec<SentPrompt>,
    /// The position after those.
    pub next_sent: u64,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderAnswer {
    /// The command was committed and led to this.
    Reply(Reply),
    /// What is known of the call.
    Call(Option<Box<Call>>),
    /// The calls that are open or whose outcome is unknown.
    Unsettled(Vec<UnsettledCall>),
    /// The revision of the configuration in force.
    Revision(Revision),
    /// The voters from now on.
    Voters(VoterSet),
    /// The request was understood and refused; nothing changed.
    Refused(String),
    /// The changes of configuration that are kept, the oldest first.
    History(Vec<ChangeRecord>),
    /// What is published.
    Published(Box<PublishedView>),
}

/// A call that is open or whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnsettledCall {
    /// The call.
    pub key: CallKey,
    /// What is known of it.
    pub call: Call,
}

impl LeaderRequest {
    /// Writes the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BodyError> {
        from_bytes(bytes)
    }
}

impl LeaderAnswer {
    /// Writes the answer.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BodyError> {
        from_bytes(bytes)
    }
}

pub(crate) fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("each type here has a postcard form")
}

pub(crate) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    postcard::from_bytes(bytes).map_err(|e| BodyError::new(format!("damaged message: {e}")))
}
