//! Loads of 90 routers and 16 organisations, with the bound of every window of 8 s.

mod site;

use std::{ops::Range, time::Duration};

use quota::{Bounds, OrganisationKey, Quota};
use site::{Load, Site, tokens};
use yare::parameterized;

const ROUTERS: usize = 90;

/// A limit of 1.8 times the usual load of a large organisation.
const LARGE_LIMIT: f64 = 662_400.0;

const LARGE_PER_SECOND: f64 = 40.0;
const LARGE_COST: u32 = 9_200;

fn large() -> OrganisationKey {
    OrganisationKey::of("large")
}

fn small() -> OrganisationKey {
    OrganisationKey::of("small")
}

fn load(organisation: OrganisationKey, times: f64, during: Range<u64>) -> Load {
    let per_second = LARGE_PER_SECOND * times;
    Load { organisation, per_second, cost: LARGE_COST, during }
}

fn limited_site() -> (Site, Quota) {
    let quota = tokens(LARGE_LIMIT);
    (Site::new(ROUTERS, &[(large(), quota)]), quota)
}

/// Guards against refusals of organisations that keep to their limits, as equal shares give.
#[test]
fn even_load_below_the_limit_is_served() {
    let organisations: Vec<_> =
        (0..16).map(|n| OrganisationKey::of(&format!("organisation-{n}"))).collect();
    let quotas: Vec<_> = organisations
        .iter()
        .enumerate()
        .map(|(n, key)| (*key, tokens(if n < 3 { LARGE_LIMIT } else { LARGE_LIMIT / 20.0 })))
        .collect();
    let loads: Vec<_> = organisations
        .iter()
        .enumerate()
        .map(|(n, key)| match n {
            0..3 => load(*key, 1.0, 0..40_000),
            _ => Load { per_second: 23.0, cost: 800, ..load(*key, 1.0, 0..40_000) },
        })
        .collect();
    let mut site = Site::new(ROUTERS, &quotas);
    site.run(&loads, 40_000);
    for (key, quota) in &quotas {
        let refused = site.refused_share(*key, |outcome| 5_000 < outcome.at);
        assert!(refused < 0.001, "{refused} refused");
        site.assert_bounded(*key, quota, 0);
    }
}

macro_rules! bursts_stay_within_the_bound {
    ($($name:ident: $times:literal, $limit:expr;)*) => {$(
        /// Guards against reports that reach the leader too late to bound a burst of 6 s.
        #[test]
        fn $name() {
            let quota = tokens($limit);
            let mut site = Site::new(ROUTERS, &[(large(), quota), (small(), quota)]);
            let loads = [
                load(large(), 1.0, 0..60_000),
                load(large(), $times - 1.0, 20_000..26_000),
                load(small(), 1.0, 0..60_000),
            ];
            site.run(&loads, 60_000);
            site.assert_bounded(large(), &quota, 0);
            assert!(0.4 < site.refused_share(large(), |o| (21_000..26_000).contains(&o.at)));
            let used = site.admitted(large(), 20_000..28_000);
            assert!($limit * 6.0 < used, "{used} admitted in the burst");
            let after = site.refused_share(large(), |o| 30_000 < o.at);
            assert!(after < 0.001, "{after} refused after the burst");
            let other = site.refused_share(small(), |o| 5_000 < o.at);
            assert!(other < 0.001, "{other} of another organisation refused");
        }
    )*};
}

bursts_stay_within_the_bound! {
    burst_of_6_4_times_the_usual_load_is_bounded: 6.4, LARGE_LIMIT;
    burst_of_7_5_times_the_usual_load_is_bounded: 7.5, LARGE_LIMIT;
}

/// Guards against a leader that hands out again what its predecessor had granted.
#[test]
fn change_of_leader_stays_within_the_bound() {
    // At the usual load equal shares lose requests of routers that get more than their part.
    for (lost_at, least) in [(20_200, 0.4), (21_000, 0.4), (23_000, 0.4), (26_500, 0.25)] {
        let (mut site, quota) = limited_site();
        let loads = [load(large(), 1.0, 0..50_000), load(large(), 5.4, 20_000..26_000)];
        site.run(&loads, lost_at);
        site.ledger = None;
        site.run(&loads, lost_at + 2_000);
        site.elect();
        site.run(&loads, 50_000);
        site.assert_bounded(large(), &quota, 0);
        let served = site.admitted(large(), lost_at..lost_at + 2_000);
        assert!(least * LARGE_LIMIT < served, "{served} without a leader");
        let after = site.refused_share(large(), |o| lost_at + 10_000 < o.at);
        assert!(after < 0.001, "{after} refused under the next leader");
    }
}

