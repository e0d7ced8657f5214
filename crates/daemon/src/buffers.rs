//! Bounds the memory that bodies of requests and responses take while they are buffered.

use std::{
    error, fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::ByteCount;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use telemetry::Metrics;
use tokio::time::Instant;

use crate::{failure::Failure, serve::RequestBody};

/// Share of the process's memory that all buffered bodies may take together, as a divisor.
///
/// On a host with 88 MB, eight bodies of 4 MB fit, beside the 20 MB that an idle process takes.
const MEMORY_DIVISOR: u64 = 2;

/// Share of the budget that only small bodies may take, as a divisor.
const SMALL_DIVISOR: usize = 8;

/// Largest head that may take the share of small ones; twice the first read buffer of a connection.
const SMALL_HEAD_BYTES: usize = 16 << 10;

/// Memory that a head takes for each of its bytes, as its buffer grows by doubling.
const HEAD_FACTOR: usize = 2;

/// Largest body that may take the share of small ones.
const SMALL_BYTES: usize = 64 << 10;

/// `Retry-After` of a request whose body finds no memory, in which slow bodies are refused.
pub(crate) const MEMORY_RETRY_AFTER: Duration = PROGRESS_WINDOW;

/// Size of a body's first segment; most bodies fit.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// Size of each further segment; small enough for the heap to use again for any body.
const SEGMENT_BYTES: usize = 32 << 10;

/// Time in which a request's body must bring at least [`MIN_PROGRESS_BYTES`].
const PROGRESS_WINDOW: Duration = Duration::from_secs(5);

/// Fewest bytes of an unfinished body in each window; a hundredth of the smallest link's rate.
const MIN_PROGRESS_BYTES: usize = 4 << 10;

/// The memory for buffered bodies, shared by all threads of the process.
///
/// A body may take at most as much as is left, so that a few long ones get all they need, and many
/// that never end can't take the place of the others.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    max: usize,
    used: AtomicUsize,
    metrics: Arc<Metrics>,
}

/// The part of a [`BufferBudget`] that a body takes, until dropped.
#[derive(Debug)]
pub(crate) struct Buffered {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

/// A body that takes more memory than is left for it.
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

/// The bytes of an unfinished body, in pieces of one size.
///
/// A single growing buffer is copied as it grows, which leaves gaps in the heap as large as the bodies.
#[derive(Default)]
struct Segments {
    segments: Vec<BytesMut>,
    bytes: usize,
}

impl Segments {
    fn len(&self) -> usize {
        self.bytes
    }

    fn push(&mut self, mut data: &[u8]) {
        self.bytes += data.len();
        while !data.is_empty() {
            let last = match self.segments.last_mut() {
                Some(last) if last.len() < last.capacity() => last,
                _ => self.add_segment(),
            };
            let (now, later) = data.split_at(data.len().min(last.capacity() - last.len()));
            last.extend_from_slice(now);
            data = later;
        }
    }

    fn add_segment(&mut self) -> &mut BytesMut {
        let is_first = self.segments.is_empty();
        let size = if is_first { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES };
        self.segments.push(BytesMut::with_capacity(size));
        self.segments.last_mut().expect("a segment was added")
    }

    fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.bytes);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole.freeze()
    }
}

/// Why a request's body could not be read as a whole.
#[derive(Debug)]
pub(crate) enum RequestReadError {
    /// It is longer than the limit, or declares to be.
    TooLarge,
    /// It takes more memory than is left for it.
    Full,
    /// It arrived too slowly.
    Stalled,
    /// Its connection ended, or its framing is malformed.
    Connection(hyper::Error),
}

impl RequestReadError {
    /// Returns the failure of a request whose body may have up to `max_bytes`; it has not run.
    pub(crate) fn into_failure(self, max_bytes: usize) -> Failure {
        match self {
            Self::TooLarge => Failure::body_too_large(max_bytes),
            Self::Full => Failure::memory_full(MEMORY_RETRY_AFTER),
            Self::Stalled => Failure::body_stalled(),
            Self::Connection(_) => Failure::bad_request("the body is incomplete or malformed"),
        }
    }

    /// Returns the reason's label in metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::Full => "memory-full",
            Self::Stalled => "stalled",
            Self::Connection(_) => "connection",
        }
    }
}

/// A whole body, with the memory that it takes.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub bytes: Bytes,
    pub buffered: Buffered,
}

