use base::{MonotonicTime, OrganisationId, RequestId};
use hyper::{HeaderMap, Response, header::HeaderValue};
use telemetry::{Recorder, Span};

use super::{Edge, body::Body};

pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";
const TRACEPARENT_HEADER: &str = "traceparent";

/// Identity of a request in logs, metrics and traces.
pub(super) struct TrackedRequest {
    pub id: RequestId,
    pub arrived: MonotonicTime,
    pub recorder: Recorder,
    pub span: Span,
}

/// The request id returned to the caller: the one it sent, or the router's.
pub(super) struct CallerRequestId(HeaderValue);

impl TrackedRequest {
    /// Assigns an id to a request that has just arrived, and links it to its caller's trace.
    pub(super) fn begin(edge: &Edge, organisation: &OrganisationId, headers: &HeaderMap) -> Self {
        let id = edge.new_request_id();
        let caller =
            headers.get(TRACEPARENT_HEADER).and_then(|text| text.to_str().ok()?.parse().ok());
        let mut span = edge.tracer.accept(caller);
        span.set("request", id.to_string());
        let recorder = edge.metrics.recorder(organisation);
        Self { id, arrived: edge.clock.now(), recorder, span }
    }

    /// Returns the request id for the response.
    pub(super) fn caller_id(&self, headers: &HeaderMap) -> CallerRequestId {
        let router_id =
            || HeaderValue::from_str(self.id.as_str()).expect("an id is a valid header");
        CallerRequestId(headers.get(REQUEST_ID_HEADER).cloned().unwrap_or_else(router_id))
    }
}

impl CallerRequestId {
    /// Sets the response's request id header.
    pub(super) fn set_header(self, response: &mut Response<Body>) {
        response.headers_mut().insert(REQUEST_ID_HEADER, self.0);
    }
}
