//! Bringing named weights to all engines, a few at a time.
//!
//! [`Rollout`] decides; its driver sends the orders, asks the engines and tells it what they say.
//! It answers the load of a site whose engines all serve one model: while some load, the others
//! carry their requests, so those that load next get no new requests some time before.

use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, Incarnation, ModelId, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::NamedWeights;

/// Bounds of a [`Rollout`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Part of the engines that may drain or load at once; the others carry their requests.
    pub share: f64,
    /// Fewest engines that may drain or load at once, if there are more than that.
    pub fewest: usize,
    /// Time without new requests before an engine is told to load, so that all routers know.
    pub drain_time: Duration,
    /// Time after which an order without visible effect is given again.
    pub retry_after: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            share: 0.4,
            fewest: 3,
            drain_time: Duration::from_millis(100),
            retry_after: Duration::from_millis(2_500),
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
    /// Whether it takes new requests.
    pub is_ready: bool,
}

/// What routers must know of an engine beyond its own announcements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNews {
    /// The engine.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The version of its weights, newer than announced.
    pub version: u32,
    /// Whether it gets no new requests because it loads, or loads next.
    pub paused: bool,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// What to load.
    pub weights: NamedWeights,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine loads.
    Accepted,
    /// The engine has these weights.
    Holds,
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
    is_ready: bool,
    step: Step,
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
    named: BTreeMap<ModelId, u32>,
    engines: BTreeMap<EndpointId, Engine>,
}

