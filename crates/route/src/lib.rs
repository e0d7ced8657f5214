//! Choice of endpoint, admission and retry budgets.
//!
//! A [`Policy`] picks one of the candidates that can serve a request. It sees each candidate's
//! load, distance and warmth, and never a socket or a clock. [`AnyPolicy`] is one chosen by name.
//!
//! [`Admission`] shares the capacity, as [`CapacityEstimator`] estimates it, among organisations.
//! [`OutlierDetector`] keeps requests from endpoints that fail or are slow. [`RetryBudget`], [`Backoff`]
//! and [`Hedge`] bound what is sent again.
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

mod admission;
mod baseline;
mod board;
mod capacity;
mod estimate;
mod headroom;
mod hedge;
mod kind;
mod outlier;
mod policy;
mod retry;
mod share;
mod ticket;
mod transfer;
mod warm;
mod warm_v1;
mod window;

pub use crate::{
    admission::{Admission, AdmissionSettings},
    baseline::{Hash, LeastInFlight, RoundRobin},
    board::{EndpointKey, LoadAggregator, SentLoad},
    capacity::{CapacityEstimator, CapacitySettings},
    estimate::TtftEstimate,
    headroom::{EngineSpeed, Headroom, InFlightLoad, choose_with_headroom},
    hedge::{Hedge, HedgeDecision, HedgeSettings, Idempotence},
    kind::{AnyPolicy, PolicyKind},
    outlier::{EjectionChange, EjectionState, Outcome, OutlierDetector, OutlierSettings},
    policy::{Candidate, Policy, Request},
    retry::{Backoff, BudgetSettings, RetryBudget},
    ticket::{Action, Arrival, Decision, Priority, Refusal, RefusalReason, Ticket},
    transfer::{Source, TransferSettings, choose_source},
    warm::{Warm, WarmSettings},
    warm_v1::{WarmV1, Weights},
};
