//! Orders to endpoints: what to load where, so that the reported state comes to match the desired
//! one.
//!
//! [`plan`] is a pure function. The leader calls it with what it knows, sends the orders that it
//! returns and passes them back as [`InProgress`] until their effect is reported.

mod round;

use std::{fmt, time::Duration};

use base::{AdapterId, EndpointId, Incarnation, ModelId, MonotonicTime, Term, WeightsVersion};

use crate::{contents::DesiredModel, setting::WeightLoads};

use self::round::Round;

/// The part of a request's work that an engine takes.
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

/// A model that an engine reports to have loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The adapters loaded on top.
    pub adapters: Vec<AdapterId>,
}

/// What an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEngine {
    /// The engine.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Whether it refuses an order with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Whether requests run or wait there.
    pub is_busy: bool,
    /// Its role.
    pub role: Role,
    /// What it has loaded; a load of weights replaces all of it.
    pub models: Vec<LoadedModel>,
}

/// What an endpoint is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replace what is loaded by this model.
    LoadModel(LoadedModel),
    /// Load an adapter on top of a model that is loaded.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
    },
    /// Take another role.
    ChangeRole(Role),
}

/// An order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Who is to do it.
    pub endpoint: EndpointId,
    /// The life of its process that the order is for.
    pub incarnation: Incarnation,
    /// The fencing token: the term of the leader that decided it.
    pub fencing_token: Term,
    /// What to do.
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

/// Proof that this leader's lease is live, so that no other leader gives orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseProof {
    /// The leader's term.
    pub term: Term,
    /// When the lease ends, with the margin for clock drift taken off.
    pub expires: MonotonicTime,
}

impl LeaseProof {
    /// Returns whether the lease covers an order of `term` that takes effect within `span`.
    pub fn covers(&self, term: Term, now: MonotonicTime, span: Duration) -> bool {
        self.term == term && now + span <= self.expires
    }
}

/// Whether the planner waits for the effect of earlier orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StateAwareness {
    /// Counts what is under way and gives an endpoint no second order before the effect of the
    /// last is visible, after Soundararajan et al., "Feedback-based Scheduling for Back-end
    /// Databases in Shared Dynamic Content Server Clusters".
    #[default]
    On,
    /// Looks at the reported state alone.
    Off,
}

/// What bounds the orders of one round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Servers that may load weights at once over the site.
    pub weight_loads: WeightLoads,
    /// The leader's term.
    pub fencing_token: Term,
    /// Proof of the leader's lease; without it only endpoints that check fencing tokens get orders.
    pub lease: Option<LeaseProof>,
    /// How long an order may take to arrive at its endpoint.
    pub max_delivery_time: Duration,
    /// How long an effect may take to show; after it the order counts as lost.
    pub effect_timeout: Duration,
    /// Whether earlier orders are waited for.
    pub awareness: StateAwareness,
}

/// Decides the orders that bring the reported state closer to the desired one.
///
/// At most [`Limits::weight_loads`] loads of weights run at once, with those in progress. The last
/// ready server of a model that is desired or busy keeps it. An endpoint that ignores fencing tokens gets
/// an order only under [`Limits::lease`], and only one such endpoint has an order at a time.
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

/// Returns whether an order needs no more waiting: its effect shows, its process has ended, or it
/// is lost.
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
    /// Returns whether this is `wanted` with at least its adapters.
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
