//! A planning round.

use std::collections::BTreeSet;

use base::{EndpointId, ModelId, MonotonicTime};

use crate::contents::DesiredModel;

use super::{
    Action, InProgress, Limits, LoadedModel, Order, ReportedEngine, Role, StateAwareness,
    is_settled,
};

/// A planning round with its orders so far.
pub(super) struct Round<'a> {
    desired: &'a [DesiredModel],
    reported: &'a [ReportedEngine],
    /// Earlier orders whose effect is not reported yet.
    awaited: Vec<&'a Order>,
    /// Endpoints that get no order in this round.
    excluded: BTreeSet<&'a EndpointId>,
    loads_left: usize,
    unfenced_left: usize,
    now: MonotonicTime,
    limits: &'a Limits,
    pub(super) orders: Vec<Order>,
}

impl<'a> Round<'a> {
    pub(super) fn new(
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
            excluded: awaited.iter().filter(|_| is_aware).map(|order| &order.endpoint).collect(),
            loads_left: (limits.weight_loads.as_u32() as usize).saturating_sub(loads.len()),
            unfenced_left: usize::from(!is_unfenced_busy),
            awaited,
            now,
            limits,
            orders: Vec::new(),
        }
    }

    pub(super) fn plan_servers(&mut self, desired: &DesiredModel) {
        let wanted = LoadedModel::from(desired);
        let minimum = desired.minimum_servers.as_u32() as usize;
        let mut missing =
            minimum.saturating_sub(self.servers(&wanted) + self.pending_servers(&wanted));
        while 0 < missing && self.order_server(&wanted) {
            missing -= 1;
        }
    }

    pub(super) fn plan_roles(&mut self, desired: &DesiredModel) {
        let wanted = LoadedModel::from(desired);
        let target = desired.prefill_servers.map_or(0, |count| count.as_u32() as usize);
        let serving = |engine: &&ReportedEngine| engine.serves(&wanted);
        let servers: Vec<_> = self.reported.iter().filter(serving).collect();
        let in_role = |role| servers.iter().filter(move |engine| engine.role == role);
        let (prefill, mixed) = (in_role(Role::Prefill).count(), in_role(Role::Mixed).count());
        let awaited = servers.iter().filter(|engine| self.has_pending_role_change(engine)).count();
        let (from, to, wrong) = if prefill < target {
            (Role::Mixed, Role::Prefill, (target - prefill).min(mixed.saturating_sub(1)))
        } else {
            (Role::Prefill, Role::Mixed, prefill - target)
        };
        let candidates: Vec<_> = in_role(from).copied().collect();
        let mut left = wrong.saturating_sub(awaited);
        for engine in candidates {
            if 0 < left && self.may_order(engine) {
                self.push_order(engine, Action::ChangeRole(to));
                left -= 1;
            }
        }
    }

    /// Orders one engine to serve `wanted`; returns whether one was found.
    fn order_server(&mut self, wanted: &LoadedModel) -> bool {
        let reported = self.reported;
        let lacks_adapter = reported.iter().find(|engine| {
            self.may_order(engine) && engine.is_ready && engine.missing_adapter(wanted).is_some()
        });
        if let Some(engine) = lacks_adapter
            && let Some(adapter) = engine.missing_adapter(wanted)
        {
            let action =
                Action::LoadAdapter { model: wanted.model.clone(), adapter: adapter.clone() };
            self.push_order(engine, action);
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
        self.push_order(engine, Action::LoadModel(wanted.clone()));
        true
    }

    fn may_order(&self, engine: &ReportedEngine) -> bool {
        let has_order = self.orders.iter().any(|order| order.endpoint == engine.endpoint);
        if has_order || self.excluded.contains(&engine.endpoint) {
            return false;
        }
        let Limits { lease, fencing_token, max_delivery_time, .. } = self.limits;
        let has_lease = || {
            lease.is_some_and(|lease| lease.covers(*fencing_token, self.now, *max_delivery_time))
        };
        engine.checks_fencing || (0 < self.unfenced_left && has_lease())
    }

    /// Returns whether the engine's weights can be replaced: no model drops below its minimum
    /// number of servers and none in use loses its last one.
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

    /// Ranks engines for loading weights: empty ones first, then other versions of the same model,
    /// then idle ones.
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
        serving.filter(|engine| !self.pending_orders().any(|order| order.reloads(engine))).count()
    }

    /// Returns the orders of this round and, if taken into account, earlier ones in progress.
    fn pending_orders(&self) -> impl Iterator<Item = &Order> {
        let is_aware = self.limits.awareness == StateAwareness::On;
        let awaited = self.awaited.iter().copied().filter(move |_| is_aware);
        awaited.chain(&self.orders)
    }

    /// Returns the number of servers that pending orders will add.
    fn pending_servers(&self, wanted: &LoadedModel) -> usize {
        let orders = self.pending_orders().filter(|order| match &order.action {
            Action::LoadModel(loading) => loading.satisfies(wanted),
            Action::LoadAdapter { model, .. } => *model == wanted.model,
            Action::ChangeRole(_) => false,
        });
        orders.count()
    }

    fn has_pending_role_change(&self, engine: &ReportedEngine) -> bool {
        self.pending_orders().any(|order| {
            order.endpoint == engine.endpoint && matches!(order.action, Action::ChangeRole(_))
        })
    }

    fn push_order(&mut self, engine: &'a ReportedEngine, action: Action) {
        if !engine.checks_fencing {
            self.unfenced_left = self.unfenced_left.saturating_sub(1);
        }
        self.orders.push(Order {
            endpoint: engine.endpoint.clone(),
            incarnation: engine.incarnation,
            fencing_token: self.limits.fencing_token,
            action,
        });
    }
}
