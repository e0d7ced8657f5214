//! Sample entries, votes and folders.

use std::{fs, path::Path, path::PathBuf};

use base::{LogIndex, Term};
use quorum::{Entry, FolderId, HardState, Payload, RestoredState, Snapshot, VoterSet};
use store::{Log, RealDisk, Result};

pub const FOLDER: FolderId = FolderId::new(7);

pub fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(format!("order {index} in {term}").into_bytes().into());
    Entry { index: LogIndex::new(index), term: Term::new(term), payload }
}

pub fn vote(term: u64) -> HardState {
    let voted_for = Some("tas-a1".parse().expect("a host id"));
    let committed_voters = LogIndex::new(1);
    HardState { term: Term::new(term), voted_for, committed_voters, ..HardState::default() }
}

pub fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        last_index: LogIndex::new(index),
        last_term: Term::new(term),
        voters: VoterSet::default(),
        data: b"all orders so far"[..].into(),
    }
}

pub fn open(path: &Path) -> Result<(Log<RealDisk>, RestoredState)> {
    Log::open(path, RealDisk, FOLDER)
}

/// Writes entries 1 to `count` of term 1, each in a batch of its own.
pub fn write_entries(path: &Path, count: u64) {
    let (mut log, _) = open(path).expect("an empty folder");
    for index in 1..=count {
        log.stage(Some(&vote(index)), &[entry(index, 1)]);
        log.sync().expect("a working disk");
    }
}

pub fn files(path: &Path, prefix: &str) -> Vec<PathBuf> {
    let listing = fs::read_dir(path).expect("a folder").map(|found| found.expect("a file").path());
    let named = |path: &PathBuf| {
        path.file_name().is_some_and(|name| name.to_string_lossy().starts_with(prefix))
    };
    let mut files: Vec<PathBuf> = listing.filter(named).collect();
    files.sort();
    files
}
