use std::time::Duration;

use base::Verdict;
use rouille::Response;
use wire::problem::{CONTENT_TYPE, Problem};

/// An error response to an operator's request.
#[derive(Debug)]
pub(super) struct ApiError {
    problem: Problem,
    headers: Vec<(&'static str, String)>,
}

impl ApiError {
    /// Creates the error of a request that changed nothing.
    pub(super) fn not_run(status: u16, title: &str, detail: impl AsRef<str>) -> Self {
        Self::new(status, title, detail, Verdict::NotRun)
    }

    fn new(status: u16, title: &str, detail: impl AsRef<str>, verdict: Verdict) -> Self {
        let problem =
            Problem::new(status, title).with_detail(detail.as_ref()).with_verdict(verdict);
        Self { problem, headers: Vec::new() }
    }

    pub(super) fn malformed(detail: impl AsRef<str>) -> Self {
        Self::not_run(400, "malformed request", detail)
    }

    pub(super) fn unauthorised() -> Self {
        let detail = "expected an operator's key in \"Authorization: Bearer KEY\"";
        Self::not_run(401, "unknown key", detail).with_header("WWW-Authenticate", "Bearer")
    }

    pub(super) fn no_operator_keys() -> Self {
        let detail = "this router has no operator key; start it with --operator-key DIGEST \
                      (environment: DOTTERELREACH_OPERATOR_KEYS)";
        Self::not_run(403, "operator pages are closed", detail)
    }

    pub(super) fn not_found(detail: impl AsRef<str>) -> Self {
        Self::not_run(404, "not found", detail)
    }

    pub(super) fn method_not_allowed(allowed: &str) -> Self {
        let detail = format!("the path supports only {allowed}");
        Self::not_run(405, "method not allowed", detail).with_header("Allow", allowed)
    }

    pub(super) fn conflict(detail: impl AsRef<str>) -> Self {
        Self::not_run(409, "conflict", detail)
    }

    pub(super) fn too_large(max_bytes: u64) -> Self {
        Self::not_run(413, "body too large", format!("the body is longer than {max_bytes} bytes"))
    }

    pub(super) fn invalid(detail: impl AsRef<str>) -> Self {
        Self::not_run(422, "request refused", detail)
    }

    pub(super) fn unavailable(detail: impl AsRef<str>) -> Self {
        Self::not_run(503, "not available", detail)
    }

    /// Creates the error of a request without a response; sending the same again is safe.
    pub(super) fn unknown() -> Self {
        let detail = "no response arrived in time; the request may be carried out, and the same \
                      request can be sent again";
        Self::new(504, "no answer in time", detail, Verdict::MayHaveRun)
    }

    #[must_use]
    pub(super) fn retry_after(self, wait: Duration) -> Self {
        let seconds = wait.as_millis().div_ceil(1_000);
        self.with_header("Retry-After", &seconds.to_string())
    }

    #[must_use]
    fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub(super) fn into_response(self) -> Response {
        let body = serde_json::to_vec(&self.problem).expect("a problem is valid JSON");
        let mut response =
            Response::from_data(CONTENT_TYPE, body).with_status_code(self.problem.status);
        for (name, value) in self.headers {
            response = response.with_additional_header(name, value);
        }
        response
    }
}
