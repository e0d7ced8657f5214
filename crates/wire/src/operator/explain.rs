use std::sync::Arc;

use base::{AdapterId, DataCentreId, EndpointId, ModelId, OrganisationId, TokenCount};
use serde::{Deserialize, Serialize};

/// Request to explain how a request would be routed, without sending it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// The organisation of the request.
    pub organisation: OrganisationId,
    /// The requested model.
    pub model: ModelId,
    /// The requested adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// The prompt or its prefix.
    pub input: PromptPart,
}

/// A prompt, or the prefix that several prompts share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PromptPart {
    /// The whole prompt.
    Prompt(Arc<str>),
    /// The shared prefix.
    Prefix(Arc<str>),
}

/// The routing decision for a request, with each candidate's cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The router's estimate of the prompt's length.
    pub prompt_tokens: TokenCount,
    /// The endpoints that can serve the request, best first.
    pub candidates: Vec<ExplainedCandidate>,
}

/// An endpoint that can serve the request, and its cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is the home endpoint of the prompt's prefix.
    #[serde(default)]
    pub home: bool,
    /// Prompt tokens that it is expected to have cached.
    #[serde(default)]
    pub warm_tokens: TokenCount,
    /// The sum of the parts; the lowest cost is best.
    pub cost: f64,
    /// The components of the cost.
    #[serde(default)]
    pub parts: Vec<ScorePart>,
}

/// A component of a candidate's cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScorePart {
    /// The component's name.
    pub name: Arc<str>,
    /// Its cost.
    pub cost: f64,
}
