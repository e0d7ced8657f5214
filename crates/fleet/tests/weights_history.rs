//! How long versions of weights have been outdated.

use std::time::Duration;

use base::MonotonicTime;
use fleet::WeightsHistory;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn newest_version_is_not_outdated() {
    let mut history = WeightsHistory::new();
    assert_eq!(history.outdated_for(1, at(5)), Duration::ZERO);
    history.record(at(10), 2, Duration::ZERO);
    assert_eq!((history.version(), history.outdated_for(2, at(99))), (2, Duration::ZERO));
}

#[test]
fn version_is_outdated_once_a_newer_one_is_recorded() {
    let mut history = WeightsHistory::new();
    history.record(at(10), 2, Duration::ZERO);
    history.record(at(50), 3, Duration::ZERO);
    assert_eq!(history.outdated_for(1, at(100)), millis(90));
    assert_eq!(history.outdated_for(2, at(100)), millis(50));
}

#[test]
fn age_may_exceed_that_of_the_process() {
    let mut history = WeightsHistory::new();
    history.record(at(10), 3, millis(4_000));
    history.record(at(10), 2, millis(9_000));
    assert_eq!(history.outdated_for(2, at(20)), millis(4_010));
    assert_eq!(history.outdated_for(1, at(20)), millis(9_010));
}

#[test]
fn age_never_decreases() {
    let mut history = WeightsHistory::new();
    history.record(at(0), 2, Duration::ZERO);
    history.record(at(500), 2, millis(100));
    assert_eq!(history.outdated_for(1, at(500)), millis(500));
    history.record(at(500), 2, millis(900));
    assert_eq!(history.outdated_for(1, at(600)), millis(1_000));
}

#[test]
fn ages_are_preserved_between_hosts() {
    let (mut sender, mut receiver) = (WeightsHistory::new(), WeightsHistory::new());
    sender.record(at(1_000), 2, Duration::ZERO);
    sender.record(at(3_000), 4, Duration::ZERO);
    let model = "m".parse().unwrap();
    for sent in sender.ages(&model, at(5_000)) {
        receiver.record(at(7), sent.version, sent.age);
    }
    assert_eq!(receiver.outdated_for(1, at(7)), millis(4_000));
    assert_eq!(receiver.outdated_for(2, at(7)), millis(2_000));
    assert_eq!(receiver.version(), 4);
}
