use std::sync::Arc;

use base::{AdapterId, DataCentreId, EndpointId, ModelId, OrganisationId, TokenCount};
use serde::{Deserialize, Serialize};

/// Asks where a request would go, without sending it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// The organisation that would call.
    pub organisation: OrganisationId,
    /// The model that it would name.
    pub model: ModelId,
    /// The adapter that it would name, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// What it would send.
    pub input: PromptPart,
}

/// How much of a prompt is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PromptPart {
    /// The whole prompt.
    Prompt(Arc<str>),
    /// The start that prompts share.
    Prefix(Arc<str>),
}

/// Where a request would go, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The prompt's length as the router estimates it.
    pub prompt_tokens: TokenCount,
    /// The endpoints that can serve the request, the best first.
    pub candidates: Vec<ExplainedCandidate>,
}

/// An endpoint and its score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is the prefix's home.
    #[serde(default)]
    pub home: bool,
    /// Tokens of the prompt that it is believed to hold.
    #[serde(default)]
    pub warm_tokens: TokenCount,
    /// The sum of the parts; the least cost is the best.
    pub cost: f64,
    /// What the cost is made of.
    #[serde(default)]
    pub parts: Vec<ScorePart>,
}

/// A part of a candidate's cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScorePart {
    /// What it stands for.
    pub name: Arc<str>,
    /// Its cost.
    pub cost: f64,
}
