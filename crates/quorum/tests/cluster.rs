//! A simulated cluster: hosts that crash and lose their disks, on an unreliable network.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use base::{HostId, LogIndex, MonotonicTime};
use quorum::{
    Action, Batch, Config, FolderId, Input, Message, Node, ProposalId, ReadId, Registration,
    RestoredState, Role, Status, SyncGate, VoterSet, Write,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::checker::{Checker, DiskImage};

/// Time between two ticks.
pub const TICK_MS: u64 = 20;

/// A fault injected into the driver, which the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The vote is not written.
    OmitVote,
    /// A host whose disk was lost sends messages in the name of its old folder.
    ForgeFolder,
    /// Replies don't wait for syncs.
    ReplyBeforeSync,
}

/// The point of a step at which a host crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    BeforeSync,
    AfterSync,
}

/// A host with its disk.
#[derive(Debug)]
pub struct Machine {
    pub host: HostId,
    pub disk: DiskImage,
    pub node: Option<Node<Pcg64Mcg>>,
    pub responses: Vec<Action>,
    /// Duration of a sync.
    pub sync_time: Duration,
    gate: SyncGate,
    /// Batches that are being written, each with the start of its write.
    unwritten: VecDeque<(MonotonicTime, Batch)>,
    /// The voters with which this host, as the leader, committed the entries that it has not yet
    /// applied.
    committed_with: VecDeque<(LogIndex, VoterSet)>,
    first_folder: FolderId,
    state: u64,
    applied: LogIndex,
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    message: Message,
}

/// All hosts, and the network between them.
#[derive(Debug)]
pub struct Cluster {
    pub machines: Vec<Machine>,
    pub checker: Checker,
    pub now: MonotonicTime,
    pub cut: BTreeSet<(usize, usize)>,
    pub fault: Fault,
    packets: Vec<Packet>,
    rng: Pcg64Mcg,
    founders: usize,
    /// Hosts whose settings name no founders when they start.
    pub unaware: BTreeSet<usize>,
    last_id: u64,
}

impl Cluster {
    /// Starts `founders` hosts that are the founders of a log, and `spares` other hosts.
    pub fn new(founders: usize, spares: usize) -> Self {
        let mut cluster = Self {
            machines: Vec::new(),
            checker: Checker::default(),
            now: MonotonicTime::ZERO,
            cut: BTreeSet::new(),
            fault: Fault::None,
            packets: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(11),
            founders,
            unaware: BTreeSet::new(),
            last_id: 0,
        };
        for i in 0..founders + spares {
            let folder = cluster.fresh_folder();
            let disk = DiskImage { folder, ..DiskImage::default() };
            cluster.machines.push(Machine {
                host: host(i),
                disk,
                node: None,
                responses: Vec::new(),
                sync_time: Duration::ZERO,
                gate: SyncGate::new(&RestoredState::default()),
                unwritten: VecDeque::new(),
                committed_with: VecDeque::new(),
                first_folder: folder,
                state: 0,
                applied: LogIndex::ZERO,
            });
            cluster.start(i);
        }
        cluster
    }

    /// Starts a cluster and runs it until it has a leader.
    pub fn with_leader(founders: usize, spares: usize) -> (Self, usize) {
        let mut cluster = Self::new(founders, spares);
        cluster.run(2000);
        let leader = cluster.leader().expect("a leader within 2 s");
        (cluster, leader)
    }

    pub fn config(&self, i: usize) -> Config {
        let mut cfg = Config::new(host(i));
        if !self.unaware.contains(&i) {
            cfg.founders = (0..self.founders).map(host).collect();
        }
        cfg.max_batch_bytes = 256;
        cfg.max_chunk_bytes = 3;
        cfg
    }

    pub fn start(&mut self, i: usize) {
        if self.machines[i].node.is_some() {
            return;
        }
        let cfg = self.config(i);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let machine = &mut self.machines[i];
        let disk = machine.disk.clone();
        machine.state = disk.snapshot.as_ref().map_or(0, |s| state_in(&s.data));
        machine.applied = disk.snapshot.as_ref().map_or(LogIndex::ZERO, |s| s.last_index);
        let DiskImage { folder, hard_state, snapshot, entries } = disk;
        let restored = RestoredState { folder, hard_state, snapshot, entries };
        machine.gate = SyncGate::new(&restored);
        machine.node = Some(Node::new(cfg, restored, self.now, rng));
    }

    /// Ends a host's process; unwritten batches are lost.
    pub fn crash(&mut self, i: usize) {
        self.machines[i].node = None;
        self.machines[i].unwritten.clear();
        self.machines[i].committed_with.clear();
    }

    /// Sets the sync duration of every disk.
    pub fn slow_disks(&mut self, sync_time: Duration) {
        for machine in &mut self.machines {
            machine.sync_time = sync_time;
        }
    }

    pub fn restart(&mut self, i: usize) {
        self.crash(i);
        self.start(i);
    }

