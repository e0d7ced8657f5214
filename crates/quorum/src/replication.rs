use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, MonotonicTime};
use rand::Rng;

use crate::{
    Action, AppendOutcome, Body, Entry, Node, log::before, message::Sender, progress::ChunkProgress,
};

impl<R: Rng> Node<R> {
    /// Sends what each follower lacks, as far as its window allows.
    pub(crate) fn replicate_to_all(&mut self, actions: &mut Vec<Action>) {
        for host in self.followers() {
            self.replicate(&host, actions);
        }
    }

    /// Sends a message to each follower, also to those that lack nothing.
    pub(crate) fn heartbeat(&mut self, actions: &mut Vec<Action>) {
        for host in self.followers() {
            let Some(next) = self.next_for(&host) else { continue };
            if self.log.term_at(before(next)).is_none() {
                self.resume_chunks(&host, actions);
                continue;
            }
            self.send_append(&host, next, Vec::new(), true, actions);
        }
    }

    pub(crate) fn appended(
        &mut self,
        from: Sender<'_>,
        outcome: AppendOutcome,
        sent: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        let Some(progress) = leading.progress.get_mut(from.host) else { return };
        progress.answered(from.folder, MonotonicTime::new(sent));
        match outcome {
            AppendOutcome::Matched(index) => {
                progress.matched_through(index);
                self.note_promise(from, self.hard.term, index);
                self.advance_commit(actions);
            }
            AppendOutcome::Conflict { prev_index, next } => progress.conflicted(prev_index, next),
        }
        self.answer_reads(actions);
        self.replicate(from.host, actions);
        self.hand_over(actions);
    }

    pub(crate) fn chunk_taken(
        &mut self,
        from: Sender<'_>,
        last_index: LogIndex,
        received: u64,
        sent: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        let Some(progress) = leading.progress.get_mut(from.host) else { return };
        progress.answered(from.folder, MonotonicTime::new(sent));
        if let Some(chunk) = &mut progress.chunk
            && chunk.last_index == last_index
        {
            chunk.offset = received;
            chunk.waiting = false;
        }
        self.answer_reads(actions);
        self.replicate(from.host, actions);
    }

    fn followers(&self) -> Vec<HostId> {
        let leading = self.leading.as_ref();
        leading.map(|leading| leading.progress.keys().cloned().collect()).unwrap_or_default()
    }

    fn next_for(&self, host: &HostId) -> Option<LogIndex> {
        self.leading.as_ref()?.progress.get(host).map(|progress| progress.next)
    }

    fn replicate(&mut self, to: &HostId, actions: &mut Vec<Action>) {
        while let Some(leading) = &mut self.leading
            && let Some(progress) = leading.progress.get_mut(to)
        {
            let next = progress.next;
            if self.log.term_at(before(next)).is_none() {
                return self.send_chunk(to, actions);
            }
            if self.log.last_index() < next || progress.is_full() {
                return;
            }
            let entries = self.log.batch(next, self.cfg.max_batch);
            let Some(last) = entries.last() else { return };
            progress.sent_through(last.index);
            self.send_append(to, next, entries, false, actions);
        }
    }

    fn send_append(
        &self,
        to: &HostId,
        first: LogIndex,
        entries: Vec<Entry>,
        idle: bool,
        actions: &mut Vec<Action>,
    ) {
        let prev_index = before(first);
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        let known = self.hard.standings.iter().filter(|_| idle);
        let standings = known.map(|(host, standing)| (host.clone(), *standing)).collect();
        let (commit, sent) = (self.commit, self.now.since_origin());
        let body = Body::Append { prev_index, prev_term, entries, commit, sent, standings };
        self.send(to, body, actions);
    }

    fn resume_chunks(&mut self, to: &HostId, actions: &mut Vec<Action>) {
        let leading = self.leading.as_mut();
        let progress = leading.and_then(|leading| leading.progress.get_mut(to));
        if let Some(chunk) = progress.and_then(|progress| progress.chunk.as_mut()) {
            chunk.waiting = false;
        }
        self.send_chunk(to, actions);
    }

    fn send_chunk(&mut self, to: &HostId, actions: &mut Vec<Action>) {
        let Some(snapshot) = self.log.snapshot() else { return };
        let Some(leading) = &mut self.leading else { return };
        let Some(progress) = leading.progress.get_mut(to) else { return };
        let last_index = snapshot.last_index;
        let current = progress.chunk.filter(|chunk| chunk.last_index == last_index);
        let mut chunk = current.unwrap_or(ChunkProgress { last_index, offset: 0, waiting: false });
        if chunk.waiting {
            return;
        }
        let start = usize::try_from(chunk.offset).unwrap_or(0).min(snapshot.data.len());
        let end = snapshot.data.len().min(start + self.cfg.max_chunk);
        let data: Arc<[u8]> = snapshot.data[start..end].into();
        let body = Body::Chunk {
            last_index,
            last_term: snapshot.last_term,
            voters: snapshot.voters.clone(),
            offset: start as u64,
            data,
            done: end == snapshot.data.len(),
            sent: self.now.since_origin(),
        };
        chunk.waiting = true;
        progress.chunk = Some(chunk);
        self.send(to, body, actions);
    }
}
