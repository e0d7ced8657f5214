use std::{
    fs::File,
    mem,
    path::{Path, PathBuf},
};

use base::{LogIndex, Term};
use quorum::{Entry, FolderId, HardState, RestoredState, Snapshot};

use crate::{
    Disk, Error, Result,
    folder::Folder,
    frame::{self, HEADER_BYTES, Kind},
    segment::{self, Record, ReplayState, SEGMENT_PREFIX},
    snapshot,
};

/// Segment size from which the next batch is written to a new segment.
const SEGMENT_ROTATION_BYTES: u64 = 64 << 20;

/// The log, the vote and the newest snapshot in a data folder.
///
/// A batch is staged and then synced. A failed write or sync poisons the log permanently.
#[derive(Debug)]
pub struct Log<D> {
    folder: Folder<D>,
    number: u64,
    path: PathBuf,
    file: File,
    len: u64,
    state: ReplayState,
    staged: Vec<Record>,
    poisoned: bool,
}

impl<D: Disk> Log<D> {
    /// Opens the data folder at `path`; a missing one is created with the identity `new_id`.
    ///
    /// # Errors
    ///
    /// Returns an error if another process uses the folder, a file is damaged or of an unknown
    /// version, or an operation of the file system fails.
    pub fn open(path: &Path, disk: D, new_id: FolderId) -> Result<(Self, RestoredState)> {
        let folder = Folder::lock(path, disk)?;
        let snapshot = snapshot::read_newest(&folder)?;
        let segments = usable_segments(&folder)?;
        let Some(((number, newest), older)) = segments.split_last() else {
            let is_empty = snapshot.is_none() && !folder.has_identity();
            let missing = || Error::damage(path, 0, "the segments of the log are missing");
            return if is_empty { Self::create(folder, new_id) } else { Err(missing()) };
        };
        let mut state = ReplayState::default();
        for (_, older) in older {
            segment::replay(older, &mut state)?;
        }
        segment::replay_newest(newest, &mut state)?;
        let is_empty = snapshot.is_none() && state == ReplayState::default();
        let id = folder.identity(new_id, is_empty)?;
        if let Some(snapshot) = &snapshot {
            drop_covered(&mut state.entries, snapshot.last_index, snapshot.last_term);
        }
        let covered = snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.last_index);
        check_indexes(newest, covered, &state.entries)?;
        let restored = RestoredState {
            folder: id,
            hard_state: state.hard_state.clone(),
            snapshot,
            entries: state.entries.clone(),
        };
        let log = Self::start(folder, number + 1, state)?;
        log.remove_older(covered)?;
        Ok((log, restored))
    }

    /// Adds a hard state and entries to the batch; entries written before from the first one's
    /// index on are dropped.
    pub fn stage(&mut self, hard_state: Option<&HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.state.hard_state = hard_state.clone();
            self.staged.extend(segment::hard_state_records(hard_state));
        }
        for entry in entries {
            self.state.write(entry.clone());
            self.staged.push(Record::Entry(entry.clone()));
        }
    }

    /// Makes the staged batch durable, with one sync.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch may not be durable, and from then on at each call.
    pub fn sync(&mut self) -> Result<()> {
        self.run_unless_poisoned(Self::write_staged)
    }

    /// Makes the staged batch and a snapshot durable, and drops the entries that the snapshot
    /// covers.
    ///
    /// Entries after it are kept only if the log held the snapshot's last entry with its term.
    ///
    /// # Errors
    ///
    /// Returns an error if they may not be durable, and from then on at each call.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.run_unless_poisoned(|log| log.write_snapshot(snapshot))
    }

    /// Returns whether a write or sync failed; nothing may be acknowledged then.
    pub fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    fn create(folder: Folder<D>, new_id: FolderId) -> Result<(Self, RestoredState)> {
        let log = Self::start(folder, 1, ReplayState::default())?;
        let id = log.folder.identity(new_id, true)?;
        Ok((log, RestoredState { folder: id, ..RestoredState::default() }))
    }

    /// Writes the whole state to a new segment.
    ///
    /// Data that an earlier process failed to sync can be read back without being on the disk.
    fn start(folder: Folder<D>, number: u64, state: ReplayState) -> Result<Self> {
        let (path, file, len) = write_segment(&folder, number, &state)?;
        let staged = Vec::new();
        Ok(Self { folder, number, path, file, len, state, staged, poisoned: false })
    }

    fn run_unless_poisoned(&mut self, work: impl FnOnce(&mut Self) -> Result<()>) -> Result<()> {
        if self.poisoned {
            return Err(Error::poisoned());
        }
        let done = work(self);
        self.poisoned = done.is_err();
        done
    }

    fn write_staged(&mut self) -> Result<()> {
        if self.staged.is_empty() {
            return Ok(());
        }
        if SEGMENT_ROTATION_BYTES <= self.len {
            self.start_segment()?;
        }
        let mut buf = Vec::new();
        segment::push_batch(&mut buf, &mem::take(&mut self.staged));
        let disk = &self.folder.disk;
        disk.append(&mut self.file, &buf).map_err(Error::io("write", &self.path))?;
        disk.sync(&self.file).map_err(Error::io("sync", &self.path))?;
        self.len += buf.len() as u64;
        Ok(())
    }

    fn start_segment(&mut self) -> Result<()> {
        let path = self.folder.path_of(SEGMENT_PREFIX, self.number + 1);
        let header = frame::header(Kind::Segment);
        self.file = self.folder.write_file(&path, &[&header])?;
        self.len = header.len() as u64;
        self.path = path;
        self.number += 1;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.write_staged()?;
        snapshot::write(&self.folder, snapshot)?;
        drop_covered(&mut self.state.entries, snapshot.last_index, snapshot.last_term);
        let (path, file, len) = write_segment(&self.folder, self.number + 1, &self.state)?;
        (self.path, self.file, self.len) = (path, file, len);
        self.number += 1;
        self.remove_older(snapshot.last_index)
    }

    /// Removes the segments before the newest and the snapshots before `covered`.
    fn remove_older(&self, covered: LogIndex) -> Result<()> {
        for (number, path) in self.folder.numbered(SEGMENT_PREFIX)? {
            if number < self.number {
                self.folder.remove(&path)?;
            }
        }
        snapshot::remove_older(&self.folder, covered)
    }
}