    /// Replaces a host's disk by an empty one.
    pub fn lose_disk(&mut self, i: usize) {
        self.crash(i);
        let folder = self.fresh_folder();
        self.machines[i].disk = DiskImage { folder, ..DiskImage::default() };
        self.start(i);
    }

    /// Cuts the network between `a` and `b` in both directions.
    pub fn cut_between(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
    }

    pub fn isolate(&mut self, i: usize) {
        for other in 0..self.machines.len() {
            self.cut_between(i, other);
        }
    }

    /// Lets time pass, with every message delivered within a tick, in random order.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(TICK_MS) {
            self.tick_all();
            self.deliver_all();
        }
    }

    pub fn tick_all(&mut self) {
        self.now += Duration::from_millis(TICK_MS);
        for i in 0..self.machines.len() {
            self.step(i, Input::Tick, None);
        }
    }

    pub fn deliver_all(&mut self) {
        for _ in 0..2000 {
            if self.packets.is_empty() {
                return;
            }
            let slot = self.rng.random_range(0..self.packets.len());
            self.deliver(slot, None);
        }
    }

    /// Delivers one message in flight.
    pub fn deliver(&mut self, slot: usize, crash: Option<Crash>) {
        if self.packets.is_empty() {
            return;
        }
        let slot = slot % self.packets.len();
        let Packet { from, to, message } = self.packets.swap_remove(slot);
        if self.cut.contains(&(from, to)) {
            return;
        }
        let from = self.machines[from].host.clone();
        self.step(to, Input::Message { from, message }, crash);
    }

    /// Drops all messages in flight.
    pub fn drop_all(&mut self) {
        self.packets.clear();
    }

    pub fn drop_packet(&mut self, slot: usize) {
        if !self.packets.is_empty() {
            self.packets.swap_remove(slot % self.packets.len());
        }
    }

    pub fn duplicate_packet(&mut self, slot: usize) {
        if !self.packets.is_empty() {
            self.packets.push(self.packets[slot % self.packets.len()].clone());
        }
    }

    pub fn in_flight(&self) -> impl Iterator<Item = &Message> {
        self.packets.iter().map(|packet| &packet.message)
    }

    pub fn propose(&mut self, i: usize, text: &str) -> ProposalId {
        let id = ProposalId(self.fresh_id());
        let command = Arc::from(text.as_bytes());
        self.step(i, Input::Propose { id, command }, None);
        id
    }

    pub fn propose_voters(&mut self, i: usize, voters: VoterSet) -> ProposalId {
        let id = ProposalId(self.fresh_id());
        self.step(i, Input::ProposeVoters { id, voters }, None);
        id
    }

    pub fn read(&mut self, i: usize) -> ReadId {
        let id = ReadId(self.fresh_id());
        self.checker.record_read(id);
        self.step(i, Input::Read { id }, None);
        id
    }

    pub fn compact(&mut self, i: usize) {
        let machine = &self.machines[i];
        let data = Arc::from(machine.state.to_le_bytes());
        self.step(i, Input::Snapshot { through: machine.applied, data }, None);
    }

    /// Returns the host that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.role(*i) == Some(Role::Leader);
        (0..self.machines.len()).filter(leads).max_by_key(|i| self.status(*i).term)
    }

    pub fn role(&self, i: usize) -> Option<Role> {
        self.machines[i].node.as_ref().map(Node::role)
    }

    pub fn status(&self, i: usize) -> Status {
        self.machines[i].node.as_ref().expect("the host is up").status()
    }

    pub fn registration(&self, i: usize) -> Registration {
        self.status(i).registration
    }

    pub fn node(&self, i: usize) -> &Node<Pcg64Mcg> {
        self.machines[i].node.as_ref().expect("the host is up")
    }

    pub fn is_committed(&self, text: &str) -> bool {
        self.checker.committed.values().any(|entry| {
            matches!(&entry.payload, quorum::Payload::Command(command) if **command == *text.as_bytes())
        })
    }

    /// Checks that there is a leader, that it commits, and that no invariant was violated.
    pub fn check_commits(&mut self, text: &str) {
        let leader = self.leader().expect("a leader");
        self.propose(leader, text);
        self.run(200);
        assert!(self.is_committed(text), "{text} is committed");
        assert_eq!(self.checker.violations, []);
    }

    /// Returns a host other than those in `excluded`.
    pub fn other(&self, excluded: &[usize]) -> usize {
        (0..self.machines.len()).find(|i| !excluded.contains(i)).expect("another host")
    }

    /// Steps a host's node with an input and executes the resulting actions.
    pub fn step(&mut self, i: usize, input: Input, crash: Option<Crash>) {
        let machine = &mut self.machines[i];
        let Some(node) = &mut machine.node else { return };
        let mut actions = Vec::new();
        node.step(self.now, input, &mut actions);
        if crash == Some(Crash::BeforeSync) {
            return self.crash(i);
        }
        if node.role() == Role::Leader {
            machine.committed_with.extend(committed(&actions, &node.status().voters));
        }
        let mut ready = Vec::new();
        let batch = machine.gate.submit(self.now, actions, &mut ready);
        if let (Fault::ReplyBeforeSync, Some(batch)) = (self.fault, &batch) {
            machine.gate.mark_synced(batch.number, &mut ready);
        }
        machine.unwritten.extend(batch.map(|batch| (self.now, batch)));
        if crash == Some(Crash::AfterSync) {
            self.write(i);
            return self.crash(i);
        }
        self.sync(i, &mut ready);
        self.check_leader(i);
        for action in ready {
            self.execute(i, action);
        }
        self.check_logs(i);
    }

    /// Writes the unwritten batches once the sync time of the oldest has passed.
    fn sync(&mut self, i: usize, ready: &mut Vec<Action>) {
        let machine = &self.machines[i];
        let (Some((began, _)), Some((_, last))) =
            (machine.unwritten.front(), machine.unwritten.back())
        else {
            return;
        };
        if self.now.saturating_since(*began) < machine.sync_time {
            return;
        }
        let last = last.number;
        self.write(i);
        self.machines[i].gate.mark_synced(last, ready);
    }

    fn write(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        for write in machine.unwritten.drain(..).flat_map(|(_, batch)| batch.writes) {
            match write {
                Write::Log { mut hard_state, entries } => {
                    if let (Fault::OmitVote, Some(hard_state)) = (self.fault, &mut hard_state) {
                        hard_state.voted_for = None;
                    }
                    self.checker.record_written(machine.disk.folder, &entries);
                    machine.disk.write(hard_state, entries);
                }
                Write::Snapshot(snapshot) => {
                    self.checker.record_snapshot(machine.disk.folder, snapshot.last_index);
                    machine.disk.save(snapshot);
                }
            }
        }
    }

    fn execute(&mut self, i: usize, action: Action) {
        match action {
            Action::Write(_) => {}
            Action::Send { to, message } => self.send(i, &to, message),
            Action::Apply(entries) => {
                for entry in entries {
                    self.apply(i, &entry);
                }
            }
            Action::Restore(snapshot) => {
                let state = state_in(&snapshot.data);
                self.checker.check_restored(snapshot.last_index, state);
                let machine = &mut self.machines[i];
                (machine.state, machine.applied) = (state, snapshot.last_index);
            }
            Action::ReadReady { id, index } => {
                self.checker.check_read(id, index);
                self.machines[i].responses.push(Action::ReadReady { id, index });
            }
            response => self.machines[i].responses.push(response),
        }
    }

    fn send(&mut self, i: usize, to: &HostId, mut message: Message) {
        let machine = &self.machines[i];
        self.checker.record_message(&machine.host, to, &message, &machine.disk);
        if self.fault == Fault::ForgeFolder {
            message.folder = machine.first_folder;
        }
        if let Some(to) = self.machines.iter().position(|machine| machine.host == *to) {
            self.packets.push(Packet { from: i, to, message });
        }
    }

    fn apply(&mut self, i: usize, entry: &quorum::Entry) {
        assert_eq!(entry.index, self.machines[i].applied.next(), "entries are applied in order");
        let machine = &mut self.machines[i];
        let own = machine.committed_with.pop_front_if(|(index, _)| *index == entry.index);
        if let Some((_, voters)) = own {
            self.checker.check_commit(entry, &voters);
        }
        machine.state = self.checker.record_applied(entry, machine.state);
        machine.applied = entry.index;
    }

    fn check_leader(&mut self, i: usize) {
        let machine = &self.machines[i];
        // A term that is not durable yet is not visible to other hosts.
        let is_known = |node: &&Node<_>| {
            node.role() == Role::Leader && node.term() <= machine.disk.hard_state.term
        };
        if let Some(node) = machine.node.as_ref().filter(is_known) {
            self.checker.record_leader(node.term(), &machine.host, node.folder());
        }
        let nodes = self.machines.iter().filter_map(|machine| machine.node.as_ref());
        let holders = nodes.filter(|node| node.holds_lease(self.now)).map(Node::term);
        self.checker.check_leases(&holders.collect::<Vec<_>>());
    }

    fn check_logs(&mut self, i: usize) {
        for (other, machine) in self.machines.iter().enumerate() {
            if other != i {
                self.checker.check_logs(&self.machines[i].disk, &machine.disk);
            }
        }
    }

    fn fresh_folder(&mut self) -> FolderId {
        FolderId::new(self.rng.random())
    }

    fn fresh_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Returns the entries that a leader with these voters committed.
fn committed(actions: &[Action], voters: &VoterSet) -> Vec<(LogIndex, VoterSet)> {
    let entries = actions.iter().filter_map(|action| match action {
        Action::Apply(entries) => Some(entries),
        _ => None,
    });
    entries.flatten().map(|entry| (entry.index, voters.clone())).collect()
}

pub fn host(i: usize) -> HostId {
    format!("host-{i}").parse().expect("a host id")
}

fn state_in(data: &[u8]) -> u64 {
    u64::from_le_bytes(data.try_into().expect("a state of 8 bytes"))
}
