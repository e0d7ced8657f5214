//! Commands in the replicated log.

use std::{fmt, str::FromStr, sync::Arc};

use base::{
    Author, ChangeId, Digest, HostId, IdempotencyKey, Incarnation, OrganisationId, ParseError,
    Revision, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{Departure, DesiredWeights, Publication};

/// The process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (incarnation {})", self.host, self.incarnation)
    }
}

/// The id of one attempt to claim a call, the same each time the attempt is resent.
///
/// Chosen by the owner; unique across all its incarnations.
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

/// An organisation's idempotency key for one call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// Its idempotency key.
    pub key: IdempotencyKey,
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.organisation, self.key)
    }
}

/// A claim to send a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub call: CallKey,
    /// Digest of method, path and body.
    pub request: Digest,
    /// The attempt.
    pub id: ClaimId,
    /// The process that will send the call.
    pub owner: Owner,
    /// When the claim was made.
    pub at: UnixMillis,
}

/// An endpoint's response to a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<Arc<str>>,
    /// Body, unless it was too large to store.
    pub body: Option<Arc<[u8]>>,
}

/// The outcome of a call that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint responded.
    Answered(StoredResponse),
    /// The endpoint was lost before it responded.
    Unknown,
}

/// The owner's report of a claimed call's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The call.
    pub call: CallKey,
    /// The attempt.
    pub id: ClaimId,
    /// The process that sent it.
    pub owner: Owner,
    /// The outcome.
    pub outcome: Outcome,
    /// When.
    pub at: UnixMillis,
}

/// The owner's release of a claim under which it sent nothing and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The call.
    pub call: CallKey,
    /// Digest of method, path and body.
    pub request: Digest,
    /// The attempt.
    pub id: ClaimId,
    /// The process that held the claim.
    pub owner: Owner,
    /// When.
    pub at: UnixMillis,
}

/// An operator's verdict on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
}

/// An operator's settlement of a call whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolve {
    /// The call.
    pub call: CallKey,
    /// Whether the call ran.
    pub resolution: Resolution,
    /// The operator.
    pub author: Author,
    /// The reason given.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// A notice that processes of a host have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerGone {
    /// The last incarnation that ended; earlier ones have ended too.
    pub owner: Owner,
    /// When.
    pub at: UnixMillis,
}

/// A change of the declared settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The change id, the same each time the change is resent.
    pub id: ChangeId,
    /// The revision that the change is based on.
    pub expected: Revision,
    /// The author.
    pub author: Author,
    /// The reason given.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
    /// The whole declaration, as TOML.
    pub declaration: Arc<str>,
}

/// A decoded log entry.
///
/// The leader sets the timestamp of each command from its own clock when it appends the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the declared settings.
    Change(ConfigChange),
    /// Claims a call.
    Claim(Claim),
    /// Records the outcome of a claimed call.
    Finish(Finish),
    /// Releases an unused claim.
    Release(Release),
    /// Settles a call on an operator's behalf.
    Resolve(Resolve),
    /// Marks the outcome of ended processes' open claims as unknown.
    OwnerGone(OwnerGone),
    /// Publishes a numbered configuration.
    Publish(Publication),
    /// Sets the version of a model's weights that engines should load.
    SetDesiredWeights(DesiredWeights),
    /// Records that an endpoint leaves.
    Depart(Departure),
}
