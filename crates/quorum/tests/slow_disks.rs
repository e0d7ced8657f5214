//! Slow syncs.

use std::time::Duration;

use quorum::Role;

use crate::cluster::Cluster;

/// A long sync, short enough that the leader's heartbeats are still sent during it.
const LONG_SYNC: Duration = Duration::from_millis(800);

/// Time between proposals.
const PROPOSAL_INTERVAL_MS: u64 = 200;

macro_rules! sync_times {
    ($($name:ident: $hosts:expr, $millis:expr,)*) => {$(
        #[test]
        fn $name() {
            check_leader_is_kept($hosts, Duration::from_millis($millis));
        }
    )*};
}

sync_times! {
    three_hosts_at_60_ms: 3, 60,
    three_hosts_at_300_ms: 3, 300,
    three_hosts_at_600_ms: 3, 600,
    three_hosts_at_900_ms: 3, 900,
    five_hosts_at_900_ms: 5, 900,
}

/// Checks that slow disks on all hosts delay commits, but don't change the leader.
fn check_leader_is_kept(hosts: usize, sync_time: Duration) {
    let (mut cluster, leader) = Cluster::with_leader(hosts, 0);
    let term = cluster.status(leader).term;
    cluster.slow_disks(sync_time);
    for i in 0..20 {
        cluster.propose(leader, &format!("order {i}"));
        cluster.run(PROPOSAL_INTERVAL_MS);
        assert_eq!(cluster.role(leader), Some(Role::Leader), "order {i}");
    }
    cluster.run(5 * u64::try_from(sync_time.as_millis()).unwrap());
    assert_eq!(cluster.status(leader).term, term);
    assert!((0..20).all(|i| cluster.is_committed(&format!("order {i}"))));
    assert_eq!(cluster.checker.violations, []);
}

/// Checks that a proposal is committed once a long sync ends, and not before.
fn check_waits_for_one_sync(mut cluster: Cluster, leader: usize) {
    cluster.propose(leader, "order");
    cluster.run(780);
    assert!(!cluster.is_committed("order"));
    cluster.run(100);
    assert!(cluster.is_committed("order"));
}

#[test]
fn entry_is_committed_after_parallel_syncs_of_a_majority() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.slow_disks(LONG_SYNC);
    check_waits_for_one_sync(cluster, leader);
}

#[test]
fn entry_waits_for_the_sync_of_the_leader_with_one_follower_down() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let down = cluster.other(&[leader]);
    cluster.crash(down);
    cluster.machines[leader].sync_time = LONG_SYNC;
    check_waits_for_one_sync(cluster, leader);
}

#[test]
fn slow_snapshot_does_not_depose_the_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let term = cluster.status(leader).term;
    cluster.propose(leader, "order");
    cluster.run(200);
    cluster.slow_disks(Duration::from_millis(900));
    cluster.compact(leader);
    cluster.run(2_000);
    assert_eq!(cluster.status(leader).term, term);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn leader_with_a_stuck_disk_is_replaced() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    cluster.machines[leader].sync_time = Duration::from_secs(3600);
    cluster.propose(leader, "order");
    cluster.run(3_000);
    assert_ne!(cluster.leader(), Some(leader));
    cluster.check_commits("next order");
}
