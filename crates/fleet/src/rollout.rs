//! Rolling update of the desired weights on all engines.
//!
//! [`Rollout`] is a state machine; its driver sends the orders, polls the engines and feeds back
//! the results. It is designed for sites whose engines all serve one model: while some engines
//! load, the others take over their requests, so the ones to load next are drained first.

use std::{collections::BTreeMap, time::Duration};

use base::{Digest, EndpointId, Hasher, Incarnation, ModelId, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::{DesiredWeights, WeightsHistory};

/// Maximum number of times that the backoff after a refusal doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Limits of a [`Rollout`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Maximum share of engines that drain, load or are unreachable at once; the others take over
    /// their requests.
    pub unavailable_share: f64,
    /// Lower bound of that limit in engines, if there are more than that.
    pub min_unavailable: usize,
    /// Share of engines that may drain or load at once even if the limit is used up by unreachable
    /// ones.
    pub guaranteed_share: f64,
    /// Lower bound of that share in engines.
    pub min_guaranteed: usize,
    /// Minimum drain time before the order to load, so that the drain reaches all routers.
    pub min_drain_time: Duration,
    /// Maximum drain time for an engine with running requests.
    pub max_drain_time: Duration,
    /// Maximum share of engines that load at once; with more, each load only takes longer.
    pub load_share: f64,
    /// Lower bound of that limit in engines.
    pub min_concurrent_loads: usize,
    /// Duration of a load, after which the next one may begin.
    pub load_duration: Duration,
    /// Time after which an order without visible effect is sent again.
    pub order_timeout: Duration,
    /// Age of newer weights from which routers send no requests to engines with older ones.
    pub unused_after: Duration,
    /// Initial backoff for an engine that refuses or can't be reached; doubles each time. A newer
    /// announcement of the engine ends a longer backoff.
    pub refusal_backoff: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            unavailable_share: 0.4,
            min_unavailable: 4,
            guaranteed_share: 0.1,
            min_guaranteed: 2,
            min_drain_time: Duration::from_millis(250),
            max_drain_time: Duration::from_millis(1_200),
            load_share: 0.2,
            min_concurrent_loads: 3,
            load_duration: Duration::from_millis(600),
            order_timeout: Duration::from_millis(2_500),
            unused_after: Duration::from_millis(5_000),
            refusal_backoff: Duration::from_millis(1_000),
        }
    }
}

/// An engine's state by its newest announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The model it serves.
    pub model: ModelId,
    /// The version of its weights.
    pub version: u32,
    /// When its newest announcement was written.
    pub announced_at: MonotonicTime,
    /// Whether that is so long ago that the engine may be gone; it is updated last.
    pub is_stale: bool,
}

/// The leader's update on an engine for routers, beyond the engine's own announcements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The version of its weights; may be newer than announced.
    pub version: u32,
    /// Whether it gets no new requests, as it is draining or loading.
    pub paused: bool,
}

/// In-flight work of all routers at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens not yet prefilled.
    pub prefill_tokens: u32,
}

/// The number of engines in each state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// All engines.
    pub total: usize,
    /// Engines without the desired weights.
    pub behind: usize,
    /// Engines that get no new requests, to load next.
    pub draining: usize,
    /// Engines with an order to load that have not reported the weights yet.
    pub loading: usize,
    /// Engines in backoff, as they refused or can't be reached.
    pub backing_off: usize,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The weights to load.
    pub weights: DesiredWeights,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine began to load.
    Accepted,
    /// The engine has these weights already.
    AlreadyLoaded,
    /// The engine is executing another order, or has accepted one that was not counted.
    Busy,
    /// The engine can't execute it, or another process responded.
    Refused,
    /// There was no response; the engine may execute it now or later.
    Unknown,
}

#[derive(Clone, Debug)]
struct Engine {
    incarnation: Incarnation,
    model: ModelId,
    version: u32,
    /// The version that it had when it became known, which routers may still believe.
    first_version: u32,
    step: Step,
    /// Backoff after the last refusal.
    backoff: Option<Backoff>,
    /// Consecutive orders that it refused or that did not reach it.
    refusals: u32,
    /// When its newest announcement was written.
    announced_at: MonotonicTime,
    is_stale: bool,
    load: EngineLoad,
}

