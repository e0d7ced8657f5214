//! Requests that wait for the log or for a confirmed read.

use std::collections::BTreeMap;

use base::{HostId, LogIndex, Term};
use quorum::{ProposalId, ReadId};
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::peers::SubmitOutcome;

/// Proposals and reads that wait for the log.
#[derive(Default)]
pub(super) struct PendingRequests {
    last_id: u64,
    proposed: BTreeMap<ProposalId, ReplySender>,
    appended: BTreeMap<LogIndex, AppendedProposal>,
    reads: BTreeMap<ReadId, PendingRead>,
    readable: Vec<(LogIndex, PendingRead)>,
}

/// Sends the outcome of a request to its sender.
pub(super) struct ReplySender(flume::Sender<SubmitOutcome>);

struct AppendedProposal {
    term: Term,
    reply: ReplySender,
}

/// A read that waits for its index.
pub(super) struct PendingRead {
    pub request: LeaderRequest,
    pub reply: ReplySender,
}

impl ReplySender {
    pub(super) fn new(tx: flume::Sender<SubmitOutcome>) -> Self {
        Self(tx)
    }

    pub(super) fn respond(self, response: &LeaderResponse) {
        self.send(SubmitOutcome::Reply(response.to_bytes()));
    }

    pub(super) fn not_written(self, leader: Option<HostId>) {
        self.send(SubmitOutcome::NotWritten { leader });
    }

    fn send(self, submitted: SubmitOutcome) {
        let _ = self.0.try_send(submitted);
    }
}

impl PendingRequests {
    /// Adds a proposal and returns its id.
    pub(super) fn propose(&mut self, reply: ReplySender) -> ProposalId {
        let id = ProposalId(self.next_id());
        self.proposed.insert(id, reply);
        id
    }

    /// Adds a read and returns its id.
    pub(super) fn read(&mut self, read: PendingRead) -> ReadId {
        let id = ReadId(self.next_id());
        self.reads.insert(id, read);
        id
    }

    /// Records that a proposal was appended to the log.
    pub(super) fn accepted(&mut self, id: ProposalId, index: LogIndex, term: Term) {
        let Some(reply) = self.proposed.remove(&id) else { return };
        // An earlier proposal at `index` may survive on another host and still commit, so its reply
        // sender is dropped without an outcome.
        self.appended.insert(index, AppendedProposal { term, reply });
    }

    /// Returns the reply sender of a proposal that was not appended.
    pub(super) fn refused(&mut self, id: ProposalId) -> Option<ReplySender> {
        self.proposed.remove(&id)
    }

    /// Returns the reply sender of the entry that was committed at `index`.
    ///
    /// If an entry of another term replaced the proposal, reports that it was not written.
    pub(super) fn committed(&mut self, index: LogIndex, term: Term) -> Option<ReplySender> {
        let appended = self.appended.remove(&index)?;
        if appended.term == term {
            return Some(appended.reply);
        }
        appended.reply.not_written(None);
        None
    }

    /// Drops the reply senders of entries up to `index`, which a snapshot has replaced.
    pub(super) fn replaced_through(&mut self, index: LogIndex) {
        self.appended = self.appended.split_off(&index.next());
    }

    /// Records that a read can be served once `index` is applied.
    pub(super) fn read_ready(&mut self, id: ReadId, index: LogIndex) {
        if let Some(read) = self.reads.remove(&id) {
            self.readable.push((index, read));
        }
    }

    /// Returns the reply sender of a read that can't be served here.
    pub(super) fn read_refused(&mut self, id: ReadId) -> Option<ReplySender> {
        self.reads.remove(&id).map(|read| read.reply)
    }

    /// Removes and returns the reads that can be served once `applied` is applied.
    pub(super) fn take_readable(&mut self, applied: LogIndex) -> Vec<PendingRead> {
        let (now, later) = std::mem::take(&mut self.readable)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.readable = later;
        let now: Vec<(LogIndex, PendingRead)> = now;
        now.into_iter().map(|(_, read)| read).collect()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
