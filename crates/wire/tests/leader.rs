//! Sizes of messages between routers and the leader.

use base::Incarnation;
use member::IncarnationKey;
use route::{PublishedSlowness, ResponseTimes, ServiceKey, Slowness};
use std::time::Duration;

// Guards against reports and lists that take more of a router's link than the capacity page states.
#[test]
fn slowness_takes_few_bytes() {
    let key = IncarnationKey::new(&"engine-101".parse().unwrap(), Incarnation::new(u64::MAX));
    let mut times = ResponseTimes::default();
    for _ in 0..10 {
        let service = ServiceKey::of(&"chat".parse().unwrap());
        times.record(key, service, Duration::from_millis(150), Duration::from_millis(900));
    }
    let reported = postcard::to_stdvec(&times.take()[0]).unwrap().len();
    let slowness = Slowness::from_factor(7.5);
    let published = PublishedSlowness { endpoint: key, slowness, weight: 104, median: 300 };
    let listed = postcard::to_stdvec(&published).unwrap().len();
    println!("{reported} bytes reported, {listed} bytes listed");
    assert!(reported <= 20 && listed <= 12, "{reported} bytes reported, {listed} bytes listed");
}
