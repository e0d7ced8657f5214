//! The removal of one of two voters needs that voter's acknowledgement, but nobody sent it the
//! entry or confirmed its folder after it restarted.

use crate::{cluster::Cluster, voters::without};

#[test]
fn second_voter_is_removed_although_it_restarts() {
    let (mut cluster, leader) = Cluster::with_leader(2, 0);
    let removed = cluster.other(&[leader]);
    cluster.propose_voters(leader, without(&cluster, leader, removed));
    cluster.drop_all();
    cluster.restart(removed);
    cluster.run(1000);
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.status(leader).voters_committed);
    assert_eq!(cluster.status(leader).voters.folders.len(), 1);
}
