//! Logs, metrics and traces.
//!
//! Logs go through [`log`] and are written one line an event. [`Metrics`] holds every instrument
//! and renders them for Prometheus. A [`Tracer`] records a span for each [`RequestStage`] of a request and
//! exports them by OTLP on a thread of its own, behind a bounded ring: a slow or dead collector
//! costs spans and never holds a request.
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
mod log_ring;
mod logs;
mod metrics;
mod otlp;
mod recorder;
mod trace;

pub use crate::{
    context::{ParseTraceContextError, TraceContext},
    export::{ExportCounts, Exporter, Flush},
    log_ring::{LogBudget, LogGuard, LogRing},
    logs::{LogFormat, init_logs},
    metrics::{MAX_LABELLED_ORGANISATIONS, Metrics, OTHER_ORGANISATION, QuorumRole},
    recorder::{InFlight, Recorder, Refusal},
    trace::{RequestStage, SampleRatio, Span, TraceConfig, Tracer},
};
