use std::collections::VecDeque;

use base::{LogIndex, Term};

use crate::{Entry, Payload, Snapshot, VoterSet};

/// Entries kept in memory behind a snapshot, for followers that lag slightly.
const TRAILING_ENTRIES: u64 = 1024;
/// Size assumed for an entry besides its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Size assumed for a voter in an entry, in bytes.
const VOTER_BYTES: usize = 48;

/// The log in memory: a snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    voters: Vec<(LogIndex, VoterSet)>,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.install(snapshot);
        }
        for entry in entries {
            if log.last_index() < entry.index {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.last_index() == LogIndex::ZERO
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.last_index)
    }

    /// Returns the term of the entry at `index`, if it is in the log.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.as_u64().checked_sub(self.base_index.as_u64() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` on, at least one if there is one, up to `max_bytes`.
    pub(crate) fn batch(&self, first: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        self.range(first, self.last_index())
            .take_while(|entry| {
                let fits = bytes == 0 || bytes + entry_bytes(entry) <= max_bytes;
                bytes += entry_bytes(entry);
                fits
            })
            .cloned()
            .collect()
    }

    pub(crate) fn range(&self, first: LogIndex, last: LogIndex) -> impl Iterator<Item = &Entry> {
        let skipped = first.as_u64().saturating_sub(self.base_index.as_u64() + 1);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped).take_while(move |entry| entry.index <= last)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let Payload::Voters(voters) = &entry.payload {
            self.voters.push((entry.index, voters.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at `first` and those after it.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        while self.entries.back().is_some_and(|entry| first <= entry.index) {
            self.entries.pop_back();
        }
        self.voters.retain(|(index, _)| *index < first);
    }

    /// Returns the voters after the last entry, committed or not.
    pub(crate) fn voters(&self) -> &VoterSet {
        static NONE: VoterSet = VoterSet { folders: std::collections::BTreeMap::new() };
        self.voters.last().map_or(&NONE, |(_, voters)| voters)
    }

    /// Returns the index of the last change of voters.
    pub(crate) fn voters_index(&self) -> LogIndex {
        self.voters.last().map_or(LogIndex::ZERO, |(index, _)| *index)
    }

    /// Returns the last change of voters at or before the entry at `index`.
    pub(crate) fn voters_change_at(&self, index: LogIndex) -> Option<(LogIndex, &VoterSet)> {
        let known = self.voters.iter().rev().find(|(changed, _)| *changed <= index);
        known.map(|(changed, voters)| (*changed, voters))
    }

    /// Returns the voters after the entry at `index`.
    pub(crate) fn voters_at(&self, index: LogIndex) -> VoterSet {
        self.voters_change_at(index).map(|(_, voters)| voters.clone()).unwrap_or_default()
    }

    /// Replaces the log up to the snapshot's last entry, which is in the log, except trailing
    /// entries.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let kept = snapshot.last_index.as_u64().saturating_sub(TRAILING_ENTRIES);
        while self.base_index.as_u64() < kept {
            let Some(entry) = self.entries.pop_front() else { break };
            (self.base_index, self.base_term) = (entry.index, entry.term);
        }
        let base = self.base_index;
        let stale = self.voters.iter().filter(|(index, _)| *index <= base).count();
        self.voters.drain(..stale.saturating_sub(1));
        self.snapshot = Some(snapshot);
    }

    /// Installs a snapshot; entries after it are kept only if the log holds its last entry.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.last_index) == Some(snapshot.last_term) {
            return self.compact(snapshot);
        }
        self.entries.clear();
        self.voters = vec![(snapshot.last_index, snapshot.voters.clone())];
        (self.base_index, self.base_term) = (snapshot.last_index, snapshot.last_term);
        self.snapshot = Some(snapshot);
    }

    /// Returns the first entry in the sequence of entries of one term that ends at `index`.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while self.base_index < first && self.term_at(before(first)) == term {
            first = before(first);
        }
        first
    }
}

/// Returns the index before `index`.
pub(crate) fn before(index: LogIndex) -> LogIndex {
    LogIndex::new(index.as_u64().saturating_sub(1))
}

pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        Payload::Empty => 0,
        Payload::Command(command) => command.len(),
        Payload::Voters(voters) => voters.folders.len() * VOTER_BYTES,
    };
    ENTRY_OVERHEAD_BYTES + payload
}
