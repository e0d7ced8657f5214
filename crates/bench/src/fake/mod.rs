//! Fake engines, services and KV store that the router sends requests to.

mod announcer;
mod cache;
mod counts;
mod engine;
mod generation;
mod job;
mod kv;
mod kv_store;
mod server;
mod service;
mod streams;
mod tally;
mod transfers;

pub use self::{
    announcer::{AnnouncedEndpoint, Announcer},
    cache::{BlockCache, Lookup, block_hashes},
    counts::EngineCounts,
    engine::{Engine, EngineConfig},
    kv_store::{KvStore, KvStoreCounts},
    server::Server,
    service::{Service, ServiceCounts},
    tally::{SharedTally, Tally},
};
