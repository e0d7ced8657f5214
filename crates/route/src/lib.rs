//! Choice of endpoint, admission and retry budgets.
//!
//! A [`Policy`] picks one of the candidates that can serve a request. It sees each candidate's
//! load, distance and warmth, and never a socket or a clock.
//!
//! # Example
//!
//! ```
//! use rand::SeedableRng as _;
//! use route::{Candidate, LeastInFlight, Policy, Request};
//!
//! let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
//! let busy = Candidate { in_flight: 5, ..Candidate::default() };
//! let idle = Candidate::default();
//! let chosen = LeastInFlight.choose(&Request::default(), &[busy, idle], &mut rng);
//! assert_eq!(chosen, Some(1));
//! ```

mod baseline;
mod policy;
mod warm;

pub use crate::{
    baseline::{Hash, LeastInFlight, RoundRobin},
    policy::{Candidate, Policy, Request},
    warm::{Warm, Weights},
};
