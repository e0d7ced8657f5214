//! A router refused streams of engines that had room, since they had never shown a queue.

use std::time::Duration;

use base::MonotonicTime;
use route::{CapacityEstimator, CapacitySettings};

const FIRST: u32 = 64;
const WANTED: u32 = 256;

fn probed(mut capacity: CapacityEstimator) -> u32 {
    (0..10).fold(0, |_, _| capacity.probe(capacity.requests().min(WANTED)))
}

#[test]
fn capacity_follows_the_requests_while_none_is_late() {
    assert!(WANTED <= probed(CapacityEstimator::new(FIRST, CapacitySettings::default())));
}

#[test]
fn capacity_stays_once_requests_were_late() {
    let mut capacity = CapacityEstimator::new(FIRST, CapacitySettings::default());
    for _ in 0..20 {
        capacity.record(MonotonicTime::from_millis(10), Duration::from_secs(2), FIRST);
    }
    assert!(probed(capacity) < FIRST);
}
