//! The event loop that drives the quorum node and executes its actions.

mod requests;
mod state;

use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, MonotonicTime, Term};
use fleet::Fleet;
use quorum::{Action, Config, Input, Message, Node, RestoredState, Role, SyncGate};
use rand_pcg::Pcg64Mcg;
use store::{Disk, Log};
use wire::{
    leader::LeaderResponse,
    peer::{quorum_from_bytes, quorum_to_bytes},
};

use crate::{
    clock::Clock,
    peers::{Envelope, Outgoing, QuorumCall},
};

use super::{
    ReplicaChannels, ReplicaConfig, ReplicaInput, ReplicaView,
    followers::Followers,
    pending::{PendingRequests, ReplySender},
    voters::{self, AbsenceLog, RegistrationLog, VoterHealing},
    writer::{DiskSpeed, Writer, Written},
};

/// Time between ticks of the node; a third of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of inputs that are handled before the node's actions are executed.
const MAX_INPUT_BATCH: usize = 512;

/// Largest number of configuration changes that are shown to operators.
const MAX_SHOWN_CHANGES: usize = 1_000;

/// Drives the quorum node and executes its actions.
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
    pending: PendingRequests,
    actions: Vec<Action>,
    channels: ReplicaChannels,
    failure: Option<String>,
    /// Dropped once this host no longer leads, to report a leadership transfer as done.
    transfer_done: Option<flume::Sender<()>>,
    voter_healing: VoterHealing,
    /// Whether commands were accepted when the last one arrived.
    accepts_commands: bool,
    absence_log: AbsenceLog,
    registration_log: RegistrationLog,
    voters_logged_at: MonotonicTime,
    /// The term in which this host leads, and when it started to.
    leading: Option<(Term, MonotonicTime)>,
    followers: Followers,
}

/// An event that wakes the driver.
enum Event {
    Input(ReplicaInput),
    LogWritten(Written),
    Timeout,
    Disconnected,
}

/// Why a driver ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DriverEnd {
    /// Every sender of inputs was dropped.
    Disconnected,
    /// The data folder failed and may be reopened.
    Failed,
}

