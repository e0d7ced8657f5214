use std::{fmt, str::FromStr};

use base::{EndpointId, Incarnation, ParseError, RequestId, WeightsVersion};

/// Separates the parts; no identifier holds it.
const SEPARATOR: char = ',';

const RULE: &str = "ENDPOINT,INCARNATION,WEIGHTS,REQUEST,OFFSET,TOKEN";

/// The id of an event in a streamed answer: all that another router needs to resume the stream.
///
/// Callers send the last one that they got as `Last-Event-ID`. It reads
/// `ENDPOINT,INCARNATION,WEIGHTS,REQUEST,OFFSET,TOKEN`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The engine that generates.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The version of the weights that it generates with.
    pub weights: WeightsVersion,
    /// The request's id at the engine.
    pub request: RequestId,
    /// Tokens of the answer that earlier engines generated.
    pub offset: u64,
    /// Tokens of the answer up to here; never below `offset`.
    pub token: u64,
}

impl EventId {
    /// Returns the last token's number at the engine.
    pub fn engine_token(&self) -> u64 {
        self.token.saturating_sub(self.offset)
    }
}

impl FromStr for EventId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new("event id", text, RULE);
        let mut parts = text.split(SEPARATOR);
        let mut part = || parts.next().ok_or_else(wrong);
        let id = Self {
            endpoint: part()?.parse()?,
            incarnation: Incarnation::new(number(part()?).ok_or_else(wrong)?),
            weights: part()?.parse()?,
            request: part()?.parse()?,
            offset: number(part()?).ok_or_else(wrong)?,
            token: number(part()?).ok_or_else(wrong)?,
        };
        if parts.next().is_some() || id.token < id.offset {
            return Err(wrong());
        }
        Ok(id)
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { endpoint, incarnation, weights, request, offset, token } = self;
        let incarnation = incarnation.as_u64();
        write!(f, "{endpoint},{incarnation},{weights},{request},{offset},{token}")
    }
}

/// Reads a number that is written in the one way that `Display` writes it.
fn number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
