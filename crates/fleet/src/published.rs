use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use base::{ModelId, ParseError};
use serde::{Deserialize, Serialize};

/// The number that an operator assigns to a configuration; the highest one is current.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationNumber(u64);

impl ConfigurationNumber {
    /// Wraps a plain number; 0 stands for no configuration.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ConfigurationNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConfigurationNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::new("configuration number", text, "a whole number from 0");
        text.parse().map(Self).map_err(|_| invalid())
    }
}

/// A numbered configuration, in its original encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Its number.
    pub number: ConfigurationNumber,
    /// Its content, validated by the host that proposes it.
    pub content: Arc<[u8]>,
}

/// The version of a model's weights that all engines should load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredWeights {
    /// The model.
    pub model: ModelId,
    /// The version, from 1.
    pub version: u32,
}

/// The reply to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishReply {
    /// It is current.
    InForce,
    /// Ignored: the current configuration has this number or a higher one.
    NotNewer(ConfigurationNumber),
}

/// The current numbered configuration and the desired weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    publication: Publication,
    weights: BTreeMap<ModelId, u32>,
}

impl Published {
    /// Returns the current configuration.
    pub fn publication(&self) -> &Publication {
        &self.publication
    }

    /// Returns the desired weights of each model.
    pub fn weights(&self) -> Vec<DesiredWeights> {
        let weights = self.weights.iter();
        weights.map(|(model, &version)| DesiredWeights { model: model.clone(), version }).collect()
    }

    pub(crate) fn publish(&mut self, publication: &Publication) -> PublishReply {
        let current = self.publication.number;
        if publication.number <= current {
            return PublishReply::NotNewer(current);
        }
        self.publication = publication.clone();
        PublishReply::InForce
    }

    /// Raises a model's desired version, never lowers it; returns the resulting version.
    pub(crate) fn set_desired_weights(&mut self, desired: &DesiredWeights) -> u32 {
        let current = self.weights.entry(desired.model.clone()).or_default();
        *current = desired.version.max(*current);
        *current
    }
}
