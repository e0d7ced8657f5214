use std::{fs, path::Path, sync::Arc};

use base::{LogIndex, Term};
use quorum::{Snapshot, VoterSet};
use serde::{Deserialize, Serialize};

use crate::{
    Disk, Error, Result,
    folder::Folder,
    frame::{self, FRAME_OVERHEAD_BYTES, HEADER_BYTES, Kind},
};

const SNAPSHOT_PREFIX: &str = "snapshot";

/// The metadata in a snapshot file, before the replicated state.
#[derive(Serialize, Deserialize)]
struct Meta {
    last_index: LogIndex,
    last_term: Term,
    voters: VoterSet,
}

/// Writes a snapshot; older ones are kept until [`remove_older`].
pub(crate) fn write<D: Disk>(folder: &Folder<D>, snapshot: &Snapshot) -> Result<()> {
    let meta = Meta {
        last_index: snapshot.last_index,
        last_term: snapshot.last_term,
        voters: snapshot.voters.clone(),
    };
    let path = folder.path_of(SNAPSHOT_PREFIX, snapshot.last_index.as_u64());
    let mut head = frame::header(Kind::Snapshot).to_vec();
    let payload = postcard::to_stdvec(&meta);
    frame::push(
        &mut head,
        &payload.map_err(|_| Error::damage(&path, 0, "metadata can't be encoded"))?,
    );
    let mut state = Vec::with_capacity(FRAME_OVERHEAD_BYTES + snapshot.data.len());
    frame::push(&mut state, &snapshot.data);
    folder.write_file(&path, &[&head, &state])?;
    Ok(())
}

/// Reads the newest snapshot.
pub(crate) fn read_newest<D: Disk>(folder: &Folder<D>) -> Result<Option<Snapshot>> {
    let Some((_, path)) = folder.numbered(SNAPSHOT_PREFIX)?.pop() else { return Ok(None) };
    let bytes = fs::read(&path).map_err(Error::io("read", &path))?;
    decode(&path, &bytes).map(Some)
}

pub(crate) fn remove_older<D: Disk>(folder: &Folder<D>, newest: LogIndex) -> Result<()> {
    for (number, path) in folder.numbered(SNAPSHOT_PREFIX)? {
        if number < newest.as_u64() {
            folder.remove(&path)?;
        }
    }
    Ok(())
}

fn decode(path: &Path, bytes: &[u8]) -> Result<Snapshot> {
    frame::check_header(path, bytes, Kind::Snapshot)?;
    let body = &bytes[HEADER_BYTES..];
    let damaged = |offset: usize, reason| Error::damage(path, offset as u64, reason);
    let payload = frame::read(body);
    let payload = payload.ok_or_else(|| damaged(HEADER_BYTES, "checksum mismatch"))?;
    let meta: Meta = postcard::from_bytes(payload)
        .map_err(|_| damaged(HEADER_BYTES, "metadata can't be decoded"))?;
    let start = FRAME_OVERHEAD_BYTES + payload.len();
    let state = frame::read(&body[start..]);
    let state = state.ok_or_else(|| damaged(HEADER_BYTES + start, "checksum mismatch"))?;
    let Meta { last_index, last_term, voters } = meta;
    Ok(Snapshot { last_index, last_term, voters, data: Arc::from(state) })
}
