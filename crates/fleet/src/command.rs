//! The commands of the replicated log.

use std::{fmt, str::FromStr, sync::Arc};

use base::{
    Author, ChangeId, Digest, HostId, IdempotencyKey, Incarnation, OrganisationId, ParseError,
    Revision, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{DesiredWeights, Publication};

/// The process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (incarnation {})", self.host, self.incarnation)
    }
}

/// The identity of one attempt to claim a call, the same on every resend of that attempt.
///
/// Its owner makes it, unique over all its incarnations.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimId(u128);

impl ClaimId {
    /// Wraps a plain number.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ClaimId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("claim id", text, "up to 32 hexadecimal digits"))
    }
}

/// An organisation's name for one call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// The organisation that calls.
    pub organisation: OrganisationId,
    /// Its name for the call.
    pub key: IdempotencyKey,
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.organisation, self.key)
    }
}

/// A claim to send a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub call: CallKey,
    /// Digest of method, path and body.
    pub request: Digest,
    /// The attempt.
    pub id: ClaimId,
    /// Who will send it.
    pub owner: Owner,
    /// When it was claimed.
    pub at: UnixMillis,
}

/// What an endpoint answered to a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<Arc<str>>,
    /// Body, unless it was too large to keep.
    pub body: Option<Arc<[u8]>>,
}

/// How a call that was sent ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint answered.
    Answered(StoredResponse),
    /// The call was sent, and its outcome is unknown.
    Unknown,
}

/// A report of a claim's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The call.
    pub call: CallKey,
    /// The attempt.
    pub id: ClaimId,
    /// Who sent it.
    pub owner: Owner,
    /// What came back.
    pub outcome: Outcome,
    /// When.
    pub at: UnixMillis,
}

/// The word of a claim's owner that it sent nothing and never will under this claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The call.
    pub call: CallKey,
    /// Digest of method, path and body.
    pub request: Digest,
    /// The attempt.
    pub id: ClaimId,
    /// Who held it.
    pub owner: Owner,
    /// When.
    pub at: UnixMillis,
}

/// What an operator found out about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
}

/// An operator's settlement of a call that stayed open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolve {
    /// The call.
    pub call: CallKey,
    /// What the operator found.
    pub resolution: Resolution,
    /// Who found it.
    pub author: Author,
    /// How.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// The notice that processes of a host have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerGone {
    /// The last incarnation that ended; earlier ones have ended too.
    pub owner: Owner,
    /// When.
    pub at: UnixMillis,
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
///
/// The leader stamps each command with its own clock when it appends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes defaults and exceptions.
    Change(ConfigChange),
    /// Claims a call.
    Claim(Claim),
    /// Records the outcome of a claimed call.
    Finish(Finish),
    /// Gives a claim back unused.
    Release(Release),
    /// Settles a call by an operator's word.
    Resolve(Resolve),
    /// Marks the open claims of processes that ended.
    OwnerGone(OwnerGone),
    /// Puts a numbered configuration in force.
    Publish(Publication),
    /// Names the weights that engines are to have.
    SetDesiredWeights(DesiredWeights),
}
