//! Replication of entries.

use quorum::{Action, Body, Payload, Refusal};

use crate::cluster::{Cluster, host};

#[test]
fn command_reaches_every_host() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.propose(leader, "order 1");
    cluster.run(200);
    let commit = cluster.status(leader).commit;
    assert!(cluster.is_committed("order 1"));
    assert!((0..3).all(|i| cluster.status(i).applied == commit));
}

#[test]
fn command_is_not_committed_without_a_majority() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.isolate(leader);
    cluster.propose(leader, "order 1");
    cluster.run(3000);
    assert!(!cluster.is_committed("order 1"));
}

#[test]
fn uncommitted_tail_is_replaced() {
    let (mut cluster, old) = Cluster::with_leader(3, 0);
    cluster.isolate(old);
    for n in 0..50 {
        cluster.propose(old, &format!("lost {n}"));
    }
    cluster.run(2000);
    let new = cluster.leader().expect("a new leader");
    cluster.propose(new, "kept");
    cluster.run(200);
    cluster.cut.clear();
    cluster.run(1000);
    assert_eq!(cluster.status(old).applied, cluster.status(new).applied);
    assert!(cluster.is_committed("kept"));
    assert!(!cluster.is_committed("lost 0"));
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn refused_proposal_names_the_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let follower = cluster.other(&[leader]);
    let id = cluster.propose(follower, "order 1");
    let refused = Action::Refused { id, leader: Some(host(leader)), refusal: Refusal::NotLeader };
    assert!(cluster.machines[follower].responses.contains(&refused));
}

#[test]
fn batches_are_bounded_in_bytes_and_number() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let text = "x".repeat(40);
    for _ in 0..200 {
        cluster.propose(leader, &text);
    }
    let sizes: Vec<usize> = cluster
        .in_flight()
        .filter_map(|message| match &message.body {
            Body::Append { entries, .. } if !entries.is_empty() => Some(entries.len()),
            _ => None,
        })
        .collect();
    assert_eq!(sizes.len(), 2 * 4);
    cluster.run(200);
    assert!(cluster.is_committed(&text));
    assert!(cluster.status(1).applied.as_u64() <= 1 + 1 + 200);
    assert_eq!(cluster.status(0).applied, cluster.status(2).applied);
}

#[test]
fn lost_messages_are_sent_again() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.propose(leader, "order 1");
    cluster.drop_all();
    cluster.run(300);
    assert!(cluster.is_committed("order 1"));
}

#[test]
fn entries_of_an_older_term_are_committed_with_one_of_the_present_term() {
    let (mut cluster, old) = Cluster::with_leader(3, 0);
    cluster.propose(old, "order 1");
    (0..2).for_each(|_| cluster.deliver(0, None));
    cluster.crash(old);
    cluster.drop_all();
    cluster.run(2000);
    let new = cluster.leader().expect("a new leader");
    let committed = &cluster.checker.committed;
    let last = committed.values().next_back().expect("a committed entry");
    assert_eq!((&last.payload, last.term), (&Payload::Empty, cluster.status(new).term));
    assert!(cluster.is_committed("order 1"));
}
