//! Failures as callers and operators see them: problem details by RFC 9457.

use base::Verdict;
use serde::{Deserialize, Serialize};

/// The type of a problem that is described by its title alone.
const ABOUT_BLANK: &str = "about:blank";

/// Why a request got no answer, and whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URI that names the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// What kind of problem it is.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What went wrong here.
    pub detail: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Problem {
    /// Describes a problem whose title says all about its kind.
    pub fn new(status: u16, title: &str, detail: &str, verdict: Verdict) -> Self {
        let kind = ABOUT_BLANK.to_owned();
        Self { kind, title: title.to_owned(), status, detail: detail.to_owned(), verdict }
    }
}
