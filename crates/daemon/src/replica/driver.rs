//! The loop that carries out what the node says.

use std::time::Duration;

use base::{HostId, LogIndex, MonotonicTime, Term, UnixMillis};
use fleet::{Command, Fleet};
use quorum::{
    Action, Config, Entry, Input, Message, Node, Payload, Restored, Role, Snapshot, SyncGate,
    VoterSet,
};
use rand_pcg::Pcg64Mcg;
use store::{Disk, Log};
use wire::{
    leader::{Follow, LeaderAnswer, LeaderRequest},
    peer::{quorum_from_bytes, quorum_to_bytes},
};

use crate::{
    clock::Clock,
    configurations::Configuration,
    peers::{Envelope, Outgoing, QuorumCall, SubmitCall},
};

use super::{
    ReplicaConfig, ReplicaInput, ReplicaRings, ReplicaView,
    followers::{Followers, Held},
    reads::Readable,
    voters::{self, Healing},
    waiting::{Reading, Reply, Waiting},
    writer::{DiskSpeed, Writer, Written},
};

/// Time between looks at the clock; a third of a heartbeat.
const TICK: Duration = Duration::from_millis(20);

/// Most inputs taken before the node's actions are carried out.
const MAX_BATCH: usize = 512;

/// Entries applied after which a snapshot replaces the log.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Bytes of commands applied after which a snapshot replaces the log.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// Changes shown to operators.
const SHOWN_CHANGES: usize = 1_000;

/// Carries out what the node says.
pub(super) struct Driver {
    clock: Clock,
    host: HostId,
    node: Node<Pcg64Mcg>,
    gate: SyncGate,
    writer: Writer,
    disk_speed: DiskSpeed,
    fleet: Fleet,
    snapshot_at: LogIndex,
    /// Bytes of commands applied since the snapshot.
    applied_bytes: usize,
    waiting: Waiting,
    actions: Vec<Action>,
    rings: ReplicaRings,
    failure: Option<String>,
    /// Told once this host leads no more.
    handing_over: Option<flume::Sender<()>>,
    healing: Healing,
    /// The term in which this host leads, and since when.
    leading: Option<(Term, MonotonicTime)>,
    followers: Followers,
}

/// What the driver waits for.
enum Event {
    Input(ReplicaInput),
    Written(Written),
    Nothing,
    Unused,
}

/// Why a driver ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DriverEnd {
    /// Nobody sends it anything any more.
    Unused,
    /// The data folder failed, and may be opened again.
    Failed,
}

