//! Founding, lost disks and outdated copies of a folder.

use quorum::{Registration, Role};

use crate::{
    cluster::Cluster,
    voters::{add_learner, with, without},
};

#[test]
fn founders_write_the_same_first_entry() {
    let (cluster, _) = Cluster::with_leader(3, 0);
    let firsts: Vec<_> = cluster.machines.iter().map(|m| m.disk.entries[0].clone()).collect();
    assert!(firsts.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(cluster.status(0).voters.folders.len(), 3);
}

#[test]
fn founding_waits_for_all_founders() {
    let mut cluster = Cluster::new(3, 0);
    cluster.crash(2);
    cluster.run(3000);
    assert_eq!(cluster.leader(), None);
    cluster.start(2);
    cluster.run(2000);
    assert!(cluster.leader().is_some());
}

/// Guards against a log that is never founded because a founder ended during the first start, and
/// its settings don't name the founders when it is back.
macro_rules! founding_goes_on_after_founders_restart {
    ($($name:ident: $restarted:expr, $lost_disk:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = Cluster::new(3, 0);
            // Keeps the log from being founded before the restart.
            $restarted.iter().for_each(|&i| cluster.isolate(i));
            cluster.run(300);
            assert_eq!(cluster.leader(), None);
            for i in $restarted {
                cluster.unaware.insert(i);
                match $lost_disk {
                    true => cluster.lose_disk(i),
                    false => cluster.restart(i),
                }
            }
            cluster.cut.clear();
            cluster.run(2000);
            let leader = cluster.leader().expect("a leader within 2 s");
            assert_eq!(cluster.status(leader).voters.folders.len(), 3);
            // The restarted ones vote.
            cluster.crash(leader);
            cluster.run(3000);
            assert!(cluster.leader().is_some());
            assert_eq!(cluster.checker.violations, []);
        }
    )*};
}

founding_goes_on_after_founders_restart! {
    last_founder_restarts: [2], false;
    last_founder_restarts_with_an_empty_folder: [2], true;
    all_founders_but_the_first_restart: [1, 2], false;
    all_founders_but_the_first_restart_with_empty_folders: [1, 2], true;
}

#[test]
fn hosts_that_name_no_founders_found_no_second_log() {
    let (mut cluster, _) = Cluster::with_leader(3, 0);
    cluster.crash(1);
    cluster.unaware.insert(2);
    cluster.lose_disk(2);
    // The first founder's settings still name the founders.
    cluster.lose_disk(0);
    cluster.run(3000);
    assert!(cluster.machines[0].disk.is_fresh());
    cluster.start(1);
    cluster.run(5000);
    assert_eq!(cluster.leader(), None);
    assert!(cluster.machines[0].disk.is_fresh());
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn lost_disk_founds_no_second_log() {
    let (mut cluster, _) = Cluster::with_leader(3, 0);
    cluster.crash(1);
    cluster.lose_disk(0);
    cluster.lose_disk(2);
    cluster.run(3000);
    cluster.start(1);
    cluster.run(5000);
    assert_eq!(cluster.leader(), None);
    assert!(cluster.machines[0].disk.is_fresh());
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn lost_disk_neither_votes_nor_acknowledges() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let lost = cluster.other(&[leader]);
    let down = cluster.other(&[leader, lost]);
    cluster.lose_disk(lost);
    cluster.crash(down);
    cluster.propose(leader, "order 1");
    cluster.run(3000);
    assert!(!cluster.is_committed("order 1"));
    assert_eq!(cluster.leader(), None);
    cluster.start(down);
    cluster.run(2000);
    assert!(cluster.leader().is_some_and(|next| next != lost));
}

#[test]
fn lost_disk_votes_after_a_committed_change() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let lost = cluster.other(&[leader]);
    cluster.lose_disk(lost);
    cluster.run(200);
    cluster.propose_voters(leader, without(&cluster, leader, lost));
    cluster.run(200);
    add_learner(&mut cluster, leader, lost);
    cluster.propose_voters(leader, with(&cluster, leader, lost));
    cluster.run(200);
    cluster.crash(leader);
    cluster.run(3000);
    assert!(cluster.leader().is_some());
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn all_voters_may_restart_at_once() {
    let (mut cluster, _) = Cluster::with_leader(5, 0);
    for _ in 0..5 {
        (0..5).for_each(|i| cluster.crash(i));
        (0..5).for_each(|i| cluster.start(i));
        cluster.run(2000);
        let leader = cluster.leader().expect("a leader after the restart");
        cluster.propose(leader, "order 1");
    }
    assert!((0..5).all(|i| cluster.registration(i) == Registration::Done));
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn voter_stays_inactive_until_a_majority_confirmed_it() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let alone = cluster.other(&[leader]);
    cluster.isolate(alone);
    cluster.restart(alone);
    cluster.run(1000);
    assert_eq!(cluster.registration(alone), Registration::Pending);
    assert_eq!(cluster.role(alone), Some(Role::Follower));
}

/// Commits a command, then restores the disk that `i` had before it.
fn restore_outdated_copy(cluster: &mut Cluster, leader: usize, i: usize) {
    let copy = cluster.machines[i].disk.clone();
    cluster.propose(leader, "order 1");
    cluster.run(400);
    cluster.crash(i);
    cluster.machines[i].disk = copy;
    cluster.start(i);
}

#[test]
fn outdated_copy_is_refused() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let old = cluster.other(&[leader]);
    restore_outdated_copy(&mut cluster, leader, old);
    cluster.run(2000);
    assert_eq!(cluster.registration(old), Registration::Refused);
}

#[test]
fn outdated_copy_is_refused_without_the_former_leader() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let old = cluster.other(&[leader]);
    restore_outdated_copy(&mut cluster, leader, old);
    cluster.crash(leader);
    cluster.run(2000);
    assert_eq!(cluster.registration(old), Registration::Refused);
    assert_eq!(cluster.leader(), None);
}

#[test]
fn outdated_copy_is_refused_however_often_it_starts() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let old = cluster.other(&[leader]);
    restore_outdated_copy(&mut cluster, leader, old);
    for _ in 0..10 {
        cluster.run(200);
        cluster.restart(old);
    }
    cluster.run(200);
    assert_eq!(cluster.registration(old), Registration::Refused);
}

#[test]
fn copy_from_before_the_last_start_is_refused_though_it_lacks_no_entry() {
    let (mut cluster, leader) = Cluster::with_leader(3, 0);
    let old = cluster.other(&[leader]);
    let copy = cluster.machines[old].disk.clone();
    cluster.restart(old);
    cluster.run(1000);
    cluster.crash(old);
    cluster.machines[old].disk = copy;
    cluster.start(old);
    cluster.run(1000);
    assert_eq!(cluster.registration(old), Registration::Refused);
}
