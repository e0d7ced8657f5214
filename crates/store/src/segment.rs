use std::{fs, path::Path};

use quorum::{Entry, HardState};
use serde::{Deserialize, Serialize};

use crate::{
    Error, Result,
    frame::{self, FRAME_BYTES, HEADER_BYTES, Kind},
};

pub(crate) const PREFIX: &str = "log";

/// A part of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Nothing before this counts.
    Checkpoint,
    /// Term, vote and what is known of the other voters.
    HardState(HardState),
    /// An entry; those from its index on that were written before are dropped.
    Entry(Entry),
}

/// What the segments hold.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
}

impl Replay {
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

/// Returns whether a segment needs none before it.
pub(crate) fn is_first(path: &Path) -> Result<bool> {
    let bytes = read(path)?;
    let records = frame::read(&bytes[HEADER_BYTES..]).map(postcard::from_bytes::<Vec<Record>>);
    Ok(matches!(records, Some(Ok(records)) if records.first() == Some(&Record::Checkpoint)))
}

/// Replays a segment that others follow.
pub(crate) fn replay(path: &Path, replay: &mut Replay) -> Result<()> {
    let bytes = read(path)?;
    let end = replay_frames(path, &bytes, replay)?;
    if end < bytes.len() {
        return Err(Error::damage(path, end as u64, "the checksum is wrong"));
    }
    Ok(())
}

/// Replays the newest segment, without an unfinished batch at its end.
pub(crate) fn replay_newest(path: &Path, replay: &mut Replay) -> Result<()> {
    let bytes = read(path)?;
    let end = replay_frames(path, &bytes, replay)?;
    if end == bytes.len() {
        return Ok(());
    }
    if frame::any(&bytes[end + 1..]) {
        return Err(Error::damage(path, end as u64, "the checksum is wrong"));
    }
    log::warn!("dropping an unfinished batch of {} at byte {end}", path.display());
    Ok(())
}

fn read(path: &Path) -> Result<Vec<u8>> {
    let bytes = fs::read(path).map_err(Error::io("read", path))?;
    frame::check_header(path, &bytes, Kind::Segment)?;
    Ok(bytes)
}

/// Replays whole frames and returns where they end.
fn replay_frames(path: &Path, bytes: &[u8], replay: &mut Replay) -> Result<usize> {
    let mut offset = HEADER_BYTES;
    while let Some(payload) = frame::read(&bytes[offset..]) {
        let records: Vec<Record> = postcard::from_bytes(payload)
            .map_err(|_| Error::damage(path, offset as u64, "the content is wrong"))?;
        for record in records {
            replay.apply(record);
        }
        offset += FRAME_BYTES + payload.len();
    }
    Ok(offset)
}
