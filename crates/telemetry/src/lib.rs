//! Logs, metrics and traces.
//!
//! Logs go through [`log`] and are written as one line per event. [`Metrics`] holds every
//! instrument and renders them for Prometheus. A [`Tracer`] records a span for each
//! [`RequestStage`] of a request and exports the spans by OTLP on a thread of its own, through a
//! bounded queue: a slow or unavailable collector loses spans, but never delays a request.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use telemetry::{RequestStage, Metrics, Tracer};
//!
//! let metrics = Metrics::new()?;
//! let organisation = "north-press".parse()?;
//! metrics.label_organisations([&organisation]);
//! metrics.recorder(&organisation).first_token(Duration::from_millis(12));
//! assert!(metrics.render().contains(r#"organisation="north-press""#));
//!
//! let tracer = Tracer::off();
//! let request = tracer.accept(None);
//! let _queued = request.child(RequestStage::Queue);
//! # Ok::<(), eyre::Report>(())
//! ```

mod context;
mod export;
mod instruments;
mod log_queue;
mod logs;
mod metrics;
mod otlp;
mod recorder;
mod trace;

pub use crate::{
    context::{ParseTraceContextError, TraceContext},
    export::{ExportCounts, Exporter, FlushOutcome},
    log_queue::{LogBudget, LogGuard, LogQueue},
    logs::{LogFormat, init_logs},
    metrics::{
        MAX_LABELLED_ORGANISATIONS, Metrics, NoticeKind, OTHER_ORGANISATIONS_LABEL, QuorumRole,
        UnusedAnnouncement,
    },
    recorder::{InFlight, Recorder, Refusal},
    trace::{RequestStage, SampleRatio, Span, TraceConfig, Tracer},
};
