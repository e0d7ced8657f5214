//! A restarted leader that was being removed held the longest log but did not campaign.

use crate::{cluster::Cluster, voters::without};

#[test]
fn leader_that_restarts_while_it_removes_itself_finishes_the_change() {
    let (mut cluster, leader) = Cluster::with_leader(2, 0);
    let other = cluster.other(&[leader]);
    cluster.propose_voters(leader, without(&cluster, leader, leader));
    cluster.drop_all();
    cluster.restart(leader);
    cluster.run(2000);
    assert_eq!(cluster.leader(), Some(other));
    assert_eq!(cluster.status(other).voters.folders.len(), 1);
}
