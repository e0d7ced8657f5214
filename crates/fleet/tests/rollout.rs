//! Rolling update of the desired weights.

use std::{collections::BTreeMap, time::Duration};

use base::{Incarnation, ModelId, MonotonicTime};
use fleet::{
    EngineLoad, EngineView, LoadOrder, OrderOutcome, Rollout, RolloutSettings, WeightsHistory,
};

const ENGINES: usize = 10;

/// Time between two rounds, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 50;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns the history of a version that became the desired one at time zero.
fn desired(version: u32) -> BTreeMap<ModelId, WeightsHistory> {
    let mut history = WeightsHistory::new();
    history.record(MonotonicTime::ZERO, version, Duration::ZERO);
    BTreeMap::from([("m".parse().unwrap(), history)])
}

fn engine(i: usize, version: u32) -> EngineView {
    EngineView {
        endpoint: format!("engine-{i}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        model: "m".parse().unwrap(),
        version,
        announced_at: MonotonicTime::ZERO,
        is_stale: false,
    }
}

fn rollout(version: u32) -> Rollout {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(version));
    rollout.set_engines(&(0..ENGINES).map(|i| engine(i, 1)).collect::<Vec<_>>());
    rollout
}

/// Runs rounds until `end`; each load takes `load` milliseconds.
fn run_rounds(rollout: &mut Rollout, from: u64, end: u64, load: u64) -> Vec<(u64, LoadOrder)> {
    let mut orders: Vec<(u64, LoadOrder)> = Vec::new();
    let mut max_paused = 0;
    for now in (from..end).step_by(ROUND_INTERVAL_MS as usize) {
        for (sent_at, order) in &orders {
            if sent_at + load <= now {
                rollout.record_version(&order.endpoint, order.incarnation, order.weights.version);
            }
        }
        for order in rollout.orders(at(now)) {
            rollout.record_outcome(at(now), &order, OrderOutcome::Accepted);
            orders.push((now, order));
        }
        max_paused =
            max_paused.max(rollout.engine_updates().iter().filter(|update| update.paused).count());
    }
    assert!(max_paused <= 4, "{max_paused} of {ENGINES} engines were paused at once");
    orders
}

#[test]
fn all_engines_load_once_within_the_limit() {
    let mut rollout = rollout(2);
    let orders = run_rounds(&mut rollout, 0, 5_000, 600);
    assert_eq!(orders.len(), ENGINES);
    assert!(rollout.is_done());
    assert!(rollout.engine_updates().iter().all(|update| !update.paused && update.version == 2));
}

#[test]
fn engine_is_paused_before_its_order() {
    let mut rollout = rollout(2);
    assert_eq!(rollout.orders(at(0)), []);
    let paused: Vec<_> =
        rollout.engine_updates().into_iter().filter(|update| update.paused).collect();
    let orders = rollout.orders(at(300));
    assert!(!orders.is_empty());
    assert!(
        orders.iter().all(|order| paused.iter().any(|update| update.endpoint == order.endpoint))
    );
}

#[test]
fn busy_engine_loads_after_its_requests_end() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(2));
    rollout.set_engines(&[engine(0, 1), engine(1, 2)]);
    rollout.set_loads(|_| EngineLoad { requests: 2, prefill_tokens: 0 });
    rollout.orders(at(0));
    assert_eq!(rollout.orders(at(500)), []);
    rollout.set_loads(|_| EngineLoad::default());
    assert_eq!(rollout.orders(at(550)).len(), 1);
}

#[test]
fn endless_request_does_not_block_a_load() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(2));
    rollout.set_engines(&[engine(0, 1), engine(1, 2)]);
    rollout.set_loads(|_| EngineLoad { requests: 1, prefill_tokens: 0 });
    rollout.orders(at(0));
    let limit = RolloutSettings::default().max_drain_time.as_millis() as u64;
    assert_eq!(rollout.orders(at(limit)).len(), 1);
}

#[test]
fn oldest_weights_go_first() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(3));
    let engines: Vec<_> = (0..ENGINES).map(|i| engine(i, if i < 7 { 2 } else { 1 })).collect();
    rollout.set_engines(&engines);
    rollout.orders(at(0));
    let first: Vec<_> = rollout.orders(at(300)).into_iter().map(|order| order.endpoint).collect();
    for i in 7..ENGINES {
        assert!(first.contains(&engine(i, 1).endpoint), "engine-{i} has the oldest weights");
    }
}

#[test]
fn newer_version_replaces_one_in_progress() {
    let mut rollout = rollout(2);
    run_rounds(&mut rollout, 0, 500, 600);
    rollout.set_desired_weights(desired(3));
    let orders = run_rounds(&mut rollout, 500, 6_000, 600);
    assert!(rollout.is_done());
    assert!(orders.iter().all(|(_, order)| order.weights.version == 3));
}

