//! Endpoints that leave according to the replicated log rather than to an announcement.

mod net;

use std::time::Duration;

use base::{EndpointId, Incarnation, MonotonicTime};
use member::{EndpointChange, EndpointState, Endpoints};
use net::{Net, service};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn endpoint() -> EndpointId {
    service(1, 1, 1).endpoint
}

fn state(endpoints: &Endpoints) -> Option<EndpointState> {
    endpoints.find(&endpoint()).map(|record| record.state)
}

#[test]
fn ready_endpoint_leaves() {
    let mut endpoints = Endpoints::default();
    endpoints.announce(at(1_000), service(1, 5, 1), Duration::ZERO).expect("new");
    let change = endpoints.depart(at(1_100), &endpoint(), Incarnation::new(5));
    assert_eq!(change, Some(EndpointChange::Leaving(endpoint())));
    assert_eq!(state(&endpoints), Some(EndpointState::Leaving));
    assert_eq!(endpoints.depart(at(1_200), &endpoint(), Incarnation::new(5)), None);
}

#[test]
fn other_incarnation_stays_ready() {
    let mut endpoints = Endpoints::default();
    endpoints.announce(at(1_000), service(1, 5, 1), Duration::ZERO).expect("new");
    for other in [4, 6] {
        assert_eq!(endpoints.depart(at(1_100), &endpoint(), Incarnation::new(other)), None);
    }
    assert_eq!(state(&endpoints), Some(EndpointState::Ready));
}

#[test]
fn departure_that_is_known_before_the_endpoint_holds() {
    let mut endpoints = Endpoints::default();
    assert_eq!(endpoints.depart(at(1_000), &endpoint(), Incarnation::new(5)), None);
    let change = endpoints.announce(at(1_100), service(1, 5, 1), Duration::ZERO);
    assert_eq!(change, Ok(EndpointChange::Leaving(endpoint())));
    let change = endpoints.announce(at(1_200), service(1, 6, 1), Duration::ZERO);
    assert_eq!(change, Ok(EndpointChange::Joined(endpoint())));
}

#[test]
fn departure_reaches_other_routers() {
    let mut net = Net::new(4, 7);
    net.run(3_000, |_| {});
    let now = net.now;
    net.routers[0].announce(now, service(1, 5, 1)).expect("new");
    net.run(1_000, |_| {});
    let now = net.now;
    net.routers[2].depart(now, &endpoint(), Incarnation::new(5));
    net.run(1_000, |_| {});
    for router in &net.routers {
        assert_eq!(router.ready().count(), 0);
    }
}
