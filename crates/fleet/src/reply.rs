//! Replies to commands in the replicated log.

use std::{sync::Arc, time::Duration};

use base::{Author, ChangeId, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    PublishReply,
    command::{Owner, StoredResponse},
    declaration_error::DeclarationError,
};

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The revision that it created.
    pub revision: Revision,
    /// Its id.
    pub id: ChangeId,
    /// The author.
    pub author: Author,
    /// The reason given.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// The reply to a change of configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The change created this revision.
    Changed(Revision),
    /// Another change was accepted first; nothing changed.
    Conflict {
        /// The change that was accepted on the expected revision, or the latest one if that is no
        /// longer in the history.
        winner: Option<ChangeRecord>,
        /// The current revision.
        current: Revision,
    },
    /// The declaration is not valid; nothing changed.
    Invalid(DeclarationError),
    /// The reason is empty or too long; nothing changed.
    InvalidReason,
    /// The change id was used before with other content; nothing changed.
    IdReused,
}

/// The reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Granted: the owner may send the call once.
    Claimed {
        /// How long after it first proposed the claim the owner may begin to send, on its own
        /// monotonic clock; after that it must release the claim.
        send_within: Duration,
    },
    /// Another attempt holds the claim.
    InProgress(Owner),
    /// The call ran; this is its response.
    Finished(StoredResponse),
    /// An operator settled the call as run; no response is stored.
    Ran,
    /// The call may have run.
    MayHaveRun {
        /// When its outcome became unknown.
        since: UnixMillis,
        /// The reason.
        reason: MayHaveRunReason,
    },
    /// The call did not run and can no longer run under this key.
    NotRun,
    /// This attempt was released before; nothing was sent under it.
    AttemptReleased,
    /// The key was used for another request; this one did not run.
    KeyReused,
    /// Too many claims are open or calls stored; this call did not run.
    TooMany,
}

/// Why a call's outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MayHaveRunReason {
    /// Its owner lost the endpoint after it began to send.
    OutcomeLost,
    /// Its owner's process ended.
    OwnerGone,
}

/// The reply to the report of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReply {
    /// The outcome was recorded.
    Recorded,
    /// An outcome was recorded before; nothing changed.
    AlreadySettled,
    /// An operator settled the call as not run; the verdict stays and the conflict is recorded.
    Conflict,
    /// The sender does not hold the claim; nothing changed.
    NotOwner,
    /// No such call is stored; nothing changed.
    Unknown,
}

/// The reply to the release of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The key may be claimed again.
    Released,
    /// The call is settled; nothing changed.
    AlreadySettled,
    /// The sender does not hold the claim; nothing changed.
    NotOwner,
    /// No such call is stored and the ledger is too full to record the release; nothing changed.
    Unknown,
}

/// The reply to an operator's settlement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResolveReply {
    /// The settlement was recorded.
    Resolved,
    /// The owner may still send the call; retry after `wait`.
    TooEarly {
        /// Time until the call can be settled as not run.
        wait: Duration,
    },
    /// The call is settled already; nothing changed.
    AlreadySettled,
    /// The reason is empty or too long; nothing changed.
    InvalidReason,
    /// No such call is stored; nothing changed.
    Unknown,
}

/// The reply to a command.
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
    /// To the notice that an owner ended: the number of its open claims.
    OwnerGone(u32),
    /// The command at this index was applied before; nothing changed.
    AlreadyApplied,
    /// To a numbered configuration.
    Publish(PublishReply),
    /// To desired weights: the model's resulting version.
    Weights(u32),
    /// To the departure of an endpoint: it is recorded.
    Departed,
}
