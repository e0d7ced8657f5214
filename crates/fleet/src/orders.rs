//! Orders to endpoints: what to load where, so that the reported state comes to match the desired
//! one.
//!
//! [`plan`] is a pure function. The leader calls it with what it knows, sends the orders that it
//! returns and passes them back as [`InProgress`] until their effect is reported.

use std::{collections::BTreeSet, fmt, time::Duration};

use base::{AdapterId, EndpointId, Incarnation, ModelId, MonotonicTime, Term, WeightsVersion};

use crate::{declaration::DesiredModel, setting::WeightLoads};

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
    /// Whether it refuses an order with an old fencing number.
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
    /// The fencing number: the term of the leader that decided it.
    pub fencing: Term,
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
    pub fencing: Term,
    /// Proof of the leader's lease; without it only endpoints that check fencing get orders.
    pub lease: Option<LeaseProof>,
    /// How long an order may take to arrive at its endpoint.
    pub delivery: Duration,
    /// How long an effect may take to show; after it the order counts as lost.
    pub effect_timeout: Duration,
    /// Whether earlier orders are waited for.
    pub awareness: StateAwareness,
}

/// Decides the orders that bring the reported state closer to the desired one.
///
/// At most [`Limits::weight_loads`] loads of weights run at once, with those in progress. The last
/// ready server of a model that is desired or busy keeps it. An endpoint that ignores fencing gets
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
        round.mend_servers(model);
        round.mend_roles(model);
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
        || order.action.shows_on(engine)
        || effect_timeout <= now.saturating_since(entry.sent)
}

impl Order {
    fn reloads(&self, engine: &ReportedEngine) -> bool {
        self.endpoint == engine.endpoint && self.action.loads_weights()
    }
}

