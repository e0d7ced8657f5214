//! A router refused streams although its engines had headroom, because their number of slots was
//! unknown and they had never reported a queue.

use std::time::Duration;

use base::MonotonicTime;
use route::{CapacityEstimator, CapacitySettings};

const INITIAL: u32 = 64;
const REQUESTED: u32 = 256;

fn probed(mut capacity: CapacityEstimator) -> u32 {
    (0..10).fold(0, |_, _| capacity.probe(capacity.requests().min(REQUESTED)))
}

#[test]
fn capacity_grows_with_the_requests_while_none_is_late() {
    assert!(REQUESTED <= probed(CapacityEstimator::new(INITIAL, CapacitySettings::default())));
}

#[test]
fn capacity_does_not_grow_after_late_requests() {
    let mut capacity = CapacityEstimator::new(INITIAL, CapacitySettings::default());
    for _ in 0..20 {
        capacity.record(MonotonicTime::from_millis(10), Duration::from_secs(2), INITIAL);
    }
    assert!(probed(capacity) < INITIAL);
}