impl Rollout {
    /// Creates a rollout that knows no engine.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, named: BTreeMap::new(), engines: BTreeMap::new() }
    }

    /// Takes the weights that operators have named.
    pub fn set_named(&mut self, named: &[NamedWeights]) {
        for weights in named {
            self.named.insert(weights.model.clone(), weights.version);
        }
    }

    /// Takes the engines as announced; those missing are forgotten.
    pub fn set_engines(&mut self, engines: &[EngineView]) {
        self.engines.retain(|id, _| engines.iter().any(|view| view.endpoint == *id));
        for view in engines {
            let known = self.engines.entry(view.endpoint.clone()).or_insert_with(|| new(view));
            if known.incarnation != view.incarnation || known.model != view.model {
                *known = new(view);
            }
            known.is_ready = view.is_ready;
            known.announced = view.version;
            known.raise(view.version);
        }
    }

    /// Takes the version that an engine itself reported when asked.
    pub fn reported(&mut self, endpoint: &EndpointId, incarnation: Incarnation, version: u32) {
        let known = self.engines.get_mut(endpoint);
        if let Some(engine) = known.filter(|engine| engine.incarnation == incarnation) {
            engine.raise(version);
        }
    }

    /// Takes what came of an order.
    pub fn ordered(&mut self, now: MonotonicTime, order: &LoadOrder, outcome: OrderOutcome) {
        let known = self.engines.get_mut(&order.endpoint);
        let Some(engine) = known.filter(|engine| engine.incarnation == order.incarnation) else {
            return;
        };
        let target = order.weights.version;
        match outcome {
            OrderOutcome::Holds => engine.raise(target),
            OrderOutcome::Accepted | OrderOutcome::Unknown => {
                engine.step = Step::Loading { since: now, target };
            }
            OrderOutcome::Busy | OrderOutcome::Refused => {
                engine.step = Step::Draining { since: now };
            }
        }
    }

    /// Returns the orders to give now, the engines with the oldest weights first.
    pub fn orders(&mut self, now: MonotonicTime) -> Vec<LoadOrder> {
        self.forget_lost_orders(now);
        let mut orders = Vec::new();
        let mut behind = self.behind();
        // Engines that have drained longest go first, then those with the oldest weights.
        behind.sort_by_key(|(id, engine)| {
            let drained = match engine.step {
                Step::Draining { since } => since,
                _ => now,
            };
            (drained, engine.version, (*id).clone())
        });
        let ids: Vec<EndpointId> = behind.into_iter().map(|(id, _)| id.clone()).collect();
        let ready: Vec<&EndpointId> = ids.iter().filter(|id| self.is_drained(id, now)).collect();
        for id in ready {
            let Some(engine) = self.engines.get_mut(id) else { continue };
            let version = self.named.get(&engine.model).copied().unwrap_or_default();
            engine.step = Step::Loading { since: now, target: version };
            let weights = NamedWeights { model: engine.model.clone(), version };
            let (endpoint, incarnation) = (id.clone(), engine.incarnation);
            orders.push(LoadOrder { endpoint, incarnation, weights });
        }
        self.drain_next(&ids, now);
        orders
    }

    /// Returns the engines that load, to be asked whether they have finished.
    pub fn loading(&self) -> impl Iterator<Item = (&EndpointId, Incarnation)> {
        let loading = |step: Step| matches!(step, Step::Loading { .. });
        let engines = self.engines.iter().filter(move |(_, engine)| loading(engine.step));
        engines.map(|(id, engine)| (id, engine.incarnation))
    }

    /// Returns what routers must know beyond the engines' own announcements.
    pub fn news(&self) -> Vec<EngineNews> {
        let told = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.step != Step::Idle || engine.announced < engine.version);
        told.map(|(id, engine)| EngineNews {
            endpoint: id.clone(),
            incarnation: engine.incarnation,
            version: engine.version,
            paused: engine.step != Step::Idle,
        })
        .collect()
    }

    /// Returns whether every known engine that is ready has the weights named.
    pub fn is_done(&self) -> bool {
        self.behind().is_empty()
    }

    fn behind(&self) -> Vec<(&EndpointId, &Engine)> {
        let engines = self.engines.iter().filter(|(_, engine)| engine.is_ready);
        engines.filter(|(_, engine)| engine.version < self.wanted(&engine.model)).collect()
    }

    fn wanted(&self, model: &ModelId) -> u32 {
        self.named.get(model).copied().unwrap_or_default()
    }

    /// Returns how many engines may drain or load at once; one always goes on serving, if it can.
    fn most_at_once(&self) -> usize {
        let engines = self.engines.len();
        let share = (engines as f64 * self.settings.share).ceil() as usize;
        share.max(self.settings.fewest).min(engines.saturating_sub(1)).max(1)
    }

    fn is_drained(&self, id: &EndpointId, now: MonotonicTime) -> bool {
        match self.engines.get(id).map(|engine| engine.step) {
            Some(Step::Draining { since }) => {
                self.settings.drain_time <= now.saturating_since(since)
            }
            _ => false,
        }
    }

    /// Stops new requests at the engines that load next.
    fn drain_next(&mut self, behind: &[EndpointId], now: MonotonicTime) {
        let busy = self.engines.values().filter(|engine| engine.step != Step::Idle).count();
        let places = self.most_at_once().saturating_sub(busy);
        let idle = behind
            .iter()
            .filter(|id| self.engines.get(*id).is_some_and(|engine| engine.step == Step::Idle));
        let next: Vec<EndpointId> = idle.take(places).cloned().collect();
        for id in next {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.step = Step::Draining { since: now };
            }
        }
    }

    /// Lets engines whose order showed no effect, or that are no longer behind, be chosen anew.
    fn forget_lost_orders(&mut self, now: MonotonicTime) {
        let retry_after = self.settings.retry_after;
        for engine in self.engines.values_mut() {
            let wanted = self.named.get(&engine.model).copied().unwrap_or_default();
            engine.step = match engine.step {
                Step::Loading { since, .. } if retry_after <= now.saturating_since(since) => {
                    Step::Idle
                }
                Step::Draining { .. } if wanted <= engine.version => Step::Idle,
                step => step,
            };
        }
    }
}

impl Engine {
    /// Notes a version that the engine has; a load that aimed at it has ended.
    fn raise(&mut self, version: u32) {
        self.version = version.max(self.version);
        if let Step::Loading { target, .. } = self.step
            && target <= self.version
        {
            self.step = Step::Idle;
        }
    }
}

fn new(view: &EngineView) -> Engine {
    Engine {
        incarnation: view.incarnation,
        model: view.model.clone(),
        version: view.version,
        announced: view.version,
        is_ready: view.is_ready,
        step: Step::Idle,
    }
}
