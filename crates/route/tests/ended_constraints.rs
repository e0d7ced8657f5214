//! What endpoints had stated when their leases ended.

use std::time::Duration;

use base::{EndpointId, Incarnation, MonotonicTime};
use route::{
    EndedConstraints, LimitResponse, MAX_ENDED_CONSTRAINTS, StatedConstraints, StatedLimit,
    StatedWait,
};

const FIRST: Incarnation = Incarnation::new(1);
const NEXT: Incarnation = Incarnation::new(2);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn endpoint(name: &str) -> EndpointId {
    name.parse().unwrap()
}

fn limited() -> StatedConstraints {
    let mut limit = StatedLimit::default();
    let response =
        LimitResponse { limit: Some("0.2".parse().unwrap()), sent: at(0), received: at(0) };
    limit.record(&response, 1, 0.5);
    StatedConstraints { limit, wait: StatedWait::default() }
}

fn waiting(seconds: u64) -> StatedConstraints {
    let mut wait = StatedWait::default();
    wait.record(at(0), Duration::from_secs(seconds), 0.0);
    StatedConstraints { limit: StatedLimit::default(), wait }
}

macro_rules! kept_for_a_return {
    ($($name:ident: $constraints:expr, $ended:literal, $returned:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut ended = EndedConstraints::default();
            ended.keep(at($ended), &endpoint("desk-1"), FIRST, $constraints);
            assert_eq!(ended.take(&endpoint("desk-1"), $returned), $expected);
            assert!(ended.is_empty());
        }
    )*};
}

kept_for_a_return! {
    limit_holds_for_the_same_incarnation: limited(), 6_000, FIRST => limited();
    limit_ends_with_its_incarnation: limited(), 6_000, NEXT => StatedConstraints::default();
    wait_holds_for_the_same_incarnation: waiting(60), 6_000, FIRST => waiting(60);
    wait_that_is_over_is_not_kept: waiting(5), 6_000, FIRST => StatedConstraints::default();
    nothing_stated_is_not_kept: StatedConstraints::default(), 0, FIRST => StatedConstraints::default();
}

#[test]
fn those_that_ended_first_are_dropped_first() {
    let mut ended = EndedConstraints::default();
    for n in 0..=MAX_ENDED_CONSTRAINTS as u64 {
        ended.keep(at(n), &endpoint(&format!("desk-{n}")), FIRST, limited());
    }
    assert_eq!(ended.len(), MAX_ENDED_CONSTRAINTS);
    assert_eq!(ended.take(&endpoint("desk-0"), FIRST), StatedConstraints::default());
    assert_eq!(ended.take(&endpoint("desk-1"), FIRST), limited());
}
