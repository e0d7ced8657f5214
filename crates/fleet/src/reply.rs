//! What commands of the replicated log lead to.

use std::{sync::Arc, time::Duration};

use base::{Author, ChangeId, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    PublishReply,
    command::{Owner, StoredResponse},
    declaration_error::DeclarationError,
};

/// A change that is or was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision it led to.
    pub revision: Revision,
    /// Its id.
    pub id: ChangeId,
    /// Who made it.
    pub author: Author,
    /// Why.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// What a change of configuration led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The change is in force from this revision on.
    Changed(Revision),
    /// Another change came first; nothing changed.
    Conflict {
        /// The change that took the expected revision's place, or the latest one if that is
        /// forgotten.
        winner: Option<ChangeRecord>,
        /// The revision in force.
        current: Revision,
    },
    /// The declaration is not valid; nothing changed.
    Invalid(DeclarationError),
    /// The reason is empty or too long; nothing changed.
    InvalidReason,
    /// The change id belongs to a change with other content; nothing changed.
    IdReused,
}

/// What a claim led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is the sender's: it may send the call once.
    Claimed {
        /// How long after it first proposed the claim the owner may still send, on the owner's own
        /// monotonic clock; past this it releases the claim.
        send_within: Duration,
    },
    /// Another attempt holds the claim.
    InProgress(Owner),
    /// The call ran and this came back.
    Finished(StoredResponse),
    /// The call ran by an operator's word; no answer is known.
    Ran,
    /// The call may have run.
    MayHaveRun {
        /// Since when its outcome is unknown.
        since: UnixMillis,
        /// Why.
        reason: MayHaveRunReason,
    },
    /// The call did not run and never will under this key.
    NotRun,
    /// This attempt was released before; nothing was sent under it.
    AttemptReleased,
    /// The key belongs to another request; this one did not run.
    KeyReused,
    /// The organisation has too many claims open; this call did not run.
    TooMany,
}

/// Why a call's outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MayHaveRunReason {
    /// Its owner lost the endpoint after it had begun to send.
    OutcomeLost,
    /// Its owner ended.
    OwnerGone,
}

/// What the report of an outcome led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReply {
    /// The outcome stands.
    Recorded,
    /// An outcome stands already; nothing changed.
    AlreadySettled,
    /// An operator has settled the call otherwise; the verdict stays, the conflict is kept.
    Conflict,
    /// The sender does not hold the claim; nothing changed.
    NotOwner,
    /// The call is not known; nothing changed.
    Unknown,
}

/// What the release of a claim led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The key may be claimed again.
    Released,
    /// The call is settled; nothing changed.
    AlreadySettled,
    /// The sender does not hold the claim; nothing changed.
    NotOwner,
    /// The call is not known; nothing changed.
    Unknown,
}

/// What an operator's settlement led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResolveReply {
    /// The settlement stands.
    Resolved,
    /// The owner may still send the call; ask again after this time.
    TooEarly {
        /// How long to wait.
        wait: Duration,
    },
    /// The call is settled already; nothing changed.
    AlreadySettled,
    /// The reason is empty or too long; nothing changed.
    InvalidReason,
    /// The call is not known; nothing changed.
    Unknown,
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To a change of configuration.
    Change(ChangeReply),
    /// To a claim.
    Claim(ClaimReply),
    /// To the report of an outcome.
    Finish(FinishReply),
    /// To the release of a claim.
    Release(ReleaseReply),
    /// To an operator's settlement.
    Resolve(ResolveReply),
    /// To the notice that an owner ended: how many claims were open.
    OwnerGone(u32),
    /// The command at this index was applied before; nothing changed.
    AlreadyApplied,
    /// To a numbered configuration.
    Publish(PublishReply),
    /// To the naming of weights: the version in force.
    Weights(u32),
}
