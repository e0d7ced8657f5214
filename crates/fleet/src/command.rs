use std::sync::Arc;

use base::{
    Author, ChangeId, Digest, HostId, IdempotencyKey, Incarnation, OrganisationId, Revision,
    UnixMillis, Verdict,
};
use serde::{Deserialize, Serialize};

/// The process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A claim to send a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation that calls.
    pub organisation: OrganisationId,
    /// Its name for the call.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Who will send it.
    pub owner: Owner,
    /// When it was claimed.
    pub at: UnixMillis,
}

/// What an endpoint answered to a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<Arc<str>>,
    /// Body, unless it was too large to keep.
    pub body: Option<Arc<[u8]>>,
}

/// A change of defaults and exceptions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The same on every resend.
    pub id: ChangeId,
    /// The revision that the author changed.
    pub expected: Revision,
    /// Who made it.
    pub author: Author,
    /// Why.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
    /// The whole declaration, as TOML.
    pub declaration: Arc<str>,
}

/// An entry of the log, decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes defaults and exceptions.
    Change(ConfigChange),
    /// Claims a call.
    Claim(Claim),
    /// Records the answer to a claimed call.
    Finish {
        /// The organisation that calls.
        organisation: OrganisationId,
        /// Its name for the call.
        key: IdempotencyKey,
        /// Who sent it.
        owner: Owner,
        /// What came back, or how far the call got.
        outcome: Result<Answer, Verdict>,
    },
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is in force from this revision on.
    Changed(Revision),
    /// The claim is the sender's: it may send the call once.
    Claimed,
}
