use std::{fmt, sync::Arc};

use base::{HostId, LogIndex, Term};

use crate::{Entry, HardState, Message, ProposalId, ReadId, Snapshot, VoterSet};

/// An input from the driver to the node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// Proposes a command.
    Propose {
        /// The driver's identifier of the proposal.
        id: ProposalId,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Proposes a change of voters by one host.
    ProposeVoters {
        /// The driver's identifier of the proposal.
        id: ProposalId,
        /// The new voters.
        voters: VoterSet,
    },
    /// Requests a linearizable read of the replicated state.
    Read {
        /// The driver's identifier of the read.
        id: ReadId,
    },
    /// A snapshot of the replicated state as of an applied entry, with which the log is compacted.
    Snapshot {
        /// The last entry that the state covers.
        through: LogIndex,
        /// The replicated state.
        data: Arc<[u8]>,
    },
    /// The hosts to which a leader replicates the log besides the voters.
    Learners(Vec<HostId>),
    /// Transfers the leadership to another voter, before a shutdown.
    Transfer,
}

/// An action that the driver carries out for the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make something durable.
    Write(Write),
    /// Replace the replicated state by the snapshot's.
    Restore(Snapshot),
    /// Send a message.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Apply committed entries to the replicated state.
    Apply(Vec<Entry>),
    /// A proposal was written at this index; it commits when that entry of this term is applied.
    Accepted {
        /// The driver's identifier of the proposal.
        id: ProposalId,
        /// The entry's index.
        index: LogIndex,
        /// The entry's term.
        term: Term,
    },
    /// A proposal was not written.
    Refused {
        /// The driver's identifier of the proposal.
        id: ProposalId,
        /// The leader, if known.
        leader: Option<HostId>,
        /// The reason.
        refusal: Refusal,
    },
    /// The read can be served once the entry at this index is applied.
    ReadReady {
        /// The driver's identifier of the read.
        id: ReadId,
        /// The entry to wait for.
        index: LogIndex,
    },
    /// The read can't be served by this node.
    ReadRefused {
        /// The driver's identifier of the read.
        id: ReadId,
        /// The leader, if known.
        leader: Option<HostId>,
    },
}

/// A write to the data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Term, vote and entries; the log after the entry before the first is dropped.
    Log {
        /// Term and vote, if changed.
        hard_state: Option<HardState>,
        /// Entries to write.
        entries: Vec<Entry>,
    },
    /// A snapshot that replaces the log up to its last entry.
    ///
    /// Entries after it stay only if the log held that entry with the snapshot's term.
    Snapshot(Snapshot),
}

/// The reason why a proposal was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This node does not lead.
    NotLeader,
    /// The leader is transferring its leadership.
    Transferring,
    /// The leader has not committed an entry of its own term.
    TermNotCommitted,
    /// A change of voters is not committed yet.
    ChangePending,
    /// The proposed voters differ from the current ones by more than one host, or by none.
    NotOneChange,
    /// The new voter's folder does not follow the log closely enough.
    Lagging,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "this host does not lead",
            Self::Transferring => "the leader is transferring its leadership",
            Self::TermNotCommitted => "the leader has not committed an entry of its term yet",
            Self::ChangePending => "a change of voters is not committed yet",
            Self::NotOneChange => "voters are added or removed one at a time",
            Self::Lagging => "the new voter does not follow the log closely yet",
        })
    }
}
