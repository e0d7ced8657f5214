//! Announcements for services that no configuration names yet.

use std::time::Duration;

use base::{Incarnation, MonotonicTime, Sequence, ServiceId};
use member::{Announcement, EndpointKind, HeldAnnouncements, MAX_HELD_ANNOUNCEMENTS};

const LEASE: Duration = Duration::from_secs(6);

fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn announcement(endpoint: &str, of: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        endpoint: endpoint.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        sequence: Sequence::new(sequence),
        data_centre: "dc-0".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        lease: LEASE,
        leaving: false,
        kind: EndpointKind::Service(service(of)),
    }
}

fn hold(held: &mut HeldAnnouncements, at: u64, announcement: &Announcement) -> bool {
    let EndpointKind::Service(service) = &announcement.kind else { panic!("a plain service") };
    held.hold(MonotonicTime::from_millis(at), service, announcement.clone())
}

fn release(held: &mut HeldAnnouncements, at: u64, known: &str) -> Vec<Announcement> {
    held.release(MonotonicTime::from_millis(at), |service| service.as_str() == known)
}

#[test]
fn released_once_its_service_is_known_with_the_rest_of_its_lease() {
    let mut held = HeldAnnouncements::default();
    let desk = announcement("desk-1", "desk", 5, 1);
    assert!(hold(&mut held, 1_000, &desk));
    assert_eq!(release(&mut held, 2_000, "other"), []);
    let rest = Announcement { lease: LEASE - Duration::from_secs(2), ..desk };
    assert_eq!(release(&mut held, 3_000, "desk"), [rest]);
    assert!(held.is_empty());
}

#[test]
fn dropped_at_the_end_of_its_lease() {
    let mut held = HeldAnnouncements::default();
    hold(&mut held, 1_000, &announcement("desk-1", "desk", 5, 1));
    assert_eq!(release(&mut held, 7_000, "desk"), []);
    assert!(held.is_empty());
}

#[test]
fn writers_under_one_id_do_not_replace_each_other() {
    let mut held = HeldAnnouncements::default();
    let desk = announcement("desk-1", "desk", 5, 1);
    assert!(hold(&mut held, 0, &desk));
    assert!(hold(&mut held, 0, &announcement("desk-1", "not-named-here", 9, 1)));
    assert_eq!(release(&mut held, 0, "desk"), [desk]);
}

#[test]
fn newest_of_an_endpoint_is_kept() {
    let mut held = HeldAnnouncements::default();
    let newest = announcement("desk-1", "desk", 5, 3);
    assert!(hold(&mut held, 0, &announcement("desk-1", "desk", 5, 2)));
    assert!(!hold(&mut held, 0, &newest));
    assert!(!hold(&mut held, 0, &announcement("desk-1", "desk", 5, 1)));
    assert!(!hold(&mut held, 0, &announcement("desk-1", "desk", 4, 9)));
    assert_eq!(release(&mut held, 0, "desk"), [newest]);
}

#[test]
fn oldest_is_dropped_when_too_many_are_held() {
    let mut held = HeldAnnouncements::default();
    for n in 0..=MAX_HELD_ANNOUNCEMENTS as u64 {
        hold(&mut held, n, &announcement(&format!("desk-{n}"), "desk", 1, 1));
    }
    assert_eq!(held.len(), MAX_HELD_ANNOUNCEMENTS);
    let released = release(&mut held, MAX_HELD_ANNOUNCEMENTS as u64, "desk");
    assert!(released.iter().all(|announcement| announcement.endpoint.as_str() != "desk-0"));
}