impl BufferBudget {
    /// Creates the budget of a process that may use `memory` in all.
    pub(crate) fn new(memory: ByteCount, metrics: Arc<Metrics>) -> Self {
        let max = usize::try_from(memory.as_u64() / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self { max, used: AtomicUsize::new(0), metrics }
    }

    /// Begins a body, which takes no memory yet.
    pub(crate) fn begin(self: &Arc<Self>) -> Buffered {
        Buffered { budget: Arc::clone(self), bytes: 0 }
    }

    /// Reads a request's whole body of up to `max_bytes`.
    ///
    /// Frames are copied, as each would otherwise keep a whole read buffer of its connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or too slow, or no memory is left for it.
    pub(crate) async fn read_request(
        self: &Arc<Self>,
        body: RequestBody,
        max_bytes: usize,
    ) -> Result<BufferedBody, RequestReadError> {
        let read = self.read_unrecorded(body, max_bytes).await;
        read.inspect_err(|e| self.metrics.body_refused(e.as_str()))
    }

    async fn read_unrecorded(
        self: &Arc<Self>,
        mut body: RequestBody,
        max_bytes: usize,
    ) -> Result<BufferedBody, RequestReadError> {
        if (max_bytes as u64) < body.size_hint().lower() {
            return Err(RequestReadError::TooLarge);
        }
        let mut buffered = self.begin();
        let mut buf = Segments::default();
        let mut deadline = Instant::now() + PROGRESS_WINDOW;
        let mut min_bytes = MIN_PROGRESS_BYTES;
        loop {
            let Ok(frame) = tokio::time::timeout_at(deadline, body.frame()).await else {
                if buf.len() < min_bytes {
                    return Err(RequestReadError::Stalled);
                }
                min_bytes = buf.len() + MIN_PROGRESS_BYTES;
                deadline = Instant::now() + PROGRESS_WINDOW;
                continue;
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(RequestReadError::Connection)?;
            let Ok(data) = frame.into_data() else { continue };
            let bytes = buf.len() + data.len();
            if max_bytes < bytes {
                return Err(RequestReadError::TooLarge);
            }
            buffered.resize(bytes).map_err(|_| RequestReadError::Full)?;
            buf.push(&data);
        }
        Ok(BufferedBody { bytes: buf.into_bytes(), buffered })
    }

    /// Reads a response's whole body of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if it is too long, truncated or malformed.
    pub(crate) async fn read(
        self: &Arc<Self>,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<BufferedBody, ReadError> {
        let mut buffered = self.begin();
        let mut buf = Segments::default();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(ReadError::Connection)?.into_data() else { continue };
            let bytes = buf.len() + data.len();
            if max_bytes < bytes {
                return Err(ReadError::Full(buffered.full()));
            }
            buffered.resize(bytes).map_err(ReadError::Full)?;
            buf.push(&data);
        }
        Ok(BufferedBody { bytes: buf.into_bytes(), buffered })
    }

    /// Returns whether a head that takes `bytes` may be read on where all together take `used`.
    fn fits_head(&self, used: usize, bytes: usize) -> bool {
        let small = if bytes <= SMALL_HEAD_BYTES { 0 } else { self.max / SMALL_DIVISOR };
        used <= self.max - small
    }

    /// Returns whether a body may take `bytes` where all together take `used`.
    fn fits(&self, used: usize, bytes: usize) -> bool {
        if bytes <= SMALL_BYTES {
            return used <= self.max;
        }
        let left = (self.max - self.max / SMALL_DIVISOR).saturating_sub(used);
        bytes <= left
    }
}

impl Buffered {
    /// Sets the number of bytes that the body takes.
    ///
    /// # Errors
    ///
    /// Returns an error if that is more than is left; it takes as much as before then.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BufferFull> {
        self.resize_if(bytes, BufferBudget::fits)
    }

    /// Sets the number of bytes that were received of a request's head.
    ///
    /// # Errors
    ///
    /// Returns an error if it takes more than is left; it takes as much as before then.
    pub(crate) fn resize_head(&mut self, bytes: usize) -> Result<(), BufferFull> {
        self.resize_if(bytes.saturating_mul(HEAD_FACTOR), BufferBudget::fits_head)
    }

    /// Returns the bytes of a body, which take their memory until the last reference is dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _buffered: self })
    }

    fn resize_if(
        &mut self,
        bytes: usize,
        fits: impl Fn(&BufferBudget, usize, usize) -> bool,
    ) -> Result<(), BufferFull> {
        if bytes <= self.bytes {
            self.budget.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return Ok(());
        }
        let more = bytes - self.bytes;
        let used = self.budget.used.fetch_add(more, Ordering::Relaxed) + more;
        if !fits(&self.budget, used, bytes) {
            self.budget.used.fetch_sub(more, Ordering::Relaxed);
            return Err(self.full());
        }
        self.bytes = bytes;
        Ok(())
    }

    fn full(&self) -> BufferFull {
        BufferFull { bytes: ByteCount::new(self.bytes as u64) }
    }
}

/// Bytes with the memory that they take.
struct HeldBytes {
    bytes: Bytes,
    _buffered: Buffered,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
