//! No life that left or was replaced becomes ready again, and no lease grows by relaying.

mod net;

use std::{sync::Arc, time::Duration};

use base::MonotonicTime;
use member::{EndpointChange, Endpoints, MAX_TOMBSTONES, TOMBSTONE_TIME};
use net::{Net, service};
use proptest::{
    prelude::{ProptestConfig, Strategy, any, prop},
    prop_assert, proptest,
    test_runner::RngSeed,
};

/// News of one endpoint: life, position, whether it leaves, delay and step of time in ms.
#[derive(Clone, Debug)]
struct News {
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    age: u64,
    step: u64,
    twice: bool,
}

fn news() -> impl Strategy<Value = News> {
    let parts =
        (1..4u64, 1..8u64, prop::bool::weighted(0.2), 0..5_000u64, 0..1_500u64, any::<bool>());
    parts.prop_map(|(incarnation, sequence, leaving, age, step, twice)| News {
        incarnation,
        sequence,
        leaving,
        age,
        step,
        twice,
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn ended_life_never_becomes_ready_again(all in prop::collection::vec(news(), 1..40)) {
        let mut endpoints = Endpoints::default();
        let mut now = MonotonicTime::from_millis(10_000);
        let mut left = Vec::new();
        let mut newest = 0;
        for news in all {
            now += Duration::from_millis(news.step);
            let mut announcement = service(1, news.incarnation, news.sequence);
            announcement.leaving = news.leaving;
            let age = Duration::from_millis(news.age);
            for _ in 0..=u8::from(news.twice) {
                let applied = endpoints.announce(now, announcement.clone(), age);
                let Ok(change) = applied else { continue };
                prop_assert!(newest <= news.incarnation);
                newest = news.incarnation;
                if news.leaving {
                    left.push(news.incarnation);
                } else {
                    prop_assert!(!left.contains(&news.incarnation), "{change:?}");
                }
            }
            endpoints.tick(now);
            for ready in endpoints.ready() {
                prop_assert!(!left.contains(&ready.incarnation.as_u64()));
                prop_assert!(newest == ready.incarnation.as_u64());
            }
        }
    }

    #[test]
    fn relayed_lease_never_outlives_the_first(delays in prop::collection::vec(0..1_000u64, 1..6)) {
        let announcement = Arc::new(service(1, 1, 1));
        let written = MonotonicTime::from_millis(5_000);
        let mut now = written;
        let mut age = Duration::ZERO;
        for delay in delays {
            let transit = Duration::from_millis(delay);
            now += transit;
            age += transit;
            let mut endpoints = Endpoints::default();
            let router = "relay".parse().unwrap();
            if endpoints.relayed(now, announcement.clone(), age, router).is_err() {
                prop_assert!(announcement.lease <= age);
                break;
            }
            let known = endpoints.iter().next().unwrap();
            prop_assert!(known.expires() <= written + announcement.lease);
            age = known.age(now);
        }
    }
}

#[test]
fn leaving_wins_over_a_later_sequence_of_the_same_life() {
    let mut endpoints = Endpoints::default();
    let now = MonotonicTime::from_millis(1_000);
    endpoints.announce(now, service(1, 1, 9), Duration::ZERO).unwrap();
    let mut leaving = service(1, 1, 5);
    leaving.leaving = true;
    let endpoint = leaving.endpoint.clone();
    let change = endpoints.announce(now, leaving, Duration::ZERO);
    assert_eq!(change, Ok(EndpointChange::Leaving(endpoint)));
    assert!(endpoints.announce(now, service(1, 1, 10), Duration::ZERO).is_err());
    assert_eq!(endpoints.ready().count(), 0);
}

#[test]
fn new_life_replaces_the_old_at_once_and_after_leaving() {
    let mut endpoints = Endpoints::default();
    let now = MonotonicTime::from_millis(1_000);
    for incarnation in 1..4 {
        let announcement = service(1, incarnation, 1);
        let endpoint = announcement.endpoint.clone();
        let mut leaving = announcement.clone();
        let change = endpoints.announce(now, announcement, Duration::ZERO);
        assert_eq!(change, Ok(EndpointChange::Joined(endpoint)));
        leaving.leaving = true;
        leaving.sequence = leaving.sequence.next();
        endpoints.announce(now, leaving, Duration::ZERO).unwrap();
    }
}

#[test]
fn expired_life_comes_back_only_with_a_higher_sequence() {
    let mut endpoints = Endpoints::default();
    let start = MonotonicTime::from_millis(1_000);
    endpoints.announce(start, service(1, 1, 4), Duration::ZERO).unwrap();
    let later = start + Duration::from_secs(10);
    assert_eq!(endpoints.tick(later).len(), 1);
    assert!(endpoints.announce(later, service(1, 1, 4), Duration::ZERO).is_err());
    let change = endpoints.announce(later, service(1, 1, 5), Duration::ZERO);
    assert!(matches!(change, Ok(EndpointChange::Renewed(_))));
}

#[test]
fn ended_lives_are_bounded_in_number_and_time() {
    let mut endpoints = Endpoints::default();
    let mut now = MonotonicTime::from_millis(1_000);
    for id in 0..MAX_TOMBSTONES + 500 {
        endpoints.announce(now, service(id, 1, 1), Duration::ZERO).unwrap();
        if id % 64 == 0 {
            now += Duration::from_secs(1);
            endpoints.tick(now);
        }
    }
    now += Duration::from_secs(10);
    endpoints.tick(now);
    now += Duration::from_secs(10);
    endpoints.tick(now);
    assert!(endpoints.iter().count() <= MAX_TOMBSTONES);
    endpoints.tick(now + TOMBSTONE_TIME + Duration::from_secs(1));
    assert_eq!(endpoints.iter().count(), 0);
}

fn millis(net: &Net) -> u64 {
    net.now.since_origin().as_millis() as u64
}

/// Announces ten services each second to random routers.
fn renew(net: &mut Net) {
    if millis(net).is_multiple_of(1_000) {
        net.announce(0..10, 1, millis(net));
    }
}

/// Announces all but the tenth.
fn renew_nine(net: &mut Net) {
    if millis(net).is_multiple_of(1_000) {
        net.announce(0..9, 1, millis(net));
    }
}

macro_rules! leaving_spreads {
    ($($name:ident: $size:literal,)*) => {$(
        #[test]
        fn $name() {
            let mut net = Net::settle($size, 11);
            net.run(10_000, renew);
            (0..$size).for_each(|index| assert_eq!(net.ready_at(index), 10));
            net.group[2] = 1;
            net.run(2_000, renew);
            let mut leaving = service(9, 1, millis(&net));
            leaving.leaving = true;
            net.routers[5].announce(net.now, leaving.clone()).unwrap();
            net.run(3_000, renew_nine);
            let has_left = |net: &Net, index: usize| {
                net.routers[index].ready().all(|ready| ready.endpoint != leaving.endpoint)
            };
            (0..$size).for_each(|index| assert!(has_left(&net, index), "router {index}"));
            net.group[2] = 0;
            net.run(20_000, |net| {
                renew_nine(net);
                assert!(net.routers.iter().all(|router| {
                    router.ready().all(|ready| ready.endpoint != leaving.endpoint)
                }));
            });
            (0..$size).for_each(|index| assert_eq!(net.ready_at(index), 9, "router {index}"));
        }
    )*};
}

leaving_spreads! {
    leaving_is_known_to_eight_within_three_seconds: 8,
    leaving_is_known_to_thirty_two_within_three_seconds: 32,
}

#[test]
fn leases_hold_under_loss_and_end_when_the_endpoints_die() {
    let mut net = Net::settle(8, 12);
    net.loss = 0.1;
    net.run(10_000, renew);
    let mut ended = 0;
    net.run(30_000, |net| {
        renew(net);
        let changes = net.routers.iter_mut().flat_map(|router| router.take_changes());
        ended += changes.filter(|change| matches!(change, EndpointChange::Expired(_))).count();
    });
    assert!(ended <= 3, "{ended} leases ended");
    net.run(5_000, |_| ());
    (0..8).for_each(|index| assert_eq!(net.ready_at(index), 0));
}
