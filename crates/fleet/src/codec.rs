//! Encoding of commands and snapshots: a format version byte, then the value as postcard.

use std::{error, fmt};

use serde::{Serialize, de::DeserializeOwned};

use crate::{Command, declaration_error::DeclarationError};

/// The format version that this program writes and reads.
const FORMAT_VERSION: u8 = 1;

/// An error from decoding a command or snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodecError(CodecErrorKind);

#[derive(Clone, Debug, PartialEq, Eq)]
enum CodecErrorKind {
    Empty,
    Format(u8),
    Damaged(postcard::Error),
    TrailingBytes(usize),
    Inconsistent,
    Declaration(DeclarationError),
}

impl CodecError {
    /// Returns whether the bytes have a format version that this program does not support.
    pub fn is_other_format(&self) -> bool {
        matches!(self.0, CodecErrorKind::Format(_))
    }

    pub(crate) fn inconsistent() -> Self {
        Self(CodecErrorKind::Inconsistent)
    }
}

impl From<DeclarationError> for CodecError {
    fn from(e: DeclarationError) -> Self {
        Self(CodecErrorKind::Declaration(e))
    }
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            CodecErrorKind::Empty => f.write_str("empty input; expected a format version"),
            CodecErrorKind::Format(found) => {
                write!(
                    f,
                    "format version {found} is unknown; this program reads version {FORMAT_VERSION}"
                )
            }
            CodecErrorKind::Damaged(e) => write!(f, "damaged bytes: {e}"),
            CodecErrorKind::TrailingBytes(count) => {
                write!(f, "damaged bytes: {count} left over after the value")
            }
            CodecErrorKind::Inconsistent => {
                f.write_str("damaged bytes: the parts contradict each other")
            }
            CodecErrorKind::Declaration(e) => write!(f, "invalid declaration: {e}"),
        }
    }
}

impl error::Error for CodecError {}

impl Command {
    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes have an unknown format version or are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CodecError> {
        decode(bytes)
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![FORMAT_VERSION]).expect("each type here has a postcard form")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, left) = decode_first(bytes)?;
    if !left.is_empty() {
        return Err(CodecError(CodecErrorKind::TrailingBytes(left.len())));
    }
    Ok(value)
}

/// Decodes a value and returns the bytes after it, which are empty in older snapshots.
pub(crate) fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), CodecError> {
    let Some((format, rest)) = bytes.split_first() else {
        return Err(CodecError(CodecErrorKind::Empty));
    };
    if *format != FORMAT_VERSION {
        return Err(CodecError(CodecErrorKind::Format(*format)));
    }
    postcard::take_from_bytes(rest).map_err(|e| CodecError(CodecErrorKind::Damaged(e)))
}
