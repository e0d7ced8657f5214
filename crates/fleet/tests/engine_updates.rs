//! What routers receive of the leader's updates on engines.

use base::Incarnation;
use fleet::{EngineUpdate, EngineUpdateLog, ReceivedEngineUpdates};

fn update(engine: u32, version: u32, paused: bool) -> EngineUpdate {
    EngineUpdate {
        endpoint: format!("engine-{engine}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        version,
        paused,
    }
}

/// Returns a log whose first change pauses an engine, and whose second one ends the load of
/// another.
fn log() -> EngineUpdateLog {
    let mut log = EngineUpdateLog::default();
    assert!(log.set(1, vec![update(1, 1, true), update(2, 1, true)]));
    assert!(log.set(2, vec![update(1, 1, true), update(2, 2, false)]));
    log
}

macro_rules! since {
    ($($name:ident: $seen:expr => $expected:expr,)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(log().since($seen), $expected);
        }
    )*};
}

since! {
    router_of_another_leader_gets_all: None => [update(1, 1, true), update(2, 2, false)],
    router_that_is_behind_gets_the_loaded_version:
        Some(1) => [update(1, 1, true), update(2, 2, false)],
    current_router_gets_paused_engines_only: Some(2) => [update(1, 1, true)],
}

#[test]
fn equal_updates_are_no_change() {
    let mut log = log();
    assert!(!log.set(3, vec![update(1, 1, true), update(2, 2, false)]));
    assert_eq!(log.since(Some(2)), [update(1, 1, true)]);
}

#[test]
fn engine_that_is_not_named_again_is_unpaused_and_keeps_its_version() {
    let mut received = ReceivedEngineUpdates::default();
    received.apply(&[update(1, 2, false), update(2, 1, true)]);
    received.apply(&[update(1, 2, true)]);
    received.apply(&[]);
    let find = |engine| received.find(&update(engine, 0, false).endpoint, Incarnation::new(1));
    assert_eq!(find(1), Some(&update(1, 2, false)));
    assert_eq!(find(2), Some(&update(2, 1, false)));
}

#[test]
fn update_on_another_incarnation_does_not_hold() {
    let mut received = ReceivedEngineUpdates::default();
    received.apply(&[update(1, 7, true)]);
    let endpoint = update(1, 0, false).endpoint;
    assert_eq!(received.find(&endpoint, Incarnation::new(2)), None);
    received.apply(&[EngineUpdate { incarnation: Incarnation::new(2), ..update(1, 3, false) }]);
    assert_eq!(received.find(&endpoint, Incarnation::new(2)).map(|known| known.version), Some(3));
}
