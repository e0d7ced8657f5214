//! Waits that endpoints state for one router.

use std::time::Duration;

use base::MonotonicTime;
use route::StatedWait;

const START: MonotonicTime = MonotonicTime::from_millis(10_000);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn left(stated: &[Duration], draw: f64) -> Duration {
    let mut wait = StatedWait::default();
    stated.iter().for_each(|stated| wait.record(START, *stated, draw));
    wait.left(START)
}

#[test]
fn endpoint_without_a_wait_is_available() {
    assert_eq!(StatedWait::default().left(START), Duration::ZERO);
}

#[test]
fn wait_ends_after_the_stated_time() {
    let mut wait = StatedWait::default();
    wait.record(START, secs(3), 0.0);
    assert_eq!(wait.left(START + secs(2)), secs(1));
    assert_eq!(wait.left(START + secs(3)), Duration::ZERO);
}

#[test]
fn shorter_wait_does_not_end_a_longer_one() {
    assert_eq!(left(&[secs(5), secs(1)], 0.0), secs(5));
    assert_eq!(left(&[secs(1), secs(5)], 0.0), secs(5));
}

#[test]
fn routers_spread_their_return() {
    assert_eq!(left(&[secs(2)], 1.0), Duration::from_millis(2_500));
    assert_eq!(left(&[secs(60)], 1.0), secs(61));
}

#[test]
fn wait_of_years_is_capped() {
    assert_eq!(left(&[Duration::MAX], 1.0), secs(601));
}
