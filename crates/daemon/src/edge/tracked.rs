use base::{MonotonicTime, OrganisationId, RequestId};
use hyper::{HeaderMap, Response, header::HeaderValue};
use telemetry::{Recorder, Span};

use super::{Edge, body::Body};

const REQUEST_ID: &str = "x-request-id";
const TRACEPARENT: &str = "traceparent";

/// A request as logs, metrics and spans know it.
pub(super) struct Tracked {
    pub id: RequestId,
    pub arrived: MonotonicTime,
    pub recorder: Recorder,
    pub span: Span,
}

/// The id by which the caller knows a request: its own, or the router's.
pub(super) struct ShownId(HeaderValue);

impl Tracked {
    /// Names a request that has just arrived, and links it to its caller's trace.
    pub(super) fn begin(edge: &Edge, organisation: &OrganisationId, headers: &HeaderMap) -> Self {
        let id = edge.new_request_id();
        let caller = headers.get(TRACEPARENT).and_then(|text| text.to_str().ok()?.parse().ok());
        let mut span = edge.tracer.accept(caller);
        span.set("request", id.to_string());
        let recorder = edge.metrics.recorder(organisation);
        Self { id, arrived: edge.clock.now(), recorder, span }
    }

    /// Returns the id that the answer shows.
    pub(super) fn shown_id(&self, headers: &HeaderMap) -> ShownId {
        let own = || HeaderValue::from_str(self.id.as_str()).expect("an id is a valid header");
        ShownId(headers.get(REQUEST_ID).cloned().unwrap_or_else(own))
    }
}

impl ShownId {
    /// Puts the id into an answer.
    pub(super) fn show(self, response: &mut Response<Body>) {
        response.headers_mut().insert(REQUEST_ID, self.0);
    }
}
