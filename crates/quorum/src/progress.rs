use std::collections::VecDeque;

use base::{LogIndex, MonotonicTime};

use crate::FolderId;

/// Batches sent to a follower ahead of its acknowledgements.
const MAX_IN_FLIGHT: usize = 4;

/// How far a follower's log is known to agree with the leader's.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The folder that answered last.
    pub folder: Option<FolderId>,
    /// The last entry known to be held.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    /// When the latest message that was answered had been sent.
    pub heard: Option<MonotonicTime>,
    pub(crate) in_flight: VecDeque<LogIndex>,
    pub(crate) probing: bool,
    pub(crate) chunk: Option<ChunkProgress>,
}

/// How far a snapshot was transferred.
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
            heard: None,
            in_flight: VecDeque::new(),
            probing: true,
            chunk: None,
        }
    }

    /// Notes an answer from `folder` to a message sent at `sent`.
    ///
    /// What another folder had acknowledged is forgotten.
    pub(crate) fn answered(&mut self, folder: FolderId, sent: MonotonicTime) {
        if self.folder != Some(folder) {
            *self = Self { folder: Some(folder), ..Self::new(self.next) };
        }
        self.heard = self.heard.max(Some(sent));
    }

    pub(crate) fn is_full(&self) -> bool {
        let limit = if self.probing { 1 } else { MAX_IN_FLIGHT };
        limit <= self.in_flight.len()
    }

    pub(crate) fn sent_through(&mut self, last: LogIndex) {
        self.next = last.next();
        self.in_flight.push_back(last);
    }

    pub(crate) fn matched_through(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.probing = false;
        self.chunk = None;
        while self.in_flight.front().is_some_and(|last| *last <= self.matched) {
            self.in_flight.pop_front();
        }
    }

    pub(crate) fn conflicted(&mut self, prev_index: LogIndex, next: LogIndex) {
        if prev_index <= self.matched {
            return;
        }
        self.next = next.max(self.matched.next()).min(self.next);
        self.in_flight.clear();
        self.probing = true;
    }
}
