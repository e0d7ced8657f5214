//! What a connection's caller does, and for how long it may go on with it.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::Instant,
};

use crate::buffers::Buffered;

use super::timer;

/// Shortest time for which a response stays unread before its connection may be replaced; callers
/// with slow links read a little more often.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(1);

/// What a connection's caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has sent nothing since the connection was opened or the last response ended.
    Idle { since: Instant },
    /// It has sent the beginning of a request's head.
    SendingHead { since: Instant },
    /// Its request is handled, and the body hasn't ended.
    SendingBody { since: Instant },
    /// Its request is handled.
    Waiting,
}

/// Why a connection is closed by its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overdue {
    /// The caller has been idle for too long.
    Idle,
    /// The head of a request hasn't arrived in time.
    Head,
    /// The caller has read nothing of a response for too long.
    Unread,
    /// No memory is left for the head of a request.
    MemoryFull,
    /// It was idle or unfinished, and a new connection takes its place.
    Replaced,
}

impl Overdue {
    /// Returns the reason's label in metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head-timeout",
            Self::Unread => "unread",
            Self::MemoryFull => "memory-full",
            Self::Replaced => "replaced",
        }
    }
}

/// How long a caller may be idle or read nothing of a response, and take to send a request's head.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    pub idle: Duration,
    pub head: Duration,
}

/// Tracks what a connection's caller does; clones share their state.
#[derive(Clone)]
pub(super) struct Activity(Rc<Shared>);

/// The head of the latest request, which takes memory until the response has ended.
struct Head {
    bytes: usize,
    buffered: Buffered,
    is_refused: bool,
}

struct Shared {
    opened: Instant,
    state: Cell<State>,
    /// Since when the caller hasn't read what is written to it.
    unread_since: Cell<Option<Instant>>,
    is_replaced: Cell<bool>,
    head: RefCell<Head>,
    changed: Notify,
}

impl Activity {
    /// Starts to track a connection that was just opened, whose heads take the memory of `buffered`.
    pub(super) fn new(buffered: Buffered) -> Self {
        let opened = Instant::now();
        Self(Rc::new(Shared {
            opened,
            state: Cell::new(State::Idle { since: opened }),
            unread_since: Cell::new(None),
            is_replaced: Cell::new(false),
            head: RefCell::new(Head { bytes: 0, buffered, is_refused: false }),
            changed: Notify::new(),
        }))
    }

    /// Returns when the connection was opened.
    pub(super) fn opened(&self) -> Instant {
        self.0.opened
    }

    /// Returns since when the caller has been idle, or has left a request or its response unfinished;
    /// `None` while its request is handled.
    pub(super) fn unused_since(&self, now: Instant) -> Option<Instant> {
        let unread_since = self.0.unread_since.get();
        if let Some(since) = unread_since.filter(|since| *since + MIN_UNREAD_TIME <= now) {
            return Some(since);
        }
        match self.0.state.get() {
            State::Idle { since } | State::SendingHead { since } | State::SendingBody { since } => {
                Some(since)
            }
            State::Waiting => None,
        }
    }

    /// Returns whether bytes of a response wait until the caller reads.
    pub(super) fn is_unread(&self) -> bool {
        self.0.unread_since.get().is_some()
    }

    /// Closes the connection, whose place a new one takes.
    pub(super) fn replace(&self) {
        self.0.is_replaced.set(true);
        self.0.changed.notify_one();
    }

    /// Waits until a new connection takes the place of this one, or a response was unread for
    /// `limit()`.
    pub(super) async fn cut_off(&self, limit: impl Fn() -> Duration) -> Overdue {
        loop {
            if self.0.is_replaced.get() {
                return Overdue::Replaced;
            }
            let changed = self.0.changed.notified();
            let Some(since) = self.0.unread_since.get() else {
                changed.await;
                continue;
            };
            if since + limit() <= Instant::now() {
                return Overdue::Unread;
            }
            tokio::select! {
                () = tokio::time::sleep_until(since + limit()) => {}
                () = changed => {}
            }
        }
    }

