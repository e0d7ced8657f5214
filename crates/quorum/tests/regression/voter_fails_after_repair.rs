//! A new leader needed a former voter, lost since, to commit a change that was committed already.

use crate::{
    cluster::Cluster,
    voters::{add_learner, with},
};

#[test]
fn leader_disk_may_be_lost_right_after_a_third_voter_was_added() {
    let (mut cluster, leader) = Cluster::with_leader(2, 1);
    add_learner(&mut cluster, leader, 2);
    cluster.propose_voters(leader, with(&cluster, leader, 2));
    while !cluster.status(leader).voters_committed {
        cluster.deliver(0, None);
    }
    cluster.drop_all();
    cluster.lose_disk(leader);
    cluster.run(3000);
    cluster.check_commits("order 1");
}
