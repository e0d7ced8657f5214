//! A rollout took longer the more engines there were, and requests began on outdated weights.

use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, Incarnation, MonotonicTime};
use fleet::{EngineLoad, EngineView, OrderOutcome, Rollout, RolloutSettings, WeightsHistory};

/// Interval between rounds.
const ROUND_INTERVAL_MS: u64 = 50;

/// Maximum simulated time.
const MAX_TIME_MS: u64 = 60_000;

/// Interval between announcements of an engine.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 1_200;

/// Age from which an announcement counts as stale in a fleet of this size.
const STALE_AFTER_MS: u64 = 10_500;

/// Time before the limit from which routers send no requests to outdated weights.
const UNUSED_MARGIN: Duration = Duration::from_millis(3_000);

/// Duration of a load while at most [`FULL_SPEED_LOAD_SHARE`] of the engines load.
const LOAD_DURATION_MS: u64 = 550;

/// Share of engines above which loads slow each other down.
const FULL_SPEED_LOAD_SHARE: f64 = 0.2;

/// Time for which requests still run at a paused engine.
const REQUEST_DURATION_MS: u64 = 900;

/// Returns the time in milliseconds until all reachable engines have the weights; the first
/// `unreachable` engines are not.
fn time_to_all(engines: usize, unreachable: usize, bound: Duration) -> Option<u64> {
    let mut site = Site::new(engines, unreachable, bound);
    (0..MAX_TIME_MS).step_by(ROUND_INTERVAL_MS as usize).find(|&now| site.round(now))
}

struct Engine {
    id: EndpointId,
    version: u32,
    is_unreachable: bool,
    /// Remaining time of its load, in milliseconds.
    load_left_ms: Option<f64>,
    paused_at: Option<u64>,
}

struct Site {
    rollout: Rollout,
    engines: Vec<Engine>,
}

impl Site {
    fn new(engines: usize, unreachable: usize, bound: Duration) -> Self {
        let unused_after = bound - UNUSED_MARGIN;
        let mut rollout =
            Rollout::new(RolloutSettings { unused_after, ..RolloutSettings::default() });
        let mut history = WeightsHistory::new();
        history.record(MonotonicTime::ZERO, 2, Duration::ZERO);
        rollout.set_desired_weights(BTreeMap::from([("m".parse().unwrap(), history)]));
        let engine = |i: usize| Engine {
            id: format!("engine-{i}").parse().unwrap(),
            version: 1,
            is_unreachable: i < unreachable,
            load_left_ms: None,
            paused_at: None,
        };
        Self { rollout, engines: (0..engines).map(engine).collect() }
    }

    /// Simulates a round; returns whether all reachable engines have the desired weights.
    fn round(&mut self, now: u64) -> bool {
        self.load();
        let at = MonotonicTime::from_millis(now);
        self.rollout.set_engines(&self.engines.iter().map(|e| e.view(now)).collect::<Vec<_>>());
        let engines = &self.engines;
        self.rollout.set_loads(|id| {
            let engine = engines.iter().find(|engine| engine.id == *id).unwrap();
            let runs = engine.paused_at.is_none_or(|since| now < since + REQUEST_DURATION_MS);
            EngineLoad { requests: u32::from(runs), prefill_tokens: 0 }
        });
        for order in self.rollout.orders(at) {
            let engine = self.engines.iter_mut().find(|e| e.id == order.endpoint).unwrap();
            let outcome = if engine.is_unreachable {
                OrderOutcome::Refused
            } else {
                engine.load_left_ms = Some(LOAD_DURATION_MS as f64);
                OrderOutcome::Accepted
            };
            self.rollout.record_outcome(at, &order, outcome);
        }
        for engine in &mut self.engines {
            let update = self
                .rollout
                .engine_updates()
                .into_iter()
                .find(|update| update.endpoint == engine.id);
            let is_paused = update.is_some_and(|update| update.paused);
            engine.paused_at = if is_paused { engine.paused_at.or(Some(now)) } else { None };
        }
        self.engines.iter().all(|engine| engine.is_unreachable || engine.version == 2)
    }

    fn load(&mut self) {
        let loading = self.engines.iter().filter(|engine| engine.load_left_ms.is_some()).count();
        let fast = self.engines.len() as f64 * FULL_SPEED_LOAD_SHARE;
        let speed = (fast / loading as f64).min(1.0);
        for engine in &mut self.engines {
            let Some(left) = engine.load_left_ms else { continue };
            let left = left - ROUND_INTERVAL_MS as f64 * speed;
            engine.load_left_ms = (0.0 < left).then_some(left);
            if left <= 0.0 {
                engine.version = 2;
                self.rollout.record_version(&engine.id, Incarnation::new(1), 2);
            }
        }
    }
}

impl Engine {
    fn view(&self, now: u64) -> EngineView {
        let announced_at =
            if self.is_unreachable { 0 } else { now - now % ANNOUNCEMENT_INTERVAL_MS };
        EngineView {
            endpoint: self.id.clone(),
            incarnation: Incarnation::new(1),
            model: "m".parse().unwrap(),
            version: self.version,
            announced_at: MonotonicTime::from_millis(announced_at),
            is_stale: STALE_AFTER_MS <= now - announced_at,
        }
    }
}

macro_rules! all_engines_have_the_weights_before_the_bound {
    ($($name:ident: $engines:expr, $unreachable:expr, $bound_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let bound = Duration::from_millis($bound_ms);
            let took = time_to_all($engines, $unreachable, bound).map(Duration::from_millis);
            let took = took.expect("all reachable engines load");
            assert!(took < bound, "{} engines took {took:?}, limit {bound:?}", $engines);
        }
    )*};
}

all_engines_have_the_weights_before_the_bound! {
    eighteen_engines: 18, 0, 8_000;
    sixty_engines: 60, 0, 10_000;
    ninety_engines: 90, 0, 10_000;
    three_hundred_engines: 300, 0, 10_000;
    eighteen_engines_four_unreachable: 18, 4, 8_000;
    ninety_engines_a_quarter_unreachable: 90, 22, 10_000;
    ninety_engines_40_unreachable: 90, 40, 10_000;
}
