use crate::net::{Net, service};

/// Number of routers that receive the announcements, as the only ones that endpoints know.
const ANNOUNCED_TO: usize = 5;

/// Time between two announcements of an endpoint, in milliseconds.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 1_200;

/// Time from the restart within which every router must know all endpoints, in milliseconds.
const RECOVERY_LIMIT_MS: u64 = 3_000;

/// Restarts all routers at once and announces each endpoint once in an interval, spread evenly.
///
/// Returns the fewest endpoints that a router knows after the limit.
fn fewest_known(routers: usize, endpoints: usize) -> usize {
    let mut net = Net::new(routers, 7);
    let start = net.now;
    net.run(RECOVERY_LIMIT_MS, |net| {
        let elapsed = net.now.saturating_since(start).as_millis() as u64;
        let phase = elapsed % ANNOUNCEMENT_INTERVAL_MS;
        for id in 0..endpoints {
            let due = id as u64 * ANNOUNCEMENT_INTERVAL_MS / endpoints as u64;
            if (phase..phase + 200).contains(&due) {
                let at = (id + elapsed as usize / 200) % ANNOUNCED_TO;
                let _ = net.routers[at].announce(net.now, service(id, 1, elapsed));
            }
        }
    });
    (0..routers).map(|router| net.ready_at(router)).min().unwrap_or_default()
}

macro_rules! sizes {
    ($($name:ident: $routers:expr, $endpoints:expr;)*) => {$(
        /// After a restart of all routers some learned of the few endpoints of a service only after
        /// 30 s, as announcements were relayed within the steady byte budget.
        #[test]
        fn $name() {
            assert_eq!(fewest_known($routers, $endpoints), $endpoints);
        }
    )*};
}

sizes! {
    all_is_known_to_13_routers: 13, 18;
    all_is_known_to_70_routers: 70, 100;
    all_is_known_to_200_routers: 200, 125;
    all_is_known_to_300_routers_before_3000_endpoints: 300, 3_000;
}
