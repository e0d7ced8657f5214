//! Where an engine may fetch cached blocks (KV) from, as the field `kv_transfer_params` tells it.

use std::net::SocketAddr;

use base::{AdapterId, BlockCount, CacheSalt, EndpointId, Incarnation, ModelId, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Name of the field in a request to an engine.
pub const PARAMS_FIELD: &str = "kv_transfer_params";

/// Name of the plain service as which the store of kept KV announces itself.
pub const KV_STORE_SERVICE: &str = "kept-kv";

/// Where to fetch the first blocks of a prompt from.
///
/// It carries the whole name of what is fetched, so that a source that is not what it was, or that
/// holds blocks of another name, is no source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// The endpoint that is believed to hold the blocks.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The salt of the organisation, model, weights version and adapter.
    pub salt: CacheSalt,
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// Leading blocks of the prompt to fetch.
    pub blocks: BlockCount,
}
