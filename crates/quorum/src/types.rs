use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use base::{HostId, LogIndex, ParseError, Term};
use serde::{Deserialize, Serialize};

/// The random identity of a data folder, drawn when the folder is created.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FolderId(u64);

impl FolderId {
    /// Wraps a random number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for FolderId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("folder id", text, "up to 16 hexadecimal digits"))
    }
}

/// The voters, each with the data folder from which it may vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// Folder of each voter.
    pub folders: BTreeMap<HostId, FolderId>,
}

impl VoterSet {
    /// Returns how many voters make a majority.
    pub fn majority(&self) -> usize {
        self.folders.len() / 2 + 1
    }

    /// Returns whether `host` may vote from `folder`.
    pub fn admits(&self, host: &HostId, folder: FolderId) -> bool {
        self.folders.get(host) == Some(&folder)
    }

    /// Returns whether the sets differ by exactly one added or removed voter.
    pub fn differs_by_one(&self, other: &Self) -> bool {
        let (small, large) =
            if self.folders.len() < other.folders.len() { (self, other) } else { (other, self) };
        small.folders.len() + 1 == large.folders.len()
            && small.folders.iter().all(|(host, folder)| large.admits(host, *folder))
    }

    /// Returns the highest value that a majority of the voters has reached.
    pub(crate) fn reached_by_majority<T: Ord + Default>(
        &self,
        value: impl Fn(&HostId, FolderId) -> T,
    ) -> T {
        let mut reached: Vec<T> =
            self.folders.iter().map(|(host, folder)| value(host, *folder)).collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        reached.into_iter().nth(self.majority() - 1).unwrap_or_default()
    }
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's index.
    pub index: LogIndex,
    /// The term of the leader that created it.
    pub term: Term,
    /// The entry's content.
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; the first entry of a leader's term.
    Empty,
    /// A command for the replicated state.
    Command(Arc<[u8]>),
    /// The voters from this entry on.
    Voters(VoterSet),
}

/// The state that a voter persists besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that the voter voted for in that term.
    pub voted_for: Option<HostId>,
    /// The number of process starts registered with the other voters for this folder.
    pub starts: StartCount,
    /// The minimum that each other voter's folder must hold.
    pub folder_records: BTreeMap<HostId, FolderRecord>,
    /// The newest change of voters that is known to be committed.
    pub committed_voters: LogIndex,
}

/// The number of registered process starts of one folder.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StartCount(pub u64);

/// The minimum that a voter's folder must hold, derived from its votes, acknowledgements and
/// registrations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderRecord {
    /// The folder.
    pub folder: FolderId,
    /// The number of the latest registered start.
    pub starts: StartCount,
    /// Whether it voted or acknowledged since that start; if so, that number can't register again.
    pub active: bool,
    /// The highest term in which it voted or acknowledged.
    pub term: Term,
    /// The highest entry that it acknowledged in that term.
    pub matched: LogIndex,
}

impl FolderRecord {
    /// Raises the record to an acknowledgement of `matched` in `term`.
    pub(crate) fn raise(&mut self, term: Term, matched: LogIndex) {
        if (self.term, self.matched) < (term, matched) {
            (self.term, self.matched) = (term, matched);
        }
    }

    /// Merges another voter's record of the same host; a record of another folder is ignored.
    pub(crate) fn merge(&mut self, other: &Self) {
        if self.folder != other.folder {
            return;
        }
        if self.starts < other.starts {
            (self.starts, self.active) = (other.starts, other.active);
        } else if self.starts == other.starts {
            self.active |= other.active;
        }
        self.raise(other.term, other.matched);
    }
}

/// The replicated state up to an entry, which replaces the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub last_index: LogIndex,
    /// That entry's term.
    pub last_term: Term,
    /// The voters after that entry.
    pub voters: VoterSet,
    /// The replicated state.
    pub data: Arc<[u8]>,
}

/// The content of a data folder at the start of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// The folder's identity.
    pub folder: FolderId,
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The driver's identifier of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// The driver's identifier of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);
