use std::{fmt, str::FromStr};

use base::{EndpointId, Incarnation, ParseError, RequestId, WeightsVersion};

/// Separates the parts; no identifier can contain it.
const SEPARATOR: char = ',';

const FORMAT: &str = "ENDPOINT,INCARNATION,WEIGHTS,REQUEST,OFFSET,TOKEN";

/// The id of an event in a streamed response: all that another router needs to resume the stream.
///
/// Callers send the last id that they received as `Last-Event-ID`. Its format is
/// `ENDPOINT,INCARNATION,WEIGHTS,REQUEST,OFFSET,TOKEN`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The generating engine.
    pub endpoint: EndpointId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The version of the weights in use.
    pub weights: WeightsVersion,
    /// The request's id at the engine.
    pub request: RequestId,
    /// Tokens of the response that earlier engines generated.
    pub offset: u64,
    /// Tokens of the response up to this event; never less than `offset`.
    pub token: u64,
}

impl EventId {
    /// Returns the number of tokens that this engine has generated.
    pub fn engine_token(&self) -> u64 {
        self.token.saturating_sub(self.offset)
    }
}

impl FromStr for EventId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("event id", text, FORMAT);
        let mut parts = text.split(SEPARATOR);
        let mut part = || parts.next().ok_or_else(invalid);
        let id = Self {
            endpoint: part()?.parse()?,
            incarnation: Incarnation::new(parse_number(part()?).ok_or_else(invalid)?),
            weights: part()?.parse()?,
            request: part()?.parse()?,
            offset: parse_number(part()?).ok_or_else(invalid)?,
            token: parse_number(part()?).ok_or_else(invalid)?,
        };
        if parts.next().is_some() || id.token < id.offset {
            return Err(invalid());
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

/// Parses a number in the canonical form that `Display` writes.
fn parse_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
