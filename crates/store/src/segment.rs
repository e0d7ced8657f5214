use std::{collections::BTreeMap, fs, path::Path};

use base::{HostId, LogIndex, Term};
use quorum::{Entry, FolderRecord, HardState, StartCount};
use serde::{Deserialize, Serialize};

use crate::{
    Error, Result,
    frame::{self, FRAME_OVERHEAD_BYTES, HEADER_BYTES, Kind},
};

pub(crate) const SEGMENT_PREFIX: &str = "log";

/// A record in a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Discards all records before this one.
    Checkpoint,
    /// The hard state without the committed voters.
    HardState(StoredHardState),
    /// An entry; entries written before from its index on are dropped.
    Entry(Entry),
    /// The newest change of voters that is known to be committed.
    CommittedVoters(LogIndex),
}

/// The hard state as folders hold it since their first version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredHardState {
    term: Term,
    voted_for: Option<HostId>,
    starts: StartCount,
    folder_records: BTreeMap<HostId, FolderRecord>,
}

impl From<&HardState> for StoredHardState {
    fn from(hard_state: &HardState) -> Self {
        let HardState { term, voted_for, starts, folder_records, committed_voters: _ } = hard_state;
        Self {
            term: *term,
            voted_for: voted_for.clone(),
            starts: *starts,
            folder_records: folder_records.clone(),
        }
    }
}

impl StoredHardState {
    fn with_committed_voters(self, committed_voters: LogIndex) -> HardState {
        let Self { term, voted_for, starts, folder_records } = self;
        HardState { term, voted_for, starts, folder_records, committed_voters }
    }
}

/// Returns the records of a hard state.
pub(crate) fn hard_state_records(hard_state: &HardState) -> [Record; 2] {
    [Record::HardState(hard_state.into()), Record::CommittedVoters(hard_state.committed_voters)]
}

/// The state after the replay of segments.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplayState {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
}

impl ReplayState {
    pub(crate) fn write(&mut self, entry: Entry) {
        while self.entries.last().is_some_and(|last| entry.index <= last.index) {
            self.entries.pop();
        }
        self.entries.push(entry);
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Checkpoint => *self = Self::default(),
            Record::HardState(hard_state) => {
                let committed_voters = self.hard_state.committed_voters;
                self.hard_state = hard_state.with_committed_voters(committed_voters);
            }
            Record::Entry(entry) => self.write(entry),
            Record::CommittedVoters(index) => self.hard_state.committed_voters = index,
        }
    }
}

/// Adds the frame of one batch to `buf`.
pub(crate) fn push_batch(buf: &mut Vec<u8>, records: &[Record]) {
    let payload = postcard::to_stdvec(records).expect("records are encoded in memory");
    frame::push(buf, &payload);
}

/// Returns whether a segment starts with a checkpoint, and so needs no earlier segment.
pub(crate) fn starts_with_checkpoint(path: &Path) -> Result<bool> {
    let bytes = read(path)?;
    let records = frame::read(&bytes[HEADER_BYTES..]).map(postcard::from_bytes::<Vec<Record>>);
    Ok(matches!(records, Some(Ok(records)) if records.first() == Some(&Record::Checkpoint)))
}

/// Replays a segment that is not the newest, all of whose frames must be complete.
pub(crate) fn replay(path: &Path, state: &mut ReplayState) -> Result<()> {
    let bytes = read(path)?;
    let end = replay_frames(path, &bytes, state)?;
    if end < bytes.len() {
        return Err(Error::damage(path, end as u64, "checksum mismatch"));
    }
    Ok(())
}

/// Replays the newest segment; an incomplete batch at its end is dropped.
pub(crate) fn replay_newest(path: &Path, state: &mut ReplayState) -> Result<()> {
    let bytes = read(path)?;
    let end = replay_frames(path, &bytes, state)?;
    if end == bytes.len() {
        return Ok(());
    }
    if frame::contains_frame(&bytes[end + 1..]) {
        return Err(Error::damage(path, end as u64, "checksum mismatch"));
    }
    log::warn!("dropping an incomplete batch: {} at byte {end}", path.display());
    Ok(())
}

fn read(path: &Path) -> Result<Vec<u8>> {
    let bytes = fs::read(path).map_err(Error::io("read", path))?;
    frame::check_header(path, &bytes, Kind::Segment)?;
    Ok(bytes)
}

/// Replays complete frames and returns the offset of their end.
fn replay_frames(path: &Path, bytes: &[u8], state: &mut ReplayState) -> Result<usize> {
    let mut offset = HEADER_BYTES;
    while let Some(payload) = frame::read(&bytes[offset..]) {
        let records: Vec<Record> = postcard::from_bytes(payload)
            .map_err(|_| Error::damage(path, offset as u64, "records can't be decoded"))?;
        for record in records {
            state.apply(record);
        }
        offset += FRAME_OVERHEAD_BYTES + payload.len();
    }
    Ok(offset)
}
