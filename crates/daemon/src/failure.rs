//! Failures of callers' requests, as problem responses (RFC 9457).

use std::time::Duration;

use base::Verdict;
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use telemetry::{Recorder, Refusal};
use wire::problem::{self, Problem};

/// Why a request failed, and whether it may have run.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub status: StatusCode,
    pub title: &'static str,
    pub detail: String,
    pub verdict: Verdict,
    pub retry_after: Option<Duration>,
}

impl Failure {
    pub(crate) fn new(
        status: StatusCode,
        title: &'static str,
        detail: impl Into<String>,
        verdict: Verdict,
    ) -> Self {
        Self { status, title, detail: detail.into(), verdict, retry_after: None }
    }

    fn refused(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail, Verdict::NotRun)
    }

    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "malformed request", detail)
    }

    pub(crate) fn unauthorised() -> Self {
        let detail = "expected a known key in \"Authorization: Bearer KEY\"";
        Self::refused(StatusCode::UNAUTHORIZED, "unknown key", detail)
    }

    pub(crate) fn not_found(detail: impl Into<String>) -> Self {
        Self::refused(StatusCode::NOT_FOUND, "not found", detail)
    }

    pub(crate) fn method_not_allowed() -> Self {
        let detail = "the path does not support this method";
        Self::refused(StatusCode::METHOD_NOT_ALLOWED, "method not allowed", detail)
    }

    pub(crate) fn conflict(detail: impl Into<String>) -> Self {
        Self::refused(StatusCode::CONFLICT, "conflict", detail)
    }

    pub(crate) fn gone(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::GONE, "stream not held", detail, Verdict::MayHaveRun)
    }

    pub(crate) fn unprocessable(detail: impl Into<String>) -> Self {
        Self::refused(StatusCode::UNPROCESSABLE_ENTITY, "request refused", detail)
    }

    pub(crate) fn too_many(detail: impl Into<String>, retry_after: Duration) -> Self {
        let mut failure = Self::refused(StatusCode::TOO_MANY_REQUESTS, "too many requests", detail);
        failure.retry_after = Some(retry_after);
        failure
    }

    pub(crate) fn body_too_large(max_bytes: usize) -> Self {
        let detail = format!("the body is longer than {max_bytes} bytes");
        Self::refused(StatusCode::PAYLOAD_TOO_LARGE, "body too large", detail)
    }

    pub(crate) fn prompt_too_large(max_bytes: usize) -> Self {
        let detail = format!("the prompt is longer than {max_bytes} bytes");
        Self::refused(StatusCode::PAYLOAD_TOO_LARGE, "prompt too large", detail)
    }

    pub(crate) fn body_timeout(timeout: Duration) -> Self {
        let timeout = humantime::format_duration(timeout);
        let detail = format!("the body did not arrive within {timeout}");
        Self::refused(StatusCode::REQUEST_TIMEOUT, "body timeout", detail)
    }

    pub(crate) fn unavailable(detail: impl Into<String>, retry_after: Duration) -> Self {
        let mut failure =
            Self::refused(StatusCode::SERVICE_UNAVAILABLE, "no endpoint available", detail);
        failure.retry_after = Some(retry_after);
        failure
    }

    pub(crate) fn bad_gateway(detail: impl Into<String>, verdict: Verdict) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, "endpoint failed", detail, verdict)
    }

    pub(crate) fn timed_out(detail: impl Into<String>, verdict: Verdict) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, "timeout", detail, verdict)
    }

    /// Counts the failure: as a refusal if the request didn't run, by its verdict otherwise.
    pub(crate) fn record(&self, recorder: &Recorder) {
        match self.verdict {
            Verdict::NotRun => recorder.refusal(self.reason()),
            verdict => recorder.verdict(verdict),
        }
    }

    fn reason(&self) -> Refusal {
        match self.status {
            StatusCode::UNAUTHORIZED => Refusal::Unauthorised,
            StatusCode::NOT_FOUND => Refusal::Unknown,
            StatusCode::GATEWAY_TIMEOUT => Refusal::Deadline,
            StatusCode::TOO_MANY_REQUESTS => Refusal::OverShare,
            status if status.is_client_error() => Refusal::Malformed,
            _ => Refusal::NoEndpoint,
        }
    }

    pub(crate) fn to_problem(&self) -> Problem {
        Problem::new(self.status.as_u16(), self.title)
            .with_detail(self.detail.as_str())
            .with_verdict(self.verdict)
    }

    pub(crate) fn to_response<B: From<Bytes>>(&self) -> Response<B> {
        let body = serde_json::to_vec(&self.to_problem()).expect("a problem is valid JSON");
        let mut response = Response::new(B::from(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(problem::CONTENT_TYPE));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, whole_seconds(after).into());
        }
        response
    }
}

fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() != 0)
}
