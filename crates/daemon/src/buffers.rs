//! Bounds the memory that endpoints' responses take while they are buffered.

use std::{cell::Cell, error, fmt, rc::Rc};

use base::ByteCount;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

/// Most bytes of all responses that are buffered at once.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Bytes that each response may buffer however much others do, so that those that take much fail
/// first.
const FREE_BYTES: usize = 64 << 10;

/// The memory for buffered responses, shared by all of them.
///
/// A response may take at most as much as is left, so that a few long ones get all they need, and
/// many that never end can't take the place of the others.
#[derive(Debug, Default)]
pub(crate) struct BufferBudget {
    used: Cell<usize>,
}

/// The part of a [`BufferBudget`] that a response takes, until dropped.
#[derive(Debug)]
pub(crate) struct Buffered {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

/// A response that takes more memory than is left for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BufferFull {
    /// The bytes that it took before.
    pub bytes: ByteCount,
}

impl fmt::Display for BufferFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response is too long to buffer, {} bytes so far", self.bytes.as_u64())
    }
}

impl error::Error for BufferFull {}

/// Why a response could not be read as a whole.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// It is too long.
    Full(BufferFull),
    /// Its connection ended, or its bytes are no response.
    Connection(hyper::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(e) => e.fmt(f),
            Self::Connection(e) => e.fmt(f),
        }
    }
}

impl error::Error for ReadError {}

/// A response's whole body, with the memory that it takes.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub bytes: Bytes,
    pub buffered: Buffered,
}

impl BufferBudget {
    /// Begins a response, which takes no memory yet.
    pub(crate) fn begin(self: &Rc<Self>) -> Buffered {
        Buffered { budget: Rc::clone(self), bytes: 0 }
    }

    /// Reads a response's whole body of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if it is too long, truncated or malformed.
    pub(crate) async fn read(
        self: &Rc<Self>,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<BufferedBody, ReadError> {
        let mut buffered = self.begin();
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(ReadError::Connection)?.into_data() else { continue };
            let bytes = buf.len() + data.len();
            if max_bytes < bytes {
                return Err(ReadError::Full(buffered.full()));
            }
            buffered.resize(bytes).map_err(ReadError::Full)?;
            buf.extend_from_slice(&data);
        }
        Ok(BufferedBody { bytes: buf.freeze(), buffered })
    }
}

impl Buffered {
    /// Sets the number of bytes that the response takes.
    ///
    /// # Errors
    ///
    /// Returns an error if that is more than is left; it takes as much as before then.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BufferFull> {
        let others = self.budget.used.get() - self.bytes;
        let left = MAX_BUFFERED_BYTES.saturating_sub(others + bytes);
        if self.bytes < bytes && FREE_BYTES < bytes && left < bytes {
            return Err(self.full());
        }
        self.budget.used.set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }

    fn full(&self) -> BufferFull {
        BufferFull { bytes: ByteCount::new(self.bytes as u64) }
    }
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
