//! Error responses in the problem details format of RFC 9457.

use std::sync::Arc;

use base::{RequestId, Verdict};
use serde::{Deserialize, Serialize};

/// The media type of a [`Problem`].
pub const CONTENT_TYPE: &str = "application/problem+json";

/// The type of a problem without further meaning than its HTTP status.
const BLANK_TYPE: &str = "about:blank";

/// An error response.
///
/// # Examples
///
/// ```
/// use base::Verdict;
/// use wire::problem::Problem;
///
/// let problem = Problem::new(503, "no endpoint is ready").with_verdict(Verdict::NotRun);
/// let json = serde_json::to_string(&problem)?;
/// assert!(json.contains(r#""verdict":"not-run""#));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URI that identifies the kind of problem.
    #[serde(rename = "type", default = "blank_type")]
    pub kind: Arc<str>,
    /// A short summary of the kind.
    #[serde(default)]
    pub title: Arc<str>,
    /// The HTTP status.
    pub status: u16,
    /// Explanation of this occurrence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Arc<str>>,
    /// Whether the request may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<Verdict>,
    /// The id of the failed request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

impl Problem {
    /// Creates a problem of type `about:blank`.
    pub fn new(status: u16, title: impl Into<Arc<str>>) -> Self {
        Self {
            kind: blank_type(),
            title: title.into(),
            status,
            detail: None,
            verdict: None,
            request_id: None,
        }
    }

    /// Sets the URI of the kind of problem.
    #[must_use]
    pub fn with_kind(self, kind: impl Into<Arc<str>>) -> Self {
        Self { kind: kind.into(), ..self }
    }

    /// Sets the explanation of this occurrence.
    #[must_use]
    pub fn with_detail(self, detail: impl Into<Arc<str>>) -> Self {
        Self { detail: Some(detail.into()), ..self }
    }

    /// Sets whether the request may have run.
    #[must_use]
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict: Some(verdict), ..self }
    }

    /// Sets the id of the failed request.
    #[must_use]
    pub fn with_request_id(self, id: RequestId) -> Self {
        Self { request_id: Some(id), ..self }
    }
}

fn blank_type() -> Arc<str> {
    BLANK_TYPE.into()
}
