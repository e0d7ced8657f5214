use std::time::Duration;

use base::MonotonicTime;
use member::{Endpoints, MAX_TOMBSTONES};

use crate::net::service;

/// Tombstones of leases that expired in the same tick were all kept, beyond the bound.
#[test]
fn tombstones_of_the_same_tick_are_bounded() {
    let mut endpoints = Endpoints::default();
    let now = MonotonicTime::from_millis(1_000);
    for id in 0..MAX_TOMBSTONES + 100 {
        endpoints.announce(now, service(id, 1, 1), Duration::ZERO).unwrap();
    }
    endpoints.tick(now + Duration::from_secs(10));
    assert_eq!(endpoints.iter().count(), MAX_TOMBSTONES);
}
