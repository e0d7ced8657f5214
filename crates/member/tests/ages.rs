//! How old the announcements of running endpoints become at routers.

mod net;

use member::Budget;
use net::Net;

/// Time between an endpoint's announcements, in milliseconds.
const HEARTBEAT: u64 = 1_200;

const WARM_UP: u64 = 30_000;
const MEASURED: u64 = 20_000;

/// Part of the announcements that may be taken for those of an endpoint that is gone.
const TAKEN_FOR_SILENT: f64 = 0.001;

/// Returns the part of the announcements of running endpoints that look stale.
fn stale_part(routers: usize, endpoints: usize) -> f64 {
    let mut net = Net::new(routers, 5);
    let announce = |net: &mut Net| net.announce_each(HEARTBEAT, 0..endpoints);
    net.run(WARM_UP, announce);
    let (mut stale, mut all) = (0_u64, 0_u64);
    net.run(MEASURED, |net| {
        announce(net);
        for router in &net.routers {
            let roster = router.roster(net.now);
            assert!(roster.stale_after < Budget::default().lease_floor(routers, endpoints));
            let age = |written| net.now.saturating_since(written);
            let known = roster.endpoints.iter();
            stale += known.filter(|known| roster.stale_after <= age(known.written)).count() as u64;
            all += roster.endpoints.len() as u64;
        }
    });
    stale as f64 / all as f64
}

macro_rules! running_endpoints_are_not_taken_for_silent_ones {
    ($($name:ident: ($routers:literal, $endpoints:literal),)*) => {$(
        #[test]
        fn $name() {
            let stale = stale_part($routers, $endpoints);
            assert!(stale < TAKEN_FOR_SILENT, "{stale} of the announcements look stale");
        }
    )*};
}

running_endpoints_are_not_taken_for_silent_ones! {
    thirteen_routers_before_twenty_endpoints: (13, 21),
    seventy_routers_before_sixty_endpoints: (70, 63),
    sixty_six_routers_before_ninety_endpoints: (66, 94),
    three_hundred_routers_before_three_hundred_endpoints: (305, 303),
}
