use std::sync::Arc;

use base::{Author, ChangeId, HostId, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

use super::Voter;

/// The declaration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentDeclaration {
    /// Its revision; 0 is the built-in one.
    pub revision: Revision,
    /// The whole declaration, as TOML.
    pub toml: Arc<str>,
    /// Who made the last change.
    #[serde(default)]
    pub author: Option<Author>,
    /// When.
    #[serde(default)]
    pub at: Option<UnixMillis>,
    /// Why.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// Replaces the declaration if its revision is still the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The same on every resend.
    pub id: ChangeId,
    /// The revision that the author changed.
    pub expected: Revision,
    /// Who makes the change.
    pub author: Author,
    /// Why.
    pub reason: Arc<str>,
    /// The whole new declaration.
    pub toml: Arc<str>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ChangeResult {
    /// The change is in force.
    Applied {
        /// Its revision.
        revision: Revision,
    },
    /// Another change came first; nothing was changed.
    Conflict {
        /// The change that won.
        winner: HistoryEntry,
    },
    /// The change id stands for another change; nothing was changed.
    ReusedId {
        /// The change that has the id.
        first: HistoryEntry,
    },
    /// The declaration is not valid; nothing was changed.
    Invalid {
        /// The line at fault, from 1, if there is one.
        line: Option<u32>,
        /// What is wrong there.
        message: Arc<str>,
    },
}

impl ChangeResult {
    /// Returns the HTTP status that the answer goes with.
    pub fn status(&self) -> u16 {
        match self {
            Self::Applied { .. } => 200,
            Self::Conflict { .. } | Self::ReusedId { .. } => 409,
            Self::Invalid { .. } => 422,
        }
    }
}

/// The changes made, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Each change that is still kept.
    pub changes: Vec<HistoryEntry>,
}

/// A change that was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision it made.
    pub revision: Revision,
    /// Its identity.
    pub id: ChangeId,
    /// Who made it.
    pub author: Author,
    /// When.
    pub at: UnixMillis,
    /// Why.
    pub reason: Arc<str>,
}

/// The voters of the quorum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Each voter.
    pub voters: Vec<Voter>,
}

/// Adds or removes one voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterChangeRequest {
    /// What to do.
    pub change: VoterChange,
    /// Who asks for it.
    pub author: Author,
    /// Why.
    pub reason: Arc<str>,
}

/// A change of the voters; making it twice is the same as once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum VoterChange {
    /// Admits a host with its present data folder.
    Add {
        /// The host.
        host: HostId,
        /// Its data folder, in hexadecimal.
        folder: Arc<str>,
    },
    /// Takes a host's vote.
    Remove {
        /// The host.
        host: HostId,
    },
}
