use std::path::Path;

use crate::{Error, Result};

/// Format version of all files.
const FORMAT_VERSION: u32 = 1;
/// Size of a file's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;
/// Size of a frame without its payload, in bytes.
pub(crate) const FRAME_OVERHEAD_BYTES: usize = 12;
/// Magic number at the start of a frame.
const FRAME_MAGIC: [u8; 4] = [0xd7, 0x0f, 0xe1, 0x9b];

/// The kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Identity,
    Segment,
    Snapshot,
    Document,
}

impl Kind {
    const fn magic(self) -> [u8; 8] {
        match self {
            Self::Identity => *b"dotr-idy",
            Self::Segment => *b"dotr-log",
            Self::Snapshot => *b"dotr-snp",
            Self::Document => *b"dotr-doc",
        }
    }
}

pub(crate) fn header(kind: Kind) -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..8].copy_from_slice(&kind.magic());
    bytes[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..12]);
    bytes[12..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

pub(crate) fn check_header(path: &Path, bytes: &[u8], kind: Kind) -> Result<()> {
    let Some(found) = bytes.get(..HEADER_BYTES) else {
        return Err(Error::damage(path, 0, "truncated header"));
    };
    if read_u32(&found[12..]) != crc32fast::hash(&found[..12]) || found[..8] != kind.magic() {
        return Err(Error::damage(path, 0, "invalid header"));
    }
    match read_u32(&found[8..]) {
        FORMAT_VERSION => Ok(()),
        other => Err(Error::version(path, other)),
    }
}

/// Adds a frame around `payload` to `buf`.
///
/// # Panics
///
/// Panics if the payload has 4 GiB or more.
pub(crate) fn push(buf: &mut Vec<u8>, payload: &[u8]) {
    let len = u32::try_from(payload.len()).expect("a frame is smaller than 4 GiB").to_le_bytes();
    buf.extend(FRAME_MAGIC);
    buf.extend(len);
    buf.extend(checksum(len, payload).to_le_bytes());
    buf.extend(payload);
}

/// Returns the payload of the frame at the start of `bytes`, if it is complete and its checksum
/// matches.
pub(crate) fn read(bytes: &[u8]) -> Option<&[u8]> {
    let rest = bytes.strip_prefix(&FRAME_MAGIC)?;
    let len: [u8; 4] = rest.get(..4)?.try_into().ok()?;
    let end = usize::try_from(u32::from_le_bytes(len)).ok()?.checked_add(8)?;
    let payload = rest.get(8..end)?;
    (read_u32(&rest[4..]) == checksum(len, payload)).then_some(payload)
}

/// Returns whether a complete frame starts anywhere in `bytes`.
pub(crate) fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|start| read(&bytes[start..]).is_some())
}

fn checksum(len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let bytes: [u8; 4] = bytes[..4].try_into().unwrap_or_default();
    u32::from_le_bytes(bytes)
}
