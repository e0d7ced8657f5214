use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, Term};
use serde::{Deserialize, Serialize};

use crate::{Entry, FolderId, FolderRecord, StartCount, VoterSet};

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: Term,
    /// The sender's folder.
    pub folder: FolderId,
    /// The number of registered starts of the sender's folder.
    pub starts: StartCount,
    /// The content.
    pub body: Body,
}

/// The sender of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender<'a> {
    pub(crate) host: &'a HostId,
    pub(crate) folder: FolderId,
    pub(crate) starts: StartCount,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote.
    Vote {
        /// The term for which the candidate campaigns.
        campaign: Term,
        /// The kind of vote.
        vote_kind: VoteKind,
        /// The receiver's folder according to the candidate's log.
        voter_folder: FolderId,
        /// The candidate's last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: Term,
    },
    /// Replies to [`Body::Vote`].
    VoteReply {
        /// The term of the request.
        campaign: Term,
        /// The kind of vote requested.
        vote_kind: VoteKind,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries, or none as a heartbeat.
    Append {
        /// The entry before the first.
        prev_index: LogIndex,
        /// That entry's term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's last committed entry.
        commit: LogIndex,
        /// The leader's clock, echoed in the reply without being interpreted.
        sent_at: Duration,
        /// The leader's records of the voters' folders.
        folder_records: Vec<(HostId, FolderRecord)>,
    },
    /// Replies to [`Body::Append`].
    AppendReply {
        /// Whether the entries were written.
        outcome: AppendOutcome,
        /// The leader's clock, echoed from the request.
        sent_at: Duration,
    },
    /// Transfers a chunk of a snapshot.
    Chunk {
        /// The last entry that the snapshot covers.
        last_index: LogIndex,
        /// That entry's term.
        last_term: Term,
        /// The voters after that entry.
        voters: VoterSet,
        /// The offset of this chunk, in bytes.
        offset: u64,
        /// The chunk.
        data: Arc<[u8]>,
        /// Whether it is the last chunk.
        done: bool,
        /// The leader's clock, echoed in the reply without being interpreted.
        sent_at: Duration,
    },
    /// Replies to [`Body::Chunk`].
    ChunkReply {
        /// The last entry that the snapshot covers.
        last_index: LogIndex,
        /// The number of contiguous bytes received.
        received: u64,
        /// The leader's clock, echoed from the request.
        sent_at: Duration,
    },
    /// Registers a start of the sender's folder; the message's term is the one found at the start.
    Register {
        /// The number of this start.
        starts: StartCount,
        /// The last entry found at the start.
        last_index: LogIndex,
    },
    /// Replies to [`Body::Register`].
    RegisterReply {
        /// The number of the start.
        starts: StartCount,
        /// Whether the folder holds at least what the voter has recorded of it.
        accepted: bool,
        /// The latest voters that the replying host knows to be committed.
        committed: Option<VotersAt>,
    },
    /// Makes the receiver campaign at once; the sender no longer leads.
    Campaign,
    /// Queries a founder for the state of the log in its folder.
    FoundingQuery,
    /// Replies to [`Body::FoundingQuery`].
    FoundingReply {
        /// The folder that sent the query.
        requester: FolderId,
        /// The state of the log in the replying folder.
        founding: FoundingState,
    },
    /// Reports, beside [`Body::RegisterReply`], a last change of voters not known to be committed.
    UncommittedVoters(VotersAt),
}

/// Voters, and the entry that set them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotersAt {
    /// The entry that set them.
    pub index: LogIndex,
    /// The voters.
    pub voters: VoterSet,
}

/// The kind of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Tests whether the candidate could win, without a vote.
    PreVote,
    /// Requests the vote.
    Vote,
    /// Requests the vote after a transfer by the last leader, which gave up its lease.
    Transfer,
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to here.
    Matched(LogIndex),
    /// The entry before the first one is missing or differs.
    Conflict {
        /// The entry that the leader assumed.
        prev_index: LogIndex,
        /// The entry from which the leader should continue.
        next: LogIndex,
    },
}

/// The state of the log in a folder, for founding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FoundingState {
    /// Nothing was ever written.
    Fresh,
    /// The log's first entry names these voters.
    Founded(VoterSet),
    /// The log was founded, and its first entry has been compacted away.
    Compacted,
}
