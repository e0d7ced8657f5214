//! Failing writes and syncs.

use std::{cell::Cell, fs::File, io, io::Write, path::Path, rc::Rc};

use quorum::FolderId;
use store::{Disk, Error, Log, RealDisk};
use tempfile::{TempDir, tempdir};

use crate::samples::{FOLDER, entry, open, snapshot, vote};

/// The disk operation that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    None,
    Full,
    Sync,
    Rename,
    SyncFolder,
}

#[derive(Clone, Debug)]
struct FailingDisk(Rc<Cell<Failure>>);

impl FailingDisk {
    fn fail(&self, failure: Failure) -> io::Result<()> {
        if self.0.get() == failure { Err(io::Error::other("injected")) } else { Ok(()) }
    }
}

impl Disk for FailingDisk {
    fn append(&self, file: &mut File, buf: &[u8]) -> io::Result<()> {
        if self.0.get() == Failure::Full {
            file.write_all(&buf[..buf.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        RealDisk.append(file, buf)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.fail(Failure::Sync)?;
        RealDisk.sync(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.fail(Failure::Rename)?;
        RealDisk.rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.fail(Failure::SyncFolder)?;
        RealDisk.sync_folder(folder)
    }
}

/// Opens a folder with entry 1, on a disk that fails from then on.
fn failing(failure: Failure) -> (TempDir, Rc<Cell<Failure>>, Log<FailingDisk>) {
    let folder = tempdir().unwrap();
    let switch = Rc::new(Cell::new(Failure::None));
    let disk = FailingDisk(Rc::clone(&switch));
    let (mut log, _) = Log::open(folder.path(), disk, FOLDER).unwrap();
    log.stage(Some(&vote(1)), &[entry(1, 1)]);
    log.sync().unwrap();
    switch.set(failure);
    (folder, switch, log)
}

fn append(log: &mut Log<FailingDisk>) -> Result<(), Error> {
    log.stage(None, &[entry(2, 1)]);
    log.sync()
}

fn save(log: &mut Log<FailingDisk>) -> Result<(), Error> {
    log.save_snapshot(&snapshot(1, 1))
}

macro_rules! failures {
    ($($name:ident: $failure:expr, $work:expr => $is_expected:expr,)*) => {$(
        #[test]
        fn $name() {
            let (folder, switch, mut log) = failing($failure);
            let is_expected: fn(&Error) -> bool = $is_expected;
            assert!(is_expected(&$work(&mut log).unwrap_err()));
            switch.set(Failure::None);
            assert!(log.is_poisoned());
            assert!(append(&mut log).unwrap_err().is_poisoned());
            assert!(save(&mut log).unwrap_err().is_poisoned());
            drop(log);
            let (_, restored) = open(folder.path()).unwrap();
            let held = restored.snapshot.map(|s| s.last_index).max(restored.entries.first().map(|e| e.index));
            assert_eq!(held, Some(entry(1, 1).index));
            assert_eq!(restored.hard_state, vote(1));
        }
    )*};
}

failures! {
    full_disk_poisons_the_log: Failure::Full, append => Error::is_full,
    failed_sync_poisons_the_log: Failure::Sync, append => |e| !e.is_full() && !e.is_damage(),
    full_disk_poisons_at_a_snapshot: Failure::Full, save => Error::is_full,
    failed_sync_poisons_at_a_snapshot: Failure::Sync, save => |e| !e.is_poisoned(),
    failed_rename_poisons_at_a_snapshot: Failure::Rename, save => |e| !e.is_poisoned(),
    failed_folder_sync_poisons_at_a_snapshot: Failure::SyncFolder, save => |e| !e.is_poisoned(),
}

macro_rules! failures_at_creation {
    ($($name:ident: $failure:expr,)*) => {$(
        #[test]
        fn $name() {
            let folder = tempdir().unwrap();
            let disk = FailingDisk(Rc::new(Cell::new($failure)));
            assert!(Log::open(folder.path(), disk, FolderId::new(1)).is_err());
            let (_, restored) = open(folder.path()).unwrap();
            assert_eq!(restored.entries, []);
        }
    )*};
}

failures_at_creation! {
    folder_is_created_after_a_full_disk: Failure::Full,
    folder_is_created_after_a_failed_sync: Failure::Sync,
    folder_is_created_after_a_failed_rename: Failure::Rename,
    folder_is_created_after_a_failed_folder_sync: Failure::SyncFolder,
}
