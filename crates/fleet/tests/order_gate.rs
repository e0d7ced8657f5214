//! When a host may give orders to endpoints.

use std::time::Duration;

use base::{MonotonicTime, Term};
use fleet::{Leadership, OrderGate, OrderPermission};

const WAIT: Duration = Duration::from_millis(3_500);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn lead(term: u64, has_lease: bool) -> Option<Leadership> {
    Some(Leadership { term: Term::new(term), has_lease })
}

fn leading_since_zero() -> OrderGate {
    let mut tenure = OrderGate::new(WAIT);
    assert_eq!(tenure.update(at(0), lead(2, true)), OrderPermission::After(WAIT));
    tenure
}

#[test]
fn new_leader_waits_for_orders_of_the_earlier_one() {
    let mut tenure = leading_since_zero();
    assert_eq!(
        tenure.update(at(3_400), lead(2, true)),
        OrderPermission::After(Duration::from_millis(100))
    );
    assert_eq!(tenure.update(at(3_500), lead(2, true)), OrderPermission::Granted);
}

#[test]
fn host_without_a_lease_gives_no_orders() {
    let mut tenure = leading_since_zero();
    assert_eq!(tenure.update(at(5_000), lead(2, false)), OrderPermission::Denied);
    assert_eq!(tenure.update(at(5_000), None), OrderPermission::Denied);
}

#[test]
fn wait_begins_with_the_first_lease_of_a_term() {
    let mut tenure = OrderGate::new(WAIT);
    tenure.update(at(0), lead(2, false));
    assert_eq!(tenure.update(at(1_000), lead(2, true)), OrderPermission::After(WAIT));
}

#[test]
fn lease_that_lapsed_within_a_term_starts_no_new_wait() {
    let mut tenure = leading_since_zero();
    tenure.update(at(3_600), lead(2, false));
    assert_eq!(tenure.term(), Some(Term::new(2)));
    assert_eq!(tenure.update(at(3_700), lead(2, true)), OrderPermission::Granted);
}

#[test]
fn lead_that_another_host_may_have_held_starts_a_new_wait() {
    let mut tenure = leading_since_zero();
    tenure.update(at(3_600), None);
    assert_eq!(tenure.update(at(3_700), lead(2, true)), OrderPermission::After(WAIT));
    let mut tenure = leading_since_zero();
    assert_eq!(tenure.update(at(9_000), lead(3, true)), OrderPermission::After(WAIT));
}
