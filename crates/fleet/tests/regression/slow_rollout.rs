//! A rollout of weights took longer the more engines there were, and requests began on old ones.

use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, Incarnation, MonotonicTime};
use fleet::{EngineLoad, EngineView, OrderOutcome, Rollout, RolloutSettings, WeightsHistory};

/// Time between two rounds, in milliseconds.
const PERIOD: u64 = 50;

/// Longest time that is played, in milliseconds.
const LIMIT: u64 = 60_000;

/// Time between heartbeats, in milliseconds.
const HEARTBEAT: u64 = 1_200;

/// Age of an announcement from which it counts as stale in a fleet of this size, in milliseconds.
const SILENCE: u64 = 10_500;

/// Time before the bound from which routers send nothing to outdated weights.
const UNUSED_MARGIN: Duration = Duration::from_millis(3_000);

/// Time that a load takes, in milliseconds, while at most [`FAST_LOADS`] of the engines load.
const LOAD: u64 = 550;

/// Part of the engines above which loads slow each other down.
const FAST_LOADS: f64 = 0.2;

/// Time that a request still runs at an engine that gets no new ones, in milliseconds.
const REQUEST: u64 = 900;

/// Returns after how many milliseconds all engines that can be reached have the weights; the first
/// `dark` can't be.
fn time_to_all(engines: usize, dark: usize, bound: Duration) -> Option<u64> {
    let mut site = Site::new(engines, dark, bound);
    (0..LIMIT).step_by(PERIOD as usize).find(|&now| site.round(now))
}

struct Engine {
    id: EndpointId,
    version: u32,
    is_dark: bool,
    /// What is left of its load, in milliseconds.
    loads_for: Option<f64>,
    paused_at: Option<u64>,
}

struct Site {
    rollout: Rollout,
    engines: Vec<Engine>,
}

impl Site {
    fn new(engines: usize, dark: usize, bound: Duration) -> Self {
        let unused_after = bound - UNUSED_MARGIN;
        let mut rollout =
            Rollout::new(RolloutSettings { unused_after, ..RolloutSettings::default() });
        let mut history = WeightsHistory::new();
        history.record(MonotonicTime::ZERO, 2, Duration::ZERO);
        rollout.set_desired_weights(BTreeMap::from([("m".parse().unwrap(), history)]));
        let engine = |i: usize| Engine {
            id: format!("engine-{i}").parse().unwrap(),
            version: 1,
            is_dark: i < dark,
            loads_for: None,
            paused_at: None,
        };
        Self { rollout, engines: (0..engines).map(engine).collect() }
    }

    /// Plays a period; returns whether all engines that can be reached have the weights named.
    fn round(&mut self, now: u64) -> bool {
        self.load();
        let at = MonotonicTime::from_millis(now);
        self.rollout.set_engines(&self.engines.iter().map(|e| e.view(now)).collect::<Vec<_>>());
        let engines = &self.engines;
        self.rollout.set_loads(|id| {
            let engine = engines.iter().find(|engine| engine.id == *id).unwrap();
            let runs = engine.paused_at.is_none_or(|since| now < since + REQUEST);
            EngineLoad { requests: u32::from(runs), prefill_tokens: 0 }
        });
        for order in self.rollout.orders(at) {
            let engine = self.engines.iter_mut().find(|e| e.id == order.endpoint).unwrap();
            let outcome = if engine.is_dark {
                OrderOutcome::Refused
            } else {
                engine.loads_for = Some(LOAD as f64);
                OrderOutcome::Accepted
            };
            self.rollout.record_outcome(at, &order, outcome);
        }
        for engine in &mut self.engines {
            let news =
                self.rollout.engine_updates().into_iter().find(|news| news.endpoint == engine.id);
            let is_paused = news.is_some_and(|news| news.paused);
            engine.paused_at = if is_paused { engine.paused_at.or(Some(now)) } else { None };
        }
        self.engines.iter().all(|engine| engine.is_dark || engine.version == 2)
    }

    fn load(&mut self) {
        let loading = self.engines.iter().filter(|engine| engine.loads_for.is_some()).count();
        let fast = self.engines.len() as f64 * FAST_LOADS;
        let speed = (fast / loading as f64).min(1.0);
        for engine in &mut self.engines {
            let Some(left) = engine.loads_for else { continue };
            let left = left - PERIOD as f64 * speed;
            engine.loads_for = (0.0 < left).then_some(left);
            if left <= 0.0 {
                engine.version = 2;
                self.rollout.record_version(&engine.id, Incarnation::new(1), 2);
            }
        }
    }
}

impl Engine {
    fn view(&self, now: u64) -> EngineView {
        let heard = if self.is_dark { 0 } else { now - now % HEARTBEAT };
        EngineView {
            endpoint: self.id.clone(),
            incarnation: Incarnation::new(1),
            model: "m".parse().unwrap(),
            version: self.version,
            announced_at: MonotonicTime::from_millis(heard),
            is_stale: SILENCE <= now - heard,
        }
    }
}

macro_rules! all_engines_have_the_weights_before_the_bound {
    ($($name:ident: $engines:expr, $dark:expr, $bound_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let bound = Duration::from_millis($bound_ms);
            let took = time_to_all($engines, $dark, bound).map(Duration::from_millis);
            let took = took.expect("all engines load in the end");
            assert!(took < bound, "{} engines took {took:?} of {bound:?}", $engines);
        }
    )*};
}

all_engines_have_the_weights_before_the_bound! {
    eighteen_engines: 18, 0, 8_000;
    sixty_engines: 60, 0, 10_000;
    ninety_engines: 90, 0, 10_000;
    three_hundred_engines: 300, 0, 10_000;
    eighteen_engines_four_out_of_reach: 18, 4, 8_000;
    ninety_engines_a_quarter_out_of_reach: 90, 22, 10_000;
    ninety_engines_40_out_of_reach: 90, 40, 10_000;
}
