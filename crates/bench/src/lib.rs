//! Integration test bed and benchmarks: fake engines, services and callers, a fault-injecting
//! proxy, a load generator and measurements.
//!
//! The router runs as real daemon processes. Everything around it is a small fake of this crate:
//! engines, plain services, callers, and a [`Proxy`] that delays, holds and cuts connections.
//!
//! # Example
//!
//! ```
//! use bench::model::Generation;
//!
//! let complete: Vec<_> = Generation::after(b"Dear diary").take(4).collect();
//! let partial = format!("Dear diary{}{}", complete[0], complete[1]);
//! let rest: Vec<_> = Generation::after(partial.as_bytes()).take(2).collect();
//! assert_eq!(rest, complete[2..]);
//! ```

pub mod balancer;
pub mod caller;
pub mod compare;
pub mod decision;
pub mod declare;
pub mod demo;
pub mod fake;
pub mod gate;
pub mod latency;
pub mod load;
pub mod model;
pub mod operator;
pub mod partition;
pub mod process;
mod proxy;
pub mod quorum_bench;
pub mod report;
pub mod restarts;
pub mod run;
pub mod site;
pub mod sites;
pub mod slopes;
pub mod stream;
mod usage;
pub mod workload;

pub use crate::proxy::{Fault, Proxy};
