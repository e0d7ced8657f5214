use std::collections::BTreeMap;

use base::{HostId, LogIndex, Term};
use quorum::{ProposalId, ReadId};
use wire::leader::{LeaderAnswer, LeaderRequest};

use crate::peers::SubmitOutcome;

/// Requests that wait for the log.
#[derive(Default)]
pub(super) struct Waiting {
    next: u64,
    proposed: BTreeMap<ProposalId, Reply>,
    written: BTreeMap<LogIndex, Written>,
    reading: BTreeMap<ReadId, Reading>,
    readable: Vec<(LogIndex, Reading)>,
}

/// Takes what became of a request.
pub(super) struct Reply(flume::Sender<SubmitOutcome>);

struct Written {
    term: Term,
    reply: Reply,
}

/// A read that waits.
pub(super) struct Reading {
    pub request: LeaderRequest,
    pub reply: Reply,
}

impl Reply {
    pub(super) fn new(tx: flume::Sender<SubmitOutcome>) -> Self {
        Self(tx)
    }

    pub(super) fn answer(self, answer: &LeaderAnswer) {
        self.send(SubmitOutcome::Reply(answer.to_bytes()));
    }

    pub(super) fn not_written(self, leader: Option<HostId>) {
        self.send(SubmitOutcome::NotWritten { leader });
    }

    fn send(self, submitted: SubmitOutcome) {
        let _ = self.0.try_send(submitted);
    }
}

impl Waiting {
    /// Names a proposal whose sender waits.
    pub(super) fn propose(&mut self, reply: Reply) -> ProposalId {
        let id = ProposalId(self.next());
        self.proposed.insert(id, reply);
        id
    }

    /// Names a read whose sender waits.
    pub(super) fn read(&mut self, reading: Reading) -> ReadId {
        let id = ReadId(self.next());
        self.reading.insert(id, reading);
        id
    }

    /// Notes that a proposal was written to the log.
    pub(super) fn accepted(&mut self, id: ProposalId, index: LogIndex, term: Term) {
        let Some(reply) = self.proposed.remove(&id) else { return };
        // An earlier entry at `index` may survive elsewhere and still commit: its sender, whose
        // reply is dropped here, learns nothing.
        self.written.insert(index, Written { term, reply });
    }

    /// Returns the sender of a proposal that was not written.
    pub(super) fn refused(&mut self, id: ProposalId) -> Option<Reply> {
        self.proposed.remove(&id)
    }

    /// Returns the sender of the entry that was committed at `index`.
    ///
    /// A sender whose entry was replaced by one of another term is told that it was not written.
    pub(super) fn committed(&mut self, index: LogIndex, term: Term) -> Option<Reply> {
        let written = self.written.remove(&index)?;
        if written.term == term {
            return Some(written.reply);
        }
        written.reply.not_written(None);
        None
    }

    /// Forgets the senders of entries up to `index`, which a snapshot has replaced.
    pub(super) fn replaced_through(&mut self, index: LogIndex) {
        self.written = self.written.split_off(&index.next());
    }

    /// Notes that a read may be answered once `index` is applied.
    pub(super) fn read_ready(&mut self, id: ReadId, index: LogIndex) {
        if let Some(reading) = self.reading.remove(&id) {
            self.readable.push((index, reading));
        }
    }

    /// Returns the sender of a read that can't be answered here.
    pub(super) fn read_refused(&mut self, id: ReadId) -> Option<Reply> {
        self.reading.remove(&id).map(|reading| reading.reply)
    }

    /// Returns the reads that may be answered now that `applied` is applied.
    pub(super) fn readable(&mut self, applied: LogIndex) -> Vec<Reading> {
        let (now, later) = std::mem::take(&mut self.readable)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.readable = later;
        let now: Vec<(LogIndex, Reading)> = now;
        now.into_iter().map(|(_, reading)| reading).collect()
    }

    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
