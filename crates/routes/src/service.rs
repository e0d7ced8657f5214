use std::net::SocketAddr;

use base::{DataCentreId, ServiceId, TokenCount};

/// A set of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Most connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// What its endpoints are, if they are model engines.
    pub engine: Option<Engine>,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub kv_tokens: TokenCount,
}

/// A store of cached prompts beside the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStore {
    /// Its address.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Tokens that fit into it.
    pub kv_tokens: TokenCount,
}
