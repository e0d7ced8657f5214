use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use opentelemetry::Context;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    trace::{Span, SpanData, SpanExporter as _, SpanProcessor},
};

use crate::otlp::block_on;

/// Maximum number of spans queued for export; more are dropped.
const MAX_QUEUED_SPANS: usize = 8192;
/// Maximum number of spans in one request to the collector.
const MAX_BATCH_SPANS: usize = 512;
/// Longest time that a span is delayed to be batched with others.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Timeout of the flush when an exporter is dropped.
const DROP_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Counts of spans by export outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExportCounts {
    /// Spans accepted by the collector.
    pub exported: u64,
    /// Spans whose export failed.
    pub failed: u64,
    /// Spans dropped because the queue was full.
    pub dropped: u64,
}

/// Outcome of a flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushOutcome {
    /// Each span recorded before was exported or has failed.
    Done,
    /// The timeout expired first.
    TimedOut,
}

/// Handle of the thread that exports spans; flushes on drop.
#[derive(Debug)]
pub struct Exporter {
    tx: flume::Sender<Message>,
    counters: Arc<Counters>,
}

impl Exporter {
    pub(crate) fn start(exporter: SpanExporter) -> eyre::Result<(Self, QueueProcessor)> {
        let (tx, rx) = flume::bounded(MAX_QUEUED_SPANS);
        let counters = Arc::new(Counters::default());
        let worker = Worker { exporter, rx, counters: Arc::clone(&counters) };
        thread::Builder::new().name("trace-export".into()).spawn(move || worker.run())?;
        let processor = QueueProcessor { tx: tx.clone(), counters: Arc::clone(&counters) };
        Ok((Self { tx, counters }, processor))
    }

    /// Exports the spans recorded so far and waits for that at most `timeout`.
    pub fn flush(&self, timeout: Duration) -> FlushOutcome {
        flush(&self.tx, timeout)
    }

    /// Returns the counts of spans by outcome so far.
    pub fn counts(&self) -> ExportCounts {
        self.counters.read()
    }

    pub(crate) fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }
}

impl Drop for Exporter {
    fn drop(&mut self) {
        flush(&self.tx, DROP_FLUSH_TIMEOUT);
    }
}

/// Queues ended spans for the exporter's thread without blocking.
#[derive(Debug)]
pub(crate) struct QueueProcessor {
    tx: flume::Sender<Message>,
    counters: Arc<Counters>,
}

impl SpanProcessor for QueueProcessor {
    fn on_start(&self, _span: &mut Span, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        if self.tx.try_send(Message::Span(Box::new(span))).is_err() {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        match flush(&self.tx, DROP_FLUSH_TIMEOUT) {
            FlushOutcome::Done => Ok(()),
            FlushOutcome::TimedOut => Err(OTelSdkError::Timeout(DROP_FLUSH_TIMEOUT)),
        }
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        // The exporter flushes on drop; flushing here as well would double the shutdown time.
        Ok(())
    }
}

fn flush(tx: &flume::Sender<Message>, timeout: Duration) -> FlushOutcome {
    let deadline = Instant::now() + timeout;
    let (done_tx, done_rx) = flume::bounded(1);
    let sent = tx.send_deadline(Message::Flush(done_tx), deadline);
    if sent.is_ok() && done_rx.recv_deadline(deadline).is_ok() {
        FlushOutcome::Done
    } else {
        FlushOutcome::TimedOut
    }
}

#[derive(Debug)]
enum Message {
    Span(Box<SpanData>),
    Flush(flume::Sender<()>),
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    exported: AtomicU64,
    failed: AtomicU64,
    dropped: AtomicU64,
}

impl Counters {
    pub(crate) fn read(&self) -> ExportCounts {
        ExportCounts {
            exported: self.exported.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }
}

struct Worker {
    exporter: SpanExporter,
    rx: flume::Receiver<Message>,
    counters: Arc<Counters>,
}

impl Worker {
    fn run(self) {
        while let Ok(first) = self.rx.recv() {
            let (batch, flushed) = self.collect(first);
            self.export(batch);
            if let Some(flushed) = flushed {
                // The receiver may have timed out.
                let _ = flushed.try_send(());
            }
        }
    }

    fn collect(&self, first: Message) -> (Vec<SpanData>, Option<flume::Sender<()>>) {
        let deadline = Instant::now() + MAX_BATCH_DELAY;
        let mut batch = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Span(span) => batch.push(*span),
                Message::Flush(flushed) => return (batch, Some(flushed)),
            }
            let full = MAX_BATCH_SPANS <= batch.len();
            next = if full { None } else { self.rx.recv_deadline(deadline).ok() };
        }
        (batch, None)
    }

    fn export(&self, batch: Vec<SpanData>) {
        if batch.is_empty() {
            return;
        }
        let spans = batch.len() as u64;
        match block_on(self.exporter.export(batch)) {
            Ok(()) => self.counters.exported.fetch_add(spans, Ordering::Relaxed),
            Err(e) => {
                log::warn!(spans, error:% = e; "span export failed");
                self.counters.failed.fetch_add(spans, Ordering::Relaxed)
            }
        };
    }
}
