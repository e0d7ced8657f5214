//! Changes of voters without an operator.

use std::{collections::BTreeMap, time::Duration};

use base::{HostId, MonotonicTime};
use quorum::{HealingSettings, Input, LeaderView, Registration, absent_voters, next_voters};

use crate::cluster::{Cluster, host};

/// Time between two checks of the voters.
const HEALING_INTERVAL_MS: u64 = 100;

/// A cluster whose leader changes the voters by itself, with a target of five voters; two disks may
/// be lost at once.
struct HealingCluster {
    cluster: Cluster,
    leading_since: BTreeMap<usize, MonotonicTime>,
    min_voters_seen: usize,
}

impl HealingCluster {
    fn new(founders: usize, spares: usize) -> Self {
        let cluster = Cluster::new(founders, spares);
        Self { cluster, leading_since: BTreeMap::new(), min_voters_seen: usize::MAX }
    }

    fn settings() -> HealingSettings {
        HealingSettings { lost_disks: 2, ..HealingSettings::default() }
    }

    /// Lets time pass while the leader changes the voters.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(HEALING_INTERVAL_MS) {
            self.cluster.run(HEALING_INTERVAL_MS);
            self.heal();
        }
    }

    fn heal(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        self.leading_since.retain(|i, _| *i == leader);
        let now = self.cluster.now;
        let since = *self.leading_since.entry(leader).or_insert(now);
        let status = self.cluster.status(leader);
        let learners = (0..self.cluster.machines.len())
            .map(host)
            .filter(|host| !status.voters.folders.contains_key(host));
        self.cluster.step(leader, Input::Learners(learners.collect()), None);
        let (me, leading_for) = (host(leader), now.saturating_since(since));
        let view = LeaderView { status: &status, me: &me, now, leading_for };
        if let Some(voters) = next_voters(&view, &Self::settings()) {
            if 5 <= status.voters.folders.len() {
                self.min_voters_seen = self.min_voters_seen.min(voters.folders.len());
            }
            self.cluster.propose_voters(leader, voters);
        }
    }

    /// Returns the voters that take no part, as the leader sees them.
    fn absent_voters(&self) -> Vec<HostId> {
        let leader = self.leader();
        let (status, me, now) = (self.cluster.status(leader), host(leader), self.cluster.now);
        let leading_for = now.saturating_since(self.leading_since[&leader]);
        let view = LeaderView { status: &status, me: &me, now, leading_for };
        absent_voters(&view, &Self::settings()).into_iter().collect()
    }

    fn leader(&self) -> usize {
        self.cluster.leader().expect("a leader")
    }

    /// Returns the number of running voters with the folder from which they may vote.
    fn valid_voters(&self) -> usize {
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

    fn check_recovered(&self) {
        assert_eq!(self.valid_voters(), 5);
        assert_eq!(self.cluster.checker.violations, []);
    }
}

fn five_voters() -> HealingCluster {
    let mut healing = HealingCluster::new(3, 2);
    healing.run(3000);
    healing
}

#[test]
fn spare_hosts_become_voters() {
    let mut healing = five_voters();
    healing.commit("order 1");
    healing.check_recovered();
}

#[test]
fn voter_with_a_lost_disk_is_added_again_after_catching_up() {
    let mut healing = five_voters();
    let lost = healing.others(1)[0];
    healing.cluster.lose_disk(lost);
    healing.run(2000);
    healing.check_recovered();
    assert_eq!(healing.min_voters_seen, 4);
}

#[test]
fn leader_with_a_lost_disk_is_added_again() {
    let mut healing = five_voters();
    let leader = healing.leader();
    healing.cluster.lose_disk(leader);
    healing.run(4000);
    healing.check_recovered();
}

#[test]
fn two_lost_disks_while_all_others_restart_lose_no_entry() {
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
    healing.check_recovered();
    assert_eq!(healing.min_voters_seen, 4);
}

#[test]
fn crashed_voter_is_replaced_once_a_spare_is_up() {
    let mut healing = HealingCluster::new(3, 3);
    healing.cluster.crash(5);
    healing.run(3000);
    let crashed = healing.others(1)[0];
    healing.cluster.crash(crashed);
    healing.run(2500);
    assert_eq!(healing.cluster.status(healing.leader()).voters.folders.len(), 5);
    healing.cluster.start(5);
    healing.run(2500);
    healing.check_recovered();
}

#[test]
fn unresponsive_voters_stay_without_a_spare() {
    let mut healing = five_voters();
    let crashed = healing.others(2);
    crashed.iter().for_each(|i| healing.cluster.crash(*i));
    healing.run(8000);
    healing.commit("order 1");
    assert_eq!(healing.cluster.status(healing.leader()).voters.folders.len(), 5);
    crashed.iter().for_each(|i| healing.cluster.start(*i));
    healing.run(2000);
    healing.check_recovered();
}

/// Loses the disks of these voters, each once the one before has been added again.
fn replace_disks(healing: &mut HealingCluster, order: &[usize]) {
    for i in order {
        healing.cluster.lose_disk(*i);
        healing.run(4000);
    }
}

/// Loses the disks of all voters but `absent`.
fn replace_all_disks_but(healing: &mut HealingCluster, absent: usize) {
    let others: Vec<_> = (0..5).filter(|i| *i != absent).collect();
    replace_disks(healing, &others);
}

/// Returns all orders of `hosts`.
fn orders(hosts: &[usize]) -> Vec<Vec<usize>> {
    if hosts.is_empty() {
        return vec![Vec::new()];
    }
    let with_first = |first: usize| {
        let others: Vec<_> = hosts.iter().copied().filter(|host| *host != first).collect();
        orders(&others).into_iter().map(move |rest| [vec![first], rest].concat())
    };
    hosts.iter().copied().flat_map(with_first).collect()
}

