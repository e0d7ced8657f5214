//! Endpoints that leave, in the replicated state.

mod fixture;

use base::{EndpointId, Incarnation};
use fixture::{Log, at};
use fleet::{Command, Departure, Fleet, Reply};

fn endpoint(id: &str) -> EndpointId {
    id.parse().expect("endpoint id")
}

fn depart(log: &mut Log, id: &str, incarnation: u64, millis: u64) {
    let departure = Departure {
        endpoint: endpoint(id),
        incarnation: Incarnation::new(incarnation),
        at: at(millis),
    };
    assert_eq!(log.apply(&Command::Depart(departure)), Reply::Departed);
}

fn has_left(log: &Log, id: &str, incarnation: u64) -> bool {
    log.fleet.departures().contains(&endpoint(id), Incarnation::new(incarnation))
}

#[test]
fn departure_concerns_one_incarnation() {
    let mut log = Log::default();
    depart(&mut log, "desk-1", 5, 1_000);
    assert!(has_left(&log, "desk-1", 5));
    assert!(!has_left(&log, "desk-1", 4));
    assert!(!has_left(&log, "desk-1", 6));
    assert!(!has_left(&log, "desk-2", 5));
}

#[test]
fn departure_of_another_incarnation_replaces_none() {
    let mut log = Log::default();
    depart(&mut log, "desk-1", 5, 1_000);
    depart(&mut log, "desk-1", 99, 1_001);
    assert!(has_left(&log, "desk-1", 5));
}

#[test]
fn departures_survive_a_snapshot() {
    let mut log = Log::default();
    depart(&mut log, "desk-1", 5, 1_000);
    assert!(has_left(&log.round_trip(), "desk-1", 5));
    assert_eq!(log.round_trip().fleet, log.fleet);
}

#[test]
fn snapshot_without_departures_is_one_of_an_earlier_version() {
    let mut log = Log::default();
    let before = log.fleet.to_snapshot();
    depart(&mut log, "desk-1", 5, 1_000);
    assert!(before.len() < log.fleet.to_snapshot().len());
    let earlier = Log { fleet: Fleet::from_snapshot(&before).expect("own snapshot") };
    assert!(!has_left(&earlier, "desk-1", 5));
}

#[test]
fn departure_is_kept_for_a_minute() {
    let mut log = Log::default();
    depart(&mut log, "desk-1", 5, 1_000);
    depart(&mut log, "desk-2", 5, 60_999);
    assert!(has_left(&log, "desk-1", 5));
    depart(&mut log, "desk-3", 5, 61_000);
    assert!(!has_left(&log, "desk-1", 5));
    let recent: Vec<_> = log.fleet.departures().recent(at(120_999)).collect();
    assert_eq!(recent.len(), 1);
}

#[test]
fn oldest_departures_are_removed_when_there_are_too_many() {
    let mut log = Log::default();
    for n in 0..4_200 {
        depart(&mut log, &format!("desk-{n}"), 1, 1_000 + n);
    }
    assert_eq!(log.fleet.departures().recent(at(1_000)).count(), 4_096);
    assert!(!has_left(&log, "desk-0", 1));
    assert!(has_left(&log, "desk-4199", 1));
}
