//! The contents of a declaration.

use std::{fmt, str::FromStr, sync::Arc};

use base::{
    AdapterId, Author, Digest, ExceptionId, ModelId, OrganisationId, ParseError, UnixMillis,
    WeightsVersion,
};
use serde::{Deserialize, Deserializer, Serialize, de};

use crate::{
    scope::Scope,
    setting::{Count, EndTime, Share},
    settings::Overrides,
};

/// The contents of a declaration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Contents {
    /// Values for all traffic.
    #[serde(skip_serializing_if = "is_empty")]
    pub defaults: Overrides,
    /// The models to serve.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<DesiredModel>,
    /// The customers of the site.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<Organisation>,
    /// Overrides of the defaults for part of the traffic.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub exceptions: Vec<Exception>,
}

fn is_empty(overrides: &Overrides) -> bool {
    *overrides == Overrides::default()
}

/// A model to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DesiredModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapters loaded on top.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterId>,
    /// Minimum number of servers that load it.
    pub minimum_servers: Count,
    /// Number of them that only prefill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_servers: Option<Count>,
}

/// A customer of the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Digests of its bearer keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<Digest>,
    /// Its weight in fair scheduling.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
}

/// An override of the defaults for part of the traffic.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Exception {
    /// Its name.
    pub id: ExceptionId,
    /// Why it exists.
    pub reason: Reason,
    /// The author.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub author: Option<Author>,
    /// When it ends, if it does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<EndTime>,
    /// The traffic it applies to.
    pub scope: Scope,
    /// The settings it overrides.
    pub set: Overrides,
}

impl Exception {
    /// Returns whether the exception has not ended at `now`.
    pub fn is_live(&self, now: UnixMillis) -> bool {
        !self.until.is_some_and(|until| until.has_passed(now))
    }
}

/// A written reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Reason(Arc<str>);

impl Reason {
    const MIN_LETTERS: usize = 3;
    const MAX_BYTES: usize = 1000;
    const RULE: &str = "a sentence with at least 3 letters and at most 1000 bytes";

    /// Returns the reason's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Reason {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let letters = text.chars().filter(|c| c.is_alphabetic()).count();
        if letters < Self::MIN_LETTERS || Self::MAX_BYTES < text.len() {
            return Err(ParseError::new("reason", text, Self::RULE));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Reason {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