impl Driver {
    pub(super) fn new<D: Disk + Send + 'static>(
        cfg: ReplicaConfig,
        clock: Clock,
        rng: Pcg64Mcg,
        log: Log<D>,
        restored: RestoredState,
        channels: ReplicaChannels,
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
            pending: PendingRequests::default(),
            actions: Vec::new(),
            channels,
            failure: None,
            transfer_done: None,
            voter_healing: VoterHealing::new(cfg.healing),
            accepts_commands: true,
            absence_log: AbsenceLog::default(),
            registration_log: RegistrationLog::new(clock.now()),
            voters_logged_at: MonotonicTime::ZERO,
            leading: None,
            followers: Followers::default(),
        };
        driver.publish_fleet();
        Ok(driver)
    }

    /// Runs until every sender of inputs is dropped, or the data folder fails and may be reopened.
    pub(super) fn run(&mut self) -> DriverEnd {
        loop {
            match self.next_event() {
                Event::Input(input) => self.handle_input(input),
                Event::LogWritten(written) => self.handle_written(written),
                Event::Timeout => {}
                Event::Disconnected => {
                    self.finish_writes();
                    return DriverEnd::Disconnected;
                }
            }
            for _ in 0..MAX_INPUT_BATCH {
                let Ok(input) = self.channels.inputs.try_recv() else { break };
                self.handle_input(input);
            }
            self.step(Input::Tick);
            self.execute_actions();
            self.update_leadership();
            self.propose_due_voters();
            self.log_voters();
            self.respond_to_due_polls();
            self.compact();
            let now = self.clock.now();
            self.disk_speed.record(now, self.gate.oldest_sync_age(now).unwrap_or_default());
            if self.node.role() != Role::Leader {
                self.transfer_done = None;
            }
            self.publish_view();
            if self.failure.is_some() && self.voter_healing.is_enabled() {
                return DriverEnd::Failed;
            }
        }
    }

    /// Waits for the next event, for one tick at most.
    fn next_event(&self) -> Event {
        let inputs = flume::Selector::new()
            .recv(&self.channels.inputs, |input| input.map_or(Event::Disconnected, Event::Input));
        // A failed writer sends no more outcomes.
        let events = if self.failure.is_some() {
            inputs
        } else {
            let ended = || Written::Failed("the log writer thread ended".to_owned());
            inputs.recv(self.writer.written(), move |written| {
                Event::LogWritten(written.unwrap_or_else(|_| ended()))
            })
        };
        events.wait_timeout(TICK_INTERVAL).unwrap_or(Event::Timeout)
    }

    fn handle_written(&mut self, written: Written) {
        match written {
            Written::Through(through) => {
                let mut ready = Vec::new();
                self.gate.mark_synced(through, &mut ready);
                self.execute_all(ready);
            }
            Written::Failed(e) => {
                log::error!("data folder failed, requests are no longer acknowledged: error={e}");
                self.failure = Some(e);
            }
        }
    }

    /// Waits for writes in flight, and executes the actions that depend on them.
    fn finish_writes(&mut self) {
        while self.failure.is_none() && self.gate.oldest_sync_age(self.clock.now()).is_some() {
            let Ok(written) = self.writer.written().recv() else { return };
            self.handle_written(written);
        }
    }

    fn handle_input(&mut self, input: ReplicaInput) {
        match input {
            ReplicaInput::Quorum(call) => self.handle_message(call),
            ReplicaInput::Submit(call) => self.handle_request(call),
            ReplicaInput::Learners(hosts) => self.step(Input::Learners(hosts)),
            ReplicaInput::EngineUpdate(engines) => self.followers.set_engines(engines),
            ReplicaInput::WeightAges { at, ages } => self.followers.record_weights_ages(at, &ages),
            ReplicaInput::Quotas(list, bounds) => {
                self.followers.quotas.set(self.clock.now(), list, bounds);
            }
            ReplicaInput::TransferLeadership(done) => {
                self.step(Input::Transfer);
                self.transfer_done = Some(done);
            }
        }
    }

    fn handle_message(&mut self, call: QuorumCall) {
        match quorum_from_bytes(&call.message) {
            Ok(message) => self.step(Input::Message { from: call.from, message }),
            Err(e) => log::warn!("invalid quorum message: peer={} error={e}", call.from),
        }
    }

    /// Tracks whether this host leads, and logs changes.
    fn update_leadership(&mut self) {
        if self.node.role() != Role::Leader {
            if self.leading.take().is_some() {
                log::info!(term:% = self.node.term(); "leadership lost");
                self.followers.clear_crashes();
                self.followers.clear_slowness();
                self.followers.quotas.end_term();
            }
            // Engine states of a former leader are outdated.
            self.followers.clear_engines();
            return;
        }
        let term = self.node.term();
        if self.leading.is_none_or(|(led_term, _)| led_term != term) {
            self.leading = Some((term, self.clock.now()));
            self.followers.clear_engines();
            self.followers.clear_slowness();
            self.followers.quotas.start_term(self.clock.now());
            self.followers.record_change();
            log::info!(term:%; "leadership acquired");
        }
    }

    /// Logs voters that don't vote.
    fn log_voters(&mut self) {
        let now = self.clock.now();
        if now.saturating_since(self.voters_logged_at) < voters::HEALING_CHECK_INTERVAL {
            return;
        }
        self.voters_logged_at = now;
        let status = self.node.status();
        self.registration_log.record(now, status.registration);
        match self.leading {
            Some((_, since)) => {
                let leading_for = now.saturating_since(since);
                self.absence_log.record(now, &status, &self.host, leading_for);
            }
            None => self.absence_log.clear(),
        }
    }

    /// Proposes a change of the voters, if one is due.
    fn propose_due_voters(&mut self) {
        let Some((_, since)) = self.leading else { return };
        let now = self.clock.now();
        let due = self.voter_healing.due_voters_change(now, &self.node, &self.host, since);
        let Some(voters) = due else { return };
        let hosts: Vec<_> = voters.folders.keys().map(ToString::to_string).collect();
        let before = self.node.status().voters;
        log::info!(voters = hosts.join(","), before = before.folders.len();
            "change of voters proposed");
        let (reply, _) = flume::bounded(1);
        self.propose_voters(voters, ReplySender::new(reply));
        self.execute_actions();
    }

    fn step(&mut self, input: Input) {
        if self.failure.is_none() {
            self.node.step(self.clock.now(), input, &mut self.actions);
        }
    }

    /// Passes writes to the writer, and executes the actions that don't depend on them.
    fn execute_actions(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        if self.failure.is_some() {
            return;
        }
        let mut ready = Vec::new();
        if let Some(batch) = self.gate.submit(self.clock.now(), actions, &mut ready) {
            self.writer.write(batch);
        }
        self.execute_all(ready);
    }

    /// Executes actions, and responds to the reads that can be served after them.
    fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
        for read in self.pending.take_readable(self.fleet.applied()) {
            self.respond_to_read(read);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            // Writes went to the writer through the gate.
            Action::Write(_) => {}
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::Send { to, message } => self.send(&to, &message),
            Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(entry)),
            Action::Accepted { id, index, term } => self.pending.accepted(id, index, term),
            Action::Refused { id, leader, refusal } => {
                let Some(reply) = self.pending.refused(id) else { return };
                match refusal {
                    quorum::Refusal::NotLeader
                    | quorum::Refusal::Transferring
                    | quorum::Refusal::TermNotCommitted => {
                        reply.not_written(leader);
                    }
                    _ => reply.respond(&LeaderResponse::Refused(refusal.to_string())),
                }
            }
            Action::ReadReady { id, index } => self.pending.read_ready(id, index),
            Action::ReadRefused { id, leader } => {
                if let Some(reply) = self.pending.read_refused(id) {
                    reply.not_written(leader);
                }
            }
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        let Some(to) = self.channels.directory.address(to) else { return };
        let message = Outgoing::Quorum { message: quorum_to_bytes(message) };
        let _ = self.channels.outbox.try_send(Envelope { to, message });
    }

    fn publish_view(&mut self) {
        let loads = self.followers.loads(self.clock.now());
        let history = self.fleet.configuration().history();
        let skipped = history.size_hint().0.saturating_sub(MAX_SHOWN_CHANGES);
        self.channels.state.store(ReplicaView {
            node: self.node.status(),
            folder: self.node.folder(),
            absent_voters: self.absence_log.absent(),
            history: self.fleet.configuration().history().skip(skipped).cloned().collect(),
            unsettled: self.fleet.ledger().unsettled().count(),
            lease_until: self.node.lease_until(self.clock.now()),
            loads,
            departures: Arc::clone(self.fleet.departures()),
            failure: self.failure.clone(),
        });
    }
}
