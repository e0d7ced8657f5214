//! Membership of routers and leases of endpoints.
//!
//! [`Endpoints`] keeps what endpoints announced about themselves: the newest incarnation of each,
//! until its lease ends or it leaves.
//!
//! # Example
//!
//! ```
//! use base::MonotonicTime;
//! use member::Endpoints;
//!
//! let endpoints = Endpoints::default();
//! assert_eq!(endpoints.ready().count(), 0);
//! ```

mod announcement;
mod endpoints;

pub use crate::{
    announcement::{Announcement, EndpointKind, Engine, Load, ServedModel},
    endpoints::{Change, Endpoints, Stale},
};
