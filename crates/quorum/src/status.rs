use std::collections::BTreeMap;

use base::{HostId, LogIndex, Term};

use crate::{Progress, Registration, VoterSet};

/// A node's role in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for an election.
    Follower,
    /// Requests votes.
    Candidate,
    /// Appends to the log and replicates it.
    Leader,
}

/// A node's status, for operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// The term.
    pub term: Term,
    /// The role in that term.
    pub role: Role,
    /// The leader, if known.
    pub leader: Option<HostId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry passed to the driver to be applied.
    pub applied: LogIndex,
    /// The last entry of the log.
    pub last: LogIndex,
    /// The last entry that the snapshot covers.
    pub snapshot: LogIndex,
    /// The voters after the last entry.
    pub voters: VoterSet,
    /// Whether the last change of voters is committed.
    pub voters_committed: bool,
    /// The registration of this node's folder.
    pub registration: Registration,
    /// A leader's replication progress for each voter and learner.
    pub progress: BTreeMap<HostId, Progress>,
}
