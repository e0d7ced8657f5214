use std::sync::Arc;

use base::{Author, ChangeId, HostId, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

use super::Voter;

/// The declaration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentDeclaration {
    /// Its revision; 0 is the built-in declaration.
    pub revision: Revision,
    /// The whole declaration, as TOML.
    pub toml: Arc<str>,
    /// The author of the last change.
    #[serde(default)]
    pub author: Option<Author>,
    /// The time of the last change.
    #[serde(default)]
    pub at: Option<UnixMillis>,
    /// The reason for the last change.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// Request to replace the declaration, applied only if its revision is still the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id of the change; a retry carries the same id.
    pub id: ChangeId,
    /// The revision that the change is based on.
    pub expected: Revision,
    /// The author of the change.
    pub author: Author,
    /// The reason for the change.
    pub reason: Arc<str>,
    /// The whole new declaration.
    pub toml: Arc<str>,
}

/// Result of a change of the declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ChangeResult {
    /// The change is in force.
    Applied {
        /// Its revision.
        revision: Revision,
    },
    /// Another change was committed first; nothing was changed.
    Conflict {
        /// The change that was committed first.
        winner: HistoryEntry,
    },
    /// The change id was used by a different change; nothing was changed.
    ReusedId {
        /// The change that used the id first.
        first: HistoryEntry,
    },
    /// The declaration is not valid; nothing was changed.
    Invalid {
        /// The line of the error, counted from 1, if known.
        line: Option<u32>,
        /// Description of the error.
        message: Arc<str>,
    },
}

impl ChangeResult {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Applied { .. } => 200,
            Self::Conflict { .. } | Self::ReusedId { .. } => 409,
            Self::Invalid { .. } => 422,
        }
    }
}

/// The history of changes, newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The changes that are still retained.
    pub changes: Vec<HistoryEntry>,
}

/// A committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision it created.
    pub revision: Revision,
    /// Its id.
    pub id: ChangeId,
    /// Its author.
    pub author: Author,
    /// The time it was made.
    pub at: UnixMillis,
    /// The reason for it.
    pub reason: Arc<str>,
}

/// The voters of the quorum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// The voters.
    pub voters: Vec<Voter>,
}

/// Request to add or remove one voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterChangeRequest {
    /// The change of the voter set.
    pub change: VoterChange,
    /// The author of the request.
    pub author: Author,
    /// The reason for it.
    pub reason: Arc<str>,
}

/// A change of the voter set; idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum VoterChange {
    /// Adds a host as a voter with its current data folder.
    Add {
        /// The host.
        host: HostId,
        /// Its data folder, in hexadecimal.
        folder: Arc<str>,
    },
    /// Removes a voter.
    Remove {
        /// The host.
        host: HostId,
    },
}