/// Checks the registration of a voter that was absent while the others got new disks in each order,
/// with the folder that it had or with an older copy.
fn check_registration(is_older_copy: bool, restarts_all: bool, expected: Registration) {
    let absent = five_voters().others(1)[0];
    let others: Vec<_> = (0..5).filter(|i| *i != absent).collect();
    for order in orders(&others) {
        let mut healing = five_voters();
        let copy = healing.cluster.machines[absent].disk.clone();
        healing.commit("order 1");
        healing.run(400);
        healing.cluster.crash(absent);
        replace_disks(&mut healing, &order);
        if is_older_copy {
            healing.cluster.machines[absent].disk = copy;
        }
        if restarts_all {
            others.iter().for_each(|i| healing.cluster.restart(*i));
        }
        healing.cluster.start(absent);
        healing.run(4000);
        assert_eq!(healing.cluster.registration(absent), expected, "{order:?}");
        healing.commit("order 2");
        assert_eq!(healing.cluster.checker.violations, [], "{order:?}");
    }
}

macro_rules! registration_cases {
    ($($name:ident: $is_older_copy:expr, $restarts_all:expr => $expected:expr,)*) => {$(
        #[test]
        fn $name() {
            check_registration($is_older_copy, $restarts_all, $expected);
        }
    )*};
}

registration_cases! {
    voter_is_confirmed_whatever_the_order_of_new_disks: false, false => Registration::Done,
    voter_is_confirmed_after_new_disks_and_a_restart_of_all: false, true => Registration::Done,
    older_copy_is_refused_whatever_the_order_of_new_disks: true, false => Registration::Refused,
    older_copy_is_refused_after_new_disks_and_a_restart_of_all: true, true => Registration::Refused,
}

fn check_survives_two_lost_disks(mut healing: HealingCluster, kept: usize) {
    healing.commit("order 2");
    let lost: Vec<_> = (0..5).filter(|i| *i != kept).take(2).collect();
    lost.iter().for_each(|i| healing.cluster.lose_disk(*i));
    healing.run(6000);
    healing.commit("order 3");
    healing.check_recovered();
}

#[test]
fn voter_that_missed_new_disks_of_all_others_votes_again() {
    let mut healing = five_voters();
    let absent = healing.others(1)[0];
    healing.cluster.crash(absent);
    replace_all_disks_but(&mut healing, absent);
    healing.cluster.start(absent);
    healing.run(2000);
    assert_eq!(healing.cluster.registration(absent), Registration::Done);
    check_survives_two_lost_disks(healing, absent);
}

#[test]
fn voter_that_takes_no_part_is_named() {
    let mut healing = five_voters();
    assert_eq!(healing.absent_voters(), []);
    let crashed = healing.others(1)[0];
    healing.cluster.crash(crashed);
    healing.run(3000);
    assert_eq!(healing.absent_voters(), [host(crashed)]);
    healing.cluster.start(crashed);
    healing.run(1000);
    assert_eq!(healing.absent_voters(), []);
}

#[test]
fn voter_that_was_replaced_while_absent_learns_that_it_was_removed() {
    let mut healing = HealingCluster::new(3, 3);
    healing.cluster.crash(5);
    healing.run(3000);
    let absent = healing.others(1)[0];
    healing.cluster.crash(absent);
    healing.cluster.start(5);
    healing.run(5000);
    for i in (0..6).filter(|i| *i != absent) {
        healing.cluster.lose_disk(i);
        healing.run(4000);
    }
    healing.cluster.start(absent);
    healing.run(2000);
    assert_eq!(healing.cluster.registration(absent), Registration::Removed);
    healing.check_recovered();
}

#[test]
fn outdated_copy_is_refused_by_voters_with_new_disks() {
    let mut healing = five_voters();
    let absent = healing.others(1)[0];
    let copy = healing.cluster.machines[absent].disk.clone();
    healing.commit("order 1");
    healing.run(400);
    healing.cluster.crash(absent);
    replace_all_disks_but(&mut healing, absent);
    healing.cluster.machines[absent].disk = copy;
    healing.cluster.start(absent);
    healing.run(4000);
    assert_eq!(healing.cluster.registration(absent), Registration::Refused);
    assert_eq!(healing.cluster.checker.violations, []);
}

macro_rules! commit_cases {
    ($($name:ident: $lost:expr, $voters:expr, $were_complete:expr => $kept:expr,)*) => {$(
        #[test]
        fn $name() {
            let settings = HealingSettings { lost_disks: $lost, ..HealingSettings::default() };
            assert_eq!(settings.keeps_commits($voters, $were_complete), $kept);
        }
    )*};
}

commit_cases! {
    founders_of_a_larger_quorum_keep_no_commits: 2, 3, false => false,
    quorum_that_grows_keeps_no_commits: 2, 4, false => false,
    whole_quorum_keeps_commits: 2, 5, false => true,
    quorum_with_a_voter_in_replacement_keeps_commits: 2, 4, true => true,
    quorum_below_the_minimum_keeps_no_commits: 2, 3, true => false,
    three_voters_keep_commits_with_one_lost_disk: 1, 3, false => true,
    two_of_three_voters_keep_commits_while_one_is_replaced: 1, 2, true => true,
    single_host_that_may_lose_no_disk_keeps_commits: 0, 1, false => true,
}

#[test]
fn majority_exceeds_the_disks_that_may_be_lost() {
    for lost_disks in 0..4 {
        let settings = HealingSettings { lost_disks, ..HealingSettings::default() };
        for voters in settings.min_voters()..=settings.target_voters() {
            assert!(lost_disks < voters / 2 + 1);
        }
    }
    assert!(Duration::ZERO < HealingSettings::default().replace_after);
}