/// A period without orders to an engine after a refusal.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// The earliest end, if the engine is announced after it.
    earliest_end: MonotonicTime,
    /// The end otherwise.
    latest_end: MonotonicTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Idle,
    Draining { since: MonotonicTime },
    Loading { since: MonotonicTime, target: u32 },
}

/// The state of a rolling update, kept only by the leader.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    desired: BTreeMap<ModelId, WeightsHistory>,
    engines: BTreeMap<EndpointId, Engine>,
}

impl Rollout {
    /// Creates a rollout without engines.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, desired: BTreeMap::new(), engines: BTreeMap::new() }
    }

    /// Sets the desired weights of each model.
    pub fn set_desired_weights(&mut self, desired: BTreeMap<ModelId, WeightsHistory>) {
        self.desired = desired;
    }

    /// Sets the engines that accept requests, as announced; others are removed.
    pub fn set_engines(&mut self, engines: &[EngineView]) {
        self.engines.retain(|id, _| engines.iter().any(|view| view.endpoint == *id));
        for view in engines {
            let engine =
                self.engines.entry(view.endpoint.clone()).or_insert_with(|| new_engine(view));
            if engine.incarnation != view.incarnation || engine.model != view.model {
                *engine = new_engine(view);
            }
            engine.announced_at = view.announced_at;
            engine.is_stale = view.is_stale;
            engine.update_version(view.version);
        }
    }

    /// Sets the engines' in-flight work.
    pub fn set_loads(&mut self, load_of: impl Fn(&EndpointId) -> EngineLoad) {
        for (id, engine) in &mut self.engines {
            engine.load = load_of(id);
        }
    }

    /// Records the version that an engine reported when polled.
    pub fn record_version(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        version: u32,
    ) {
        let found = self.engines.get_mut(endpoint);
        if let Some(engine) = found.filter(|engine| engine.incarnation == incarnation) {
            engine.update_version(version);
        }
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, now: MonotonicTime, order: &LoadOrder, outcome: OrderOutcome) {
        let found = self.engines.get_mut(&order.endpoint);
        let Some(engine) = found.filter(|engine| engine.incarnation == order.incarnation) else {
            return;
        };
        let target = order.weights.version;
        match outcome {
            OrderOutcome::AlreadyLoaded => engine.update_version(target),
            OrderOutcome::Accepted | OrderOutcome::Unknown | OrderOutcome::Busy => {
                engine.step = Step::Loading { since: now, target };
                engine.refusals = 0;
            }
            OrderOutcome::Refused => {
                engine.step = Step::Idle;
                let factor = 2_u32.saturating_pow(engine.refusals);
                engine.refusals = engine.refusals.saturating_add(1).min(MAX_BACKOFF_DOUBLINGS);
                let backoff = self.settings.refusal_backoff;
                engine.backoff = Some(Backoff {
                    earliest_end: now + backoff,
                    latest_end: now + backoff.saturating_mul(factor),
                });
            }
        }
    }

    /// Starts to drain the engines that load next, while no order may be sent yet.
    pub fn drain(&mut self, now: MonotonicTime) {
        self.reset_lost_orders(now);
        let ids = self.rollout_order(now);
        self.start_draining(&ids, now);
    }

    /// Returns the orders to send now, and starts to drain the engines that load next.
    pub fn orders(&mut self, now: MonotonicTime) -> Vec<LoadOrder> {
        self.reset_lost_orders(now);
        let mut orders = Vec::new();
        let ids = self.rollout_order(now);
        let free = self.max_concurrent_loads().saturating_sub(self.active_loads(now));
        let drained = ids.iter().filter(|id| self.is_drained(id, now));
        let ready: Vec<&EndpointId> = drained.take(free).collect();
        for id in ready {
            let Some(engine) = self.engines.get_mut(id) else { continue };
            let version = desired_version(&self.desired, &engine.model);
            engine.step = Step::Loading { since: now, target: version };
            let weights = DesiredWeights { model: engine.model.clone(), version };
            let (endpoint, incarnation) = (id.clone(), engine.incarnation);
            orders.push(LoadOrder { endpoint, incarnation, weights });
        }
        self.start_draining(&ids, now);
        orders
    }

    /// Returns the engines that are behind in update order: stale ones last, then those that have
    /// drained longest first, then those with the oldest weights.
    fn rollout_order(&self, now: MonotonicTime) -> Vec<EndpointId> {
        let mut behind = self.behind();
        behind.sort_by_key(|(id, engine)| {
            let drained = match engine.step {
                Step::Draining { since } => since,
                _ => now,
            };
            (engine.is_stale, drained, engine.version, shuffle_key(id))
        });
        behind.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the engines that are loading, which the driver polls.
    pub fn loading(&self) -> impl Iterator<Item = (&EndpointId, Incarnation)> {
        let loading = |step: Step| matches!(step, Step::Loading { .. });
        let engines = self.engines.iter().filter(move |(_, engine)| loading(engine.step));
        engines.map(|(id, engine)| (id, engine.incarnation))
    }

    /// Returns the updates for routers on paused engines and on those that have loaded weights.
    ///
    /// A loaded version stays in the updates: the leader may receive its announcement seconds
    /// before other routers do.
    pub fn engine_updates(&self) -> Vec<EngineUpdate> {
        let changed = self.engines.iter().filter(|(_, engine)| {
            engine.step != Step::Idle || engine.first_version < engine.version
        });
        changed
            .map(|(id, engine)| EngineUpdate {
                endpoint: id.clone(),
                incarnation: engine.incarnation,
                version: engine.version,
                paused: engine.step != Step::Idle,
            })
            .collect()
    }

    /// Returns whether every engine has the desired weights.
    pub fn is_done(&self) -> bool {
        self.behind().is_empty()
    }

    /// Returns the progress of the rollout.
    pub fn progress(&self, now: MonotonicTime) -> RolloutProgress {
        let engines = || self.engines.values();
        let draining = engines().filter(|e| matches!(e.step, Step::Draining { .. })).count();
        let loading = engines().filter(|e| matches!(e.step, Step::Loading { .. })).count();
        let backing_off = engines().filter(|engine| engine.is_backing_off(now)).count();
        let (total, behind) = (self.engines.len(), self.behind().len());
        RolloutProgress { total, behind, draining, loading, backing_off }
    }

    fn behind(&self) -> Vec<(&EndpointId, &Engine)> {
        let engines = self.engines.iter();
        engines.filter(|(_, e)| e.version < desired_version(&self.desired, &e.model)).collect()
    }

    /// Returns whether an engine's weights are so outdated that routers send it no requests.
    fn is_unused(&self, engine: &Engine, now: MonotonicTime) -> bool {
        let history = self.desired.get(&engine.model);
        let outdated = history.map(|history| history.outdated_for(engine.version, now));
        outdated.is_some_and(|outdated| self.settings.unused_after <= outdated)
    }

    /// Returns how many engines may drain, load or be unreachable at once: at least one, and at
    /// most all but one if there are several.
    fn max_unavailable(&self) -> usize {
        let engines = self.engines.len();
        let share = (engines as f64 * self.settings.unavailable_share).ceil() as usize;
        share.max(self.settings.min_unavailable).min(engines.saturating_sub(1)).max(1)
    }

    /// Returns how many engines may load at once; the share makes a rollout take equally long on
    /// sites of any size.
    fn max_concurrent_loads(&self) -> usize {
        let share = (self.engines.len() as f64 * self.settings.load_share) as usize;
        share.max(self.settings.min_concurrent_loads)
    }

    fn is_drained(&self, id: &EndpointId, now: MonotonicTime) -> bool {
        let Some(engine) = self.engines.get(id) else { return false };
        let Step::Draining { since } = engine.step else { return false };
        let must_wait = 0 < engine.load.requests && !self.is_unused(engine, now);
        let wait = if must_wait { self.settings.max_drain_time } else { Duration::ZERO };
        wait.max(self.settings.min_drain_time) <= now.saturating_since(since)
    }

    /// Starts to drain the engines that load next, and all that get no requests anyway.
    fn start_draining(&mut self, behind: &[EndpointId], now: MonotonicTime) {
        let mut slots = self.free_drain_slots(now);
        let mut next = Vec::new();
        for id in behind {
            let Some(engine) = self.engines.get(id).filter(|engine| engine.may_drain(now)) else {
                continue;
            };
            if slots == 0 && !self.is_unused(engine, now) {
                continue;
            }
            slots = slots.saturating_sub(1);
            next.push(id.clone());
        }
        for id in next {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.step = Step::Draining { since: now };
            }
        }
    }

    /// Estimates how many engines load at `now` from the time since their orders.
    fn active_loads(&self, now: MonotonicTime) -> usize {
        let loads = |engine: &&Engine| match engine.step {
            Step::Loading { since, .. } => {
                now.saturating_since(since) < self.settings.load_duration
            }
            _ => false,
        };
        self.engines.values().filter(loads).count()
    }

    /// Returns how many more engines may drain; the guaranteed share may regardless of how many are
    /// unreachable.
    fn free_drain_slots(&self, now: MonotonicTime) -> usize {
        let busy = self.engines.values().filter(|engine| engine.step != Step::Idle).count();
        let backing_off = self.engines.values().filter(|engine| engine.is_backing_off(now)).count();
        let left = self.max_unavailable().saturating_sub(busy + backing_off);
        let guaranteed = (self.engines.len() as f64 * self.settings.guaranteed_share) as usize;
        left.max(guaranteed.max(self.settings.min_guaranteed).saturating_sub(busy))
    }

    /// Resets engines whose order timed out, or that drain but are no longer behind.
    fn reset_lost_orders(&mut self, now: MonotonicTime) {
        let order_timeout = self.settings.order_timeout;
        for engine in self.engines.values_mut() {
            let wanted = desired_version(&self.desired, &engine.model);
            engine.step = match engine.step {
                Step::Loading { since, .. } if order_timeout <= now.saturating_since(since) => {
                    Step::Idle
                }
                Step::Draining { .. } if wanted <= engine.version => Step::Idle,
                step => step,
            };
        }
    }
}

