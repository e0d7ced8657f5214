//! A smaller voter set needs the removed voter, which nobody sent the entry or confirmed.

use crate::{cluster::Cluster, voters::without};

#[test]
fn last_but_one_voter_is_removed_though_it_restarts() {
    let (mut cluster, leader) = Cluster::with_leader(2, 0);
    let gone = cluster.other(&[leader]);
    cluster.propose_voters(leader, without(&cluster, leader, gone));
    cluster.drop_all();
    cluster.restart(gone);
    cluster.run(1000);
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.status(leader).voters_committed);
    assert_eq!(cluster.status(leader).voters.folders.len(), 1);
}
