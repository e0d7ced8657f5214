//! Leases of endpoints: incarnations that left or were replaced never become ready again, and
//! relaying never extends a lease.

mod net;

use std::{sync::Arc, time::Duration};

use base::MonotonicTime;
use member::{EndpointChange, Endpoints, MAX_TOMBSTONES, TOMBSTONE_RETENTION};
use net::{Net, service};
use proptest::{
    prelude::{ProptestConfig, Strategy, any, prop},
    prop_assert, proptest,
    test_runner::RngSeed,
};

/// An announcement of one endpoint; `age` on arrival and `step` since the last one in milliseconds.
#[derive(Clone, Debug)]
struct Update {
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    age: u64,
    step: u64,
    duplicate: bool,
}

fn update() -> impl Strategy<Value = Update> {
    let parts =
        (1..4u64, 1..8u64, prop::bool::weighted(0.2), 0..5_000u64, 0..1_500u64, any::<bool>());
    parts.prop_map(|(incarnation, sequence, leaving, age, step, duplicate)| Update {
        incarnation,
        sequence,
        leaving,
        age,
        step,
        duplicate,
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
    fn ended_incarnation_never_becomes_ready(all in prop::collection::vec(update(), 1..40)) {
        let mut endpoints = Endpoints::default();
        let mut now = MonotonicTime::from_millis(10_000);
        let mut left = Vec::new();
        let mut newest = 0;
        for update in all {
            now += Duration::from_millis(update.step);
            let mut announcement = service(1, update.incarnation, update.sequence);
            announcement.leaving = update.leaving;
            let age = Duration::from_millis(update.age);
            for _ in 0..=u8::from(update.duplicate) {
                let applied = endpoints.announce(now, announcement.clone(), age);
                let Ok(change) = applied else { continue };
                prop_assert!(newest <= update.incarnation);
                newest = update.incarnation;
                if update.leaving {
                    left.push(update.incarnation);
                } else {
                    prop_assert!(!left.contains(&update.incarnation), "{change:?}");
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
    fn relaying_never_extends_a_lease(delays in prop::collection::vec(0..1_000u64, 1..6)) {
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
            if endpoints.announce_relayed(now, announcement.clone(), age, router).is_err() {
                prop_assert!(announcement.lease <= age);
                break;
            }
            let record = endpoints.iter().next().unwrap();
            prop_assert!(record.expires() <= written + announcement.lease);
            age = record.age(now);
        }
    }
}

#[test]
fn leaving_overrides_a_later_sequence_of_the_same_incarnation() {
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
fn new_incarnation_replaces_a_ready_or_leaving_one() {
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
fn expired_incarnation_is_renewed_only_by_a_higher_sequence() {
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
fn tombstones_are_bounded_in_number_and_age() {
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
    endpoints.tick(now + TOMBSTONE_RETENTION + Duration::from_secs(1));
    assert_eq!(endpoints.iter().count(), 0);
}

fn millis(net: &Net) -> u64 {
    net.now.since_origin().as_millis() as u64
}

/// Announces ten services every second at random routers.
fn renew(net: &mut Net) {
    if millis(net).is_multiple_of(1_000) {
        net.announce(0..10, 1, millis(net));
    }
}

/// Announces the first nine of the ten services every second at random routers.
fn renew_all_but_tenth(net: &mut Net) {
    if millis(net).is_multiple_of(1_000) {
        net.announce(0..9, 1, millis(net));
    }
}

macro_rules! leaving_is_gossiped {
    ($($name:ident: $size:literal,)*) => {$(
        #[test]
        fn $name() {
            let mut net = Net::settled($size, 11);
            net.run(10_000, renew);
            (0..$size).for_each(|index| assert_eq!(net.ready_at(index), 10));
            net.partition[2] = 1;
            net.run(2_000, renew);
            let mut leaving = service(9, 1, millis(&net));
            leaving.leaving = true;
            net.routers[5].announce(net.now, leaving.clone()).unwrap();
            net.run(3_000, renew_all_but_tenth);
            let has_left = |net: &Net, index: usize| {
                net.routers[index].ready().all(|ready| ready.endpoint != leaving.endpoint)
            };
            (0..$size).for_each(|index| assert!(has_left(&net, index), "router {index}"));
            net.partition[2] = 0;
            net.run(20_000, |net| {
                renew_all_but_tenth(net);
                assert!(net.routers.iter().all(|router| {
                    router.ready().all(|ready| ready.endpoint != leaving.endpoint)
                }));
            });
            (0..$size).for_each(|index| assert_eq!(net.ready_at(index), 9, "router {index}"));
        }
    )*};
}

leaving_is_gossiped! {
    leaving_reaches_eight_routers_within_three_seconds: 8,
    leaving_reaches_thirty_two_routers_within_three_seconds: 32,
}

#[test]
fn leases_survive_message_loss_and_expire_without_announcements() {
    let mut net = Net::settled(8, 12);
    net.loss = 0.1;
    net.run(10_000, renew);
    let mut expired = 0;
    net.run(30_000, |net| {
        renew(net);
        let changes = net.routers.iter_mut().flat_map(|router| router.take_changes());
        expired += changes.filter(|change| matches!(change, EndpointChange::Expired(_))).count();
    });
    assert!(expired <= 3, "{expired} leases expired");
    net.run(5_000, |_| ());
    (0..8).for_each(|index| assert_eq!(net.ready_at(index), 0));
}