impl Action {
    fn shows_on(&self, engine: &ReportedEngine) -> bool {
        match self {
            Self::LoadModel(wanted) => engine.models.iter().any(|loaded| loaded.has(wanted)),
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
    fn has(&self, wanted: &Self) -> bool {
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

struct Round<'a> {
    desired: &'a [DesiredModel],
    reported: &'a [ReportedEngine],
    /// Orders whose effect is awaited.
    awaited: Vec<&'a Order>,
    /// Endpoints that may not get another order in this round.
    taken: BTreeSet<&'a EndpointId>,
    loads_left: usize,
    unfenced_left: usize,
    now: MonotonicTime,
    limits: &'a Limits,
    orders: Vec<Order>,
}

impl<'a> Round<'a> {
    fn new(
        desired: &'a [DesiredModel],
        reported: &'a [ReportedEngine],
        in_progress: &'a [InProgress],
        now: MonotonicTime,
        limits: &'a Limits,
    ) -> Self {
        let awaited: Vec<_> = in_progress
            .iter()
            .filter(|entry| !is_settled(entry, reported, now, limits.effect_timeout))
            .map(|entry| &entry.order)
            .collect();
        let loads: BTreeSet<_> = awaited
            .iter()
            .filter(|order| order.action.loads_weights())
            .map(|order| &order.endpoint)
            .collect();
        let has_fencing = |id: &EndpointId| {
            reported.iter().find(|engine| engine.endpoint == *id).is_some_and(|e| e.checks_fencing)
        };
        let is_unfenced_busy = awaited.iter().any(|order| !has_fencing(&order.endpoint));
        let is_aware = limits.awareness == StateAwareness::On;
        Self {
            desired,
            reported,
            taken: awaited.iter().filter(|_| is_aware).map(|order| &order.endpoint).collect(),
            loads_left: (limits.weight_loads.as_u32() as usize).saturating_sub(loads.len()),
            unfenced_left: usize::from(!is_unfenced_busy),
            awaited,
            now,
            limits,
            orders: Vec::new(),
        }
    }

    fn mend_servers(&mut self, desired: &DesiredModel) {
        let wanted = LoadedModel::from(desired);
        let minimum = desired.minimum_servers.as_u32() as usize;
        let mut missing = minimum.saturating_sub(self.servers(&wanted) + self.coming(&wanted));
        while 0 < missing && self.order_for(&wanted) {
            missing -= 1;
        }
    }

    fn mend_roles(&mut self, desired: &DesiredModel) {
        let wanted = LoadedModel::from(desired);
        let target = desired.prefill_servers.map_or(0, |count| count.as_u32() as usize);
        let serving = |engine: &&ReportedEngine| engine.serves(&wanted);
        let servers: Vec<_> = self.reported.iter().filter(serving).collect();
        let in_role = |role| servers.iter().filter(move |engine| engine.role == role);
        let (prefill, mixed) = (in_role(Role::Prefill).count(), in_role(Role::Mixed).count());
        let awaited = servers.iter().filter(|engine| self.awaits_role(engine)).count();
        let (from, to, wrong) = if prefill < target {
            (Role::Mixed, Role::Prefill, (target - prefill).min(mixed.saturating_sub(1)))
        } else {
            (Role::Prefill, Role::Mixed, prefill - target)
        };
        let candidates: Vec<_> = in_role(from).copied().collect();
        let mut left = wrong.saturating_sub(awaited);
        for engine in candidates {
            if 0 < left && self.may_order(engine) {
                self.give(engine, Action::ChangeRole(to));
                left -= 1;
            }
        }
    }

    /// Orders one more server for `wanted`; returns whether there was one.
    fn order_for(&mut self, wanted: &LoadedModel) -> bool {
        let reported = self.reported;
        let lacks_adapter = reported.iter().find(|engine| {
            self.may_order(engine) && engine.is_ready && engine.missing_adapter(wanted).is_some()
        });
        if let Some(engine) = lacks_adapter
            && let Some(adapter) = engine.missing_adapter(wanted)
        {
            let action =
                Action::LoadAdapter { model: wanted.model.clone(), adapter: adapter.clone() };
            self.give(engine, action);
            return true;
        }
        if self.loads_left == 0 {
            return false;
        }
        let chosen = reported
            .iter()
            .filter(|engine| engine.is_ready && !engine.serves(wanted))
            .filter(|engine| self.may_order(engine) && self.may_replace(engine))
            .min_by_key(|engine| self.cost(engine, wanted));
        let Some(engine) = chosen else {
            return false;
        };
        self.loads_left -= 1;
        self.give(engine, Action::LoadModel(wanted.clone()));
        true
    }

    fn may_order(&self, engine: &ReportedEngine) -> bool {
        let has_order = self.orders.iter().any(|order| order.endpoint == engine.endpoint);
        if has_order || self.taken.contains(&engine.endpoint) {
            return false;
        }
        let Limits { lease, fencing, delivery, .. } = self.limits;
        let has_lease = || lease.is_some_and(|lease| lease.covers(*fencing, self.now, *delivery));
        engine.checks_fencing || (0 < self.unfenced_left && has_lease())
    }

    /// Returns whether the engine's weights can be replaced: no model falls below its minimum and
    /// none loses its last server.
    fn may_replace(&self, engine: &ReportedEngine) -> bool {
        engine.models.iter().all(|loaded| {
            if self.is_needed(loaded) {
                return false;
            }
            let is_desired = self.desired.iter().any(|desired| desired.model == loaded.model);
            let is_in_use = is_desired || self.is_busy_anywhere(&loaded.model);
            !is_in_use || self.has_other_server(engine, &loaded.model)
        })
    }

    fn is_busy_anywhere(&self, model: &ModelId) -> bool {
        let mut engines = self.reported.iter();
        engines.any(|engine| engine.is_busy && engine.models.iter().any(|m| m.model == *model))
    }

    fn has_other_server(&self, engine: &ReportedEngine, model: &ModelId) -> bool {
        self.reported.iter().any(|other| {
            let is_reloading =
                self.awaited.iter().copied().chain(&self.orders).any(|order| order.reloads(other));
            other.endpoint != engine.endpoint
                && other.is_ready
                && !is_reloading
                && other.models.iter().any(|loaded| loaded.model == *model)
        })
    }

    /// Ranks engines to load weights on: empty ones first, then older versions of the model.
    fn cost(&self, engine: &ReportedEngine, wanted: &LoadedModel) -> (bool, bool, bool) {
        let is_other_model = engine.models.iter().any(|loaded| loaded.model != wanted.model);
        (!engine.models.is_empty(), is_other_model, engine.is_busy)
    }

    fn is_needed(&self, loaded: &LoadedModel) -> bool {
        let desired = self.desired.iter().find(|desired| desired.model == loaded.model);
        desired.is_some_and(|desired| {
            let wanted = LoadedModel::from(desired);
            loaded.is_version_of(&wanted)
                && self.servers(&wanted) <= desired.minimum_servers.as_u32() as usize
        })
    }

    fn servers(&self, wanted: &LoadedModel) -> usize {
        let serving = self.reported.iter().filter(|engine| engine.serves(wanted));
        serving.filter(|engine| !self.known_orders().any(|order| order.reloads(engine))).count()
    }

    /// Lists the orders that the planner minds.
    fn known_orders(&self) -> impl Iterator<Item = &Order> {
        let is_aware = self.limits.awareness == StateAwareness::On;
        let awaited = self.awaited.iter().copied().filter(move |_| is_aware);
        awaited.chain(&self.orders)
    }

    /// Counts the servers that earlier orders will bring.
    fn coming(&self, wanted: &LoadedModel) -> usize {
        let orders = self.known_orders().filter(|order| match &order.action {
            Action::LoadModel(loading) => loading.has(wanted),
            Action::LoadAdapter { model, .. } => *model == wanted.model,
            Action::ChangeRole(_) => false,
        });
        orders.count()
    }

    fn awaits_role(&self, engine: &ReportedEngine) -> bool {
        self.known_orders().any(|order| {
            order.endpoint == engine.endpoint && matches!(order.action, Action::ChangeRole(_))
        })
    }

    fn give(&mut self, engine: &'a ReportedEngine, action: Action) {
        if !engine.checks_fencing {
            self.unfenced_left = self.unfenced_left.saturating_sub(1);
        }
        self.orders.push(Order {
            endpoint: engine.endpoint.clone(),
            incarnation: engine.incarnation,
            fencing: self.limits.fencing,
            action,
        });
    }
}

impl ReportedEngine {
    fn serves(&self, wanted: &LoadedModel) -> bool {
        self.is_ready && self.models.iter().any(|loaded| loaded.has(wanted))
    }

    fn missing_adapter<'a>(&self, wanted: &'a LoadedModel) -> Option<&'a AdapterId> {
        let loaded = self.models.iter().find(|loaded| loaded.is_version_of(wanted))?;
        wanted.adapters.iter().find(|adapter| !loaded.adapters.contains(adapter))
    }
}
