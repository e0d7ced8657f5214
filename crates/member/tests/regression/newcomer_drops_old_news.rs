use crate::net::Net;

/// A newcomer knew few endpoints, took the shortest lease of a small fleet, and refused records
/// that the fleet renews seldom.
#[test]
fn newcomer_takes_records_older_than_the_lease_of_a_small_fleet() {
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
