//! Bringing named weights to all engines, a few at a time.
//!
//! [`Rollout`] decides; its driver sends the orders, asks the engines and tells it what they say.
//! It answers the load of a site whose engines all serve one model: while some load, the others
//! carry their requests, so those that load next get no new requests some time before.

use std::{collections::BTreeMap, time::Duration};

use base::{Digest, EndpointId, Hasher, Incarnation, ModelId, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::{DesiredWeights, WeightsHistory};

/// Most times that an engine's pause after a refusal doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Bounds of a [`Rollout`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Part of the engines that may drain, load or be out of reach at once; the others carry their
    /// requests.
    pub unavailable_share: f64,
    /// Fewest engines that may drain or load at once, if there are more than that.
    pub min_unavailable: usize,
    /// Part of the engines that may drain or load at once even if as many as may be are out of
    /// reach.
    pub guaranteed_share: f64,
    /// Fewest engines of that part.
    pub min_guaranteed: usize,
    /// Shortest time without new requests before an engine is told to load, so that all routers
    /// know.
    pub min_drain_time: Duration,
    /// Longest wait for the requests that an engine still has, before it is told to load.
    pub max_drain_time: Duration,
    /// Part of the engines that load at once; more would only take longer each.
    pub load_share: f64,
    /// Fewest engines that may load at once.
    pub min_concurrent_loads: usize,
    /// Time that a load takes, after which the next one may begin.
    pub load_duration: Duration,
    /// Time after which an order without visible effect is given again.
    pub order_timeout: Duration,
    /// Time after the naming of newer weights from which routers send nothing to older ones.
    pub unused_after: Duration,
    /// Time for which an engine that can't be reached, or refuses, is left alone; it doubles each
    /// time, unless the engine is heard again.
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

/// An engine with its model, as it was last heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The model it serves.
    pub model: ModelId,
    /// The version of its weights.
    pub version: u32,
    /// When its newest announcement was written.
    pub announced_at: MonotonicTime,
    /// Whether that is so long ago that it may be gone; it comes last.
    pub is_stale: bool,
}

/// What routers must know of an engine beyond its own announcements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The engine.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The version of its weights, newer than announced.
    pub version: u32,
    /// Whether it gets no new requests because it loads, or loads next.
    pub paused: bool,
}

/// Work that all routers have under way at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests.
    pub requests: u32,
    /// Tokens that wait for prefill.
    pub prefill_tokens: u32,
}

/// How many engines are in which state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Engines that are known.
    pub known: usize,
    /// Engines without the weights named.
    pub behind: usize,
    /// Engines that get no new requests, as they load next.
    pub draining: usize,
    /// Engines that were told to load and have not reported the weights yet.
    pub loading: usize,
    /// Engines that refused or can't be reached, and are left alone for a while.
    pub backing_off: usize,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// What to load.
    pub weights: DesiredWeights,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine loads.
    Accepted,
    /// The engine has these weights.
    AlreadyLoaded,
    /// The engine carries out another order, or has taken one that was not counted.
    Busy,
    /// The engine can't carry it out, or another process answered.
    Refused,
    /// There was no answer; the engine may carry it out, now or later.
    Unknown,
}

#[derive(Clone, Debug)]
struct Engine {
    incarnation: Incarnation,
    model: ModelId,
    version: u32,
    announced: u32,
    step: Step,
    /// The time for which it is left alone.
    backoff: Option<Backoff>,
    /// Orders in a row that it refused or that did not reach it.
    refusals: u32,
    /// When its newest announcement was written.
    announced_at: MonotonicTime,
    is_stale: bool,
    load: EngineLoad,
}

/// A time in which an engine that refused an order gets none.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Until when it lasts at least.
    earliest_end: MonotonicTime,
    /// Until when it lasts if the engine is not heard again.
    latest_end: MonotonicTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Idle,
    Draining { since: MonotonicTime },
    Loading { since: MonotonicTime, target: u32 },
}

/// The state of all loads, kept by the leader alone.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    desired: BTreeMap<ModelId, WeightsHistory>,
    engines: BTreeMap<EndpointId, Engine>,
}

