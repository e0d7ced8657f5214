use std::{fmt, sync::Arc};

use base::{HostId, LogIndex, Term};

use crate::{Entry, HardState, Message, ProposalId, ReadId, Snapshot, VoterSet};

/// What the driver tells the node.
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
    /// A command is to be written to the log.
    Propose {
        /// The driver's name for it.
        id: ProposalId,
        /// The command.
        command: Arc<[u8]>,
    },
    /// The voters are to be changed, by one host.
    ProposeVoters {
        /// The driver's name for it.
        id: ProposalId,
        /// The new voters.
        voters: VoterSet,
    },
    /// The replicated state is to be read as of now.
    Read {
        /// The driver's name for the read.
        id: ReadId,
    },
    /// The replicated state as of an applied entry, which may stand for the log up to there.
    Snapshot {
        /// The last entry that the state covers.
        through: LogIndex,
        /// The replicated state.
        data: Arc<[u8]>,
    },
    /// The hosts that a leader sends the log to besides the voters.
    Learners(Vec<HostId>),
    /// A leader is to hand over to another voter before it shuts down.
    Transfer,
}

/// What the node tells the driver.
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
        /// The driver's name for it.
        id: ProposalId,
        /// The entry's position.
        index: LogIndex,
        /// The entry's term.
        term: Term,
    },
    /// A proposal was not written.
    Refused {
        /// The driver's name for it.
        id: ProposalId,
        /// The leader, if known.
        leader: Option<HostId>,
        /// Why.
        refusal: Refusal,
    },
    /// A read may be answered once the entry at this index is applied.
    ReadReady {
        /// The driver's name for it.
        id: ReadId,
        /// The entry to wait for.
        index: LogIndex,
    },
    /// A read can't be answered here.
    ReadRefused {
        /// The driver's name for it.
        id: ReadId,
        /// The leader, if known.
        leader: Option<HostId>,
    },
}

/// What is to be written to a data folder.
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

/// Why a proposal was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This node does not lead.
    NotLeader,
    /// The leader is handing over.
    Transferring,
    /// The leader has not committed an entry of its own term.
    TermNotCommitted,
    /// A change of voters is not committed yet.
    ChangePending,
    /// The voters differ from the present ones by more than one host, or by none.
    NotOneChange,
    /// The new voter's folder does not follow the log closely enough.
    Lagging,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "this host does not lead",
            Self::Transferring => "the leader is handing over",
            Self::TermNotCommitted => "the leader has not committed an entry of its term yet",
            Self::ChangePending => "a change of voters is not committed yet",
            Self::NotOneChange => "voters are added or removed one at a time",
            Self::Lagging => "the new voter does not follow the log closely yet",
        })
    }
}
