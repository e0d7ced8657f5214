//! Invariants that must hold in every run, under any failures.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use base::{HostId, LogIndex, Term};
use quorum::{
    Body, Entry, FolderId, HardState, Message, Payload, ReadId, Snapshot, VoteKind, VoterSet,
};

/// The state of a node that survives a crash.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    pub folder: FolderId,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl DiskImage {
    pub fn write(&mut self, hard_state: Option<HardState>, entries: Vec<Entry>) {
        self.hard_state = hard_state.unwrap_or_else(|| self.hard_state.clone());
        if let Some(first) = entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(entries);
    }

    pub fn save(&mut self, snapshot: Snapshot) {
        let key = (snapshot.last_index, snapshot.last_term);
        let continues = self.entries.iter().any(|entry| (entry.index, entry.term) == key);
        self.entries.retain(|entry| continues && snapshot.last_index < entry.index);
        self.snapshot = Some(snapshot);
    }

    pub fn is_fresh(&self) -> bool {
        self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    TwoLeaders(Term),
    TwoVotes(Term, HostId),
    VoteByNonVoter(HostId),
    CommittedDiffers(LogIndex),
    CommittedWithoutMajority(LogIndex),
    LogsDiffer(LogIndex),
    StateDiffers(LogIndex),
    TwoLeases(Term),
    StaleRead(ReadId),
}

/// Checks the invariants during a run.
#[derive(Debug, Default)]
pub struct Checker {
    pub violations: Vec<Violation>,
    pub committed: BTreeMap<LogIndex, Entry>,
    leaders: BTreeMap<Term, (HostId, FolderId)>,
    votes: BTreeMap<(Term, HostId, FolderId), HostId>,
    states: BTreeMap<LogIndex, u64>,
    written: BTreeSet<(FolderId, LogIndex, Term)>,
    covered: BTreeMap<FolderId, LogIndex>,
    known_voters: BTreeSet<(HostId, FolderId)>,
    reads: BTreeMap<ReadId, LogIndex>,
}

impl Checker {
    pub fn record_leader(&mut self, term: Term, host: &HostId, folder: FolderId) {
        let first = self.leaders.entry(term).or_insert_with(|| (host.clone(), folder));
        if *first != (host.clone(), folder) {
            self.violations.push(Violation::TwoLeaders(term));
        }
    }

    pub fn record_message(
        &mut self,
        host: &HostId,
        to: &HostId,
        message: &Message,
        disk: &DiskImage,
    ) {
        match &message.body {
            Body::VoteReply { campaign, vote_kind, granted: true } => {
                self.check_vote(host, to, *vote_kind, *campaign, disk);
            }
            Body::Vote { campaign, vote_kind, .. } => {
                self.check_vote(host, host, *vote_kind, *campaign, disk);
            }
            _ => {}
        }
    }

    /// Records that a node applied an entry, and returns the state after it.
    pub fn record_applied(&mut self, entry: &Entry, state: u64) -> u64 {
        let index = entry.index;
        if *self.committed.entry(index).or_insert_with(|| entry.clone()) != *entry {
            self.violations.push(Violation::CommittedDiffers(index));
        }
        let state = state_after(state, entry);
        if *self.states.entry(index).or_insert(state) != state {
            self.violations.push(Violation::StateDiffers(index));
        }
        state
    }

    /// Records that a folder held entries, also if its disk is lost later.
    pub fn record_written(&mut self, folder: FolderId, entries: &[Entry]) {
        self.written.extend(entries.iter().map(|entry| (folder, entry.index, entry.term)));
        for entry in entries {
            if let Payload::Voters(voters) = &entry.payload {
                self.known_voters.extend(voters.folders.clone());
            }
        }
    }

    /// Records that a folder held a snapshot.
    pub fn record_snapshot(&mut self, folder: FolderId, through: LogIndex) {
        let covered = self.covered.entry(folder).or_default();
        *covered = through.max(*covered);
    }

    /// Checks, at the first commit of an entry, that a majority of its leader's voters held it.
    pub fn check_commit(&mut self, entry: &Entry, voters: &VoterSet) {
        if self.committed.contains_key(&entry.index) {
            return;
        }
        let holders = voters.folders.values().filter(|folder| {
            let covered = self.covered.get(folder).is_some_and(|last| entry.index <= *last);
            covered || self.written.contains(&(**folder, entry.index, entry.term))
        });
        if holders.count() < voters.majority() {
            self.violations.push(Violation::CommittedWithoutMajority(entry.index));
        }
    }

    /// Checks that at most one host holds a lease at a time.
    pub fn check_leases(&mut self, holders: &[Term]) {
        if let [_, second, ..] = holders {
            self.violations.push(Violation::TwoLeases(*second));
        }
    }

    pub fn record_read(&mut self, id: ReadId) {
        let committed = self.committed.keys().next_back();
        self.reads.insert(id, committed.copied().unwrap_or_default());
    }

    /// Checks that a read includes all entries committed when it was requested.
    pub fn check_read(&mut self, id: ReadId, index: LogIndex) {
        if self.reads.get(&id).is_none_or(|needed| index < *needed) {
            self.violations.push(Violation::StaleRead(id));
        }
    }

    pub fn check_restored(&mut self, index: LogIndex, state: u64) {
        if self.states.get(&index) != Some(&state) {
            self.violations.push(Violation::StateDiffers(index));
        }
    }

    /// Checks that two logs are equal up to their last entry of the same index and term.
    pub fn check_logs(&mut self, a: &DiskImage, b: &DiskImage) {
        let other: BTreeMap<LogIndex, &Entry> = b.entries.iter().map(|e| (e.index, e)).collect();
        let pairs = a.entries.iter().filter_map(|entry| Some((entry, *other.get(&entry.index)?)));
        let mut differing = None;
        for (left, right) in pairs {
            if left != right {
                differing = differing.or(Some(left.index));
            }
            if left.term == right.term
                && let Some(index) = differing
            {
                return self.violations.push(Violation::LogsDiffer(index));
            }
        }
    }

    fn check_vote(
        &mut self,
        host: &HostId,
        candidate: &HostId,
        vote_kind: VoteKind,
        term: Term,
        disk: &DiskImage,
    ) {
        if !self.known_voters.contains(&(host.clone(), disk.folder)) {
            self.violations.push(Violation::VoteByNonVoter(host.clone()));
        }
        if vote_kind == VoteKind::PreVote {
            return;
        }
        let key = (term, host.clone(), disk.folder);
        if self.votes.entry(key).or_insert_with(|| candidate.clone()) != candidate {
            self.violations.push(Violation::TwoVotes(term, host.clone()));
        }
    }
}

fn state_after(state: u64, entry: &Entry) -> u64 {
    let Payload::Command(command) = &entry.payload else { return state };
    let mut hasher = DefaultHasher::new();
    (state, command).hash(&mut hasher);
    hasher.finish()
}
