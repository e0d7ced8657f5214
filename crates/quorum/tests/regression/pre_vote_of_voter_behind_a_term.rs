//! A pre-vote was dropped when the voter that granted it had missed the latest term; a voter that
//! did not know yet that it is one never learnt of the term by a campaign of its own.

use crate::{
    cluster::Cluster,
    voters::{add_learner, with},
};

#[test]
fn new_voter_that_missed_a_term_supports_a_candidate() {
    let (mut cluster, leader) = Cluster::with_leader(3, 1);
    add_learner(&mut cluster, leader, 3);
    cluster.isolate(3);
    cluster.propose_voters(leader, with(&cluster, leader, 3));
    cluster.run(400);
    assert!(cluster.status(leader).voters_committed);
    let term = cluster.status(leader).term;
    cluster.restart(leader);
    cluster.run(3000);
    let next = cluster.leader().expect("a leader of the three founders");
    assert!(term < cluster.status(next).term);
    cluster.restart(next);
    cluster.run(40);
    cluster.crash(cluster.other(&[next, 3]));
    cluster.cut.clear();
    cluster.run(6000);
    let last = cluster.leader().expect("a leader of the three that are left");
    cluster.propose(last, "last order");
    cluster.run(400);
    assert!(cluster.is_committed("last order"));
}
