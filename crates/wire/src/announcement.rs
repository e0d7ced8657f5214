//! Announcements that endpoints post to `/announce`, as JSON.

use std::{net::SocketAddr, time::Duration};

use base::{
    AdapterId, BlockCount, DataCentreId, EndpointId, Incarnation, ModelId, Sequence, ServiceId,
    TokenCount, WeightsVersion,
};
use member::{Announcement, EndpointKind, Engine, Load, ServedModel, is_endpoint_address};
use serde::{Deserialize, Serialize};

use crate::BodyError;

/// Longest lease that an endpoint may request, in milliseconds.
const MAX_LEASE_MS: u64 = 60_000;

/// Maximum number of models that an engine may announce.
const MAX_MODELS: usize = 64;

/// Body of an endpoint's announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementBody {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The incarnation of its process; increases with each start.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each announcement of this incarnation.
    pub sequence: Sequence,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// How long the announcement is valid, in milliseconds.
    pub lease_ms: u64,
    /// Whether it is leaving and must not be sent new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Present for a model engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineBody>,
    /// Present for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
}

/// A model engine's properties and load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineBody {
    /// The models it has loaded.
    pub models: Vec<ModelBody>,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Number of tokens in a cached block.
    pub block_tokens: TokenCount,
    /// Its current load.
    #[serde(default)]
    pub load: LoadBody,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelBody {
    /// The model.
    pub model: ModelId,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
    /// The adapters loaded for the model.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}

/// An engine's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBody {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting to join the batch.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_tokens: TokenCount,
    /// Cached blocks.
    pub cached_blocks: BlockCount,
}

impl AnnouncementBody {
    /// Reads an announcement from a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error that describes what is malformed, and where.
    pub fn from_slice(body: &[u8]) -> Result<Self, BodyError> {
        Ok(serde_json::from_slice(body)?)
    }
}

impl TryFrom<AnnouncementBody> for Announcement {
    type Error = BodyError;

    fn try_from(body: AnnouncementBody) -> Result<Self, BodyError> {
        if !(1..=MAX_LEASE_MS).contains(&body.lease_ms) {
            let message = format!("\"lease_ms\" must be from 1 to {MAX_LEASE_MS}");
            return Err(BodyError::new(message));
        }
        if !is_endpoint_address(body.address) {
            return Err(BodyError::new("\"address\" must name one host and a port"));
        }
        let kind = match (body.engine, body.service) {
            (Some(engine), None) => EndpointKind::Engine(engine.try_into()?),
            (None, Some(service)) => EndpointKind::Service(service),
            _ => return Err(BodyError::new("expected either \"engine\" or \"service\"")),
        };
        Ok(Self {
            endpoint: body.id,
            incarnation: body.incarnation,
            sequence: body.sequence,
            data_centre: body.data_centre,
            address: body.address,
            lease: Duration::from_millis(body.lease_ms),
            leaving: body.leaving,
            kind,
        })
    }
}

impl From<Announcement> for AnnouncementBody {
    fn from(announcement: Announcement) -> Self {
        let (engine, service) = match announcement.kind {
            EndpointKind::Engine(engine) => (Some(engine.into()), None),
            EndpointKind::Service(service) => (None, Some(service)),
        };
        Self {
            id: announcement.endpoint,
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            data_centre: announcement.data_centre,
            address: announcement.address,
            lease_ms: u64::try_from(announcement.lease.as_millis()).unwrap_or(MAX_LEASE_MS),
            leaving: announcement.leaving,
            engine,
            service,
        }
    }
}

impl TryFrom<EngineBody> for Engine {
    type Error = BodyError;

    fn try_from(body: EngineBody) -> Result<Self, BodyError> {
        if MAX_MODELS < body.models.len() {
            return Err(BodyError::new(format!("more than {MAX_MODELS} models")));
        }
        if body.block_tokens == TokenCount::ZERO {
            return Err(BodyError::new("\"block_tokens\" must be at least 1"));
        }
        Ok(Self {
            service: None,
            models: body.models.into_iter().map(ServedModel::from).collect(),
            checks_fencing: body.checks_fencing,
            block_tokens: body.block_tokens,
            load: body.load.into(),
        })
    }
}

impl From<Engine> for EngineBody {
    fn from(engine: Engine) -> Self {
        Self {
            models: engine.models.into_iter().map(ModelBody::from).collect(),
            checks_fencing: engine.checks_fencing,
            block_tokens: engine.block_tokens,
            load: engine.load.into(),
        }
    }
}

impl From<ModelBody> for ServedModel {
    fn from(body: ModelBody) -> Self {
        Self { model: body.model, weights: body.weights, adapters: body.adapters }
    }
}

impl From<ServedModel> for ModelBody {
    fn from(served: ServedModel) -> Self {
        Self { model: served.model, weights: served.weights, adapters: served.adapters }
    }
}

impl From<LoadBody> for Load {
    fn from(body: LoadBody) -> Self {
        Self {
            running: body.running,
            waiting: body.waiting,
            prefill_tokens: body.prefill_tokens,
            cached_blocks: body.cached_blocks,
        }
    }
}

impl From<Load> for LoadBody {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            prefill_tokens: load.prefill_tokens,
            cached_blocks: load.cached_blocks,
        }
    }
}
