//! Storage in the data folder: the log, the vote and snapshots.
//!
//! [`Log`] stores what a [`quorum::Node`] needs after a crash. A driver stages the node's writes
//! and syncs once for the whole batch.
//!
//! # Files
//!
//! | file | content |
//! |---|---|
//! | `lock` | empty; locked by the process that uses the folder |
//! | `identity` | the folder's random identity |
//! | `snapshot-INDEX` | the replicated state up to an entry |
//! | `log-NUMBER` | a segment of the log, in frames; one frame is one synced batch |
//!
//! A [`Document`] is one small file, `document`, in a folder of its own.
//!
//! Each file starts with its kind, a format version and a checksum; each frame has its own.
//! Files other than the newest segment are written under a temporary name, synced and renamed.
//!
//! # Damage
//!
//! An incomplete frame at the end of the newest segment was never synced and is dropped: opening
//! the folder writes the remaining state to a new segment. Anything else that can't be read is an
//! error that names the file and the offset, and the folder is left unchanged. A synced last frame
//! that is damaged later looks like an incomplete one; the other voters detect that this folder
//! holds less than it acknowledged, see [`quorum`].
//!
//! A failed write or sync poisons the log: the content of the disk is unknown, so nothing may be
//! acknowledged until the process has restarted and has written the whole remaining state again.
//!
//! # Example
//!
//! ```
//! use quorum::{FolderId, HardState};
//! use store::{Log, RealDisk};
//!
//! let folder = tempfile::tempdir()?;
//! let (mut log, restored) = Log::open(folder.path(), RealDisk, FolderId::new(7))?;
//! assert_eq!(restored.folder, FolderId::new(7));
//!
//! log.stage(Some(&HardState::default()), &[]);
//! log.sync()?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod disk;
mod document;
mod error;
mod folder;
mod frame;
mod log;
mod segment;
mod snapshot;

pub use crate::{
    disk::{Disk, RealDisk},
    document::Document,
    error::{Category, Error, Result},
    log::Log,
};
