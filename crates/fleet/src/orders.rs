//! Planning of orders to endpoints, which reconcile the reported state with the desired one.
//!
//! [`plan`] is a pure function. The leader calls it with the current state, sends the orders that
//! it returns and passes them back as [`InProgress`] until their effect is reported.

mod round;

use std::{fmt, time::Duration};

use base::{AdapterId, EndpointId, Incarnation, ModelId, MonotonicTime, Term, WeightsVersion};

use crate::{contents::DesiredModel, setting::WeightLoads};

use self::round::Round;

/// The phases of a request that an engine serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
        })
    }
}

/// A model that an engine reports as loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapters loaded on top.
    pub adapters: Vec<AdapterId>,
}

/// An engine's reported state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEngine {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// Whether it has running or queued requests.
    pub is_busy: bool,
    /// Its role.
    pub role: Role,
    /// The loaded models; loading weights replaces all of them.
    pub models: Vec<LoadedModel>,
}

/// The action of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load this model in place of those loaded.
    LoadModel(LoadedModel),
    /// Load an adapter on top of a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
    },
    /// Change the role.
    ChangeRole(Role),
}

/// An order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that the order is for.
    pub incarnation: Incarnation,
    /// The fencing token: the term of the leader that planned the order.
    pub fencing_token: Term,
    /// The action.
    pub action: Action,
}

/// An order that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InProgress {
    /// The order.
    pub order: Order,
    /// When it was sent.
    pub sent: MonotonicTime,
}

/// Proof that this leader's lease is valid, so that no other leader sends orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseProof {
    /// The leader's term.
    pub term: Term,
    /// When the lease expires, less the margin for clock drift.
    pub expires: MonotonicTime,
}

impl LeaseProof {
    /// Returns whether the lease covers an order of `term` that takes effect within `span`.
    pub fn covers(&self, term: Term, now: MonotonicTime, span: Duration) -> bool {
        self.term == term && now + span <= self.expires
    }
}

/// Whether the planner takes earlier orders into account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StateAwareness {
    /// Counts orders in progress and sends an endpoint no further order until the effect of the
    /// previous one is visible, after Soundararajan et al., "Feedback-based Scheduling for Back-end
    /// Databases in Shared Dynamic Content Server Clusters".
    #[default]
    On,
    /// Uses only the reported state.
    Off,
}

/// Limits of one planning round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum servers that load weights at once across the site.
    pub weight_loads: WeightLoads,
    /// The leader's term.
    pub fencing_token: Term,
    /// Proof of the leader's lease; without it only endpoints that check fencing tokens get orders.
    pub lease: Option<LeaseProof>,
    /// Longest time until an order arrives at its endpoint.
    pub max_delivery_time: Duration,
    /// Longest time until an effect is reported; after it the order counts as lost.
    pub effect_timeout: Duration,
    /// Whether earlier orders are taken into account.
    pub awareness: StateAwareness,
}

/// Plans the orders that bring the reported state closer to the desired one.
///
/// At most [`Limits::weight_loads`] loads of weights run at once, including those in progress. The
/// last ready server of a model that is desired or busy keeps it. An endpoint that ignores fencing
/// tokens gets an order only under [`Limits::lease`], and only one such endpoint at a time has an
/// order in progress.
pub fn plan(
    desired: &[DesiredModel],
    reported: &[ReportedEngine],
    in_progress: &[InProgress],
    now: MonotonicTime,
    limits: &Limits,
) -> Vec<Order> {
    let mut round = Round::new(desired, reported, in_progress, now, limits);
    for model in desired {
        round.plan_servers(model);
        round.plan_roles(model);
    }
    round.orders
}

/// Returns whether an order is no longer in progress: its effect is reported, the process it was
/// for has ended, or it is lost.
pub fn is_settled(
    entry: &InProgress,
    reported: &[ReportedEngine],
    now: MonotonicTime,
    effect_timeout: Duration,
) -> bool {
    let order = &entry.order;
    let Some(engine) = reported.iter().find(|engine| engine.endpoint == order.endpoint) else {
        return effect_timeout <= now.saturating_since(entry.sent);
    };
    order.incarnation < engine.incarnation
        || order.action.is_visible_on(engine)
        || effect_timeout <= now.saturating_since(entry.sent)
}

impl Order {
    fn reloads(&self, engine: &ReportedEngine) -> bool {
        self.endpoint == engine.endpoint && self.action.loads_weights()
    }
}

impl Action {
    fn is_visible_on(&self, engine: &ReportedEngine) -> bool {
        match self {
            Self::LoadModel(wanted) => engine.models.iter().any(|loaded| loaded.satisfies(wanted)),
            Self::LoadAdapter { model, adapter } => engine
                .models
                .iter()
                .any(|loaded| loaded.model == *model && loaded.adapters.contains(adapter)),
            Self::ChangeRole(role) => engine.role == *role,
        }
    }

    fn loads_weights(&self) -> bool {
        matches!(self, Self::LoadModel(_))
    }
}

impl LoadedModel {
    /// Returns whether this has the model and weights of `wanted` and at least its adapters.
    fn satisfies(&self, wanted: &Self) -> bool {
        self.is_version_of(wanted) && wanted.adapters.iter().all(|id| self.adapters.contains(id))
    }

    fn is_version_of(&self, wanted: &Self) -> bool {
        self.model == wanted.model && self.weights == wanted.weights
    }
}

impl From<&DesiredModel> for LoadedModel {
    fn from(desired: &DesiredModel) -> Self {
        Self {
            model: desired.model.clone(),
            weights: desired.weights.clone(),
            adapters: desired.adapters.clone(),
        }
    }
}

impl ReportedEngine {
    fn serves(&self, wanted: &LoadedModel) -> bool {
        self.is_ready && self.models.iter().any(|loaded| loaded.satisfies(wanted))
    }

    fn missing_adapter<'a>(&self, wanted: &'a LoadedModel) -> Option<&'a AdapterId> {
        let loaded = self.models.iter().find(|loaded| loaded.is_version_of(wanted))?;
        wanted.adapters.iter().find(|adapter| !loaded.adapters.contains(adapter))
    }
}
