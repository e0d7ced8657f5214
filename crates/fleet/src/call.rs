//! The state of one non-idempotent call.

use std::time::Duration;

use base::{Author, Digest, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    command::{ClaimId, Owner, Resolution, StoredResponse},
    ledger::RESOLVE_MARGIN,
    reply::MayHaveRunReason,
};

/// A non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Digest of method, path and body.
    pub request: Digest,
    /// Its state.
    pub state: CallState,
    /// When it entered this state, by the ledger's clock.
    pub since: UnixMillis,
    /// A response that arrived after an operator had settled the call.
    pub conflict: Option<Conflict>,
}

impl Call {
    pub(crate) fn new(request: Digest, state: CallState, since: UnixMillis) -> Self {
        Self { request, state, since, conflict: None }
    }
}

/// The state of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// An owner holds the claim and may send the call.
    Claimed(GrantedClaim),
    /// It ran and this response was recorded.
    Finished(GrantedClaim, StoredResponse),
    /// Its outcome is unknown.
    MayHaveRun(GrantedClaim, MayHaveRunReason),
    /// Its owner released the claim without sending; it may be claimed again.
    Released,
    /// An operator has settled it; this is final.
    Resolved(GrantedClaim, Resolved),
}

/// A claim that was granted to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedClaim {
    /// The attempt.
    pub id: ClaimId,
    /// The process that may send the call.
    pub owner: Owner,
    /// When the claim was granted, by the ledger's clock.
    pub claimed_at: UnixMillis,
    /// How long after its proposal of the claim the owner may begin to send.
    pub send_within: Duration,
}

/// An operator's settlement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// Whether the call ran.
    pub resolution: Resolution,
    /// The operator.
    pub author: Author,
    /// The reason given.
    pub reason: std::sync::Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// A response that arrived after an operator had settled the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The response's HTTP status.
    pub status: u16,
    /// When it was reported.
    pub at: UnixMillis,
}

impl CallState {
    /// Returns whether an owner holds the claim.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Claimed(_))
    }

    /// Returns whether the call's outcome is unknown so far.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::Claimed(_) | Self::MayHaveRun(..))
    }

    pub(crate) fn body_bytes(&self) -> usize {
        match self {
            Self::Finished(_, response) => response.body.as_ref().map_or(0, |body| body.len()),
            _ => 0,
        }
    }
}

impl GrantedClaim {
    pub(crate) fn matches(&self, id: ClaimId, owner: &Owner) -> bool {
        self.id == id && self.owner == *owner
    }

    /// Returns whether `owner` is a later incarnation on the same host, so the holder has ended.
    pub(crate) fn is_superseded_by(&self, owner: &Owner) -> bool {
        self.owner.host == owner.host && self.owner.incarnation < owner.incarnation
    }

    /// Returns whether the end of `ended` implies that the holder has ended: it is that process or
    /// an earlier incarnation on the same host.
    pub(crate) fn has_ended_with(&self, ended: &Owner) -> bool {
        self.owner.host == ended.host && self.owner.incarnation <= ended.incarnation
    }

    /// Returns how long the owner might still send the call, plus [`RESOLVE_MARGIN`].
    pub(crate) fn time_until_resolvable(&self, now: UnixMillis) -> Duration {
        let needed = self.send_within.saturating_add(RESOLVE_MARGIN);
        needed.saturating_sub(now.saturating_since(self.claimed_at))
    }
}
