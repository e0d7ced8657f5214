use std::collections::BTreeMap;

use base::{HostId, LogIndex, Term};

use crate::{Progress, Registration, VoterSet};

/// What a node does in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Writes the log.
    Leader,
}

/// A node's state as operators see it.
#[derive(Clone, Debug)]
pub struct Status {
    /// The term.
    pub term: Term,
    /// The role in it.
    pub role: Role,
    /// The leader, if known.
    pub leader: Option<HostId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry handed out to be applied.
    pub applied: LogIndex,
    /// The last entry of the log.
    pub last: LogIndex,
    /// The last entry that the snapshot covers.
    pub snapshot: LogIndex,
    /// The voters after the last entry.
    pub voters: VoterSet,
    /// Whether the last change of voters is committed.
    pub voters_committed: bool,
    /// Whether this node may vote from its folder.
    pub registration: Registration,
    /// What a leader knows of each voter and learner.
    pub progress: BTreeMap<HostId, Progress>,
}