impl Driver {
    pub(super) fn new<D: Disk + Send + 'static>(
        cfg: ReplicaConfig,
        clock: Clock,
        rng: Pcg64Mcg,
        log: Log<D>,
        restored: Restored,
        rings: ReplicaRings,
    ) -> eyre::Result<Self> {
        let fleet = match &restored.snapshot {
            Some(snapshot) => Fleet::from_snapshot(&snapshot.data)?,
            None => Fleet::default(),
        };
        let host = cfg.host.clone();
        let node_cfg = Config { founders: cfg.founders, ..Config::new(cfg.host) };
        let snapshot_at = fleet.applied();
        let gate = SyncGate::new(&restored);
        let writer = Writer::spawn(log)?;
        let node = Node::new(node_cfg, restored, clock.now(), rng);
        let mut driver = Self {
            clock,
            host,
            node,
            gate,
            writer,
            disk_speed: DiskSpeed::default(),
            fleet,
            snapshot_at,
            applied_bytes: 0,
            waiting: Waiting::default(),
            actions: Vec::new(),
            rings,
            failure: None,
            handing_over: None,
            healing: Healing::new(cfg.healing),
            leading: None,
            followers: Followers::default(),
        };
        driver.offer_configuration();
        driver.note_named();
        Ok(driver)
    }

    /// Runs until every sender of inputs is gone, or the data folder fails and may be opened again.
    pub(super) fn run(&mut self) -> DriverEnd {
        loop {
            match self.next_event() {
                Event::Input(input) => self.take(input),
                Event::Written(written) => self.note_written(written),
                Event::Nothing => {}
                Event::Unused => {
                    self.finish_writes();
                    return DriverEnd::Unused;
                }
            }
            for _ in 0..MAX_BATCH {
                let Ok(input) = self.rings.inputs.try_recv() else { break };
                self.take(input);
            }
            self.step(Input::Tick);
            self.carry_out();
            self.note_office();
            self.heal();
            self.answer_followers();
            self.compact();
            let now = self.clock.now();
            self.disk_speed.note(now, self.gate.waited(now).unwrap_or_default());
            if self.node.role() != Role::Leader {
                self.handing_over = None;
            }
            self.publish();
            if self.failure.is_some() && self.healing.is_on() {
                return DriverEnd::Failed;
            }
        }
    }

    /// Waits for what comes first, up to a tick.
    fn next_event(&self) -> Event {
        let inputs = flume::Selector::new()
            .recv(&self.rings.inputs, |input| input.map_or(Event::Unused, Event::Input));
        // A writer that failed tells nothing any more.
        let events = if self.failure.is_some() {
            inputs
        } else {
            let ended = || Written::Failed("the thread that writes the log ended".to_owned());
            inputs.recv(self.writer.written(), move |written| {
                Event::Written(written.unwrap_or_else(|_| ended()))
            })
        };
        events.wait_timeout(TICK).unwrap_or(Event::Nothing)
    }

    fn note_written(&mut self, written: Written) {
        match written {
            Written::Through(through) => {
                let mut ready = Vec::new();
                self.gate.synced(through, &mut ready);
                self.act_all(ready);
            }
            Written::Failed(e) => {
                log::error!("the data folder failed; this host acknowledges nothing any more: {e}");
                self.failure = Some(e);
            }
        }
    }

    /// Answers what waits for writes that are under way.
    fn finish_writes(&mut self) {
        while self.failure.is_none() && self.gate.waited(self.clock.now()).is_some() {
            let Ok(written) = self.writer.written().recv() else { return };
            self.note_written(written);
        }
    }

    fn take(&mut self, input: ReplicaInput) {
        match input {
            ReplicaInput::Quorum(call) => self.take_message(call),
            ReplicaInput::Submit(call) => self.take_request(call),
            ReplicaInput::Learners(hosts) => self.step(Input::Learners(hosts)),
            ReplicaInput::EngineNews(engines) => self.followers.set_engines(engines),
            ReplicaInput::WeightAges { at, ages } => self.followers.note_ages(at, &ages),
            ReplicaInput::HandOver(done) => {
                self.step(Input::Transfer);
                self.handing_over = Some(done);
            }
        }
    }

    fn take_message(&mut self, call: QuorumCall) {
        match quorum_from_bytes(&call.message) {
            Ok(message) => self.step(Input::Message { from: call.from, message }),
            Err(e) => log::warn!("peer={} sent a message that can't be read: {e}", call.from),
        }
    }

    fn take_request(&mut self, call: SubmitCall) {
        let reply = Reply::new(call.reply);
        if self.failure.is_some() {
            return reply.not_written(None);
        }
        match LeaderRequest::from_bytes(&call.request) {
            Ok(LeaderRequest::Command(command)) => {
                let id = self.waiting.propose(reply);
                let command = stamped(command, self.clock.wall()).to_bytes().into();
                self.step(Input::Propose { id, command });
            }
            Ok(LeaderRequest::AddVoter { host, folder }) => {
                self.change_voters(reply, |voters| {
                    voters.folders.insert(host, folder);
                });
            }
            Ok(LeaderRequest::RemoveVoter { host }) => {
                self.change_voters(reply, |voters| {
                    voters.folders.remove(&host);
                });
            }
            Ok(
                request @ (LeaderRequest::ReadCall(_)
                | LeaderRequest::ReadUnsettled
                | LeaderRequest::ReadRevision
                | LeaderRequest::ReadHistory
                | LeaderRequest::ReadVoters
                | LeaderRequest::ReadPublished),
            ) => self.read(request, reply),
            Ok(LeaderRequest::FollowPublished(question)) => self.follow(question, reply),
            Err(e) => reply.answer(&LeaderAnswer::Refused(e.to_string())),
        }
    }

    /// Holds a follower's question, unless another host should answer it.
    fn follow(&mut self, question: Follow, reply: Reply) {
        if self.node.role() != Role::Leader {
            return reply.not_written(self.node.leader().cloned());
        }
        self.followers.hold(self.clock.now(), question, reply);
    }

    /// Reads for the held questions that are due, so that each answer proves that this host leads.
    fn answer_followers(&mut self) {
        let leads = self.node.role() == Role::Leader;
        let due = self.followers.take_due(self.clock.now(), self.node.term(), leads);
        for Held { question, reply, .. } in due {
            self.read(LeaderRequest::FollowPublished(question), reply);
        }
        self.carry_out();
    }

    /// Notes when this host began to lead.
    fn note_office(&mut self) {
        if self.node.role() != Role::Leader {
            if self.leading.take().is_some() {
                log::info!(term:% = self.node.term(); "leads no more");
            }
            // What a former leader knew of loads is no longer true.
            self.followers.forget_engines();
            return;
        }
        let term = self.node.term();
        if self.leading.is_none_or(|(led, _)| led != term) {
            self.leading = Some((term, self.clock.now()));
            self.followers.forget_engines();
            self.followers.note_change();
            log::info!(term:%; "leads");
        }
    }

    /// Proposes a change of voters, if one is due.
    fn heal(&mut self) {
        let Some((_, since)) = self.leading else { return };
        let now = self.clock.now();
        let due = self.healing.due_voters(now, &self.node, &self.host, since);
        let Some(voters) = due else { return };
        let hosts: Vec<_> = voters.folders.keys().map(ToString::to_string).collect();
        let before = self.node.status().voters;
        log::info!(voters = hosts.join(","), before = before.folders.len(); "changes the voters");
        let (reply, _) = flume::bounded(1);
        self.propose_voters(voters, Reply::new(reply));
        self.carry_out();
    }

    fn change_voters(&mut self, reply: Reply, change: impl FnOnce(&mut VoterSet)) {
        match voters::changed(&self.node.status(), change) {
            Some(voters) => self.propose_voters(voters, reply),
            // Only a leader whose lead is confirmed knows that nothing is to be done.
            None => self.read(LeaderRequest::ReadVoters, reply),
        }
    }

    fn propose_voters(&mut self, voters: VoterSet, reply: Reply) {
        let id = self.waiting.propose(reply);
        self.step(Input::ProposeVoters { id, voters });
    }

    /// Answers a request once it is known that this host still leads.
    fn read(&mut self, request: LeaderRequest, reply: Reply) {
        let id = self.waiting.read(Reading { request, reply });
        self.step(Input::Read { id });
    }

    fn step(&mut self, input: Input) {
        if self.failure.is_none() {
            self.node.step(self.clock.now(), input, &mut self.actions);
        }
    }

    /// Hands what must be durable to the writer, and carries out what needn't wait for it.
    fn carry_out(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        if self.failure.is_some() {
            return;
        }
        let mut ready = Vec::new();
        if let Some(batch) = self.gate.take(self.clock.now(), actions, &mut ready) {
            self.writer.write(batch);
        }
        self.act_all(ready);
    }

    fn act_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
        for reading in self.waiting.readable(self.fleet.applied()) {
            self.answer_read(reading);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            // The gate gives writes to the writer.
            Action::Write(_) => {}
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::Send { to, message } => self.send(&to, &message),
            Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(entry)),
            Action::Accepted { id, index, term } => self.waiting.accepted(id, index, term),
            Action::Refused { id, leader, refusal } => {
                let Some(reply) = self.waiting.refused(id) else { return };
                match refusal {
                    quorum::Refusal::NotLeader
                    | quorum::Refusal::Transferring
                    | quorum::Refusal::TermNotCommitted => {
                        reply.not_written(leader);
                    }
                    _ => reply.answer(&LeaderAnswer::Refused(refusal.to_string())),
                }
            }
            Action::ReadReady { id, index } => self.waiting.read_ready(id, index),
            Action::ReadRefused { id, leader } => {
                if let Some(reply) = self.waiting.read_refused(id) {
                    reply.not_written(leader);
                }
            }
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        let Some(to) = self.rings.directory.address(to) else { return };
        let message = Outgoing::Quorum { message: quorum_to_bytes(message) };
        let _ = self.rings.outbox.try_send(Envelope { to, message });
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match Fleet::from_snapshot(&snapshot.data) {
            Ok(fleet) => {
                self.fleet = fleet;
                self.snapshot_at = snapshot.last_index;
                self.waiting.replaced_through(snapshot.last_index);
                self.offer_configuration();
                self.note_named();
            }
            Err(e) => {
                log::error!("a snapshot from the leader can't be read: {e}");
                self.failure = Some(e.to_string());
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let waiting = self.waiting.committed(entry.index, entry.term);
        let answer = match &entry.payload {
            Payload::Empty => {
                self.fleet.skip(entry.index);
                return;
            }
            Payload::Voters(voters) => {
                self.fleet.skip(entry.index);
                LeaderAnswer::Voters(voters.clone())
            }
            Payload::Command(command) => self.apply_command(entry.index, command),
        };
        if let Some(reply) = waiting {
            reply.answer(&answer);
        }
    }

    fn apply_command(&mut self, index: LogIndex, command: &[u8]) -> LeaderAnswer {
        self.applied_bytes += command.len();
        match Command::from_bytes(command) {
            Ok(command) => {
                let reply = self.fleet.apply(index, &command);
                if matches!(command, Command::Change(_)) {
                    self.offer_configuration();
                }
                if matches!(command, Command::Publish(_) | Command::NameWeights(_)) {
                    self.followers.note_change();
                    self.note_named();
                }
                LeaderAnswer::Reply(reply)
            }
            Err(e) => {
                self.fleet.skip(index);
                LeaderAnswer::Refused(e.to_string())
            }
        }
    }

    fn note_named(&mut self) {
        self.followers.note_named(self.clock.now(), self.fleet.published());
    }

    fn offer_configuration(&self) {
        let configuration = self.fleet.configuration();
        let Some(last) = configuration.history().next_back() else { return };
        self.rings.configurations.apply_if_newer(Configuration {
            revision: configuration.revision(),
            declaration: configuration.text().clone(),
            author: last.author.clone(),
            reason: last.reason.clone(),
            change: last.id.clone(),
            at: last.at,
        });
    }

    fn answer_read(&mut self, reading: Reading) {
        let mut readable = Readable {
            now: self.clock.now(),
            node: &self.node,
            fleet: &self.fleet,
            followers: &mut self.followers,
        };
        if let Some(answer) = readable.answer(&reading.request) {
            reading.reply.answer(&answer);
        }
    }

    fn compact(&mut self) {
        let applied = self.fleet.applied();
        let since = applied.as_u64().saturating_sub(self.snapshot_at.as_u64());
        let is_small = since < SNAPSHOT_ENTRIES && self.applied_bytes < SNAPSHOT_BYTES;
        if is_small || self.failure.is_some() {
            return;
        }
        self.snapshot_at = applied;
        self.applied_bytes = 0;
        let data = self.fleet.to_snapshot().into();
        self.step(Input::Snapshot { through: applied, data });
        self.carry_out();
    }

    fn publish(&mut self) {
        let loads = self.followers.loads(self.clock.now());
        let history = self.fleet.configuration().history();
        let skipped = history.size_hint().0.saturating_sub(SHOWN_CHANGES);
        self.rings.state.store(ReplicaView {
            node: self.node.status(),
            folder: self.node.folder(),
            history: self.fleet.configuration().history().skip(skipped).cloned().collect(),
            unsettled: self.fleet.ledger().unsettled().count(),
            lease_until: self.node.lease_until(self.clock.now()),
            loads,
            failure: self.failure.clone(),
        });
    }
}

/// Gives a command the leader's time.
fn stamped(mut command: Command, now: UnixMillis) -> Command {
    let at = match &mut command {
        Command::Change(change) => &mut change.at,
        Command::Claim(claim) => &mut claim.at,
        Command::Finish(finish) => &mut finish.at,
        Command::Release(release) => &mut release.at,
        Command::Resolve(resolve) => &mut resolve.at,
        Command::OwnerGone(gone) => &mut gone.at,
        Command::Publish(_) | Command::NameWeights(_) => return command,
    };
    *at = now;
    command
}
