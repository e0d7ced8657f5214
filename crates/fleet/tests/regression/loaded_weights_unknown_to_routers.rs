//! Routers sent requests by the old weights after the leader had received the engine's
//! announcement of the new ones, and the engine refused them.

use std::{collections::BTreeMap, time::Duration};

use base::{Incarnation, MonotonicTime};
use fleet::{
    EngineUpdateLog, EngineView, OrderOutcome, ReceivedEngineUpdates, Rollout, RolloutSettings,
    WeightsHistory,
};

const OLD: u32 = 1;
const NEW: u32 = 2;

fn engine(version: u32) -> EngineView {
    EngineView {
        endpoint: "engine-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        model: "m".parse().unwrap(),
        version,
        announced_at: MonotonicTime::ZERO,
        is_stale: false,
    }
}

/// Returns a rollout whose only engine loads the new weights by an order.
fn loading() -> Rollout {
    let mut rollout = Rollout::new(RolloutSettings::default());
    let mut history = WeightsHistory::new();
    history.record(MonotonicTime::ZERO, NEW, Duration::ZERO);
    rollout.set_desired_weights(BTreeMap::from([("m".parse().unwrap(), history)]));
    rollout.set_engines(&[engine(OLD)]);
    for millis in (0..5_000).step_by(50) {
        let now = MonotonicTime::from_millis(millis);
        for order in rollout.orders(now) {
            rollout.record_outcome(now, &order, OrderOutcome::Accepted);
        }
    }
    assert!(rollout.engine_updates().iter().any(|update| update.paused), "it loads");
    rollout
}

#[test]
fn router_learns_the_loaded_version_that_was_announced_to_the_leader_first() {
    let (mut rollout, mut log) = (loading(), EngineUpdateLog::default());
    let mut received = ReceivedEngineUpdates::default();
    log.set(1, rollout.engine_updates());
    received.apply(&log.since(None));
    rollout.set_engines(&[engine(NEW)]);
    log.set(2, rollout.engine_updates());
    received.apply(&log.since(Some(1)));
    let view = engine(NEW);
    let known = received.find(&view.endpoint, view.incarnation).expect("an update");
    assert_eq!((known.version, known.paused), (NEW, false));
}
