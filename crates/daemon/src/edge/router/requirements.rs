use std::borrow::Cow;

use base::{AdapterId, ModelId, OrganisationId, TokenCount, WeightsVersion};
use member::ServedModel;
use prefix::{Chain, Salt};

use crate::edge::policies::RoutingPreferences;

use super::{BLOCK_BYTES, BYTES_PER_TOKEN};

/// Requirements of a completion on an engine, and its routing settings.
pub(in crate::edge) struct EngineRequirements<'a> {
    pub organisation: &'a OrganisationId,
    pub model: &'a ModelId,
    pub adapter: Option<&'a AdapterId>,
    /// Set if part of the response was generated with these weights.
    pub weights: Option<&'a WeightsVersion>,
    pub prompt: &'a [Cow<'a, [u8]>],
    pub preferences: RoutingPreferences,
}

/// Hash chain of a prompt's prefixes under one version of the weights, and its number of homes.
pub(super) struct PrefixIdentity {
    pub weights: WeightsVersion,
    pub salt: Salt,
    pub chain: Chain,
    pub homes: u32,
}

impl EngineRequirements<'_> {
    pub(super) fn fits(&self, served: &ServedModel) -> bool {
        served.model == *self.model
            && self.weights.is_none_or(|weights| *weights == served.weights)
            && self.adapter.is_none_or(|adapter| served.adapters.contains(adapter))
    }

    pub(super) fn identity(&self, weights: &WeightsVersion) -> PrefixIdentity {
        let salt = Salt::new(self.organisation, self.model, weights, self.adapter);
        let parts = self.prompt.iter().map(AsRef::as_ref);
        let chain = Chain::of_parts(salt, BLOCK_BYTES, parts);
        PrefixIdentity { weights: weights.clone(), salt, chain, homes: 1 }
    }

    pub(super) fn prompt_tokens(&self) -> TokenCount {
        let bytes: usize = self.prompt.iter().map(|part| part.len()).sum();
        TokenCount::new(bytes.div_ceil(BYTES_PER_TOKEN) as u64)
    }
}
