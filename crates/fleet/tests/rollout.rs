//! Bringing named weights to all engines.

use std::{collections::BTreeMap, time::Duration};

use base::{Incarnation, ModelId, MonotonicTime};
use fleet::{
    EngineLoad, EngineView, LoadOrder, OrderOutcome, Rollout, RolloutSettings, WeightsHistory,
};

const ENGINES: usize = 10;

/// Time between two rounds, in milliseconds.
const PERIOD: u64 = 50;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns the history of a version that was named at the origin of time.
fn named(version: u32) -> BTreeMap<ModelId, WeightsHistory> {
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
    rollout.set_desired_weights(named(version));
    rollout.set_engines(&(0..ENGINES).map(|i| engine(i, 1)).collect::<Vec<_>>());
    rollout
}

/// Runs rounds until `end`; each order is carried out within `load`.
fn play(rollout: &mut Rollout, from: u64, end: u64, load: u64) -> Vec<(u64, LoadOrder)> {
    let mut orders: Vec<(u64, LoadOrder)> = Vec::new();
    let mut most = 0;
    for now in (from..end).step_by(PERIOD as usize) {
        for (given, order) in &orders {
            if given + load <= now {
                rollout.record_version(&order.endpoint, order.incarnation, order.weights.version);
            }
        }
        for order in rollout.orders(at(now)) {
            rollout.record_outcome(at(now), &order, OrderOutcome::Accepted);
            orders.push((now, order));
        }
        most = most.max(rollout.engine_updates().iter().filter(|news| news.paused).count());
    }
    assert!(most <= 4, "{most} of {ENGINES} engines were paused at once");
    orders
}

#[test]
fn all_engines_load_once_and_few_at_a_time() {
    let mut rollout = rollout(2);
    let orders = play(&mut rollout, 0, 5_000, 600);
    assert_eq!(orders.len(), ENGINES);
    assert!(rollout.is_done());
    assert!(rollout.engine_updates().iter().all(|news| !news.paused && news.version == 2));
}

#[test]
fn engine_gets_no_requests_before_its_order() {
    let mut rollout = rollout(2);
    assert_eq!(rollout.orders(at(0)), []);
    let paused: Vec<_> = rollout.engine_updates().into_iter().filter(|news| news.paused).collect();
    let orders = rollout.orders(at(300));
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| paused.iter().any(|news| news.endpoint == order.endpoint)));
}

#[test]
fn busy_engine_loads_once_its_requests_have_ended() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(named(2));
    rollout.set_engines(&[engine(0, 1), engine(1, 2)]);
    rollout.set_loads(|_| EngineLoad { requests: 2, prefill_tokens: 0 });
    rollout.orders(at(0));
    assert_eq!(rollout.orders(at(500)), []);
    rollout.set_loads(|_| EngineLoad::default());
    assert_eq!(rollout.orders(at(550)).len(), 1);
}

#[test]
fn endless_request_holds_no_load_up() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(named(2));
    rollout.set_engines(&[engine(0, 1), engine(1, 2)]);
    rollout.set_loads(|_| EngineLoad { requests: 1, prefill_tokens: 0 });
    rollout.orders(at(0));
    let limit = RolloutSettings::default().max_drain_time.as_millis() as u64;
    assert_eq!(rollout.orders(at(limit)).len(), 1);
}

#[test]
fn oldest_weights_go_first() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(named(3));
    let engines: Vec<_> = (0..ENGINES).map(|i| engine(i, if i < 7 { 2 } else { 1 })).collect();
    rollout.set_engines(&engines);
    rollout.orders(at(0));
    let first: Vec<_> = rollout.orders(at(300)).into_iter().map(|order| order.endpoint).collect();
    for i in 7..ENGINES {
        assert!(first.contains(&engine(i, 1).endpoint), "engine-{i} has the oldest weights");
    }
}

#[test]
fn newer_version_overtakes_one_under_way() {
    let mut rollout = rollout(2);
    play(&mut rollout, 0, 500, 600);
    rollout.set_desired_weights(named(3));
    let orders = play(&mut rollout, 500, 6_000, 600);
    assert!(rollout.is_done());
    assert!(orders.iter().all(|(_, order)| order.weights.version == 3));
}

