//! A newly added voter that restarted was not confirmed by a majority, because the log of a lagging
//! voter did not name it yet.

use crate::{
    cluster::Cluster,
    voters::{add_learner, with},
};

#[test]
fn lagging_voter_confirms_a_new_voter() {
    let (mut cluster, leader) = Cluster::with_leader(3, 1);
    let lagging = cluster.other(&[leader]);
    let down = cluster.other(&[leader, lagging]);
    add_learner(&mut cluster, leader, 3);
    cluster.isolate(lagging);
    cluster.propose_voters(leader, with(&cluster, leader, 3));
    cluster.run(200);
    assert!(cluster.status(leader).voters_committed);
    cluster.crash(down);
    cluster.restart(leader);
    cluster.restart(3);
    cluster.cut.clear();
    cluster.run(3000);
    assert!(cluster.leader().is_some());
}