impl Rollout {
    /// Creates a rollout that knows no engine.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, desired: BTreeMap::new(), engines: BTreeMap::new() }
    }

    /// Takes the weights that operators have named.
    pub fn set_desired_weights(&mut self, desired: BTreeMap<ModelId, WeightsHistory>) {
        self.desired = desired;
    }

    /// Takes the engines that take requests, as announced; those missing are forgotten.
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
            engine.announced = view.version;
            engine.update_version(view.version);
        }
    }

    /// Takes what is under way at the engines.
    pub fn set_loads(&mut self, load_of: impl Fn(&EndpointId) -> EngineLoad) {
        for (id, engine) in &mut self.engines {
            engine.load = load_of(id);
        }
    }

    /// Takes the version that an engine itself reported when asked.
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

    /// Takes what came of an order.
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

    /// Stops new requests at the engines that load next, as when no order may be given yet.
    pub fn drain(&mut self, now: MonotonicTime) {
        self.reset_lost_orders(now);
        let ids = self.rollout_order(now);
        self.start_draining(&ids, now);
    }

    /// Returns the orders to give now, the engines with the oldest weights first.
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

    /// Returns the engines that are behind: those that have drained longest first, then those with
    /// the oldest weights.
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

    /// Returns the engines that load, to be asked whether they have finished.
    pub fn loading(&self) -> impl Iterator<Item = (&EndpointId, Incarnation)> {
        let loading = |step: Step| matches!(step, Step::Loading { .. });
        let engines = self.engines.iter().filter(move |(_, engine)| loading(engine.step));
        engines.map(|(id, engine)| (id, engine.incarnation))
    }

    /// Returns what routers must know beyond the engines' own announcements.
    pub fn engine_updates(&self) -> Vec<EngineUpdate> {
        let changed = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.step != Step::Idle || engine.announced < engine.version);
        changed
            .map(|(id, engine)| EngineUpdate {
                endpoint: id.clone(),
                incarnation: engine.incarnation,
                version: engine.version,
                paused: engine.step != Step::Idle,
            })
            .collect()
    }

    /// Returns whether every known engine has the weights named.
    pub fn is_done(&self) -> bool {
        self.behind().is_empty()
    }

    /// Returns how far the weights named have come.
    pub fn progress(&self, now: MonotonicTime) -> RolloutProgress {
        let engines = || self.engines.values();
        let draining = engines().filter(|e| matches!(e.step, Step::Draining { .. })).count();
        let loading = engines().filter(|e| matches!(e.step, Step::Loading { .. })).count();
        let backing_off = engines().filter(|engine| engine.is_backing_off(now)).count();
        let (known, behind) = (self.engines.len(), self.behind().len());
        RolloutProgress { known, behind, draining, loading, backing_off }
    }

    fn behind(&self) -> Vec<(&EndpointId, &Engine)> {
        let engines = self.engines.iter();
        engines.filter(|(_, e)| e.version < desired_version(&self.desired, &e.model)).collect()
    }

    /// Returns whether an engine's weights are so old that routers send it nothing.
    fn is_unused(&self, engine: &Engine, now: MonotonicTime) -> bool {
        let history = self.desired.get(&engine.model);
        let outdated = history.map(|history| history.outdated_for(engine.version, now));
        outdated.is_some_and(|outdated| self.settings.unused_after <= outdated)
    }

    /// Returns how many engines may drain or load at once; one always goes on serving, if it can.
    fn max_unavailable(&self) -> usize {
        let engines = self.engines.len();
        let share = (engines as f64 * self.settings.unavailable_share).ceil() as usize;
        share.max(self.settings.min_unavailable).min(engines.saturating_sub(1)).max(1)
    }

    /// Returns how many engines may load at once, so that a rollout takes as long on any site.
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

    /// Stops new requests at the engines that load next, and at all that get none anyway.
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

    /// Returns how many engines load at `now`, as far as the time since their orders tells.
    fn active_loads(&self, now: MonotonicTime) -> usize {
        let loads = |engine: &&Engine| match engine.step {
            Step::Loading { since, .. } => {
                now.saturating_since(since) < self.settings.load_duration
            }
            _ => false,
        };
        self.engines.values().filter(loads).count()
    }

    /// Returns how many more engines may drain; some always may, however many are out of reach.
    fn free_drain_slots(&self, now: MonotonicTime) -> usize {
        let busy = self.engines.values().filter(|engine| engine.step != Step::Idle).count();
        let backing_off = self.engines.values().filter(|engine| engine.is_backing_off(now)).count();
        let left = self.max_unavailable().saturating_sub(busy + backing_off);
        let always = (self.engines.len() as f64 * self.settings.guaranteed_share) as usize;
        left.max(always.max(self.settings.min_guaranteed).saturating_sub(busy))
    }

    /// Lets engines whose order showed no effect, or that are no longer behind, be chosen anew.
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

    /// Notes a version that the engine has; a load that aimed at it has ended.
    fn update_version(&mut self, version: u32) {
        self.version = version.max(self.version);
        if let Step::Loading { target, .. } = self.step
            && target <= self.version
        {
            self.step = Step::Idle;
        }
    }
}

/// Returns the newest version of a model's weights, 0 if none was named.
fn desired_version(desired: &BTreeMap<ModelId, WeightsHistory>, model: &ModelId) -> u32 {
    desired.get(model).map_or(0, WeightsHistory::version)
}

/// Orders engines at random, but the same way each time, so that those that load together have
/// nothing in common.
fn shuffle_key(id: &EndpointId) -> Digest {
    Hasher::default().field(b"rollout").field(id.as_str().as_bytes()).finish()
}

fn new_engine(view: &EngineView) -> Engine {
    Engine {
        incarnation: view.incarnation,
        model: view.model.clone(),
        version: view.version,
        announced: view.version,
        step: Step::Idle,
        backoff: None,
        refusals: 0,
        announced_at: view.announced_at,
        is_stale: view.is_stale,
        load: EngineLoad::default(),
    }
}
