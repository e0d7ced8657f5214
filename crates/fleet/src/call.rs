//! What is known of one call that may not be repeated.

use std::time::Duration;

use base::{Author, Digest, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    command::{ClaimId, Owner, Resolution, StoredResponse},
    ledger::RESOLVE_MARGIN,
    reply::MayHaveRunReason,
};

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Digest of method, path and body.
    pub request: Digest,
    /// How far the call got.
    pub state: CallState,
    /// Since when it stands so, by the ledger's time.
    pub since: UnixMillis,
    /// An answer that came after an operator had settled the call.
    pub conflict: Option<Conflict>,
}

impl Call {
    pub(crate) fn new(request: Digest, state: CallState, since: UnixMillis) -> Self {
        Self { request, state, since, conflict: None }
    }
}

/// How far a call got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// An owner may send it.
    Claimed(GrantedClaim),
    /// It ran, and this came back.
    Finished(GrantedClaim, StoredResponse),
    /// It may have run.
    MayHaveRun(GrantedClaim, MayHaveRunReason),
    /// Its owner sent nothing; it may be claimed again.
    Released,
    /// An operator has settled it for good.
    Resolved(GrantedClaim, Resolved),
}

/// A claim that was given to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedClaim {
    /// The attempt.
    pub id: ClaimId,
    /// Who may send the call.
    pub owner: Owner,
    /// When the claim was given, by the ledger's time.
    pub claimed_at: UnixMillis,
    /// How long the owner may still send.
    pub send_within: Duration,
}

/// An operator's settlement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// What the operator found.
    pub resolution: Resolution,
    /// Who found it.
    pub author: Author,
    /// How.
    pub reason: std::sync::Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// An answer that came after an operator had settled the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The answer's HTTP status.
    pub status: u16,
    /// When it was reported.
    pub at: UnixMillis,
}

impl CallState {
    /// Returns whether an owner may still send the call.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Claimed(_))
    }

    /// Returns whether the call's outcome is not known yet.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::Claimed(_) | Self::MayHaveRun(..))
    }

    pub(crate) fn body_bytes(&self) -> usize {
        match self {
            Self::Finished(_, answer) => answer.body.as_ref().map_or(0, |body| body.len()),
            _ => 0,
        }
    }
}

impl GrantedClaim {
    pub(crate) fn matches(&self, id: ClaimId, owner: &Owner) -> bool {
        self.id == id && self.owner == *owner
    }

    /// Returns whether `owner` is a later life of the same host, so that the holder has ended.
    pub(crate) fn is_superseded_by(&self, owner: &Owner) -> bool {
        self.owner.host == owner.host && self.owner.incarnation < owner.incarnation
    }

    /// Returns whether the holder ended when `ended`, or a later life of its host, did.
    pub(crate) fn has_ended_with(&self, ended: &Owner) -> bool {
        self.owner.host == ended.host && self.owner.incarnation <= ended.incarnation
    }

    /// Returns how long the owner might still send the call, with a margin.
    pub(crate) fn time_until_resolvable(&self, now: UnixMillis) -> Duration {
        let needed = self.send_within.saturating_add(RESOLVE_MARGIN);
        needed.saturating_sub(now.saturating_since(self.claimed_at))
    }
}
