//! Requests to the quorum's leader, and its answers.

use base::{HostId, Revision};
use fleet::{Call, CallKey, ChangeRecord, Command, Reply};
use quorum::{FolderId, VoterSet};
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
