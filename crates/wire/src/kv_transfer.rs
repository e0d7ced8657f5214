//! The field `kv_transfer_params`, which names the source of cached blocks (KV) for an engine.

use std::net::SocketAddr;

use base::{AdapterId, BlockCount, CacheSalt, EndpointId, Incarnation, ModelId, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Name of the field in a request to an engine.
pub const PARAMS_FIELD: &str = "kv_transfer_params";

/// Name of the plain service under which the store of saved KV blocks announces itself.
pub const KV_STORE_SERVICE: &str = "kept-kv";

/// Where an engine fetches the leading blocks of a prompt from.
///
/// It identifies the source's process and the blocks in full, so that nothing is fetched from a
/// process that has restarted or from blocks of another salt, model, weights version or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// The endpoint that is expected to have the blocks cached.
    pub endpoint: EndpointId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The salt of the organisation, model, weights version and adapter.
    pub salt: CacheSalt,
    /// The model.
    pub model: ModelId,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
    /// The adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// Number of leading blocks of the prompt to fetch.
    pub blocks: BlockCount,
}
