use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, MonotonicTime, Term};
use rand::Rng;

use crate::{Entry, HardState, Message, ProposalId, ReadId, Restored, Snapshot, VoterSet};

/// A node's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// Shortest time without a leader before an election; each draw is up to twice as long.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
}

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
    /// The replicated state is to be read as of now.
    Read {
        /// The driver's name for the read.
        id: ReadId,
    },
}

/// What the node tells the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write term, vote and entries; the log after the entry before the first is dropped.
    Persist {
        /// Term and vote, if changed.
        hard_state: Option<HardState>,
        /// Entries to write.
        entries: Vec<Entry>,
    },
    /// Replace the log up to the snapshot's last entry.
    SaveSnapshot(Snapshot),
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
    /// A proposal was not written, since this node does not lead.
    Refused {
        /// The driver's name for it.
        id: ProposalId,
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// A read may be answered once the entry at this index is applied.
    ReadReady {
        /// The driver's name for it.
        id: ReadId,
        /// The entry to wait for.
        index: LogIndex,
    },
}

/// A voter's or follower's part in the replicated log.
#[derive(Debug)]
pub struct Node<R> {
    cfg: Config,
    rng: R,
    restored: Restored,
    voters: VoterSet,
}

impl<R: Rng> Node<R> {
    /// Creates a node from what its data folder held.
    pub fn new(cfg: Config, restored: Restored, _now: MonotonicTime, rng: R) -> Self {
        Self { cfg, rng, restored, voters: VoterSet::default() }
    }

    /// Takes one input and adds the actions that follow from it to `actions`.
    pub fn step(&mut self, _now: MonotonicTime, _input: Input, _actions: &mut Vec<Action>) {
        let _ = (&self.cfg, &mut self.rng, &self.restored, &self.voters);
    }
}
