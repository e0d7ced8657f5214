use std::{net::SocketAddr, time::Duration};

use base::{
    AdapterId, BlockCount, DataCentreId, EndpointId, Incarnation, ModelId, Sequence, ServiceId,
    TokenCount, WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// What an endpoint says about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life of the endpoint's process.
    pub incarnation: Incarnation,
    /// The position among the announcements of this incarnation.
    pub sequence: Sequence,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How long the announcement counts.
    pub lease: Duration,
    /// Whether it wants no new work.
    pub leaving: bool,
    /// What it serves.
    pub kind: EndpointKind,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// Completions of language models.
    Engine(Engine),
    /// Calls to a plain service.
    Service(ServiceId),
}

impl EndpointKind {
    /// Returns whether the endpoint belongs to `service`.
    pub fn is_service(&self, service: &ServiceId) -> bool {
        match self {
            Self::Service(served) => served == service,
            Self::Engine(engine) => engine.service.as_ref() == Some(service),
        }
    }

    /// Returns whether `other` serves the same, whatever its load.
    pub fn is_same_service(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Engine(a), Self::Engine(b)) => {
                a.service == b.service
                    && a.models == b.models
                    && a.checks_fencing == b.checks_fencing
                    && a.block_tokens == b.block_tokens
            }
            (Self::Service(a), Self::Service(b)) => a == b,
            _ => false,
        }
    }
}

/// What a model engine says about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The service that it belongs to, where requests are routed to services.
    pub service: Option<ServiceId>,
    /// The models it has loaded.
    pub models: Vec<ServedModel>,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Tokens in a cached block.
    pub block_tokens: TokenCount,
    /// Its load when it wrote the announcement.
    pub load: Load,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapters loaded on top.
    pub adapters: Vec<AdapterId>,
}

/// An engine's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
    /// Tokens still to be prefilled.
    pub prefill_tokens: TokenCount,
    /// Blocks cached.
    pub cached_blocks: BlockCount,
}
