//! When a host may send orders to endpoints.

use std::time::Duration;

use base::{MonotonicTime, Term};
use fleet::{Leadership, OrderGate, OrderPermission};

const WAIT: Duration = Duration::from_millis(3_500);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn leadership(term: u64, has_lease: bool) -> Option<Leadership> {
    Some(Leadership { term: Term::new(term), has_lease })
}

fn gate_with_lease_since_zero() -> OrderGate {
    let mut gate = OrderGate::new(WAIT);
    assert_eq!(gate.update(at(0), leadership(2, true)), OrderPermission::After(WAIT));
    gate
}

#[test]
fn new_leader_waits_out_orders_of_the_earlier_one() {
    let mut gate = gate_with_lease_since_zero();
    assert_eq!(
        gate.update(at(3_400), leadership(2, true)),
        OrderPermission::After(Duration::from_millis(100))
    );
    assert_eq!(gate.update(at(3_500), leadership(2, true)), OrderPermission::Granted);
}

#[test]
fn order_without_a_lease_is_denied() {
    let mut gate = gate_with_lease_since_zero();
    assert_eq!(gate.update(at(5_000), leadership(2, false)), OrderPermission::Denied);
    assert_eq!(gate.update(at(5_000), None), OrderPermission::Denied);
}

#[test]
fn wait_starts_with_the_first_lease_of_a_term() {
    let mut gate = OrderGate::new(WAIT);
    gate.update(at(0), leadership(2, false));
    assert_eq!(gate.update(at(1_000), leadership(2, true)), OrderPermission::After(WAIT));
}

#[test]
fn renewed_lease_in_the_same_term_starts_no_new_wait() {
    let mut gate = gate_with_lease_since_zero();
    gate.update(at(3_600), leadership(2, false));
    assert_eq!(gate.term(), Some(Term::new(2)));
    assert_eq!(gate.update(at(3_700), leadership(2, true)), OrderPermission::Granted);
}

#[test]
fn lost_leadership_or_new_term_starts_a_new_wait() {
    let mut gate = gate_with_lease_since_zero();
    gate.update(at(3_600), None);
    assert_eq!(gate.update(at(3_700), leadership(2, true)), OrderPermission::After(WAIT));
    let mut gate = gate_with_lease_since_zero();
    assert_eq!(gate.update(at(9_000), leadership(3, true)), OrderPermission::After(WAIT));
}
