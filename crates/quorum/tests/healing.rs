//! Voters that change without an operator.

use std::{collections::BTreeMap, time::Duration};

use base::MonotonicTime;
use quorum::{HealingSettings, Input, LeaderView, next_voters};

use crate::cluster::{Cluster, host};

/// Time between two looks at the voters, in milliseconds.
const HEALING_INTERVAL_MS: u64 = 100;

/// A healing of five hosts with disks, two of which may lose theirs at once.
struct HealingCluster {
    cluster: Cluster,
    led_since: BTreeMap<usize, MonotonicTime>,
    fewest: usize,
}

impl HealingCluster {
    fn new(founders: usize, spares: usize) -> Self {
        let cluster = Cluster::new(founders, spares);
        Self { cluster, led_since: BTreeMap::new(), fewest: usize::MAX }
    }

    fn settings() -> HealingSettings {
        HealingSettings { lost_disks: 2, ..HealingSettings::default() }
    }

    /// Lets time pass while the leader mends the voters.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(HEALING_INTERVAL_MS) {
            self.cluster.run(HEALING_INTERVAL_MS);
            self.heal();
        }
    }

    fn heal(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        self.led_since.retain(|i, _| *i == leader);
        let now = self.cluster.now;
        let since = *self.led_since.entry(leader).or_insert(now);
        let status = self.cluster.status(leader);
        let learners = (0..self.cluster.machines.len())
            .map(host)
            .filter(|host| !status.voters.folders.contains_key(host));
        self.cluster.step(leader, Input::Learners(learners.collect()), None);
        let (me, led) = (host(leader), now.saturating_since(since));
        let view = LeaderView { status: &status, me: &me, now, led };
        if let Some(voters) = next_voters(&view, &Self::settings()) {
            if 5 <= status.voters.folders.len() {
                self.fewest = self.fewest.min(voters.folders.len());
            }
            self.cluster.propose_voters(leader, voters);
        }
    }

    fn leader(&self) -> usize {
        self.cluster.leader().expect("a leader")
    }

    /// Returns the voters that vote from the folder that their host has.
    fn sound_voters(&self) -> usize {
        let voters = self.cluster.status(self.leader()).voters;
        let machines = self.cluster.machines.iter().filter(|machine| machine.node.is_some());
        machines.filter(|machine| voters.admits(&machine.host, machine.disk.folder)).count()
    }

    fn commit(&mut self, text: &str) {
        let leader = self.leader();
        self.cluster.propose(leader, text);
        self.cluster.run(100);
        assert!(self.cluster.is_committed(text), "{text} is committed");
    }

    fn others(&self, count: usize) -> Vec<usize> {
        let leader = self.leader();
        (0..5).filter(|i| *i != leader).take(count).collect()
    }

    fn finish(&self) {
        assert_eq!(self.sound_voters(), 5);
        assert_eq!(self.cluster.checker.violations, []);
    }
}

fn five_voters() -> HealingCluster {
    let mut healing = HealingCluster::new(3, 2);
    healing.run(3000);
    healing
}

#[test]
fn founders_take_the_other_hosts_in() {
    let mut healing = five_voters();
    healing.commit("order 1");
    healing.finish();
}

#[test]
fn lost_disk_is_swapped_within_the_time_to_catch_up() {
    let mut healing = five_voters();
    let lost = healing.others(1)[0];
    healing.cluster.lose_disk(lost);
    healing.run(2000);
    healing.finish();
    assert_eq!(healing.fewest, 4);
}

#[test]
fn lost_leader_disk_is_swapped() {
    let mut healing = five_voters();
    let leader = healing.leader();
    healing.cluster.lose_disk(leader);
    healing.run(4000);
    healing.finish();
}

#[test]
fn two_lost_disks_while_all_others_restart_lose_nothing() {
    let mut healing = five_voters();
    healing.commit("order 1");
    let lost = healing.others(2);
    for i in 0..5 {
        healing.cluster.crash(i);
    }
    for i in 0..5 {
        if lost.contains(&i) {
            healing.cluster.lose_disk(i);
        } else {
            healing.cluster.start(i);
        }
    }
    healing.run(6000);
    healing.commit("order 2");
    healing.finish();
    assert_eq!(healing.fewest, 4);
}

#[test]
fn replaced_host_is_left_out_for_the_new_one() {
    let mut healing = HealingCluster::new(3, 3);
    healing.cluster.crash(5);
    healing.run(3000);
    let gone = healing.others(1)[0];
    healing.cluster.crash(gone);
    healing.run(2500);
    assert_eq!(healing.cluster.status(healing.leader()).voters.folders.len(), 5);
    healing.cluster.start(5);
    healing.run(2500);
    healing.finish();
}

#[test]
fn silent_voters_stay_without_a_replacement() {
    let mut healing = five_voters();
    let silent = healing.others(2);
    silent.iter().for_each(|i| healing.cluster.crash(*i));
    healing.run(8000);
    healing.commit("order 1");
    assert_eq!(healing.cluster.status(healing.leader()).voters.folders.len(), 5);
    silent.iter().for_each(|i| healing.cluster.start(*i));
    healing.run(2000);
    healing.finish();
}

#[test]
fn settings_keep_a_copy_more_than_disks_may_be_lost() {
    for lost_disks in 0..4 {
        let settings = HealingSettings { lost_disks, ..HealingSettings::default() };
        for voters in settings.min_voters()..=settings.target_voters() {
            assert!(lost_disks < voters / 2 + 1);
        }
    }
    assert!(Duration::ZERO < HealingSettings::default().replace_after);
}
