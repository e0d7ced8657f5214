//! A voter restarted with a log that ends before the voters with which it could go on; the only
//! other voter that its log names had lost its disk, so that it waited for ever.

use quorum::Registration;

use crate::{
    cluster::Cluster,
    voters::{add_learner, with, without},
};

#[test]
fn voter_behind_is_confirmed_by_a_candidate_that_its_log_does_not_name() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let readded = cluster.other(&[leader]);
    let behind = cluster.other(&[leader, readded]);
    cluster.propose_voters(leader, without(&cluster, leader, readded));
    cluster.run(200);
    add_learner(&mut cluster, leader, readded);
    cluster.isolate(behind);
    cluster.propose_voters(leader, with(&cluster, leader, readded));
    cluster.run(40);
    // An earlier leader's change may be committed with the voter that it adds.
    cluster.restart(leader);
    cluster.run(3000);
    assert!(cluster.status(leader).voters_committed);
    cluster.cut.clear();
    cluster.drop_all();
    cluster.lose_disk(leader);
    cluster.restart(behind);
    cluster.run(6000);
    assert_eq!(cluster.registration(behind), Registration::Done);
    cluster.check_commits("order 1");
}
