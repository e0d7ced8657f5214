use std::{fmt, str::FromStr};

use crate::ParseError;

/// A rate of requests, in requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate from requests per second, or returns `None` if it is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && 0.0 <= per_second).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let rate = text.trim().parse().ok().and_then(Self::new);
        rate.ok_or_else(|| ParseError::new("request rate", text, "a decimal number from 0"))
    }
}
