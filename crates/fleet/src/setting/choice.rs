//! Settings with a fixed set of values.

use std::{fmt, str::FromStr};

use base::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{TextVisitor, time::Timeout};

/// The policy that chooses an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Weighs cached prefixes against the expected queueing time.
    Warm,
    /// The first version of `warm`, kept for comparison.
    WarmV1,
    /// Cycles through the endpoints.
    RoundRobin,
    /// Chooses the endpoint with the fewest requests in flight.
    LeastInFlight,
    /// Chooses the prefix's home by hashing.
    Hash,
}

impl RoutingPolicy {
    const ALL: [Self; 5] =
        [Self::Warm, Self::WarmV1, Self::RoundRobin, Self::LeastInFlight, Self::Hash];

    /// Returns the policy's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::WarmV1 => "warm-v1",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::Hash => "hash",
        }
    }
}

impl fmt::Display for RoutingPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RoutingPolicy {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const ALLOWED: &str = "warm, warm-v1, round-robin, least-in-flight or hash";
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == text);
        found.ok_or_else(|| ParseError::new("routing policy", text, ALLOWED))
    }
}

/// The sources from which an engine may fetch cached blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KvTransfer {
    /// None.
    Off,
    /// Other engines.
    Neighbour,
    /// The KV store.
    Store,
    /// Both.
    Both,
}

impl KvTransfer {
    const ALL: [Self; 4] = [Self::Off, Self::Neighbour, Self::Store, Self::Both];

    /// Returns the choice's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Neighbour => "neighbour",
            Self::Store => "store",
            Self::Both => "both",
        }
    }

    /// Returns whether blocks may be fetched from other engines.
    pub fn fetches_from_engines(self) -> bool {
        matches!(self, Self::Neighbour | Self::Both)
    }

    /// Returns whether blocks may be fetched from the store.
    pub fn fetches_from_store(self) -> bool {
        matches!(self, Self::Store | Self::Both)
    }
}

impl fmt::Display for KvTransfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for KvTransfer {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Self::ALL.into_iter().find(|choice| choice.as_str() == text);
        found.ok_or_else(|| ParseError::new("KV transfer", text, "off, neighbour, store or both"))
    }
}

/// The delay after which a late request is hedged with a second endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDelay {
    /// Never.
    Off,
    /// After this long.
    After(Timeout),
}

impl fmt::Display for HedgeDelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Off => f.write_str("off"),
            Self::After(delay) => delay.fmt(f),
        }
    }
}

impl FromStr for HedgeDelay {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text == "off" {
            return Ok(Self::Off);
        }
        text.parse().map(Self::After)
    }
}

impl Serialize for HedgeDelay {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for HedgeDelay {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor::new("\"off\" or a duration such as 800ms"))
    }
}

/// An HTTP method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
#[expect(missing_docs, reason = "the names are those of HTTP")]
pub enum Method {
    Get,
    Head,
    Options,
    Put,
    Delete,
    Post,
    Patch,
}

impl Method {
    const ALL: [Self; 7] =
        [Self::Get, Self::Head, Self::Options, Self::Put, Self::Delete, Self::Post, Self::Patch];

    /// Returns the method's name in HTTP.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Options => "OPTIONS",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Post => "POST",
            Self::Patch => "PATCH",
        }
    }
}

impl FromStr for Method {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const ALLOWED: &str = "GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH";
        let found = Self::ALL.into_iter().find(|method| method.as_str() == text);
        found.ok_or_else(|| ParseError::new("method", text, ALLOWED))
    }
}

/// A set of HTTP methods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Methods(u8);

impl Methods {
    /// GET and HEAD.
    pub const READS: Self = Self(1 << Method::Get as u8 | 1 << Method::Head as u8);

    /// Returns whether `method` is in the set.
    pub const fn contains(self, method: Method) -> bool {
        self.0 & (1 << method as u8) != 0
    }

    fn iter(self) -> impl Iterator<Item = Method> {
        Method::ALL.into_iter().filter(move |method| self.contains(*method))
    }
}

impl FromIterator<Method> for Methods {
    fn from_iter<I: IntoIterator<Item = Method>>(methods: I) -> Self {
        Self(methods.into_iter().fold(0, |bits, method| bits | 1 << method as u8))
    }
}

impl fmt::Display for Methods {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.iter().map(Method::as_str).collect();
        f.write_str(&names.join(" "))
    }
}

impl Serialize for Methods {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for Methods {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Vec::<Method>::deserialize(deserializer).map(|methods| methods.into_iter().collect())
    }
}
