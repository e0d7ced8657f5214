//! Choice of endpoint, admission and retry budgets.
//!
//! A [`Policy`] picks one of the candidates that can serve a request, from each candidate's load,
//! round-trip time and cached prefix; it uses no sockets and no clock. [`AnyPolicy`] is a policy
//! selected by name.
//!
//! [`Admission`] shares the capacity found by [`CapacityEstimator`] among organisations.
//! [`OutlierDetector`] ejects endpoints that fail or are slow. [`RetryBudget`], [`Backoff`] and
//! [`Hedge`] limit retries and hedged requests. [`StatedLimit`] is a router's part of the rate that an
//! endpoint accepts from all of them. [`InferredFull`] is an endpoint's state after it refused a
//! request as full. [`SlownessEstimator`] compares the speed of a service's endpoints by the
//! [`ResponseTimes`] of all routers; [`ServiceSpeed`] is a service's speed as one router learns it.
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
mod arrival_rate;
mod baseline;
mod capacity;
mod decayed_sums;
mod ended_constraints;
mod engine_memory;
mod estimate;
mod fair_queue;
mod headroom;
mod hedge;
mod inferred_full;
mod kind;
mod length_pools;
mod linear_fit;
mod load_aggregator;
mod notice;
mod outlier;
mod policy;
mod response_times;
mod retry;
mod scarcity;
mod service_speed;
mod slowness;
mod slowness_estimator;
mod stated_limit;
mod ticket;
mod transfer;
mod urgency;
mod warm;
mod warm_v1;
mod window;

pub use crate::{
    admission::{Admission, AdmissionSettings},
    arrival_rate::ArrivalRate,
    baseline::{Hash, LeastInFlight, RoundRobin},
    capacity::{CapacityEstimator, CapacitySettings},
    ended_constraints::{EndedConstraints, MAX_ENDED_CONSTRAINTS, StatedConstraints},
    engine_memory::{EngineMemory, HeldLoad},
    estimate::TtftEstimate,
    headroom::{EngineSpeed, Headroom, InFlightLoad, choose_with_headroom},
    hedge::{Hedge, HedgeDecision, HedgeSettings, Idempotence},
    inferred_full::{FullRefusal, HoldTime, InferredFull, without_full},
    kind::{AnyPolicy, PolicyKind},
    length_pools::LengthPools,
    load_aggregator::{EndpointKey, LoadAggregator, SentLoad},
    notice::{EndpointNotice, StatedWait},
    outlier::{EjectionChange, EjectionState, Outcome, OutlierDetector, OutlierSettings},
    policy::{Candidate, Policy, Request},
    response_times::{ResponseSums, ResponseTimes, expected_call_time},
    retry::{Backoff, BudgetSettings, RetryBudget},
    scarcity::{OverShare, TokenShares},
    service_speed::ServiceSpeed,
    slowness::{PublishedSlowness, ServiceKey, Slowness},
    slowness_estimator::SlownessEstimator,
    stated_limit::{LimitChange, LimitResponse, StatedLimit},
    ticket::{Action, Arrival, Decision, Priority, Refusal, RefusalReason, Ticket},
    transfer::{Source, TransferSettings, choose_source},
    urgency::{LoadByUrgency, Urgency},
    warm::{Warm, WarmSettings},
    warm_v1::{WarmV1, WarmV1Weights},
};