/// Writes a segment that starts with a checkpoint and can be replayed without earlier ones.
fn write_segment<D: Disk>(
    folder: &Folder<D>,
    number: u64,
    state: &ReplayState,
) -> Result<(PathBuf, File, u64)> {
    let mut records = vec![Record::Checkpoint];
    records.extend(segment::hard_state_records(&state.hard_state));
    records.extend(state.entries.iter().cloned().map(Record::Entry));
    let mut bytes = frame::header(Kind::Segment).to_vec();
    segment::push_batch(&mut bytes, &records);
    let path = folder.path_of(SEGMENT_PREFIX, number);
    let file = folder.write_file(&path, &[&bytes])?;
    Ok((path, file, bytes.len() as u64))
}

/// Drops the entries that a snapshot covers, and the entries after it if they don't continue it.
fn drop_covered(entries: &mut Vec<Entry>, last_index: LogIndex, last_term: Term) {
    let continues = match entries.first() {
        Some(first) if first.index <= last_index => {
            entries.iter().any(|entry| (entry.index, entry.term) == (last_index, last_term))
        }
        Some(first) => first.index == last_index.next(),
        None => true,
    };
    if continues {
        entries.retain(|entry| last_index < entry.index);
    } else {
        entries.clear();
    }
}

/// Returns the segments from the newest one that starts with a checkpoint.
fn usable_segments<D: Disk>(folder: &Folder<D>) -> Result<Vec<(u64, PathBuf)>> {
    let mut segments = folder.numbered(SEGMENT_PREFIX)?;
    let mut first = segments.len();
    while 0 < first && !segment::starts_with_checkpoint(&segments[first - 1].1)? {
        first -= 1;
        let follows = 0 < first && segments[first - 1].0 + 1 == segments[first].0;
        if !follows {
            let reason = "its first batch is damaged or the segment before it is missing";
            return Err(Error::damage(&segments[first].1, HEADER_BYTES as u64, reason));
        }
    }
    Ok(segments.split_off(first.saturating_sub(1)))
}

fn check_indexes(path: &Path, covered: LogIndex, entries: &[Entry]) -> Result<()> {
    let mut last = covered;
    for entry in entries {
        if entry.index != last.next() {
            return Err(Error::damage(path, 0, "an entry or the snapshot before one is missing"));
        }
        last = entry.index;
    }
    Ok(())
}
