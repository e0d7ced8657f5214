use std::sync::Arc;

use base::{DataCentreId, EndpointId, HostId, ModelId, RequestId, ServiceId, TokenCount};
use serde::{Deserialize, Serialize};

use super::ScorePart;

/// Request to explain how a caller's request would be routed now, without sending it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteQuery {
    /// The host that the request names.
    pub host: Arc<str>,
    /// The path with the query.
    pub path: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// Who sends the request.
    #[serde(default)]
    pub caller: QueriedCaller,
    /// The request id, which determines the service on a route with several.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The requested model, if the request is for one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The parts of the prompt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<QueriedPart>,
    /// The stated token counts, if the request states any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<QueriedTokens>,
    /// The body.
    #[serde(default)]
    pub body: Arc<str>,
}

/// Who sends a request.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueriedCaller {
    /// A caller without a key.
    #[default]
    Anonymous,
    /// A caller of the organisation with this name.
    Organisation(Arc<str>),
    /// The holder of this API key.
    Key(Arc<str>),
}

impl std::fmt::Debug for QueriedCaller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Anonymous => f.write_str("Anonymous"),
            Self::Organisation(name) => f.debug_tuple("Organisation").field(name).finish(),
            Self::Key(_) => f.write_str("Key(not shown)"),
        }
    }
}

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueriedPart {
    /// Its id, in hexadecimal digits.
    pub id: Arc<str>,
    /// Its length.
    pub tokens: u32,
}

/// The token counts that a request states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueriedTokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of generated tokens.
    pub output: u32,
}

/// How a request would be routed now by the host that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// The host that answers.
    pub host: HostId,
    /// Number of the configuration that it applies.
    pub configuration: u64,
    /// The route, if one has the request's host and path.
    pub route: Option<ExplainedRoute>,
    /// The organisation of the caller, if it is known.
    pub organisation: Option<Arc<str>>,
    /// The state of the organisation's quota, if it has one.
    pub quota: Option<ExplainedQuota>,
    /// Why the request would be refused, if it would.
    pub refusal: Option<ExplainedRefusal>,
    /// The endpoint that the request would be sent to.
    pub chosen: Option<EndpointId>,
    /// Age of the loads that other hosts reported, in milliseconds.
    pub report_age_ms: u64,
    /// The endpoints of the service, the usable ones first and those by score.
    pub endpoints: Vec<ExplainedEndpoint>,
}

/// The route of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRoute {
    /// Its name.
    pub name: Arc<str>,
    /// The prefix of its paths.
    pub prefix: Arc<str>,
    /// The service that the request would go to.
    pub service: Option<ServiceId>,
}

/// The state of an organisation's quota for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedQuota {
    /// Units per second that it allows.
    pub rate: f64,
    /// Units that it allows at once.
    pub burst: f64,
    /// Units that the request costs.
    pub cost: u32,
    /// How the request would be decided.
    pub state: QuotaState,
}

/// How a request would be decided by a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaState {
    /// Admitted, as the organisation is far from its limit.
    Open,
    /// The leader would be asked; its answer isn't known.
    AskLeader,
    /// Admitted from this host's share, as there is no leader.
    LocalShare,
    /// Over the limit.
    Denied,
    /// A state that this version doesn't know.
    #[serde(other)]
    Unknown,
}

/// The response that a refused request would get.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedRefusal {
    /// HTTP status.
    pub status: u16,
    /// The reason.
    pub detail: Arc<str>,
    /// `Retry-After` in milliseconds, if it has one.
    pub retry_after_ms: Option<u64>,
}

/// An endpoint of the service, as this host knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Why the request can't go to it now, if so.
    pub excluded: Option<Arc<str>>,
    /// The score; the lowest is best. `None` if it is excluded.
    pub score: Option<f64>,
    /// The components of a prompt's score.
    pub parts: Vec<ScorePart>,
    /// Requests of all hosts in flight.
    pub requests: u32,
    /// Tokens that wait for prefill.
    pub prefill_tokens: TokenCount,
    /// Tokens of its memory that requests in flight hold.
    pub held_tokens: TokenCount,
    /// Prompt tokens that it is estimated to have cached.
    pub warm_tokens: TokenCount,
    /// Time until it has headroom for the prompt in milliseconds, 0 if it has; `None` without a
    /// prompt.
    pub headroom_wait_ms: Option<u64>,
    /// Whether its memory has room for the request; `None` if memory isn't bounded.
    pub has_memory: Option<bool>,
    /// How much slower it is than its service's median endpoint.
    pub slowness: f64,
    /// Time for which it stated that it accepts no requests, in milliseconds.
    pub stated_wait_ms: u64,
    /// The limit on requests per second that it states to all hosts.
    pub stated_limit: Option<f64>,
    /// Time until that limit allows a request of this host, in milliseconds.
    pub limit_wait_ms: u64,
    /// Age of its last announcement or answer to this host, in milliseconds.
    pub announced_age_ms: u64,
}
