use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Whether a failed request may have had an effect at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request can have reached an endpoint.
    NotRun,
    /// The request was sent, and its outcome is unknown.
    MayHaveRun,
    /// The request ran, but its response can't be returned.
    Ran,
}

impl Verdict {
    /// All verdicts, ordered from the least possible effect to the greatest.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// Returns whether even a non-idempotent call may be retried.
    pub fn may_retry(self) -> bool {
        self == Self::NotRun
    }

    /// Returns the verdict's name, as responses and logs spell it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        Self::ALL
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
            .ok_or_else(|| ParseError::new("verdict", text, "not-run, may-have-run or ran"))
    }
}
