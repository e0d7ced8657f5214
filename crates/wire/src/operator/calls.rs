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

/// The path of a call that may not be repeated.
///
/// Organisation and key may hold slashes, so it must be parsed from the path as sent, before
/// percent-decoding.
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
    /// The organisation that calls.
    pub organisation: OrganisationId,
    /// Its name for the call.
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
    // A segment of dots alone would be taken for a relative path by some clients.
    let dots = text.bytes().all(|byte| byte == b'.');
    text.bytes().try_for_each(|byte| {
        if byte.is_ascii_alphanumeric() || b"-_".contains(&byte) || (byte == b'.' && !dots) {
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

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The organisation that called.
    pub organisation: OrganisationId,
    /// Its name for the call.
    pub key: IdempotencyKey,
    /// How far the call has come.
    pub state: CallState,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// The host that claimed it, unless it was given back.
    #[serde(default)]
    pub owner: Option<HostId>,
    /// The life of that host's process.
    #[serde(default)]
    pub owner_incarnation: Option<Incarnation>,
    /// When it was claimed.
    #[serde(default)]
    pub claimed_at: Option<UnixMillis>,
    /// The status that the endpoint answered with, if it did.
    #[serde(default)]
    pub status: Option<u16>,
    /// What an operator decided, if one did.
    #[serde(default)]
    pub resolution: Option<Resolution>,
    /// The status of an answer that came after the operator had decided.
    #[serde(default)]
    pub late_status: Option<u16>,
}

/// The calls that are open or whose outcome is unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledCalls {
    /// Each call.
    pub calls: Vec<Call>,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallState {
    /// It is claimed, and its outcome is not known.
    Open,
    /// Its answer is recorded.
    Answered,
    /// It was sent, and no answer is known.
    Failed,
    /// Its owner sent nothing; it may be claimed again.
    Released,
    /// An operator decided its outcome.
    Resolved,
    /// A state that this program does not know.
    #[serde(other)]
    Unknown,
}

/// What an operator decided about a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolution {
    /// Who decided it.
    pub author: Author,
    /// Why.
    pub reason: Arc<str>,
    /// When.
    pub at: UnixMillis,
}

/// Decides the outcome of a call that stayed open; deciding the same twice is the same as once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResolveRequest {
    /// The outcome.
    pub verdict: ResolvedVerdict,
    /// Who decides it.
    pub author: Author,
    /// Why.
    pub reason: Arc<str>,
}

/// An outcome that an operator can vouch for.
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
