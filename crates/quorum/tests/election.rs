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
    one_host_leads_itself: 1,
    three_hosts_agree_on_a_leader: 3,
    five_hosts_agree_on_a_leader: 5,
}

#[test]
fn host_that_was_cut_off_deposes_nobody() {
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

/// Has a host vote for itself, restart, and be asked again in the same term.
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

/// Goes on until a candidate asks for votes, which are not delivered.
fn run_to_vote(cluster: &mut Cluster) -> (usize, Term) {
    for _ in 0..100_000 {
        let asked = cluster.under_way().find_map(|message| match message.body {
            Body::Vote { vote_kind: VoteKind::Vote, campaign, .. } => {
                Some((message.folder, campaign))
            }
            _ => None,
        });
        if let Some((folder, term)) = asked {
            let asks = |i: &usize| cluster.machines[*i].disk.folder == folder;
            return ((0..3).find(asks).expect("a known folder"), term);
        }
        if cluster.under_way().next().is_none() {
            cluster.tick_all();
        }
        cluster.deliver(0, None);
    }
    panic!("nobody asked for votes");
}

#[test]
fn vote_survives_a_restart() {
    let (cluster, ..) = request_votes_across_restart(Fault::None);
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn checker_finds_a_forgotten_vote() {
    let (cluster, voter, term) = request_votes_across_restart(Fault::ForgetVote);
    assert!(cluster.checker.violations.contains(&Violation::TwoVotes(term, voter)));
}
