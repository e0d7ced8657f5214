//! Torn tails and damaged files.

use std::{fs, path::Path};

use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use store::{Category, Error};
use tempfile::tempdir;

use crate::samples::{entry, files, open, snapshot, vote, write_entries};

/// Size of a file's header.
const HEADER_BYTES: usize = 16;

fn segment(path: &Path) -> std::path::PathBuf {
    files(path, "log").pop().expect("a segment")
}

/// Opens a damaged folder and returns the error.
fn refusal(path: &Path) -> Error {
    open(path).expect_err("the folder is damaged")
}

#[test]
fn torn_tail_is_dropped_at_every_offset() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 2);
    let (mut opened, _) = open(folder.path()).unwrap();
    let log = segment(folder.path());
    let start = fs::read(&log).unwrap().len();
    opened.stage(Some(&vote(3)), &[entry(3, 1)]);
    opened.sync().unwrap();
    drop(opened);
    let whole = fs::read(&log).unwrap();
    for end in start..whole.len() {
        files(folder.path(), "log").iter().for_each(|file| remove(file));
        fs::write(&log, &whole[..end]).unwrap();
        let (mut opened, restored) = open(folder.path()).unwrap();
        assert_eq!(restored.entries, [entry(1, 1), entry(2, 1)]);
        assert_eq!(restored.hard_state, vote(2));
        opened.stage(None, &[entry(3, 2)]);
        opened.sync().unwrap();
        drop(opened);
        assert_eq!(open(folder.path()).unwrap().1.entries.last(), Some(&entry(3, 2)));
    }
}

#[test]
fn damage_before_the_tail_is_reported_with_its_file_and_changes_nothing() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    let log = segment(folder.path());
    let last = fs::read(&log).unwrap().len() - 60;
    for offset in [HEADER_BYTES, HEADER_BYTES + 5, HEADER_BYTES + 14, last] {
        let mut bytes = fs::read(&log).unwrap();
        bytes[offset] ^= 1;
        fs::write(&log, &bytes).unwrap();
        let refused = refusal(folder.path());
        assert!(refused.is_damage(), "{refused}");
        assert!(refused.to_string().contains(&log.display().to_string()));
        assert_eq!(fs::read(&log).unwrap(), bytes);
        bytes[offset] ^= 1;
        fs::write(&log, &bytes).unwrap();
    }
}

macro_rules! damaged_files {
    ($($name:ident: $prefix:literal $change:expr => $category:expr,)*) => {$(
        #[test]
        fn $name() {
            let folder = tempdir().unwrap();
            write_entries(folder.path(), 3);
            let (mut log, _) = open(folder.path()).unwrap();
            log.save_snapshot(&snapshot(2, 1)).unwrap();
            drop(log);
            let file = files(folder.path(), $prefix).pop().unwrap();
            let change: fn(&Path) = $change;
            change(&file);
            assert_eq!(refusal(folder.path()).category(), $category);
        }
    )*};
}

fn flip(path: &Path, offset: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[offset] ^= 0x10;
    fs::write(path, bytes).unwrap();
}

fn truncate_last_byte(path: &Path) {
    let bytes = fs::read(path).unwrap();
    fs::write(path, &bytes[..bytes.len() - 1]).unwrap();
}

/// Raises the format version in a file's header.
fn raise_version(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    bytes[8] += 1;
    let sum = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    fs::write(path, bytes).unwrap();
}

fn remove(path: &Path) {
    fs::remove_file(path).unwrap();
}

damaged_files! {
    damaged_identity_is_refused: "identity" |path| flip(path, 20) => Category::Damage,
    missing_identity_is_refused: "identity" remove => Category::Damage,
    truncated_identity_is_refused: "identity" truncate_last_byte => Category::Damage,
    newer_identity_is_refused: "identity" raise_version => Category::Version,
    damaged_snapshot_is_refused: "snapshot" |path| flip(path, 40) => Category::Damage,
    truncated_snapshot_is_refused: "snapshot" truncate_last_byte => Category::Damage,
    missing_snapshot_is_refused: "snapshot" remove => Category::Damage,
    newer_snapshot_is_refused: "snapshot" raise_version => Category::Version,
    damaged_header_is_refused: "log" |path| flip(path, 2) => Category::Damage,
    missing_segment_is_refused: "log" remove => Category::Damage,
    damaged_checkpoint_is_refused: "log" |path| flip(path, 30) => Category::Damage,
    newer_segment_is_refused: "log" raise_version => Category::Version,
}

#[test]
fn identity_without_a_log_is_refused() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    remove(&segment(folder.path()));
    assert!(refusal(folder.path()).is_damage());
}

#[test]
fn damage_error_names_the_remedy() {
    let folder = tempdir().unwrap();
    write_entries(folder.path(), 3);
    flip(&segment(folder.path()), 30);
    let text = refusal(folder.path()).to_string();
    assert!(text.contains("at byte 16") && text.contains("add the host again"), "{text}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(
        which in 0..3_usize,
        keep in 0..200_usize,
        bytes in any::<Vec<u8>>(),
    ) {
        let folder = tempdir().unwrap();
        write_entries(folder.path(), 3);
        let (mut log, _) = open(folder.path()).unwrap();
        log.save_snapshot(&snapshot(2, 1)).unwrap();
        drop(log);
        let prefix = ["identity", "snapshot", "log"][which];
        let file = files(folder.path(), prefix).pop().unwrap();
        let mut content = fs::read(&file).unwrap();
        content.truncate(keep);
        content.extend(bytes);
        fs::write(&file, content).unwrap();
        let _ = open(folder.path());
    }
}
