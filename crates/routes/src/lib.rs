//! Routing table from callers' hosts and paths to services, with the organisations allowed to call.
//!
//! A [`Table`] is an immutable, validated configuration: routes, services, organisations with their
//! keys, and limits on callers.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use routes::{Limits, RetryPolicy, Route, Service, Table, WeightedService};
//!
//! let orders = Route {
//!     name: "orders".into(),
//!     host: "desk.example".into(),
//!     prefix: "/orders/".into(),
//!     services: vec![WeightedService { service: "desk".parse()?, weight: 1 }],
//!     retry_policy: RetryPolicy::AtMostOnce,
//!     timeout: Duration::from_millis(800),
//!     objective: Duration::from_millis(120),
//!     priority: 2,
//!     max_attempts: 1,
//!     public: true,
//! };
//! let services = vec![Service { name: "desk".parse()?, max_connections: 110, engine: None }];
//! let table = Table::new(vec![orders], services, Vec::new(), Vec::new(), Limits::default())?;
//! let route = table.find("desk.example", "/orders/17").expect("the prefix matches");
//! assert_eq!(&*route.name, "orders");
//! assert!(table.find("desk.example", "/other/").is_none());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod organisation;
mod route;
mod service;
mod table;
mod table_error;

pub use crate::{
    organisation::{ApiKey, Organisation},
    route::{RetryPolicy, Route, WeightedService},
    service::{Engine, KvStore, Service},
    table::{Limits, Table},
    table_error::TableError,
};
