//! A bounded queue of log lines, written by a thread to an output that may block.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use log::Level;

/// Maximum number of lines queued for the output; more are dropped.
const MAX_QUEUED_LINES: usize = 2048;

/// Time between two writes, so that lines are written in batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for writing the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Rate limits of a process's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBudget {
    /// Maximum number of lines per second.
    pub lines: u32,
    /// Maximum number of lines per second of level info or below; the rest of `lines` is reserved
    /// for warnings and errors.
    pub info_lines: u32,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self { lines: 1_000, info_lines: 800 }
    }
}

/// The sending end of the log queue; never blocks.
#[derive(Clone, Debug)]
pub struct LogQueue {
    tx: flume::Sender<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: LogBudget,
    started: Instant,
    /// The second since `started` in which `lines` were counted.
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
    stopping: AtomicBool,
}

/// Writes the last lines on drop.
#[derive(Debug)]
pub struct LogGuard {
    queue: LogQueue,
    writer: Option<thread::JoinHandle<()>>,
}

impl LogQueue {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start<W: Write + Send + 'static>(
        out: W,
        budget: LogBudget,
    ) -> io::Result<(Self, LogGuard)> {
        let (tx, rx) = flume::bounded(MAX_QUEUED_LINES);
        let shared = Arc::new(Shared {
            budget,
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        });
        let queue = Self { tx, shared: Arc::clone(&shared) };
        let writer = thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx, out, &shared))?;
        Ok((queue.clone(), LogGuard { queue, writer: Some(writer) }))
    }

    /// Queues a line, or drops it if the budget is spent or the queue is full.
    pub fn push(&self, level: Level, line: Vec<u8>) {
        if !self.shared.admits(level) || self.tx.try_send(line).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines that are not reported in the log yet.
    pub fn unreported_drops(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Counts a line against the current second's budget and returns whether it is within it.
    fn admits(&self, level: Level) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let lines = self.lines.fetch_add(1, Ordering::Relaxed);
        let max_lines =
            if level <= Level::Warn { self.budget.lines } else { self.budget.info_lines };
        lines < u64::from(max_lines)
    }
}

fn write_lines<W: Write>(rx: &flume::Receiver<Vec<u8>>, mut out: W, shared: &Shared) {
    while let Ok(first) = rx.recv() {
        let mut text = first;
        rx.drain().for_each(|line| text.extend(line));
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        if dropped != 0 {
            text.extend(
                format!(
                    "level=warn target=telemetry event=\"log lines dropped\" lines={dropped}\n"
                )
                .into_bytes(),
            );
        }
        // A failure of the log's output can't be reported anywhere.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        if !shared.stopping.load(Ordering::Relaxed) {
            thread::sleep(WRITE_INTERVAL);
        }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.shared.stopping.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while !self.queue.tx.is_empty() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
        // The writer may still be writing the last batch that it received.
        thread::sleep(WRITE_INTERVAL.min(FLUSH_TIMEOUT));
        drop(self.writer.take());
    }
}