impl Engine {
    fn may_drain(&self, now: MonotonicTime) -> bool {
        self.step == Step::Idle && !self.is_backing_off(now)
    }

    fn is_backing_off(&self, now: MonotonicTime) -> bool {
        let Some(backoff) = self.backoff else { return false };
        let announced_since = backoff.earliest_end <= self.announced_at;
        now < backoff.earliest_end || (!announced_since && now < backoff.latest_end)
    }

    /// Raises the engine's version; ends a load whose target it reaches.
    fn update_version(&mut self, version: u32) {
        self.version = version.max(self.version);
        if let Step::Loading { target, .. } = self.step
            && target <= self.version
        {
            self.step = Step::Idle;
        }
    }
}

/// Returns the desired version of a model's weights, 0 if there is none.
fn desired_version(desired: &BTreeMap<ModelId, WeightsHistory>, model: &ModelId) -> u32 {
    desired.get(model).map_or(0, WeightsHistory::version)
}

/// Returns a hash that shuffles engines deterministically, so that those that load together share
/// no common trait.
fn shuffle_key(id: &EndpointId) -> Digest {
    Hasher::default().field(b"rollout").field(id.as_str().as_bytes()).finish()
}

fn new_engine(view: &EngineView) -> Engine {
    Engine {
        incarnation: view.incarnation,
        model: view.model.clone(),
        version: view.version,
        first_version: view.version,
        step: Step::Idle,
        backoff: None,
        refusals: 0,
        announced_at: view.announced_at,
        is_stale: view.is_stale,
        load: EngineLoad::default(),
    }
}
