use std::{error, fmt, str::FromStr};

use opentelemetry::trace::{SpanContext, SpanId, TraceFlags, TraceId, TraceState};

const VERSION_0_BYTES: usize = 55;
const SAMPLED_FLAG: u8 = 1;

/// A trace context as in the W3C `traceparent` header: trace id, span id and sampled flag.
///
/// # Examples
///
/// ```
/// use telemetry::TraceContext;
///
/// let header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// let context: TraceContext = header.parse()?;
/// assert!(context.is_sampled());
/// assert_eq!(context.to_string(), header);
/// # Ok::<(), telemetry::ParseTraceContextError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceContext {
    trace: u128,
    span: u64,
    flags: u8,
}

impl TraceContext {
    /// Name of the header.
    pub const HEADER: &'static str = "traceparent";

    /// Creates a context, or returns `None` if an id is zero.
    pub fn new(trace: u128, span: u64, sampled: bool) -> Option<Self> {
        let valid = trace != 0 && span != 0;
        valid.then_some(Self { trace, span, flags: u8::from(sampled) })
    }

    /// Returns the trace id.
    pub fn trace_id(&self) -> u128 {
        self.trace
    }

    /// Returns the span id.
    pub fn span_id(&self) -> u64 {
        self.span
    }

    /// Returns whether the trace is sampled.
    pub fn is_sampled(&self) -> bool {
        self.flags & SAMPLED_FLAG != 0
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-{:02x}", self.trace, self.span, self.flags)
    }
}

impl FromStr for TraceContext {
    type Err = ParseTraceContextError;

    fn from_str(text: &str) -> Result<Self, ParseTraceContextError> {
        parse(text).ok_or(ParseTraceContextError(()))
    }
}

fn parse(text: &str) -> Option<TraceContext> {
    let version = lower_hex(text.get(..2)?)?;
    let later_version = 0 < version && text.as_bytes().get(VERSION_0_BYTES) == Some(&b'-');
    if version == 0xff || (text.len() != VERSION_0_BYTES && !later_version) {
        return None;
    }
    let mut fields = text.get(..VERSION_0_BYTES)?.split('-').skip(1);
    let trace = lower_hex(fields.next().filter(|field| field.len() == 32)?)?;
    let span = lower_hex(fields.next().filter(|field| field.len() == 16)?)?;
    let flags = lower_hex(fields.next().filter(|field| field.len() == 2)?)?;
    // Other flags are undefined and must not be propagated.
    TraceContext::new(trace, u64::try_from(span).ok()?, flags & u128::from(SAMPLED_FLAG) != 0)
}

fn lower_hex(text: &str) -> Option<u128> {
    let lower = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    lower.then(|| u128::from_str_radix(text, 16).ok()).flatten()
}

impl From<TraceContext> for SpanContext {
    fn from(context: TraceContext) -> Self {
        let trace = TraceId::from_bytes(context.trace.to_be_bytes());
        let span = SpanId::from_bytes(context.span.to_be_bytes());
        let flags = TraceFlags::new(context.flags);
        Self::new(trace, span, flags, true, TraceState::default())
    }
}

impl From<&SpanContext> for TraceContext {
    fn from(context: &SpanContext) -> Self {
        Self {
            trace: u128::from_be_bytes(context.trace_id().to_bytes()),
            span: u64::from_be_bytes(context.span_id().to_bytes()),
            flags: u8::from(context.is_sampled()),
        }
    }
}

/// Error returned for an invalid `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseTraceContextError(());

impl fmt::Display for ParseTraceContextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid traceparent header")
    }
}

impl error::Error for ParseTraceContextError {}
