//! Small stand-ins for the systems around the router.

mod announcer;
mod cache;
mod counts;
mod engine;
mod server;
mod service;
mod streams;

pub use self::{
    announcer::{Announced, Announcer},
    cache::{BlockCache, Lookup},
    engine::{Engine, EngineConfig, EngineCounts, SharedTally, Tally},
    server::Server,
    service::{Service, ServiceCounts},
};
