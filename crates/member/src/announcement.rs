use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use base::{
    AdapterId, BlockCount, DataCentreId, EndpointId, Incarnation, ModelId, Sequence, ServiceId,
    TokenCount, WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// An endpoint's announcement, which grants it a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint's process.
    pub incarnation: Incarnation,
    /// The sequence number among the announcements of this incarnation.
    pub sequence: Sequence,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// The address that serves requests.
    pub address: SocketAddr,
    /// How long the announcement is valid after it was written.
    pub lease: Duration,
    /// Whether the endpoint is leaving and accepts no new requests.
    pub leaving: bool,
    /// The kind of requests it serves.
    pub kind: EndpointKind,
}

/// Returns whether an endpoint can be reached at `address`, which must name one host and a port.
pub fn is_endpoint_address(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// The kind of requests that an endpoint serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// An engine that serves completions of language models.
    Engine(Engine),
    /// A member of a plain service.
    Service(ServiceId),
}

impl EndpointKind {
    /// Returns the service that the endpoint belongs to; engines may belong to none.
    pub fn service(&self) -> Option<&ServiceId> {
        match self {
            Self::Service(service) => Some(service),
            Self::Engine(engine) => engine.service.as_ref(),
        }
    }

    /// Returns whether the endpoint belongs to `service`.
    pub fn is_service(&self, service: &ServiceId) -> bool {
        self.service() == Some(service)
    }

    /// Returns whether `other` is equal apart from its load.
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

/// An engine's models, capabilities and load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The service it belongs to, at sites that route requests to services.
    pub service: Option<ServiceId>,
    /// The loaded models.
    pub models: Vec<ServedModel>,
    /// Whether it rejects an order with an old fencing token.
    pub checks_fencing: bool,
    /// Number of tokens in a KV-cache block.
    pub block_tokens: TokenCount,
    /// Its load when the announcement was written.
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
    /// Requests queued for the batch.
    pub waiting: u32,
    /// Tokens waiting to be prefilled.
    pub prefill_tokens: TokenCount,
    /// Cached KV blocks.
    pub cached_blocks: BlockCount,
}
