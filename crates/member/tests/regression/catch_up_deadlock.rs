use crate::net::Net;

/// A router that had no peer to catch up from did not serve pulls, so all routers waited for each
/// other.
#[test]
fn first_router_serves_pulls_although_it_never_caught_up() {
    let mut net = Net::new(8, 31);
    net.stopped[1..].fill(true);
    net.run(1_000, |net| net.announce(0..100, 1, net.now.since_origin().as_millis() as u64));
    net.stopped.fill(false);
    (1..8).for_each(|index| net.restart(index, 1));
    net.run(4_000, |_| ());
    (0..8).for_each(|index| assert_eq!(net.ready_at(index), 100, "router {index}"));
}