#[test]
fn order_without_effect_is_sent_again() {
    let mut rollout = rollout(2);
    rollout.set_engines(&[engine(0, 1), engine(1, 2)]);
    rollout.orders(at(0));
    let [order] = &rollout.orders(at(300))[..] else { panic!("one engine is behind") };
    rollout.record_outcome(at(300), order, OrderOutcome::Unknown);
    assert_eq!(rollout.orders(at(1_000)), []);
    let retry = RolloutSettings::default().order_timeout.as_millis() as u64;
    rollout.orders(at(300 + retry));
    assert_eq!(rollout.orders(at(600 + retry)).len(), 1);
}

#[test]
fn restarted_engine_is_not_paused() {
    let mut rollout = rollout(2);
    rollout.orders(at(0));
    let orders = rollout.orders(at(300));
    let old = &orders[0];
    let mut engines: Vec<_> = (0..ENGINES).map(|i| engine(i, 1)).collect();
    let restarted = engines.iter_mut().find(|view| view.endpoint == old.endpoint).unwrap();
    (restarted.incarnation, restarted.version) = (Incarnation::new(2), 2);
    rollout.set_engines(&engines);
    rollout.record_outcome(at(300), old, OrderOutcome::Accepted);
    assert!(
        !rollout
            .engine_updates()
            .iter()
            .any(|update| update.endpoint == old.endpoint && update.paused)
    );
}

#[test]
fn single_engine_is_updated() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(2));
    rollout.set_engines(&[engine(0, 1)]);
    rollout.orders(at(0));
    assert_eq!(rollout.orders(at(300)).len(), 1);
    assert!(Duration::ZERO < RolloutSettings::default().min_drain_time);
}

#[test]
fn unreachable_engines_do_not_block_others() {
    let mut rollout = rollout(2);
    let is_unreachable =
        |order: &LoadOrder| (0..4).any(|i| order.endpoint == engine(i, 1).endpoint);
    for now in (0..2_000).step_by(ROUND_INTERVAL_MS as usize) {
        for order in rollout.orders(at(now)) {
            let outcome = if is_unreachable(&order) {
                OrderOutcome::Refused
            } else {
                OrderOutcome::AlreadyLoaded
            };
            rollout.record_outcome(at(now), &order, outcome);
        }
    }
    let behind = rollout.engine_updates().into_iter().filter(|update| update.version < 2).count();
    assert!(behind <= 4, "{behind} engines are behind, four of which can't be reached");
    let updated = rollout.engine_updates().into_iter().filter(|update| update.version == 2).count();
    assert_eq!(updated, ENGINES - 4);
}

#[test]
fn stale_engines_load_last() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(2));
    let engines = (0..ENGINES).map(|i| EngineView { is_stale: i < 4, ..engine(i, 1) });
    rollout.set_engines(&engines.collect::<Vec<_>>());
    rollout.orders(at(0));
    let paused: Vec<_> =
        rollout.engine_updates().into_iter().filter(|update| update.paused).collect();
    assert_eq!(paused.len(), 4);
    for i in 0..4 {
        assert!(!paused.iter().any(|update| update.endpoint == engine(i, 1).endpoint));
    }
}

#[test]
fn unused_engines_drain_at_once_and_skip_the_wait() {
    let mut rollout = rollout(2);
    rollout.set_loads(|_| EngineLoad { requests: 1, prefill_tokens: 0 });
    let unused = RolloutSettings::default().unused_after.as_millis() as u64;
    rollout.orders(at(unused));
    let paused = rollout.engine_updates().iter().filter(|update| update.paused).count();
    assert_eq!(paused, ENGINES, "routers use none of them");
    let drain = RolloutSettings::default().min_drain_time.as_millis() as u64;
    let orders = rollout.orders(at(unused + drain));
    assert_eq!(orders.len(), RolloutSettings::default().min_concurrent_loads);
}

#[test]
fn new_announcement_ends_the_backoff() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(desired(2));
    let announced =
        |millis| [EngineView { announced_at: at(millis), ..engine(0, 1) }, engine(1, 2)];
    rollout.set_engines(&announced(0));
    let mut now = 0;
    let mut refuse = |rollout: &mut Rollout| loop {
        now += ROUND_INTERVAL_MS;
        if let [order] = &rollout.orders(at(now))[..] {
            rollout.record_outcome(at(now), order, OrderOutcome::Refused);
            return now;
        }
    };
    let last = (0..4).map(|_| refuse(&mut rollout)).last().unwrap();
    rollout.set_engines(&announced(last + 1_500));
    let again = refuse(&mut rollout);
    assert!(again <= last + 2_000, "ordered {} ms after its announcement", again - last - 1_500);
}

#[test]
fn engines_drain_before_orders_are_permitted() {
    let mut rollout = rollout(2);
    rollout.drain(at(0));
    rollout.drain(at(200));
    let drain = RolloutSettings::default().min_drain_time.as_millis() as u64;
    assert_eq!(rollout.orders(at(drain)).len(), RolloutSettings::default().min_concurrent_loads);
}
