//! Leases, reads and leadership transfer.

use std::time::Duration;

use quorum::{Action, Input, Refusal};

use crate::cluster::{Cluster, host};

#[test]
fn connected_leader_holds_the_lease() {
    let (cluster, leader) = Cluster::with_leader(3, 0);
    assert!(cluster.node(leader).holds_lease(cluster.now));
    assert!(!cluster.node(cluster.other(&[leader])).holds_lease(cluster.now));
}

#[test]
fn lease_of_a_paused_leader_expires() {
    let (cluster, leader) = Cluster::with_leader(3, 0);
    let later = cluster.now + Duration::from_millis(300);
    assert!(!cluster.node(leader).holds_lease(later));
}

#[test]
fn no_other_host_leads_before_the_lease_expires() {
    for hosts in [3, 5] {
        let (mut cluster, old) = Cluster::with_leader(hosts, 0);
        let until = cluster.node(old).lease_until(cluster.now).expect("a lease");
        cluster.isolate(old);
        while cluster.leader() == Some(old) {
            cluster.run(20);
        }
        while cluster.leader().is_none() {
            cluster.run(20);
        }
        assert!(until < cluster.now);
    }
}

#[test]
fn restarted_voter_still_honours_the_lease() {
    let (mut cluster, old) = Cluster::with_leader(3, 0);
    let until = cluster.node(old).lease_until(cluster.now).expect("a lease");
    cluster.isolate(old);
    let others: Vec<usize> = (0..3).filter(|i| *i != old).collect();
    others.iter().for_each(|i| cluster.restart(*i));
    while cluster.now <= until {
        cluster.run(20);
        assert!(others.iter().all(|i| cluster.role(*i) != Some(quorum::Role::Leader)));
    }
}

#[test]
fn read_under_the_lease_is_ready_at_once() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let index = cluster.status(leader).commit;
    let id = cluster.read(leader);
    assert!(cluster.machines[leader].responses.contains(&Action::ReadReady { id, index }));
}

#[test]
fn read_without_a_lease_waits_for_a_majority() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.now += Duration::from_millis(400);
    let id = cluster.read(leader);
    let index = cluster.status(leader).commit;
    let ready = Action::ReadReady { id, index };
    assert!(!cluster.machines[leader].responses.contains(&ready));
    cluster.deliver_all();
    assert!(cluster.machines[leader].responses.contains(&ready));
}

#[test]
fn read_at_a_partitioned_leader_is_refused() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.isolate(leader);
    cluster.run(400);
    let id = cluster.read(leader);
    cluster.run(1000);
    let refused = Action::ReadRefused { id, leader: None };
    assert!(cluster.machines[leader].responses.contains(&refused));
}

#[test]
fn read_at_a_follower_names_the_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let follower = cluster.other(&[leader]);
    let id = cluster.read(follower);
    let refused = Action::ReadRefused { id, leader: Some(host(leader)) };
    assert!(cluster.machines[follower].responses.contains(&refused));
}

#[test]
fn leadership_transfer_needs_no_election_timeout() {
    let (mut cluster, old) = Cluster::with_leader(3, 0);
    cluster.step(old, Input::Transfer, None);
    assert!(!cluster.node(old).holds_lease(cluster.now));
    cluster.run(40);
    let new = cluster.leader().expect("a leader");
    assert_ne!(new, old);
    assert!(cluster.node(new).holds_lease(cluster.now));
}

#[test]
fn transferring_leader_refuses_proposals_and_resumes_if_no_voter_takes_over() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.propose(leader, "order 1");
    cluster.step(leader, Input::Transfer, None);
    let id = cluster.propose(leader, "order 2");
    let refused =
        Action::Refused { id, leader: Some(host(leader)), refusal: Refusal::Transferring };
    assert!(cluster.machines[leader].responses.contains(&refused));
    cluster.drop_all();
    cluster.run(500);
    assert!(cluster.is_committed("order 1"));
}
