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

/// Spans that wait for export.
const RING_SPANS: usize = 8192;
/// Most spans in one request to the collector.
const BATCH_SPANS: usize = 512;
/// Longest time that a span waits for others to share its request.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Time that a dropped exporter has for its last spans.
const DROP_FLUSH: Duration = Duration::from_secs(1);

/// What became of the spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExportCounts {
    /// Spans that the collector took.
    pub exported: u64,
    /// Spans that the collector did not take.
    pub failed: u64,
    /// Spans that found the ring full.
    pub dropped: u64,
}

/// Whether the spans recorded so far have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flush {
    /// Each was sent or has failed.
    Done,
    /// Time ran out.
    TimedOut,
}

/// The thread that exports spans; flushes on drop.
#[derive(Debug)]
pub struct Exporter {
    tx: flume::Sender<Message>,
    counters: Arc<Counters>,
}

impl Exporter {
    pub(crate) fn start(exporter: SpanExporter) -> eyre::Result<(Self, RingProcessor)> {
        let (tx, rx) = flume::bounded(RING_SPANS);
        let counters = Arc::new(Counters::default());
        let worker = Worker { exporter, rx, counters: Arc::clone(&counters) };
        thread::Builder::new().name("trace-export".into()).spawn(move || worker.run())?;
        let processor = RingProcessor { tx: tx.clone(), counters: Arc::clone(&counters) };
        Ok((Self { tx, counters }, processor))
    }

    /// Sends the spans recorded so far, and waits for it at most `bound`.
    pub fn flush(&self, bound: Duration) -> Flush {
        flush(&self.tx, bound)
    }

    /// Returns what became of the spans so far.
    pub fn counts(&self) -> ExportCounts {
        self.counters.read()
    }

    pub(crate) fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }
}

impl Drop for Exporter {
    fn drop(&mut self) {
        flush(&self.tx, DROP_FLUSH);
    }
}

/// Hands ended spans to the exporter's thread without waiting.
#[derive(Debug)]
pub(crate) struct RingProcessor {
    tx: flume::Sender<Message>,
    counters: Arc<Counters>,
}

impl SpanProcessor for RingProcessor {
    fn on_start(&self, _span: &mut Span, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        if self.tx.try_send(Message::Span(Box::new(span))).is_err() {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        match flush(&self.tx, DROP_FLUSH) {
            Flush::Done => Ok(()),
            Flush::TimedOut => Err(OTelSdkError::Timeout(DROP_FLUSH)),
        }
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        // The exporter flushes; waiting here as well would double the time to stop.
        Ok(())
    }
}

fn flush(tx: &flume::Sender<Message>, bound: Duration) -> Flush {
    let deadline = Instant::now() + bound;
    let (done_tx, done_rx) = flume::bounded(1);
    let sent = tx.send_deadline(Message::Flush(done_tx), deadline);
    if sent.is_ok() && done_rx.recv_deadline(deadline).is_ok() {
        Flush::Done
    } else {
        Flush::TimedOut
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
                // Who asked may have stopped waiting.
                let _ = flushed.try_send(());
            }
        }
    }

    fn collect(&self, first: Message) -> (Vec<SpanData>, Option<flume::Sender<()>>) {
        let deadline = Instant::now() + BATCH_DELAY;
        let mut batch = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Span(span) => batch.push(*span),
                Message::Flush(flushed) => return (batch, Some(flushed)),
            }
            let full = BATCH_SPANS <= batch.len();
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
                log::warn!(spans, error:% = e; "spans were not exported");
                self.counters.failed.fetch_add(spans, Ordering::Relaxed)
            }
        };
    }
}
