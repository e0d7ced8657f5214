//! Lives that are known to leave from several routers' words.

use std::time::Duration;

use base::{EndpointId, Incarnation, MonotonicTime};
use member::{IncarnationKey, LeavingSet};

fn endpoint() -> EndpointId {
    "desk-1".parse().unwrap()
}

fn life(incarnation: u64) -> IncarnationKey {
    IncarnationKey::new(&endpoint(), Incarnation::new(incarnation))
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn only_a_life_not_heard_of_is_news() {
    let mut leavers = LeavingSet::new(Duration::from_secs(10));
    assert!(leavers.record_leaving(at(0), &[life(1)]));
    assert!(!leavers.record_leaving(at(10), &[life(1)]));
    assert!(leavers.record_leaving(at(20), &[life(1), life(2)]));
    assert_eq!(leavers.leaving(at(20)).len(), 2);
}

#[test]
fn next_life_of_an_endpoint_does_not_leave() {
    let mut leavers = LeavingSet::new(Duration::from_secs(10));
    leavers.record_leaving(at(0), &[life(1)]);
    assert!(!leavers.leaving(at(0)).contains(&life(2)));
}

#[test]
fn lives_are_forgotten_after_the_last_word() {
    let mut leavers = LeavingSet::new(Duration::from_secs(10));
    leavers.record_leaving(at(0), &[life(1)]);
    leavers.record_leaving(at(8_000), &[life(1)]);
    assert_eq!(leavers.leaving(at(17_000)), [life(1)]);
    assert_eq!(leavers.leaving(at(18_000)), []);
}

#[test]
fn word_of_nothing_forgets_nothing() {
    let mut leavers = LeavingSet::new(Duration::from_secs(10));
    leavers.record_leaving(at(0), &[life(1)]);
    leavers.record_leaving(at(9_000), &[]);
    assert!(leavers.contains(&endpoint(), Incarnation::new(1)));
    assert!(!leavers.contains(&endpoint(), Incarnation::new(2)));
    leavers.record_leaving(at(10_000), &[]);
    assert!(!leavers.contains(&endpoint(), Incarnation::new(1)));
}
