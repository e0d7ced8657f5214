//! Snapshots.

use crate::cluster::Cluster;

/// More commands than a leader keeps behind a snapshot, so that a follower without them needs it.
const COMMAND_COUNT: usize = 1100;

fn fill(cluster: &mut Cluster, leader: usize) {
    for n in 0..COMMAND_COUNT {
        cluster.propose(leader, &format!("order {n}"));
        if n % 50 == 0 {
            cluster.deliver_all();
        }
    }
    cluster.run(200);
}

/// Returns a cluster, its leader, and a follower reconnected after the log was compacted.
fn with_follower_far_behind() -> (Cluster, usize, usize) {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let behind = cluster.other(&[leader]);
    cluster.isolate(behind);
    fill(&mut cluster, leader);
    cluster.compact(leader);
    cluster.cut.clear();
    (cluster, leader, behind)
}

#[test]
fn follower_far_behind_receives_the_snapshot_in_chunks() {
    let (mut cluster, leader, behind) = with_follower_far_behind();
    cluster.run(1000);
    assert_eq!(cluster.status(behind).applied, cluster.status(leader).applied);
    assert!(cluster.machines[behind].disk.snapshot.is_some());
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn lost_chunks_are_sent_again() {
    let (mut cluster, leader, behind) = with_follower_far_behind();
    for slot in 0..40 {
        cluster.tick_all();
        cluster.drop_packet(slot);
        cluster.duplicate_packet(slot);
        cluster.deliver_all();
    }
    assert_eq!(cluster.status(behind).applied, cluster.status(leader).applied);
}

#[test]
fn follower_slightly_behind_receives_entries() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let behind = cluster.other(&[leader]);
    cluster.isolate(behind);
    cluster.propose(leader, "order 1");
    cluster.run(200);
    cluster.compact(leader);
    cluster.cut.clear();
    cluster.run(300);
    assert_eq!(cluster.status(behind).applied, cluster.status(leader).applied);
    assert!(cluster.machines[behind].disk.snapshot.is_none());
}

#[test]
fn all_hosts_restart_from_their_snapshots() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.propose(leader, "order 1");
    cluster.run(200);
    (0..3).for_each(|i| cluster.compact(i));
    (0..3).for_each(|i| cluster.crash(i));
    (0..3).for_each(|i| cluster.start(i));
    cluster.run(2000);
    let next = cluster.leader().expect("a leader");
    cluster.propose(next, "order 2");
    cluster.run(200);
    assert!(cluster.is_committed("order 2"));
    assert_eq!(cluster.checker.violations, []);
}
