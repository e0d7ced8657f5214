//! Ages of the announcements of running endpoints at routers.

mod net;

use member::Budget;
use net::Net;

/// Time between two announcements of an endpoint.
const ANNOUNCE_INTERVAL_MILLIS: u64 = 1_200;

const WARM_UP_MILLIS: u64 = 30_000;
const MEASURED_MILLIS: u64 = 20_000;

/// Upper bound on the ratio of announcements of running endpoints that look stale.
const MAX_STALE_RATIO: f64 = 0.001;

/// Returns the part of the announcements of running endpoints that look stale.
fn stale_ratio(routers: usize, endpoints: usize) -> f64 {
    let mut net = Net::new(routers, 5);
    let announce = |net: &mut Net| net.announce_every(ANNOUNCE_INTERVAL_MILLIS, 0..endpoints);
    net.run(WARM_UP_MILLIS, announce);
    let (mut stale, mut all) = (0_u64, 0_u64);
    net.run(MEASURED_MILLIS, |net| {
        announce(net);
        for router in &net.routers {
            let roster = router.roster(net.now);
            assert!(roster.stale_after < Budget::default().lease_floor(routers, endpoints));
            let age = |written| net.now.saturating_since(written);
            let records = roster.endpoints.iter();
            stale +=
                records.filter(|record| roster.stale_after <= age(record.written)).count() as u64;
            all += roster.endpoints.len() as u64;
        }
    });
    stale as f64 / all as f64
}

macro_rules! running_endpoints_do_not_look_stale {
    ($($name:ident: ($routers:literal, $endpoints:literal),)*) => {$(
        #[test]
        fn $name() {
            let stale = stale_ratio($routers, $endpoints);
            assert!(stale < MAX_STALE_RATIO, "{stale} of the announcements look stale");
        }
    )*};
}

running_endpoints_do_not_look_stale! {
    thirteen_routers_with_twenty_endpoints: (13, 21),
    seventy_routers_with_sixty_endpoints: (70, 63),
    sixty_six_routers_with_ninety_endpoints: (66, 94),
    three_hundred_routers_with_three_hundred_endpoints: (305, 303),
}
