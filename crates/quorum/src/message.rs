use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, Term};
use serde::{Deserialize, Serialize};

use crate::{Entry, FolderId, Standing, StartCount, VoterSet};

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: Term,
    /// The sender's folder.
    pub folder: FolderId,
    /// How often the sender's folder has registered.
    pub starts: StartCount,
    /// What the sender says.
    pub body: Body,
}

/// Where a message comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender<'a> {
    pub(crate) host: &'a HostId,
    pub(crate) folder: FolderId,
    pub(crate) starts: StartCount,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote.
    Vote {
        /// The term that the candidate wants to lead.
        campaign: Term,
        /// How binding the vote is.
        ballot: Ballot,
        /// The folder from which the candidate's log lets the receiver vote.
        named: FolderId,
        /// The candidate's last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: Term,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// The term that was asked for.
        campaign: Term,
        /// The kind of vote that was asked for.
        ballot: Ballot,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Writes entries, or none as a heartbeat.
    Append {
        /// The entry before the first.
        prev_index: LogIndex,
        /// That entry's term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's last committed entry.
        commit: LogIndex,
        /// The leader's clock, returned unread.
        sent: Duration,
        /// What the leader remembers of the voters.
        standings: Vec<(HostId, Standing)>,
    },
    /// Answers [`Body::Append`].
    AppendReply {
        /// Whether the entries were written.
        outcome: AppendOutcome,
        /// The leader's clock as it came.
        sent: Duration,
    },
    /// Transfers a part of a snapshot.
    Chunk {
        /// The last entry that the snapshot covers.
        last_index: LogIndex,
        /// That entry's term.
        last_term: Term,
        /// The voters after that entry.
        voters: VoterSet,
        /// The position of this part, in bytes.
        offset: u64,
        /// The part.
        data: Arc<[u8]>,
        /// Whether it is the last part.
        done: bool,
        /// The leader's clock, returned unread.
        sent: Duration,
    },
    /// Answers [`Body::Chunk`].
    ChunkReply {
        /// The last entry that the snapshot covers.
        last_index: LogIndex,
        /// The bytes received without a gap.
        received: u64,
        /// The leader's clock as it came.
        sent: Duration,
    },
    /// Registers a start of the sender's folder; the message's term is the one found at the start.
    Register {
        /// The number of this start.
        starts: StartCount,
        /// The last entry found at the start.
        last_index: LogIndex,
    },
    /// Answers [`Body::Register`].
    RegisterReply {
        /// The number of the start.
        starts: StartCount,
        /// Whether the folder held all that the voter remembers of it.
        accepted: bool,
        /// The voters that were committed last, if those after the sender's log are.
        committed: Option<CommittedVoters>,
    },
    /// Tells the receiver to campaign at once; the sender no longer leads.
    Campaign,
    /// Asks a host named in the settings whether a log was founded.
    FoundingQuery,
    /// Answers [`Body::FoundingQuery`].
    FoundingReply {
        /// The folder that asked.
        asker: FolderId,
        /// What the host's folder holds.
        founding: Founding,
    },
}

/// Voters that are known to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedVoters {
    /// The entry that named them.
    pub index: LogIndex,
    /// The voters.
    pub voters: VoterSet,
}

/// How binding a vote is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ballot {
    /// Asks only whether the candidate could win.
    PreVote,
    /// Asks for the vote.
    Vote,
    /// Asks for the vote on the word of the last leader, which gave up its lease.
    Transfer,
}

/// Whether entries were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to here.
    Matched(LogIndex),
    /// The entry before the first is missing or another.
    Conflict {
        /// The entry that the leader assumed.
        prev_index: LogIndex,
        /// Where the leader should go on.
        next: LogIndex,
    },
}

/// What a folder holds of a founded log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Founding {
    /// Nothing was ever written.
    Fresh,
    /// The log's first entry names these voters.
    Founded(VoterSet),
    /// The log goes on, and its first entry is no longer held.
    Compacted,
}
