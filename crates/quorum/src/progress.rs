use std::collections::VecDeque;

use base::{LogIndex, MonotonicTime};

use crate::FolderId;

/// Maximum unacknowledged batches in flight to a follower.
const MAX_IN_FLIGHT_BATCHES: usize = 4;

/// A leader's replication progress for one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The follower's folder, according to its last reply.
    pub folder: Option<FolderId>,
    /// The last entry known to match the leader's log.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    /// Send time of the latest message to which the follower replied.
    pub last_contact: Option<MonotonicTime>,
    pub(crate) in_flight: VecDeque<LogIndex>,
    pub(crate) probing: bool,
    pub(crate) chunk: Option<ChunkProgress>,
}

/// Progress of a snapshot transfer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkProgress {
    pub(crate) last_index: LogIndex,
    pub(crate) offset: u64,
    pub(crate) waiting: bool,
}

impl Progress {
    pub(crate) fn new(next: LogIndex) -> Self {
        Self {
            folder: None,
            matched: LogIndex::ZERO,
            next,
            last_contact: None,
            in_flight: VecDeque::new(),
            probing: true,
            chunk: None,
        }
    }

    /// Records a reply from `folder` to a message sent at `sent_at`.
    ///
    /// If the folder changed, the progress of the previous folder is discarded.
    pub(crate) fn record_reply(&mut self, folder: FolderId, sent_at: MonotonicTime) {
        if self.folder != Some(folder) {
            *self = Self { folder: Some(folder), ..Self::new(self.next) };
        }
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    pub(crate) fn is_full(&self) -> bool {
        let limit = if self.probing { 1 } else { MAX_IN_FLIGHT_BATCHES };
        limit <= self.in_flight.len()
    }

    pub(crate) fn mark_sent(&mut self, last: LogIndex) {
        self.next = last.next();
        self.in_flight.push_back(last);
    }

    pub(crate) fn mark_matched(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.probing = false;
        self.chunk = None;
        while self.in_flight.front().is_some_and(|last| *last <= self.matched) {
            self.in_flight.pop_front();
        }
    }

    pub(crate) fn mark_conflict(&mut self, prev_index: LogIndex, next: LogIndex) {
        if prev_index <= self.matched {
            return;
        }
        self.next = next.max(self.matched.next()).min(self.next);
        self.in_flight.clear();
        self.probing = true;
    }
}
