use std::{fs, path::Path};

use quorum::{Entry, HardState};
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
    /// The hard state: term, vote and records of the other voters' folders.
    HardState(HardState),
    /// An entry; entries written before from its index on are dropped.
    Entry(Entry),
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
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Entry(entry) => self.write(entry),
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
