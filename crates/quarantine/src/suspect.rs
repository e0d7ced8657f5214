use std::{fmt, str::FromStr};

use base::{Hasher, ParseError};
use prefix::PartId;
use serde::{Deserialize, Serialize};

/// Identifies a request of a caller: requests that are sent again have equal fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Wraps a plain fingerprint.
    pub const fn new(fingerprint: u64) -> Self {
        Self(fingerprint)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid =
            || ParseError::new("request fingerprint", text, "up to 16 hexadecimal digits");
        u64::from_str_radix(text, 16).map(Self).map_err(|_| invalid())
    }
}

/// What a caller sends again with a request; header fields may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// The host that the request names.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path and the query.
    pub path: &'a str,
    /// The caller's organisation, or its API key if it has none; keys change.
    pub caller: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The fingerprints of a request, with and without its prompt.
///
/// A request that comes again may have another prompt; requests that differ in nothing but their
/// prompts may be different ones. The crashes tell which of the two is the case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFingerprints {
    /// Of the content without the prompt.
    pub content: RequestFingerprint,
    /// Of the content and the prompt; equal to `content` if there is none.
    pub with_prompt: RequestFingerprint,
}

impl RequestFingerprints {
    /// Computes the fingerprints of a request with a prompt of these parts.
    pub fn new(content: &RequestContent<'_>, parts: impl Iterator<Item = PartId>) -> Self {
        let mut hasher = Hasher::default()
            .field(content.host.as_bytes())
            .field(content.method.as_bytes())
            .field(content.path.as_bytes())
            .field(content.caller.as_bytes())
            .field(content.body);
        let content = truncated(&hasher);
        for part in parts {
            hasher = hasher.field(part.to_string().as_bytes());
        }
        Self { content, with_prompt: truncated(&hasher) }
    }

    /// Returns the distinct fingerprints, the less specific one first.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> + use<> {
        let with_prompt = (self.with_prompt != self.content).then_some(self.with_prompt);
        std::iter::once(self.content).chain(with_prompt)
    }
}

fn truncated(hasher: &Hasher) -> RequestFingerprint {
    let digest = hasher.finish();
    let bytes: [u8; 8] = std::array::from_fn(|i| digest.as_bytes()[i]);
    RequestFingerprint(u64::from_le_bytes(bytes))
}

/// What may be the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A part of prompts.
    Part(PartId),
    /// A request that comes again.
    Request(RequestFingerprint),
}

impl Suspect {
    /// Returns whether this is a request.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part}"),
            Self::Request(request) => write!(f, "request {request}"),
        }
    }
}
