use std::net::SocketAddr;

use base::{DataCentreId, ServiceId, TokenCount};

/// A set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Largest number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Properties of its engines, if its endpoints are engines.
    pub engine: Option<Engine>,
}

/// Properties shared by the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_tokens: TokenCount,
}

/// A store of KV-cache blocks outside the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStore {
    /// Its address.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// Its capacity, in tokens.
    pub kv_tokens: TokenCount,
}
