//! Changes of voters.

use quorum::{Action, FolderId, Input, ProposalId, Refusal, Role, VoterSet};

use crate::cluster::{Cluster, host};

pub fn without(cluster: &Cluster, leader: usize, i: usize) -> VoterSet {
    let mut voters = cluster.status(leader).voters;
    voters.folders.remove(&host(i));
    voters
}

pub fn with(cluster: &Cluster, leader: usize, i: usize) -> VoterSet {
    let mut voters = cluster.status(leader).voters;
    voters.folders.insert(host(i), cluster.machines[i].disk.folder);
    voters
}

/// Makes the leader replicate its log to a host that isn't a voter.
pub fn add_learner(cluster: &mut Cluster, leader: usize, i: usize) {
    cluster.step(leader, Input::Learners(vec![host(i)]), None);
    cluster.run(500);
}

fn refusal(cluster: &Cluster, i: usize, wanted: ProposalId) -> Option<Refusal> {
    cluster.machines[i].responses.iter().find_map(|response| match response {
        Action::Refused { id, refusal, .. } if *id == wanted => Some(*refusal),
        _ => None,
    })
}

#[test]
fn host_is_replaced_by_a_spare() {
    let (mut cluster, leader) = Cluster::with_leader(3, 1);
    let removed = cluster.other(&[leader]);
    cluster.crash(removed);
    cluster.propose_voters(leader, without(&cluster, leader, removed));
    cluster.run(200);
    add_learner(&mut cluster, leader, 3);
    cluster.propose_voters(leader, with(&cluster, leader, 3));
    cluster.run(200);
    assert!(cluster.status(leader).voters_committed);
    cluster.crash(leader);
    cluster.run(3000);
    cluster.check_commits("order 1");
}

#[test]
fn removed_leader_steps_down_after_the_commit() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.propose_voters(leader, without(&cluster, leader, leader));
    cluster.run(2000);
    let next = cluster.leader().expect("another leader");
    assert_ne!(next, leader);
    assert_eq!(cluster.role(leader), Some(Role::Follower));
    assert_eq!(cluster.status(next).voters.folders.len(), 2);
}

#[test]
fn second_change_waits_for_the_first() {
    let (mut cluster, leader) = Cluster::with_leader(5, 0);
    let (a, b) = (cluster.other(&[leader]), 4 - usize::from(leader == 4));
    cluster.propose_voters(leader, without(&cluster, leader, a));
    let second = cluster.propose_voters(leader, without(&cluster, leader, b));
    assert_eq!(refusal(&cluster, leader, second), Some(Refusal::ChangePending));
}

#[test]
fn change_needs_a_commit_in_the_term() {
    let mut cluster = Cluster::new(3, 0);
    while cluster.leader().is_none() {
        cluster.tick_all();
        while cluster.leader().is_none() && cluster.in_flight().next().is_some() {
            cluster.deliver(0, None);
        }
    }
    let leader = cluster.leader().expect("a leader");
    let removed = cluster.other(&[leader]);
    let id = cluster.propose_voters(leader, without(&cluster, leader, removed));
    assert_eq!(refusal(&cluster, leader, id), Some(Refusal::TermNotCommitted));
}

macro_rules! refused_sets {
    ($($name:ident: $change:expr => $refusal:expr,)*) => {$(
        #[test]
        fn $name() {
            let (mut cluster, leader) = Cluster::with_leader(3, 2);
            let mut voters = cluster.status(leader).voters;
            let change: fn(&mut VoterSet) = $change;
            change(&mut voters);
            let id = cluster.propose_voters(leader, voters);
            assert_eq!(refusal(&cluster, leader, id), Some($refusal));
        }
    )*};
}

refused_sets! {
    set_without_change_is_refused: |_| {} => Refusal::NotOneChange,
    empty_set_is_refused: |voters| voters.folders.clear() => Refusal::NotOneChange,
    other_folder_under_the_same_host_is_refused: |voters| {
        voters.folders.insert(host(0), FolderId::new(1));
    } => Refusal::NotOneChange,
    two_new_hosts_are_refused: |voters| {
        voters.folders.insert(host(3), FolderId::new(1));
        voters.folders.insert(host(4), FolderId::new(2));
    } => Refusal::NotOneChange,
    host_that_does_not_follow_is_refused: |voters| {
        voters.folders.insert(host(3), FolderId::new(1));
    } => Refusal::Lagging,
}

#[test]
fn removed_voter_receives_its_removal() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let removed = cluster.other(&[leader]);
    cluster.propose_voters(leader, without(&cluster, leader, removed));
    cluster.run(200);
    assert_eq!(cluster.status(removed).voters, cluster.status(leader).voters);
    cluster.restart(removed);
    assert_eq!(cluster.registration(removed), quorum::Registration::Done);
}
