//! State of a folder after it is opened again.

use quorum::{FolderId, RestoredState};
use store::{Log, RealDisk};
use tempfile::tempdir;

use crate::samples::{FOLDER, entry, files, open, snapshot, vote, write_entries};

#[test]
fn empty_folder_is_given_the_new_identity() {
    let folder = tempdir().unwrap();
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!(restored, RestoredState { folder: FOLDER, ..RestoredState::default() });
}

#[test]
fn identity_is_kept() {
    let folder = tempdir().unwrap();
    drop(open(folder.path()).unwrap());
    let (_, restored) = Log::open(folder.path(), RealDisk, FolderId::new(8)).unwrap();
    assert_eq!(restored.folder, FOLDER);
}

#[test]
fn entries_and_vote_are_restored() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!(restored.hard_state, vote(3));
    assert_eq!(restored.entries, [entry(1, 1), entry(2, 1), entry(3, 1)]);
}

#[test]
fn staged_batch_is_lost_without_a_sync() {
    let folder = tempdir().unwrap();
    let (mut log, _) = open(folder.path()).unwrap();
    log.stage(None, &[entry(1, 1)]);
    drop(log);
    assert_eq!(open(folder.path()).unwrap().1.entries, []);
}

#[test]
fn rewritten_entries_replace_later_ones() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    let (mut log, _) = open(folder.path()).unwrap();
    log.stage(None, &[entry(2, 2)]);
    log.sync().unwrap();
    drop(log);
    assert_eq!(open(folder.path()).unwrap().1.entries, [entry(1, 1), entry(2, 2)]);
}

macro_rules! snapshots {
    ($($name:ident: ($index:expr, $term:expr) => $entries:expr,)*) => {$(
        #[test]
        fn $name() {
            let folder = tempdir().unwrap();
            write_entries(folder.path(), 3);
            let (mut log, _) = open(folder.path()).unwrap();
            log.save_snapshot(&snapshot($index, $term)).unwrap();
            drop(log);
            let (_, restored) = open(folder.path()).unwrap();
            assert_eq!(restored.snapshot, Some(snapshot($index, $term)));
            assert_eq!(restored.hard_state, vote(3));
            assert_eq!(restored.entries, $entries);
        }
    )*};
}

snapshots! {
    snapshot_keeps_the_entries_after_it: (2, 1) => [entry(3, 1)],
    snapshot_of_the_last_entry_keeps_no_entry: (3, 1) => [],
    conflicting_snapshot_drops_all_entries: (2, 2) => [],
    snapshot_beyond_the_log_drops_all_entries: (9, 1) => [],
}

#[test]
fn entries_written_after_a_conflicting_snapshot_are_restored() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    let (mut log, _) = open(folder.path()).unwrap();
    log.save_snapshot(&snapshot(2, 2)).unwrap();
    log.stage(None, &[entry(3, 2)]);
    log.sync().unwrap();
    drop(log);
    assert_eq!(open(folder.path()).unwrap().1.entries, [entry(3, 2)]);
}

#[test]
fn older_snapshots_and_segments_are_removed() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    let (mut log, _) = open(folder.path()).unwrap();
    log.save_snapshot(&snapshot(1, 1)).unwrap();
    log.save_snapshot(&snapshot(2, 1)).unwrap();
    assert_eq!(files(folder.path(), "snapshot").len(), 1);
    assert_eq!(files(folder.path(), "log").len(), 1);
}

#[test]
fn long_log_spans_several_segments() {
    let folder = tempdir().unwrap();
    let (mut log, _) = open(folder.path()).unwrap();
    let mut large = entry(1, 1);
    large.payload = quorum::Payload::Command(vec![1; 65 << 20].into());
    log.stage(None, std::slice::from_ref(&large));
    log.sync().unwrap();
    log.stage(None, &[entry(2, 1)]);
    log.sync().unwrap();
    drop(log);
    assert_eq!(files(folder.path(), "log").len(), 2);
    assert_eq!(open(folder.path()).unwrap().1.entries, [large, entry(2, 1)]);
}

#[test]
fn second_process_is_refused() {
    let folder = tempdir().unwrap();
    let _first = open(folder.path()).unwrap();
    let refused = open(folder.path()).unwrap_err();
    assert!(refused.is_locked(), "{refused}");
}

#[test]
fn temporary_files_are_removed() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 1);
    std::fs::write(folder.path().join("snapshot-00000000000000000009.tmp"), b"half").unwrap();
    assert_eq!(open(folder.path()).unwrap().1.entries, [entry(1, 1)]);
    assert_eq!(files(folder.path(), "snapshot"), <[std::path::PathBuf; 0]>::default());
}
