use crate::net::Net;

/// A new router had few endpoints, so it computed the lease floor of a small fleet and rejected
/// records that the fleet renews rarely.
#[test]
fn new_router_accepts_records_older_than_the_lease_floor_of_a_small_fleet() {
    let mut net = Net::new(8, 32);
    net.stopped[7] = true;
    net.run(3_000, |_| ());
    net.announce(0..1_000, 1, 1);
    net.run(30_000, |_| ());
    let known = net.ready_at(0);
    assert!(950 <= known, "{known} known");
    net.restart(7, 2);
    net.run(4_000, |_| ());
    assert!(known <= net.ready_at(7) + 10, "{} of {known} known", net.ready_at(7));
}
