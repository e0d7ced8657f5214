//! Leaving incarnations reported by several routers.

use std::time::Duration;

use base::{EndpointId, Incarnation, MonotonicTime};
use member::{IncarnationKey, LeavingSet};

fn endpoint() -> EndpointId {
    "desk-1".parse().unwrap()
}

fn key(incarnation: u64) -> IncarnationKey {
    IncarnationKey::new(&endpoint(), Incarnation::new(incarnation))
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn only_an_unreported_incarnation_is_new() {
    let mut leaving_set = LeavingSet::new(Duration::from_secs(10));
    assert!(leaving_set.record_leaving(at(0), &[key(1)]));
    assert!(!leaving_set.record_leaving(at(10), &[key(1)]));
    assert!(leaving_set.record_leaving(at(20), &[key(1), key(2)]));
    assert_eq!(leaving_set.leaving(at(20)).len(), 2);
}

#[test]
fn next_incarnation_of_an_endpoint_is_not_leaving() {
    let mut leaving_set = LeavingSet::new(Duration::from_secs(10));
    leaving_set.record_leaving(at(0), &[key(1)]);
    assert!(!leaving_set.leaving(at(0)).contains(&key(2)));
}

#[test]
fn incarnations_expire_after_the_last_report() {
    let mut leaving_set = LeavingSet::new(Duration::from_secs(10));
    leaving_set.record_leaving(at(0), &[key(1)]);
    leaving_set.record_leaving(at(8_000), &[key(1)]);
    assert_eq!(leaving_set.leaving(at(17_000)), [key(1)]);
    assert_eq!(leaving_set.leaving(at(18_000)), []);
}

#[test]
fn empty_report_removes_only_expired_incarnations() {
    let mut leaving_set = LeavingSet::new(Duration::from_secs(10));
    leaving_set.record_leaving(at(0), &[key(1)]);
    leaving_set.record_leaving(at(9_000), &[]);
    assert!(leaving_set.contains(&endpoint(), Incarnation::new(1)));
    assert!(!leaving_set.contains(&endpoint(), Incarnation::new(2)));
    leaving_set.record_leaving(at(10_000), &[]);
    assert!(!leaving_set.contains(&endpoint(), Incarnation::new(1)));
}
