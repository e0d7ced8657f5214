use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, MonotonicTime};
use rand::Rng;

use crate::{
    Action, AppendOutcome, Body, Entry, Node, log::before, message::Sender, progress::ChunkProgress,
};

impl<R: Rng> Node<R> {
    /// Sends each follower the entries that it lacks, as far as its window allows.
    pub(crate) fn replicate_to_all(&mut self, actions: &mut Vec<Action>) {
        for host in self.followers() {
            self.replicate(&host, actions);
        }
    }

    /// Sends a heartbeat, or a snapshot chunk, to each follower, also to those that lack nothing.
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

    pub(crate) fn handle_append_reply(
        &mut self,
        from: Sender<'_>,
        outcome: AppendOutcome,
        sent_at: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(progress) = leader_state.progress.get_mut(from.host) else { return };
        progress.record_reply(from.folder, MonotonicTime::new(sent_at));
        match outcome {
            AppendOutcome::Matched(index) => {
                progress.mark_matched(index);
                self.record_activity(from, self.hard.term, index);
                self.advance_commit(actions);
            }
            AppendOutcome::Conflict { prev_index, next } => {
                progress.mark_conflict(prev_index, next)
            }
        }
        self.release_reads(actions);
        self.replicate(from.host, actions);
        self.try_transfer(actions);
    }

    pub(crate) fn handle_chunk_reply(
        &mut self,
        from: Sender<'_>,
        last_index: LogIndex,
        received: u64,
        sent_at: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(progress) = leader_state.progress.get_mut(from.host) else { return };
        progress.record_reply(from.folder, MonotonicTime::new(sent_at));
        if let Some(chunk) = &mut progress.chunk
            && chunk.last_index == last_index
        {
            chunk.offset = received;
            chunk.waiting = false;
        }
        self.release_reads(actions);
        self.replicate(from.host, actions);
    }

    fn followers(&self) -> Vec<HostId> {
        let leader_state = self.leader_state.as_ref();
        leader_state
            .map(|leader_state| leader_state.progress.keys().cloned().collect())
            .unwrap_or_default()
    }

    fn next_for(&self, host: &HostId) -> Option<LogIndex> {
        self.leader_state.as_ref()?.progress.get(host).map(|progress| progress.next)
    }

    fn replicate(&mut self, to: &HostId, actions: &mut Vec<Action>) {
        while let Some(leader_state) = &mut self.leader_state
            && let Some(progress) = leader_state.progress.get_mut(to)
        {
            let next = progress.next;
            if self.log.term_at(before(next)).is_none() {
                return self.send_chunk(to, actions);
            }
            if self.log.last_index() < next || progress.is_full() {
                return;
            }
            let entries = self.log.batch(next, self.cfg.max_batch_bytes);
            let Some(last) = entries.last() else { return };
            progress.mark_sent(last.index);
            self.send_append(to, next, entries, false, actions);
        }
    }

    fn send_append(
        &self,
        to: &HostId,
        first: LogIndex,
        entries: Vec<Entry>,
        is_heartbeat: bool,
        actions: &mut Vec<Action>,
    ) {
        let prev_index = before(first);
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        let known = self.hard.folder_records.iter().filter(|_| is_heartbeat);
        let folder_records = known.map(|(host, record)| (host.clone(), *record)).collect();
        let (commit, sent_at) = (self.commit, self.now.since_origin());
        let body = Body::Append { prev_index, prev_term, entries, commit, sent_at, folder_records };
        self.send(to, body, actions);
    }

    fn resume_chunks(&mut self, to: &HostId, actions: &mut Vec<Action>) {
        let leader_state = self.leader_state.as_mut();
        let progress = leader_state.and_then(|leader_state| leader_state.progress.get_mut(to));
        if let Some(chunk) = progress.and_then(|progress| progress.chunk.as_mut()) {
            chunk.waiting = false;
        }
        self.send_chunk(to, actions);
    }

    fn send_chunk(&mut self, to: &HostId, actions: &mut Vec<Action>) {
        let Some(snapshot) = self.log.snapshot() else { return };
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(progress) = leader_state.progress.get_mut(to) else { return };
        let last_index = snapshot.last_index;
        let current = progress.chunk.filter(|chunk| chunk.last_index == last_index);
        let mut chunk = current.unwrap_or(ChunkProgress { last_index, offset: 0, waiting: false });
        if chunk.waiting {
            return;
        }
        let start = usize::try_from(chunk.offset).unwrap_or(0).min(snapshot.data.len());
        let end = snapshot.data.len().min(start + self.cfg.max_chunk_bytes);
        let data: Arc<[u8]> = snapshot.data[start..end].into();
        let body = Body::Chunk {
            last_index,
            last_term: snapshot.last_term,
            voters: snapshot.voters.clone(),
            offset: start as u64,
            data,
            done: end == snapshot.data.len(),
            sent_at: self.now.since_origin(),
        };
        chunk.waiting = true;
        progress.chunk = Some(chunk);
        self.send(to, body, actions);
    }
}
