//! Fakes at the interfaces, a fault-injecting proxy, a load generator and measurements.
//!
//! The router's processes are the real ones; what stands around them is small and made here:
//! engines, plain services, callers, and a [`Proxy`] that delays, holds and cuts connections.
//!
//! # Example
//!
//! ```
//! use bench::model::Generation;
//!
//! let whole: Vec<_> = Generation::after(b"Dear diary").take(4).collect();
//! let begun = format!("Dear diary{}{}", whole[0], whole[1]);
//! let rest: Vec<_> = Generation::after(begun.as_bytes()).take(2).collect();
//! assert_eq!(rest, whole[2..]);
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