/// Guards against local shares that come on top of what the leader grants.
#[test]
fn partitioned_routers_stay_within_the_bound() {
    for cut in [1, 30, 60] {
        let (mut site, quota) = limited_site();
        let loads = [load(large(), 1.0, 0..60_000), load(large(), 5.4, 20_000..40_000)];
        site.run(&loads, 22_000);
        site.routers[..cut].iter_mut().for_each(|router| router.is_cut = true);
        site.run(&loads, 35_000);
        site.routers[..cut].iter_mut().for_each(|router| router.is_cut = false);
        site.run(&loads, 60_000);
        site.assert_bounded(large(), &quota, 0);
        let used = site.admitted(large(), 24_000..34_000);
        assert!(7.0 * LARGE_LIMIT < used, "{used} admitted with {cut} routers cut off");
    }
}

/// Bounds that allow for little in addition to a quota.
const TIGHT: [(f64, f64); 2] = [(0.02, 72_000.0), (0.0, 140_000.0)];

/// Runs an overload from 20 s to 40 s with a failure from `failed_at` on for 3 s, under each tight
/// bound.
fn run_tightly(failed_at: u64, fail: impl Fn(&mut Site), mend: impl Fn(&mut Site)) {
    for (overage, slack) in TIGHT {
        let quota = tokens(LARGE_LIMIT);
        let bounds = Bounds::new(Duration::from_secs(8), overage, slack).unwrap();
        let mut site = Site::with_bounds(ROUTERS, &[(large(), quota)], bounds);
        let loads = [load(large(), 1.0, 0..60_000), load(large(), 5.4, 20_000..40_000)];
        site.run(&loads, failed_at);
        fail(&mut site);
        site.run(&loads, failed_at + 3_000);
        mend(&mut site);
        site.run(&loads, 60_000);
        site.assert_bounded(large(), &quota, 0);
        let used = site.admitted(large(), failed_at..failed_at + 10_000);
        assert!(4.0 * LARGE_LIMIT < used, "{used} admitted around the failure");
    }
}

/// Guards against debts and local shares that only the default bound covers.
#[parameterized(
    leader_at_the_start_of_the_overload = { 20_050 },
    leader_soon_after = { 20_400 },
    leader_within_the_overload = { 25_000 },
)]
fn lost_leader_stays_within_a_tight_bound(failed_at: u64) {
    run_tightly(failed_at, |site| site.ledger = None, Site::elect);
}

/// Guards against debts and local shares that only the default bound covers.
#[parameterized(
    one_at_the_start = { 20_050, 1 },
    a_third_at_the_start = { 20_050, 30 },
    most_at_the_start = { 20_050, 89 },
    a_third_within_the_overload = { 25_000, 30 },
    most_within_the_overload = { 25_000, 89 },
)]
fn cut_off_routers_stay_within_a_tight_bound(failed_at: u64, count: usize) {
    let set_cut = |site: &mut Site, is_cut| {
        site.routers[..count].iter_mut().for_each(|router| router.is_cut = is_cut);
    };
    run_tightly(failed_at, |site| set_cut(site, true), |site| set_cut(site, false));
}

/// Guards against outdated views and grants that only the default bound covers.
#[parameterized(
    at_the_start = { 20_050 },
    within_the_overload = { 25_000 },
)]
fn frozen_routers_stay_within_a_tight_bound(failed_at: u64) {
    let set_frozen = |site: &mut Site, is_frozen| {
        site.routers[..45].iter_mut().for_each(|router| router.is_frozen = is_frozen);
    };
    run_tightly(failed_at, |site| set_frozen(site, true), |site| set_frozen(site, false));
}

