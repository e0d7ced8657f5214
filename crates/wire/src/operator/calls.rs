use std::{
    fmt::{self, Write as _},
    str::FromStr,
    sync::Arc,
};

use base::{
    Author, HostId, IdempotencyKey, Incarnation, OrganisationId, ParseError, UnixMillis, Verdict,
};
use serde::{Deserialize, Serialize};

use super::CALLS_PATH;

const PATH_RULE: &str = "/operator/calls/ORGANISATION/KEY, each percent-encoded";

/// The path of a non-idempotent call.
///
/// Organisation and key may contain slashes, so the path must be parsed before percent-decoding.
///
/// # Examples
///
/// ```
/// use wire::operator::CallPath;
///
/// let path: CallPath = "/operator/calls/north-press/order%2F7".parse()?;
/// assert_eq!(path.key.as_str(), "order/7");
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallPath {
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The call's idempotency key.
    pub key: IdempotencyKey,
}

impl fmt::Display for CallPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(CALLS_PATH)?;
        f.write_char('/')?;
        write_segment(f, self.organisation.as_str())?;
        f.write_char('/')?;
        write_segment(f, self.key.as_str())
    }
}

impl FromStr for CallPath {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("call path", text, PATH_RULE);
        let rest = text.strip_prefix(CALLS_PATH).ok_or_else(invalid)?;
        let rest = rest.strip_prefix('/').ok_or_else(invalid)?;
        let (organisation, key) = rest.split_once('/').ok_or_else(invalid)?;
        if key.contains('/') {
            return Err(invalid());
        }
        let organisation = decode_segment(organisation).ok_or_else(invalid)?;
        let key = decode_segment(key).ok_or_else(invalid)?;
        Ok(Self { organisation: organisation.parse()?, key: key.parse()? })
    }
}

fn write_segment(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    // Some clients resolve a segment of only dots as a relative path.
    let only_dots = text.bytes().all(|byte| byte == b'.');
    text.bytes().try_for_each(|byte| {
        if byte.is_ascii_alphanumeric() || b"-_".contains(&byte) || (byte == b'.' && !only_dots) {
            f.write_char(char::from(byte))
        } else {
            write!(f, "%{byte:02X}")
        }
    })
}

fn decode_segment(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let high = char::from(bytes.next()?).to_digit(16)?;
        let low = char::from(bytes.next()?).to_digit(16)?;
        decoded.push(u8::try_from(high * 16 + low).ok()?);
    }
    String::from_utf8(decoded).ok()
}

/// A non-idempotent call, run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The call's idempotency key.
    pub key: IdempotencyKey,
    /// The call's state.
    pub state: CallState,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// The host that claimed the call, unless it released the claim.
    #[serde(default)]
    pub owner: Option<HostId>,
    /// The incarnation of that host's process.
    #[serde(default)]
    pub owner_incarnation: Option<Incarnation>,
    /// The time of the claim.
    #[serde(default)]
    pub claimed_at: Option<UnixMillis>,
    /// The status of the endpoint's response, if there was one.
    #[serde(default)]
    pub status: Option<u16>,
    /// The operator's resolution, if any.
    #[serde(default)]
    pub resolution: Option<Resolution>,
    /// The status of a response that arrived after the operator's resolution.
    #[serde(default)]
    pub late_status: Option<u16>,
}

/// The calls that are open or whose outcome is unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledCalls {
    /// The calls.
    pub calls: Vec<Call>,
}

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallState {
    /// Claimed; its outcome is not known yet.
    Open,
    /// Its response is recorded.
    Answered,
    /// Sent, but no response is known.
    Failed,
    /// Its owner did not send it; it may be claimed again.
    Released,
    /// An operator set its outcome.
    Resolved,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}

/// An operator's resolution of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolution {
    /// The operator.
    pub author: Author,
    /// The reason for it.
    pub reason: Arc<str>,
    /// The time of the resolution.
    pub at: UnixMillis,
}

/// Request to set the outcome of a call that stayed open; idempotent for the same outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResolveRequest {
    /// The outcome.
    pub verdict: ResolvedVerdict,
    /// The operator.
    pub author: Author,
    /// The reason for it.
    pub reason: Arc<str>,
}

/// An outcome that an operator can set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResolvedVerdict {
    /// The call ran.
    Ran,
    /// The call did not run and never will.
    NotRun,
}

impl From<ResolvedVerdict> for Verdict {
    fn from(verdict: ResolvedVerdict) -> Self {
        match verdict {
            ResolvedVerdict::Ran => Self::Ran,
            ResolvedVerdict::NotRun => Self::NotRun,
        }
    }
}
