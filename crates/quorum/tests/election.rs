//! Elections.

use base::{HostId, Term};
use quorum::{Body, Role, VoteKind};

use crate::{
    checker::Violation,
    cluster::{Cluster, Fault, host},
};

macro_rules! sizes {
    ($($name:ident: $hosts:expr,)*) => {$(
        #[test]
        fn $name() {
            let (cluster, leader) = Cluster::with_leader($hosts, 0);
            for i in 0..$hosts {
                assert_eq!(cluster.status(i).leader, Some(host(leader)));
            }
        }
    )*};
}

sizes! {
    single_host_elects_itself: 1,
    three_hosts_agree_on_a_leader: 3,
    five_hosts_agree_on_a_leader: 5,
}

#[test]
fn partitioned_host_does_not_depose_the_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let term = cluster.status(leader).term;
    let cut_off = cluster.other(&[leader]);
    cluster.isolate(cut_off);
    cluster.run(5000);
    cluster.cut.clear();
    cluster.run(1000);
    assert_eq!(cluster.status(cut_off).term, term);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn leader_without_a_majority_steps_down() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.isolate(leader);
    cluster.run(1000);
    assert_eq!(cluster.role(leader), Some(Role::Follower));
}

#[test]
fn another_host_leads_within_two_seconds_of_a_crash() {
    for hosts in [3, 5] {
        let (mut cluster, leader) = Cluster::with_leader(hosts, 0);
        cluster.crash(leader);
        cluster.run(2000);
        assert!(cluster.leader().is_some_and(|next| next != leader));
    }
}

/// Lets a host vote for itself and restart, and requests its vote again in the same term.
fn request_votes_across_restart(fault: Fault) -> (Cluster, HostId, Term) {
    let (mut cluster, _) = Cluster::with_leader(3, 0);
    cluster.fault = fault;
    (0..3).for_each(|i| cluster.restart(i));
    let (first, term) = run_to_vote(&mut cluster);
    cluster.drop_all();
    cluster.restart(first);
    let (second, same_term) = run_to_vote(&mut cluster);
    assert_ne!(first, second);
    assert_eq!(term, same_term);
    let third = cluster.other(&[first, second]);
    cluster.isolate(third);
    (0..20).for_each(|_| cluster.tick_all());
    cluster.deliver_all();
    (cluster, host(first), term)
}

/// Runs until a candidate requests votes; the requests are not delivered.
fn run_to_vote(cluster: &mut Cluster) -> (usize, Term) {
    for _ in 0..100_000 {
        let request = cluster.in_flight().find_map(|message| match message.body {
            Body::Vote { vote_kind: VoteKind::Vote, campaign, .. } => {
                Some((message.folder, campaign))
            }
            _ => None,
        });
        if let Some((folder, term)) = request {
            let is_candidate = |i: &usize| cluster.machines[*i].disk.folder == folder;
            return ((0..3).find(is_candidate).expect("a known folder"), term);
        }
        if cluster.in_flight().next().is_none() {
            cluster.tick_all();
        }
        cluster.deliver(0, None);
    }
    panic!("no candidate requested votes");
}

#[test]
fn vote_survives_a_restart() {
    let (cluster, ..) = request_votes_across_restart(Fault::None);
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn checker_detects_an_unwritten_vote() {
    let (cluster, voter, term) = request_votes_across_restart(Fault::OmitVote);
    assert!(cluster.checker.violations.contains(&Violation::TwoVotes(term, voter)));
}
