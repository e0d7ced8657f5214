//! Small stand-ins for the systems around the router.

mod announcer;
mod cache;
mod counts;
mod engine;
mod generation;
mod job;
mod kept_kv;
mod kv;
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
    kept_kv::{KvStore, KvStoreCounts},
    server::Server,
    service::{Service, ServiceCounts},
    tally::{SharedTally, Tally},
};
