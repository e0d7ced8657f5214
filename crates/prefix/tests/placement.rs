//! Homes of prefixes and their replication.

use std::time::Duration;

use base::{EndpointId, MonotonicTime};
use prefix::{BlockHash, HotPrefixes, Replication, homes};

const PREFIXES: u64 = 4_000;

fn endpoints(count: usize) -> Vec<EndpointId> {
    (0..count).map(|n| format!("engine-{n}").parse().unwrap()).collect()
}

fn prefix(n: u64) -> BlockHash {
    BlockHash::new(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn home(n: u64, endpoints: &[EndpointId]) -> &EndpointId {
    homes(prefix(n), endpoints, 1)[0]
}

#[test]
fn homes_are_spread_evenly() {
    let all = endpoints(18);
    let count = |e: &EndpointId| (0..PREFIXES).filter(|&n| home(n, &all) == e).count() as u64;
    let mean = PREFIXES / 18;
    assert!(all.iter().map(count).all(|c| mean * 3 / 4 < c && c < mean * 5 / 4));
}

#[test]
fn only_prefixes_of_the_removed_endpoint_move() {
    let all = endpoints(18);
    let rest = &all[..17];
    for n in 0..PREFIXES {
        let before = home(n, &all);
        assert!(before == &all[17] || before == home(n, rest));
    }
}

#[test]
fn additional_homes_keep_the_first_ones() {
    let all = endpoints(18);
    let few = homes(prefix(3), &all, 2);
    assert_eq!(few, homes(prefix(3), &all, 5)[..2]);
    assert_eq!(homes(prefix(3), &all, 99).len(), 18);
}

macro_rules! replication_cases {
    ($($name:ident: $rate:expr => $homes:expr,)*) => {$(
        #[test]
        fn $name() {
            let replication = Replication { rate_per_home: 10.0, max_homes: 4 };
            assert_eq!(replication.homes($rate), $homes);
        }
    )*};
}

replication_cases! {
    zero_rate_has_one_home: 0.0 => 1,
    rate_of_one_home_has_one_home: 10.0 => 1,
    higher_rate_has_more_homes: 20.1 => 3,
    number_of_homes_is_bounded: 1e12 => 4,
    nan_rate_has_one_home: f64::NAN => 1,
}

#[test]
fn hot_prefix_keeps_its_rate_among_many_cold_ones() {
    let mut hot = HotPrefixes::new(256, Duration::from_secs(5));
    for n in 0..20_000 {
        let now = MonotonicTime::from_millis(n * 5);
        hot.record(now, prefix(n + 1));
        if n % 10 == 0 {
            hot.record(now, prefix(0));
        }
    }
    let end = MonotonicTime::from_millis(100_000);
    let rate = hot.rate(end, prefix(0));
    assert!((15.0..25.0).contains(&rate), "{rate}");
    assert!(hot.rate(end + Duration::from_secs(60), prefix(0)) < 0.1);
}
