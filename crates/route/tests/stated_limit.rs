//! Limits that endpoints state for all routers together.

use std::time::Duration;

use base::{MonotonicTime, RequestRate};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{LimitChange, LimitResponse, StatedLimit};

const START: MonotonicTime = MonotonicTime::from_millis(10_000);

const STEP: Duration = Duration::from_millis(10);

/// Steps in the 4 s for which arrivals are counted.
const WINDOW_STEPS: usize = 400;

const STEPS: usize = 30_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

fn response(limit: Option<f64>, sent: MonotonicTime, received: MonotonicTime) -> LimitResponse {
    LimitResponse { limit: limit.map(rate), sent, received }
}

fn limited(per_second: f64, routers: u32, phase: f64) -> StatedLimit {
    let mut limit = StatedLimit::default();
    limit.record(&response(Some(per_second), START, START), routers, phase);
    limit
}

/// How much the routers of a fleet send.
#[derive(Clone, Copy, PartialEq)]
enum Demand {
    /// Each has a request at any time.
    Always,
    /// All have requests for a second in each ten.
    Bursts,
}

/// Returns how many requests the endpoint gets in each step.
fn arrivals(per_second: f64, routers: u32, demand: Demand, seed: u64) -> Vec<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet: Vec<_> =
        (0..routers).map(|_| limited(per_second, routers, rng.random_range(0.0..1.0))).collect();
    let steps = (0..STEPS).map(|step| {
        if demand == Demand::Bursts && step % 1_000 < 900 {
            return 0;
        }
        let now = START + STEP * step as u32;
        fleet.iter_mut().filter_map(|limit| limit.try_take(now, routers).then_some(())).count()
    });
    steps.collect()
}

/// Guards against a rate that is shown after the endpoint has lifted it.
#[test]
fn rate_is_the_latest_that_was_stated() {
    let mut limit = StatedLimit::default();
    assert_eq!(limit.rate(), None);
    for stated in [Some(2.0), Some(0.5), None] {
        limit.record(&response(stated, START, START), 3, 0.0);
        assert_eq!(limit.rate(), stated.map(rate));
    }
}

fn check_fleet(per_second: f64, routers: u32, demand: Demand) {
    let allowed = 1.5 * per_second * 4.0 + 5.0;
    for seed in 0..5 {
        let arrivals = arrivals(per_second, routers, demand, seed);
        let most = arrivals.windows(WINDOW_STEPS).map(|window| window.iter().sum::<usize>()).max();
        let most = most.unwrap_or(0) as f64;
        assert!(most <= allowed, "{most} requests in 4 s of {allowed} allowed, seed {seed}");
        if demand == Demand::Always && 1.0 <= per_second {
            let total = arrivals.iter().sum::<usize>() as f64;
            let stated = per_second * STEP.as_secs_f64() * STEPS as f64;
            assert!(0.7 * stated <= total, "{total} of {stated} requests, seed {seed}");
        }
    }
}

macro_rules! fleet_keeps_to_a_limit {
    ($($name:ident: $per_second:literal, $routers:literal, $demand:ident;)*) => {$(
        #[test]
        fn $name() {
            check_fleet($per_second, $routers, Demand::$demand);
        }
    )*};
}

fleet_keeps_to_a_limit! {
    one_router: 2.2, 1, Always;
    one_router_in_bursts: 2.2, 1, Bursts;
    eight_routers: 2.2, 8, Always;
    eight_routers_in_bursts: 2.2, 8, Bursts;
    eight_routers_at_a_high_limit: 40.0, 8, Always;
    eight_routers_at_a_high_limit_in_bursts: 40.0, 8, Bursts;
    eight_routers_at_a_limit_of_zero: 0.0, 8, Always;
    sixty_five_routers: 2.2, 65, Always;
    sixty_five_routers_in_bursts: 2.2, 65, Bursts;
    two_hundred_routers: 2.2, 200, Always;
    two_hundred_routers_in_bursts: 2.2, 200, Bursts;
    two_hundred_routers_at_a_low_limit: 0.5, 200, Always;
    two_hundred_routers_at_a_high_limit: 40.0, 200, Always;
}

#[test]
fn wait_ends_with_a_permission() {
    let mut limit = limited(2.0, 8, 0.5);
    let wait = limit.wait(START, 8);
    assert!(!limit.try_take(START, 8) && !wait.is_zero());
    assert!(limit.try_take(START + wait, 8));
    assert!(!limit.wait(START + wait, 8).is_zero());
}

#[test]
fn endpoint_without_a_limit_gets_all_requests() {
    let mut limit = StatedLimit::default();
    assert!((0..1_000).all(|_| limit.try_take(START, 8)));
    assert!(limit.wait(START, 8).is_zero());
}

#[test]
fn limit_is_lifted_by_a_later_response_only() {
    let mut limit = limited(2.0, 8, 0.5);
    let later = START + Duration::from_secs(1);
    let before = START.saturating_sub(Duration::from_secs(1));
    assert_eq!(limit.record(&response(None, before, later), 8, 0.5), None);
    assert!(limit.is_active());
    let lifted = limit.record(&response(None, START, later), 8, 0.5);
    assert_eq!(lifted, Some(LimitChange::Lifted));
    assert!((0..100).all(|_| limit.try_take(later, 8)));
}

#[test]
fn only_changes_of_a_limit_are_reported() {
    let mut limit = StatedLimit::default();
    let mut record = |stated| limit.record(&response(stated, START, START), 8, 0.5);
    assert_eq!(record(None), None);
    assert_eq!(record(Some(2.0)), Some(LimitChange::Stated(rate(2.0))));
    assert_eq!(record(Some(2.0)), None);
    assert_eq!(record(Some(3.0)), Some(LimitChange::Stated(rate(3.0))));
}

#[test]
fn higher_limit_shortens_the_wait() {
    let mut limit = limited(1.0, 8, 1.0);
    let before = limit.wait(START, 8);
    limit.record(&response(Some(10.0), START, START), 8, 0.5);
    let after = limit.wait(START, 8);
    assert!(after.mul_f64(9.0) < before, "{before:?} and {after:?}");
    assert!(!after.is_zero());
}

#[test]
fn repeated_statements_give_no_permissions() {
    let mut limit = limited(2.0, 8, 1.0);
    let taken = (0..100).filter(|i| {
        let now = START + STEP * *i;
        limit.record(&response(Some(2.0), now, now), 8, 0.0);
        limit.try_take(now, 8)
    });
    assert_eq!(taken.count(), 0);
}

#[test]
fn share_grows_as_routers_leave() {
    let mut limit = limited(2.0, 100, 0.0);
    let taken = |limit: &mut StatedLimit, routers| {
        (0..1_000).filter(|i| limit.try_take(START + STEP * *i, routers)).count()
    };
    assert_eq!(taken(&mut limit.clone(), 100), 1);
    assert!(10 < taken(&mut limit, 1));
}

#[test]
fn extreme_limits_do_not_panic() {
    for per_second in [0.0, 1e-300, 1e300] {
        let mut limit = limited(per_second, u32::MAX, 1.0);
        limit.wait(START, u32::MAX);
        limit.try_take(MonotonicTime::new(Duration::MAX), 1);
    }
}
