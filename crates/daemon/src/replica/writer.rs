//! The log writer thread, which keeps syncs off the replica thread.

use std::{io, thread::JoinHandle, time::Duration};

use base::MonotonicTime;
use quorum::{Batch, BatchNumber, Write};
use store::{Disk, Log};

/// Duration from which a write counts as slow.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(200);

/// Time without a slow write after which the disk no longer counts as slow.
const SLOW_DISK_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// The outcome of batches.
#[derive(Debug)]
pub(super) enum Written {
    /// All batches up to this one are durable.
    Through(BatchNumber),
    /// A write failed, and no later one will succeed.
    Failed(String),
}

/// Writes batches in order; on drop, stops the thread and releases the data folder.
pub(super) struct Writer {
    batches: Option<flume::Sender<Batch>>,
    written: flume::Receiver<Written>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be created.
    pub(super) fn spawn<D: Disk + Send + 'static>(log: Log<D>) -> io::Result<Self> {
        let (batches, queue) = flume::unbounded();
        let (done, written) = flume::unbounded();
        let work = move || write_all(log, &queue, &done);
        let thread = std::thread::Builder::new().name("log".into()).spawn(work)?;
        Ok(Self { batches: Some(batches), written, thread: Some(thread) })
    }

    /// Queues a batch after all earlier ones.
    pub(super) fn write(&self, batch: Batch) {
        if let Some(batches) = &self.batches {
            // The thread ends by itself only after it has reported a failure.
            let _ = batches.send(batch);
        }
    }

    /// Returns the receiver of the batches' outcomes, which receives none after a failure.
    pub(super) fn written(&self) -> &flume::Receiver<Written> {
        &self.written
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("log writer thread panicked");
        }
    }
}

/// Writes batches until their sender is dropped or a write fails.
fn write_all<D: Disk>(
    mut log: Log<D>,
    queue: &flume::Receiver<Batch>,
    done: &flume::Sender<Written>,
) {
    while let Ok(first) = queue.recv() {
        let written = match write(&mut log, first, queue.try_iter()) {
            Ok(last) => Written::Through(last),
            Err(e) => Written::Failed(e.to_string()),
        };
        let failed = matches!(written, Written::Failed(_));
        if done.send(written).is_err() || failed {
            return;
        }
    }
}

/// Writes batches with one sync, and one more for each snapshot; returns the last one's number.
fn write<D: Disk>(
    log: &mut Log<D>,
    first: Batch,
    more: impl Iterator<Item = Batch>,
) -> store::Result<BatchNumber> {
    let mut last = first.number;
    for batch in std::iter::once(first).chain(more) {
        last = batch.number;
        for write in batch.writes {
            stage_write(log, write)?;
        }
    }
    log.sync()?;
    Ok(last)
}

fn stage_write<D: Disk>(log: &mut Log<D>, write: Write) -> store::Result<()> {
    match write {
        Write::Log { hard_state, entries } => log.stage(hard_state.as_ref(), &entries),
        Write::Snapshot(snapshot) => {
            log.sync()?;
            log.save_snapshot(&snapshot)?;
        }
    }
    Ok(())
}

/// Tracks whether writes are slow.
#[derive(Debug, Default)]
pub(super) struct DiskSpeed {
    /// When a write was last slow, if the disk counts as slow.
    slow_at: Option<MonotonicTime>,
}

impl DiskSpeed {
    /// Records how long the oldest write has been in flight, and logs changes.
    pub(super) fn record(&mut self, now: MonotonicTime, write_age: Duration) {
        if SLOW_WRITE_THRESHOLD <= write_age {
            if self.slow_at.replace(now).is_none() {
                log::warn!(waited_ms = write_age.as_millis(); "data folder writes slow");
            }
        } else if self.slow_at.is_some_and(|at| SLOW_DISK_RECOVERY_TIME <= now.saturating_since(at))
        {
            self.slow_at = None;
            log::info!("data folder writes no longer slow");
        }
    }
}