    /// Records that the body of a request begins.
    pub(super) fn begin_body(&self) {
        self.set(State::SendingBody { since: Instant::now() });
    }

    /// Records that the body of a request was read, or its handler has stopped reading it.
    pub(super) fn end_reading(&self) {
        if let State::SendingBody { .. } = self.0.state.get() {
            self.set(State::Waiting);
        }
    }

    /// Records that a request's head was read.
    pub(super) fn begin_request(&self) {
        self.set(State::Waiting);
    }

    /// Records that the response to the latest request has ended.
    pub(super) fn end_request(&self) {
        // Releasing memory never fails.
        let _ = self.0.head.borrow_mut().buffered.resize_head(0);
        self.set(State::Idle { since: Instant::now() });
    }

    /// Records that the rest of a request's body was read after its response.
    pub(super) fn end_body(&self) {
        if !matches!(self.0.state.get(), State::Waiting | State::SendingBody { .. }) {
            self.set(State::Idle { since: Instant::now() });
        }
    }

    /// Records that bytes were received; fails if they belong to a head for which no memory is left.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        if let State::Idle { .. } = self.0.state.get() {
            self.0.head.borrow_mut().bytes = 0;
            self.set(State::SendingHead { since: Instant::now() });
        }
        if !matches!(self.0.state.get(), State::SendingHead { .. }) {
            return Ok(());
        }
        let head = &mut *self.0.head.borrow_mut();
        head.bytes += bytes;
        head.buffered.resize_head(head.bytes).map_err(|_| {
            head.is_refused = true;
            io::ErrorKind::OutOfMemory.into()
        })
    }

    /// Returns the reason to close the connection if there was no memory for a head.
    pub(super) fn refused_head(&self) -> Option<Overdue> {
        self.0.head.borrow().is_refused.then_some(Overdue::MemoryFull)
    }

    fn set(&self, state: State) {
        self.0.state.set(state);
        self.0.changed.notify_one();
    }

    /// Waits until the caller exceeds the limits that hold then, if any.
    pub(super) async fn overdue(&self, limits: impl Fn() -> Option<TimeLimits>) -> Overdue {
        loop {
            if self.0.is_replaced.get() {
                return Overdue::Replaced;
            }
            let Some((deadline, overdue)) = self.deadline(limits()) else {
                self.0.changed.notified().await;
                continue;
            };
            if deadline <= Instant::now() {
                // What has arrived is read first, and then counts.
                timer::arrivals().await;
                if self.deadline(limits()) == Some((deadline, overdue)) {
                    return overdue;
                }
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => {}
                () = self.0.changed.notified() => {}
            }
        }
    }

    fn deadline(&self, limits: Option<TimeLimits>) -> Option<(Instant, Overdue)> {
        let limits = limits?;
        if let Some(since) = self.0.unread_since.get() {
            return Some((since + limits.idle, Overdue::Unread));
        }
        match self.0.state.get() {
            State::Idle { since } => Some((since + limits.idle, Overdue::Idle)),
            State::SendingHead { since } => Some((since + limits.head, Overdue::Head)),
            State::SendingBody { .. } | State::Waiting => None,
        }
    }

    /// Records whether bytes could be written.
    fn record_write<T>(&self, written: &Poll<T>) {
        let since = self.0.unread_since.get();
        match written {
            Poll::Pending if since.is_none() => {
                self.0.unread_since.set(Some(Instant::now()));
                self.0.changed.notify_one();
            }
            Poll::Pending => {}
            Poll::Ready(_) => self.0.unread_since.set(None),
        }
    }
}

/// A connection whose reads and writes are tracked.
pub(super) struct Tracked<'a, T> {
    pub io: &'a mut T,
    pub activity: Activity,
}

impl<T: AsyncRead + Unpin> AsyncRead for Tracked<'_, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut *self.io).poll_read(cx, buf);
        if before < buf.filled().len() {
            self.activity.record_read(buf.filled().len() - before)?;
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Tracked<'_, T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.io).poll_write(cx, buf);
        self.activity.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.io).poll_write_vectored(cx, bufs);
        self.activity.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io).poll_shutdown(cx)
    }
}