#[test]
fn order_without_effect_is_given_again() {
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
fn restarted_engine_starts_anew() {
    let mut rollout = rollout(2);
    rollout.orders(at(0));
    let orders = rollout.orders(at(300));
    let old = &orders[0];
    let mut engines: Vec<_> = (0..ENGINES).map(|i| engine(i, 1)).collect();
    let reborn = engines.iter_mut().find(|view| view.endpoint == old.endpoint).unwrap();
    (reborn.incarnation, reborn.version) = (Incarnation::new(2), 2);
    rollout.set_engines(&engines);
    rollout.record_outcome(at(300), old, OrderOutcome::Accepted);
    assert!(
        !rollout.engine_updates().iter().any(|news| news.endpoint == old.endpoint && news.paused)
    );
}

#[test]
fn lone_engine_is_updated_too() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(named(2));
    rollout.set_engines(&[engine(0, 1)]);
    rollout.orders(at(0));
    assert_eq!(rollout.orders(at(300)).len(), 1);
    assert!(Duration::ZERO < RolloutSettings::default().min_drain_time);
}

#[test]
fn engines_that_cannot_be_reached_hold_no_other_up() {
    let mut rollout = rollout(2);
    let dark = |order: &LoadOrder| (0..4).any(|i| order.endpoint == engine(i, 1).endpoint);
    for now in (0..2_000).step_by(PERIOD as usize) {
        for order in rollout.orders(at(now)) {
            let outcome =
                if dark(&order) { OrderOutcome::Refused } else { OrderOutcome::AlreadyLoaded };
            rollout.record_outcome(at(now), &order, outcome);
        }
    }
    let behind = rollout.engine_updates().into_iter().filter(|news| news.version < 2).count();
    assert!(behind <= 4, "{behind} engines are behind, four of which can't be reached");
    let updated = rollout.engine_updates().into_iter().filter(|news| news.version == 2).count();
    assert_eq!(updated, ENGINES - 4);
}

#[test]
fn silent_engines_come_last() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(named(2));
    let engines = (0..ENGINES).map(|i| EngineView { is_stale: i < 4, ..engine(i, 1) });
    rollout.set_engines(&engines.collect::<Vec<_>>());
    rollout.orders(at(0));
    let paused: Vec<_> = rollout.engine_updates().into_iter().filter(|news| news.paused).collect();
    assert_eq!(paused.len(), 4);
    for i in 0..4 {
        assert!(!paused.iter().any(|news| news.endpoint == engine(i, 1).endpoint));
    }
}

#[test]
fn engines_that_routers_no_longer_use_load_without_a_wait() {
    let mut rollout = rollout(2);
    rollout.set_loads(|_| EngineLoad { requests: 1, prefill_tokens: 0 });
    let unused = RolloutSettings::default().unused_after.as_millis() as u64;
    rollout.orders(at(unused));
    let paused = rollout.engine_updates().iter().filter(|news| news.paused).count();
    assert_eq!(paused, ENGINES, "none of them serves anybody");
    let drain = RolloutSettings::default().min_drain_time.as_millis() as u64;
    let orders = rollout.orders(at(unused + drain));
    assert_eq!(orders.len(), RolloutSettings::default().min_concurrent_loads);
}

#[test]
fn engine_that_is_heard_again_rests_no_longer() {
    let mut rollout = Rollout::new(RolloutSettings::default());
    rollout.set_desired_weights(named(2));
    let heard_at = |millis| [EngineView { announced_at: at(millis), ..engine(0, 1) }, engine(1, 2)];
    rollout.set_engines(&heard_at(0));
    let mut now = 0;
    let mut refuse = |rollout: &mut Rollout| loop {
        now += PERIOD;
        if let [order] = &rollout.orders(at(now))[..] {
            rollout.record_outcome(at(now), order, OrderOutcome::Refused);
            return now;
        }
    };
    let last = (0..4).map(|_| refuse(&mut rollout)).last().unwrap();
    rollout.set_engines(&heard_at(last + 1_500));
    let again = refuse(&mut rollout);
    assert!(again <= last + 2_000, "ordered {} ms after it was heard", again - last - 1_500);
}

#[test]
fn engines_drain_before_the_first_order_may_be_given() {
    let mut rollout = rollout(2);
    rollout.drain(at(0));
    rollout.drain(at(200));
    let drain = RolloutSettings::default().min_drain_time.as_millis() as u64;
    assert_eq!(rollout.orders(at(drain)).len(), RolloutSettings::default().min_concurrent_loads);
}
