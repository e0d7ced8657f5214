use std::{fmt, str::FromStr, time::Duration};

use base::{ParseError, Verdict};
use eyre::{WrapErr as _, ensure};
use opentelemetry::{
    Context, KeyValue, Value,
    trace::{
        Span as _, SpanBuilder, SpanKind, Status, TraceContextExt as _, Tracer as _,
        TracerProvider as _,
    },
};
use opentelemetry_otlp::{SpanExporter, WithExportConfig as _, WithHttpConfig as _};
use opentelemetry_sdk::{
    Resource,
    trace::{Sampler, SdkTracer, SdkTracerProvider, Span as SdkSpan},
};

use crate::{Exporter, TraceContext, otlp::BlockingClient};

const SCOPE: &str = "dotterelreach";
/// Time for one request to the collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// A part of a request's way through the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestStage {
    /// From the request's head to the end of its answer.
    Accept,
    /// The wait for a slot.
    Queue,
    /// The choice of endpoint.
    Route,
    /// The commit of the claim of a call that may not be repeated.
    Claim,
    /// The connection to the endpoint.
    Connect,
    /// From the request's first byte to the first token.
    FirstToken,
    /// From the first token to the end of the stream.
    Stream,
}

impl RequestStage {
    /// Every hop, in the order of a request.
    pub const ALL: [Self; 7] = [
        Self::Accept,
        Self::Queue,
        Self::Route,
        Self::Claim,
        Self::Connect,
        Self::FirstToken,
        Self::Stream,
    ];

    /// Returns the name of its spans.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Queue => "queue",
            Self::Route => "route",
            Self::Claim => "claim",
            Self::Connect => "connect",
            Self::FirstToken => "first_token",
            Self::Stream => "stream",
        }
    }

    fn kind(self) -> SpanKind {
        match self {
            Self::Accept => SpanKind::Server,
            Self::Connect | Self::FirstToken | Self::Stream => SpanKind::Client,
            Self::Queue | Self::Route | Self::Claim => SpanKind::Internal,
        }
    }
}

impl fmt::Display for RequestStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The share of new traces that are recorded, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampleRatio(f64);

impl SampleRatio {
    /// Every trace.
    pub const ALL: Self = Self(1.0);

    /// Returns the plain number.
    pub fn as_f64(self) -> f64 {
        self.0
    }
}

impl fmt::Display for SampleRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for SampleRatio {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("sample ratio", text, "a number from 0 to 1");
        let ratio = text.parse().map_err(|_| invalid())?;
        if !(0.0..=1.0).contains(&ratio) {
            return Err(invalid());
        }
        Ok(Self(ratio))
    }
}

/// Settings of tracing.
#[derive(Clone, Debug)]
pub struct TraceConfig {
    /// The collector's URL for traces, such as `http://127.0.0.1:4318/v1/traces`.
    pub endpoint: String,
    /// The share of new traces to record; a caller's own decision goes first.
    pub sample: SampleRatio,
    /// The host's name in the spans.
    pub host: String,
}

/// Starts spans.
#[derive(Clone, Debug)]
pub struct Tracer(Option<SdkTracer>);

impl Tracer {
    /// Creates a tracer that records nothing and passes trace contexts on.
    pub fn off() -> Self {
        Self(None)
    }

    /// Creates a tracer and the thread that exports its spans.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint is no `http` URL or the thread cannot start.
    pub fn start(cfg: TraceConfig) -> eyre::Result<(Self, Exporter)> {
        let plain = cfg.endpoint.starts_with("http://");
        ensure!(plain, "trace endpoint {:?} does not start with http://", cfg.endpoint);
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(BlockingClient::new(EXPORT_TIMEOUT))
            .with_endpoint(&cfg.endpoint)
            .with_timeout(EXPORT_TIMEOUT)
            .build()
            .wrap_err_with(|| format!("cannot export traces to {:?}", cfg.endpoint))?;
        let (exporter, processor) = Exporter::start(exporter)?;
        let sampler = Sampler::TraceIdRatioBased(cfg.sample.as_f64());
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(sampler)))
            .with_resource(resource(&cfg))
            .with_span_processor(processor)
            .build();
        Ok((Self(Some(provider.tracer(SCOPE))), exporter))
    }

    /// Starts the span of a request, in the caller's trace if it gave one.
    pub fn accept(&self, caller: Option<TraceContext>) -> Span {
        let Some(tracer) = &self.0 else { return Span { passed: caller, recording: None } };
        let parent = caller.map_or_else(Context::new, |caller| {
            Context::new().with_remote_span_context(caller.into())
        });
        Span::start(tracer, RequestStage::Accept, &parent)
    }
}

fn resource(cfg: &TraceConfig) -> Resource {
    Resource::builder_empty()
        .with_service_name(SCOPE)
        .with_attribute(KeyValue::new("host.name", cfg.host.clone()))
        .build()
}

/// A hop under way; ends on drop.
#[derive(Debug)]
pub struct Span {
    passed: Option<TraceContext>,
    recording: Option<Recording>,
}

#[derive(Debug)]
struct Recording {
    tracer: SdkTracer,
    span: SdkSpan,
}

impl Span {
    fn start(tracer: &SdkTracer, hop: RequestStage, parent: &Context) -> Self {
        let builder = SpanBuilder::from_name(hop.as_str()).with_kind(hop.kind());
        let span = tracer.build_with_context(builder, parent);
        let passed = Some(TraceContext::from(span.span_context()));
        Self { passed, recording: Some(Recording { tracer: tracer.clone(), span }) }
    }

    /// Starts a hop within this one.
    pub fn child(&self, hop: RequestStage) -> Self {
        let Some(recording) = &self.recording else {
            return Self { passed: self.passed, recording: None };
        };
        let parent = Context::new().with_remote_span_context(recording.span.span_context().clone());
        Self::start(&recording.tracer, hop, &parent)
    }

    /// Returns the context to pass on, `None` if tracing is off and the caller gave none.
    pub fn context(&self) -> Option<TraceContext> {
        self.passed
    }

    /// Adds a fact, if the span is recorded.
    pub fn set(&mut self, key: &'static str, value: impl Into<Value>) {
        if let Some(recording) = &mut self.recording {
            recording.span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Marks the hop as failed.
    pub fn fail(&mut self, verdict: Verdict) {
        self.set("verdict", verdict.as_str());
        if let Some(recording) = &mut self.recording {
            recording.span.set_status(Status::error(verdict.as_str()));
        }
    }
}
