//! A lagging voter waited for removed voters, lost since, to confirm its folder.

use crate::{cluster::Cluster, voters::without};

/// Lets a leader remove a voter while another one lags, then loses the disks of the removed voter
/// and of a third.
///
/// Returns the cluster, the leader and the lagging voter, which is down.
fn two_lost_and_one_behind() -> (Cluster, usize, usize) {
    let (mut cluster, leader) = Cluster::with_leader(4, 0);
    let behind = cluster.other(&[leader]);
    let removed = cluster.other(&[leader, behind]);
    let last = cluster.other(&[leader, behind, removed]);
    cluster.isolate(behind);
    cluster.propose_voters(leader, without(&cluster, leader, removed));
    cluster.run(200);
    assert!(cluster.status(leader).voters_committed);
    cluster.crash(behind);
    cluster.cut.clear();
    cluster.lose_disk(removed);
    cluster.lose_disk(last);
    (cluster, leader, behind)
}

fn check_commits(mut cluster: Cluster) {
    cluster.run(3000);
    cluster.check_commits("order 1");
}

#[test]
fn voter_behind_is_confirmed_by_the_voters_that_were_committed_later() {
    let (mut cluster, _, behind) = two_lost_and_one_behind();
    cluster.start(behind);
    check_commits(cluster);
}

#[test]
fn voter_behind_is_confirmed_after_a_restart_of_all() {
    let (mut cluster, leader, behind) = two_lost_and_one_behind();
    cluster.restart(leader);
    cluster.start(behind);
    check_commits(cluster);
}
