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

/// Service name and instrumentation scope of the spans.
const SERVICE_NAME: &str = "dotterelreach";
/// Timeout of one request to the collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// A stage of a request in the router, recorded as a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestStage {
    /// From the request's head to the end of its response.
    Accept,
    /// Queueing for a slot.
    Queue,
    /// The choice of an endpoint.
    Route,
    /// The commit of the claim of a non-idempotent call.
    Claim,
    /// The connection to the endpoint.
    Connect,
    /// From the request's first byte to the first token.
    FirstToken,
    /// From the first token to the end of the stream.
    Stream,
}

impl RequestStage {
    /// All stages, in the order of a request.
    pub const ALL: [Self; 7] = [
        Self::Accept,
        Self::Queue,
        Self::Route,
        Self::Claim,
        Self::Connect,
        Self::FirstToken,
        Self::Stream,
    ];

    /// Returns the stage's span name.
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

/// The fraction of new traces that are sampled, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampleRatio(f64);

impl SampleRatio {
    /// Samples every trace.
    pub const ALL: Self = Self(1.0);

    /// Returns the ratio as a number.
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

/// Configuration of tracing.
#[derive(Clone, Debug)]
pub struct TraceConfig {
    /// The collector's URL for traces, such as `http://127.0.0.1:4318/v1/traces`.
    pub endpoint: String,
    /// The fraction of new traces to sample; a caller's sampling decision takes precedence.
    pub sample: SampleRatio,
    /// The host's name, set on the spans as `host.name`.
    pub host: String,
}

/// Starts the spans of requests.
#[derive(Clone, Debug)]
pub struct Tracer(Option<SdkTracer>);

impl Tracer {
    /// Creates a tracer that records nothing and propagates the callers' trace contexts.
    pub fn off() -> Self {
        Self(None)
    }

    /// Creates a tracer and the thread that exports its spans.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint is not an `http` URL or the thread can't be started.
    pub fn start(cfg: TraceConfig) -> eyre::Result<(Self, Exporter)> {
        let is_http = cfg.endpoint.starts_with("http://");
        ensure!(is_http, "trace endpoint {:?} does not start with http://", cfg.endpoint);
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
        Ok((Self(Some(provider.tracer(SERVICE_NAME))), exporter))
    }

    /// Starts the span of a request, in the caller's trace if there is one.
    pub fn accept(&self, caller: Option<TraceContext>) -> Span {
        let Some(tracer) = &self.0 else { return Span { context: caller, recording: None } };
        let parent = caller.map_or_else(Context::new, |caller| {
            Context::new().with_remote_span_context(caller.into())
        });
        Span::start(tracer, RequestStage::Accept, &parent)
    }
}

fn resource(cfg: &TraceConfig) -> Resource {
    Resource::builder_empty()
        .with_service_name(SERVICE_NAME)
        .with_attribute(KeyValue::new("host.name", cfg.host.clone()))
        .build()
}

/// The span of a request stage; ends on drop.
#[derive(Debug)]
pub struct Span {
    context: Option<TraceContext>,
    recording: Option<Recording>,
}

#[derive(Debug)]
struct Recording {
    tracer: SdkTracer,
    span: SdkSpan,
}

impl Span {
    fn start(tracer: &SdkTracer, stage: RequestStage, parent: &Context) -> Self {
        let builder = SpanBuilder::from_name(stage.as_str()).with_kind(stage.kind());
        let span = tracer.build_with_context(builder, parent);
        let context = Some(TraceContext::from(span.span_context()));
        Self { context, recording: Some(Recording { tracer: tracer.clone(), span }) }
    }

    /// Starts the span of a stage within this one.
    pub fn child(&self, stage: RequestStage) -> Self {
        let Some(recording) = &self.recording else {
            return Self { context: self.context, recording: None };
        };
        let parent = Context::new().with_remote_span_context(recording.span.span_context().clone());
        Self::start(&recording.tracer, stage, &parent)
    }

    /// Returns the context to propagate, or `None` if tracing is off and the caller sent none.
    pub fn context(&self) -> Option<TraceContext> {
        self.context
    }

    /// Sets an attribute, if the span is recorded.
    pub fn set(&mut self, key: &'static str, value: impl Into<Value>) {
        if let Some(recording) = &mut self.recording {
            recording.span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Marks the stage as failed.
    pub fn fail(&mut self, verdict: Verdict) {
        self.set("verdict", verdict.as_str());
        if let Some(recording) = &mut self.recording {
            recording.span.set_status(Status::error(verdict.as_str()));
        }
    }
}
