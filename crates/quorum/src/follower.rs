use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, Term};
use rand::Rng;

use crate::{Action, AppendOutcome, Body, Entry, Node, Snapshot, VoterSet, Write};

/// A snapshot that is received in chunks.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    last_index: LogIndex,
    last_term: Term,
    voters: VoterSet,
    data: Vec<u8>,
}

/// A chunk of a snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotChunk<'a> {
    pub(crate) offset: u64,
    pub(crate) data: &'a [u8],
    pub(crate) done: bool,
    pub(crate) sent_at: Duration,
}

impl IncomingSnapshot {
    pub(crate) fn new(last_index: LogIndex, last_term: Term, voters: VoterSet) -> Self {
        Self { last_index, last_term, voters, data: Vec::new() }
    }

    fn is_same_snapshot(&self, other: &Self) -> bool {
        (self.last_index, self.last_term) == (other.last_index, other.last_term)
    }
}

impl<R: Rng> Node<R> {
    pub(crate) fn note_leader_contact(&mut self, leader: &HostId, actions: &mut Vec<Action>) {
        self.become_follower(self.hard.term, Some(leader.clone()), actions);
        self.last_leader_contact = self.now;
        self.defer_election();
    }

    /// Appends the leader's entries if the log holds the entry before them.
    pub(crate) fn append(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) -> AppendOutcome {
        if self.commit <= prev_index && self.log.term_at(prev_index) != Some(prev_term) {
            return self.conflict(prev_index);
        }
        let last = entries.last().map_or(prev_index, |entry| entry.index);
        let known = |entry: &Entry| {
            entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term)
        };
        let skipped = entries.iter().take_while(|entry| known(entry)).count();
        let written: Vec<Entry> = entries.into_iter().skip(skipped).collect();
        if let Some(first) = written.first() {
            self.log.truncate(first.index);
            self.write_entries(written, actions);
        }
        AppendOutcome::Matched(last)
    }

    pub(crate) fn advance_follower_commit(
        &mut self,
        outcome: AppendOutcome,
        commit: LogIndex,
        actions: &mut Vec<Action>,
    ) {
        let AppendOutcome::Matched(matched) = outcome else { return };
        self.commit = self.commit.max(commit.min(matched));
        self.apply_committed(actions);
    }

    /// Replies to a deposed leader, which steps down when it receives the newer term.
    pub(crate) fn reject_stale_leader(
        &self,
        from: &HostId,
        body: &Body,
        actions: &mut Vec<Action>,
    ) {
        let (prev_index, sent_at) = match body {
            Body::Append { prev_index, sent_at, .. } => (*prev_index, *sent_at),
            Body::Chunk { last_index, sent_at, .. } => (*last_index, *sent_at),
            _ => return,
        };
        let outcome = AppendOutcome::Conflict { prev_index, next: self.log.last_index().next() };
        self.send(from, Body::AppendReply { outcome, sent_at }, actions);
    }

    /// Adds a chunk to the incoming snapshot and returns the reply.
    pub(crate) fn receive_chunk(
        &mut self,
        target: IncomingSnapshot,
        chunk: SnapshotChunk<'_>,
        actions: &mut Vec<Action>,
    ) -> Body {
        let (last_index, sent_at) = (target.last_index, chunk.sent_at);
        let matched = AppendOutcome::Matched(last_index);
        if last_index <= self.commit {
            return Body::AppendReply { outcome: matched, sent_at };
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_same_snapshot(&target) => incoming,
            _ => target,
        };
        let fits = chunk.offset == incoming.data.len() as u64;
        if fits {
            incoming.data.extend_from_slice(chunk.data);
        }
        if fits && chunk.done {
            self.install(incoming, actions);
            return Body::AppendReply { outcome: matched, sent_at };
        }
        let received = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        Body::ChunkReply { last_index, received, sent_at }
    }

    /// Replaces the log up to `through`, which was applied, by a snapshot with `data`.
    pub(crate) fn compact(
        &mut self,
        through: LogIndex,
        data: Arc<[u8]>,
        actions: &mut Vec<Action>,
    ) {
        if self.applied < through || through <= self.log.snapshot_index() {
            return;
        }
        let Some(last_term) = self.log.term_at(through) else { return };
        let voters = self.log.voters_at(through);
        let snapshot = Snapshot { last_index: through, last_term, voters, data };
        self.log.compact(snapshot.clone());
        actions.push(Action::Write(Write::Snapshot(snapshot)));
    }

    fn conflict(&self, prev_index: LogIndex) -> AppendOutcome {
        let last = self.log.last_index();
        let next = if last < prev_index { last.next() } else { self.log.first_of_term(prev_index) };
        AppendOutcome::Conflict { prev_index, next: next.max(self.commit.next()) }
    }

    fn write_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.save_entries(entries, actions);
    }

    fn install(&mut self, incoming: IncomingSnapshot, actions: &mut Vec<Action>) {
        let IncomingSnapshot { last_index, last_term, voters, data } = incoming;
        let snapshot = Snapshot { last_index, last_term, voters, data: data.into() };
        self.log.install(snapshot.clone());
        self.commit = last_index;
        self.applied = last_index;
        actions.push(Action::Write(Write::Snapshot(snapshot.clone())));
        actions.push(Action::Restore(snapshot));
    }
}
