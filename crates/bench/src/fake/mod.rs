//! Small stand-ins for the systems around the router.

mod announcer;
mod cache;
mod counts;
mod engine;
mod kept_kv;
mod kv;
mod server;
mod service;
mod streams;

pub use self::{
    announcer::{Announced, Announcer},
    cache::{BlockCache, Lookup, block_hashes},
    engine::{Engine, EngineConfig, EngineCounts, SharedTally, Tally},
    kept_kv::{KeptKv, KeptKvCounts},
    server::Server,
    service::{Service, ServiceCounts},
};