/// Guards against a router that goes on with an outdated view or with outdated grants.
#[test]
fn frozen_routers_stay_within_the_bound() {
    let (mut site, quota) = limited_site();
    let loads = [load(large(), 1.0, 0..40_000), load(large(), 5.4, 20_000..30_000)];
    site.run(&loads, 19_990);
    site.routers[..45].iter_mut().for_each(|router| router.is_frozen = true);
    site.run(&loads, 25_000);
    site.routers[..45].iter_mut().for_each(|router| router.is_frozen = false);
    site.run(&loads, 40_000);
    site.assert_bounded(large(), &quota, 0);
}

/// Guards against routers that each take the whole limit before they know of the others.
#[test]
fn simultaneous_start_stays_within_the_bound() {
    let (mut site, quota) = limited_site();
    site.ledger = None;
    site.routers.iter_mut().for_each(|router| router.knows_routers = false);
    let loads = [load(large(), 6.4, 0..30_000)];
    site.run(&loads, 2_500);
    assert_eq!(site.admitted(large(), 0..2_500), 0.0);
    site.routers.iter_mut().for_each(|router| router.knows_routers = true);
    site.run(&loads, 4_000);
    site.elect();
    site.run(&loads, 30_000);
    site.assert_bounded(large(), &quota, 0);
    let used = site.admitted(large(), 10_000..20_000);
    assert!(9.0 * LARGE_LIMIT < used, "{used} admitted after the start");
}

/// Guards against routers that each admit one large request of a small organisation on local shares.
#[test]
fn small_limit_holds_without_a_leader() {
    let quota = tokens(100_000.0);
    let mut site = Site::new(ROUTERS, &[(large(), quota)]);
    let loads = [load(large(), 1.0, 0..40_000)];
    site.run(&loads, 15_000);
    site.ledger = None;
    site.run(&loads, 40_000);
    site.assert_bounded(large(), &quota, 0);
}

/// Guards against a lowered limit whose former burst may still be used.
#[test]
fn lowered_limit_binds_within_8_s() {
    let (mut site, _) = limited_site();
    let loads = [load(large(), 1.7, 0..40_000)];
    site.run(&loads, 20_000);
    let lowered = tokens(LARGE_LIMIT / 4.0);
    site.set_quotas(&[(large(), lowered)]);
    site.run(&loads, 40_000);
    site.assert_bounded(large(), &lowered, 20_000 + 500);
}

#[test]
fn raised_limit_is_used() {
    let (mut site, _) = limited_site();
    let loads = [load(large(), 5.0, 0..40_000)];
    site.run(&loads, 20_000);
    let raised = tokens(LARGE_LIMIT * 4.0);
    site.set_quotas(&[(large(), raised)]);
    site.run(&loads, 40_000);
    let refused = site.refused_share(large(), |o| 23_000 < o.at);
    assert!(refused < 0.001, "{refused} refused");
}

/// Guards against an organisation that gets its burst again by being removed and added.
#[test]
fn organisation_that_is_added_again_starts_empty() {
    let (mut site, quota) = limited_site();
    site.run(&[], 10_000);
    site.set_quotas(&[]);
    site.run(&[], 11_000);
    site.set_quotas(&[(large(), quota)]);
    let loads = [load(large(), 6.4, 11_000..20_000)];
    site.run(&loads, 13_000);
    let used = site.admitted(large(), 11_000..13_000);
    assert!(used <= 2.0 * LARGE_LIMIT + f64::from(LARGE_COST), "{used} from an empty bucket");
}

/// Guards against small requests that take every unit before a large one finds enough of them.
#[test]
fn neither_large_nor_small_prompts_are_starved() {
    let (mut site, quota) = limited_site();
    let loads = [
        Load { per_second: 120.0, ..load(large(), 1.0, 0..40_000) },
        Load { per_second: 900.0, cost: 830, ..load(large(), 1.0, 0..40_000) },
    ];
    site.run(&loads, 40_000);
    site.assert_bounded(large(), &quota, 0);
    let refused = |cost| site.refused_share(large(), |o| o.cost == cost && 10_000 < o.at);
    let (of_large, of_small) = (refused(LARGE_COST), refused(830));
    assert!((of_large - of_small).abs() < 0.15, "large {of_large}, small {of_small}");
}
