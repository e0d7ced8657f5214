//! A voter whose own log did not name it yet ignored vote requests from the only candidate.

use crate::{
    cluster::Cluster,
    voters::{add_learner, with},
};

#[test]
fn leader_that_restarts_while_it_adds_a_second_voter_leads_again() {
    let (mut cluster, leader) = Cluster::with_leader(1, 1);
    add_learner(&mut cluster, leader, 1);
    cluster.propose_voters(leader, with(&cluster, leader, 1));
    cluster.drop_all();
    cluster.restart(leader);
    cluster.run(2000);
    assert!(cluster.leader().is_some_and(|i| cluster.status(i).voters_committed));
}
