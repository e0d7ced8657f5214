//! Log lines on their way to an output that may block.

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

/// Lines that wait for the output; more are left out.
const RING: usize = 2048;

/// Time between two writes, so that lines are written many at a time.
const WRITE_PERIOD: Duration = Duration::from_millis(20);

/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds on the volume of a process's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBudget {
    /// Most lines a second.
    pub lines: u32,
    /// Most lines a second of level info or below; the rest is for warnings and errors.
    pub plain_lines: u32,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self { lines: 1_000, plain_lines: 800 }
    }
}

/// The end of a log ring that takes lines and never blocks.
#[derive(Clone, Debug)]
pub struct LogRing {
    tx: flume::Sender<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: LogBudget,
    started: Instant,
    /// The second that is counted, and the lines in it.
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
    ended: AtomicBool,
}

/// Writes the last lines on drop.
#[derive(Debug)]
pub struct LogGuard {
    ring: LogRing,
    writer: Option<thread::JoinHandle<()>>,
}

impl LogRing {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be made.
    pub fn start<W: Write + Send + 'static>(
        out: W,
        budget: LogBudget,
    ) -> io::Result<(Self, LogGuard)> {
        let (tx, rx) = flume::bounded(RING);
        let shared = Arc::new(Shared {
            budget,
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        });
        let ring = Self { tx, shared: Arc::clone(&shared) };
        let writer = thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx, out, &shared))?;
        Ok((ring.clone(), LogGuard { ring, writer: Some(writer) }))
    }

    /// Takes a line, unless the budget or the ring is full.
    pub fn push(&self, level: Level, line: Vec<u8>) {
        if !self.shared.admits(level) || self.tx.try_send(line).is_err() {
            self.shared.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were left out and not yet told of.
    pub fn left_out(&self) -> u64 {
        self.shared.left_out.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Counts a line against the budget of this second.
    fn admits(&self, level: Level) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let lines = self.lines.fetch_add(1, Ordering::Relaxed);
        let most = if level <= Level::Warn { self.budget.lines } else { self.budget.plain_lines };
        lines < u64::from(most)
    }
}

fn write_lines<W: Write>(rx: &flume::Receiver<Vec<u8>>, mut out: W, shared: &Shared) {
    while let Ok(first) = rx.recv() {
        let mut text = first;
        rx.drain().for_each(|line| text.extend(line));
        let left_out = shared.left_out.swap(0, Ordering::Relaxed);
        if left_out != 0 {
            text.extend(
                format!("level=warn target=telemetry event=\"lines left out\" lines={left_out}\n")
                    .into_bytes(),
            );
        }
        // Nobody is left to be told of an output that fails.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        if !shared.ended.load(Ordering::Relaxed) {
            thread::sleep(WRITE_PERIOD);
        }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.ring.shared.ended.store(true, Ordering::Relaxed);
        let until = Instant::now() + FLUSH_TIMEOUT;
        while !self.ring.tx.is_empty() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        // The writer may still hold the last lines that it took.
        thread::sleep(WRITE_PERIOD.min(FLUSH_TIMEOUT));
        drop(self.writer.take());
    }
}
