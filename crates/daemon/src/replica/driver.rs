//! The event loop that drives the quorum node and executes its actions.

use std::{sync::Arc, time::Duration};

use base::{HostId, LogIndex, MonotonicTime, Term, UnixMillis};
use fleet::{Command, Departure, Fleet};
use member::IncarnationKey;
use quorum::{
    Action, Config, Entry, Input, Message, Node, Payload, RestoredState, Role, Snapshot, SyncGate,
    VoterSet,
};
use rand_pcg::Pcg64Mcg;
use store::{Disk, Log};
use wire::{
    leader::{FollowRequest, LeaderRequest, LeaderResponse},
    peer::{quorum_from_bytes, quorum_to_bytes},
};

use crate::{
    clock::Clock,
    configurations::Configuration,
    peers::{Envelope, Outgoing, QuorumCall, SubmitCall},
    roster::RosterInput,
};

use super::{
    ReplicaChannels, ReplicaConfig, ReplicaInput, ReplicaView,
    followers::{Followers, PendingPoll},
    pending::{PendingRead, PendingRequests, ReplySender},
    reads::ReadState,
    voters::{self, AbsenceLog, RegistrationLog, VoterHealing},
    writer::{DiskSpeed, Writer, Written},
};

/// Time between ticks of the node; a third of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of inputs that are handled before the node's actions are executed.
const MAX_INPUT_BATCH: usize = 512;

/// Applied entries after which a snapshot replaces the log.
const SNAPSHOT_AFTER_ENTRIES: u64 = 4096;

/// Bytes of applied commands after which a snapshot replaces the log.
const SNAPSHOT_AFTER_BYTES: usize = 4 << 20;

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

    fn handle_request(&mut self, call: SubmitCall) {
        let reply = ReplySender::new(call.reply);
        if self.failure.is_some() {
            return reply.not_written(None);
        }
        match LeaderRequest::from_bytes(&call.request) {
            Ok(LeaderRequest::Command(_)) if !self.may_accept_commands() => {
                reply.not_written(self.node.leader().cloned());
            }
            Ok(LeaderRequest::Command(command)) => {
                let id = self.pending.propose(reply);
                let command = with_leader_time(command, self.clock.wall()).to_bytes().into();
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
            Ok(LeaderRequest::FollowPublished(poll)) => self.queue_poll(poll, reply),
            Err(e) => reply.respond(&LeaderResponse::Refused(e.to_string())),
        }
    }

    /// Returns whether a command that this host commits outlives the disks that may be lost; logs
    /// changes.
    fn may_accept_commands(&mut self) -> bool {
        if self.node.role() != Role::Leader {
            return true;
        }
        let voters = self.node.voters().folders.len();
        // Commands were accepted only from as many voters as it takes.
        let were_complete = || !self.fleet.is_pristine();
        let accepts = self.voter_healing.keeps_commits(voters, false)
            || self.voter_healing.keeps_commits(voters, were_complete());
        if accepts != self.accepts_commands {
            self.accepts_commands = accepts;
            if accepts {
                log::info!(voters; "commands accepted, enough voters to outlive lost disks");
            } else {
                log::warn!(voters; "commands refused, too few voters to outlive lost disks");
            }
        }
        accepts
    }

    /// Queues a follower's poll, or rejects it if another host leads.
    fn queue_poll(&mut self, poll: FollowRequest, reply: ReplySender) {
        if self.node.role() != Role::Leader {
            return reply.not_written(self.node.leader().cloned());
        }
        self.followers.add_poll(self.clock.now(), poll, reply);
    }

    /// Responds to due polls by reads, so that each response confirms that this host leads.
    fn respond_to_due_polls(&mut self) {
        let leads = self.node.role() == Role::Leader;
        if leads {
            self.followers.quarantine_suspects(self.clock.now());
        }
        let due = self.followers.take_due(self.clock.now(), self.node.term(), leads);
        for PendingPoll { poll, reply, .. } in due {
            self.read(LeaderRequest::FollowPublished(poll), reply);
        }
        self.execute_actions();
    }

    /// Tracks whether this host leads, and logs changes.
    fn update_leadership(&mut self) {
        if self.node.role() != Role::Leader {
            if self.leading.take().is_some() {
                log::info!(term:% = self.node.term(); "leadership lost");
                self.followers.clear_crashes();
            }
            // Engine states of a former leader are outdated.
            self.followers.clear_engines();
            return;
        }
        let term = self.node.term();
        if self.leading.is_none_or(|(led_term, _)| led_term != term) {
            self.leading = Some((term, self.clock.now()));
            self.followers.clear_engines();
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

    fn change_voters(&mut self, reply: ReplySender, change: impl FnOnce(&mut VoterSet)) {
        match voters::changed(&self.node.status(), change) {
            Some(voters) => self.propose_voters(voters, reply),
            // That no change is needed is certain only once this host's leadership is confirmed.
            None => self.read(LeaderRequest::ReadVoters, reply),
        }
    }

    fn propose_voters(&mut self, voters: VoterSet, reply: ReplySender) {
        let id = self.pending.propose(reply);
        self.step(Input::ProposeVoters { id, voters });
    }

    /// Responds to a read-only request once this host's leadership is confirmed.
    fn read(&mut self, request: LeaderRequest, reply: ReplySender) {
        let id = self.pending.read(PendingRead { request, reply });
        self.step(Input::Read { id });
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

    fn restore(&mut self, snapshot: &Snapshot) {
        match Fleet::from_snapshot(&snapshot.data) {
            Ok(fleet) => {
                self.fleet = fleet;
                self.snapshot_at = snapshot.last_index;
                self.pending.replaced_through(snapshot.last_index);
                self.publish_fleet();
            }
            Err(e) => {
                log::error!("invalid snapshot from leader: error={e}");
                self.failure = Some(e.to_string());
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let pending = self.pending.committed(entry.index, entry.term);
        let response = match &entry.payload {
            Payload::Empty => {
                self.fleet.skip(entry.index);
                return;
            }
            Payload::Voters(voters) => {
                self.fleet.skip(entry.index);
                LeaderResponse::Voters(voters.clone())
            }
            Payload::Command(command) => self.apply_command(entry.index, command),
        };
        if let Some(reply) = pending {
            reply.respond(&response);
        }
    }

    fn apply_command(&mut self, index: LogIndex, command: &[u8]) -> LeaderResponse {
        self.applied_bytes += command.len();
        match Command::from_bytes(command) {
            Ok(command) => {
                let reply = self.fleet.apply(index, &command);
                if matches!(command, Command::Change(_)) {
                    self.publish_configuration();
                }
                if let Command::Depart(departure) = &command {
                    log::info!(endpoint:% = departure.endpoint,
                        incarnation:% = departure.incarnation, index:%;
                        "departure of an endpoint committed");
                    self.record_departure(departure);
                }
                if matches!(command, Command::Publish(_) | Command::SetDesiredWeights(_)) {
                    self.followers.record_change();
                    self.record_desired_weights();
                }
                LeaderResponse::Reply(reply)
            }
            Err(e) => {
                self.fleet.skip(index);
                LeaderResponse::Refused(e.to_string())
            }
        }
    }

    /// Passes on all that this host's other threads need of the replicated state.
    fn publish_fleet(&mut self) {
        self.publish_configuration();
        self.record_desired_weights();
        let departures = Arc::clone(self.fleet.departures());
        let recent = departures.recent(self.clock.wall());
        recent.for_each(|departure| self.record_departure(&departure));
    }

    /// Tells the followers and this host's roster that an endpoint leaves.
    fn record_departure(&mut self, departure: &Departure) {
        let Departure { endpoint, incarnation, .. } = departure;
        let key = IncarnationKey::new(endpoint, *incarnation);
        self.followers.record_leaving(self.clock.now(), &[key]);
        let departed =
            RosterInput::Departed { endpoint: endpoint.clone(), incarnation: *incarnation };
        if self.channels.roster.try_send(departed).is_err() {
            log::warn!(endpoint:%; "departure not passed on to the roster, its channel is full");
        }
    }

    fn record_desired_weights(&mut self) {
        self.followers.record_desired_weights(self.clock.now(), self.fleet.published());
    }

    fn publish_configuration(&self) {
        let configuration = self.fleet.configuration();
        let Some(last) = configuration.history().next_back() else { return };
        self.channels.configurations.apply_if_newer(Configuration {
            revision: configuration.revision(),
            declaration: configuration.text().clone(),
            author: last.author.clone(),
            reason: last.reason.clone(),
            change: last.id.clone(),
            at: last.at,
        });
    }

    fn respond_to_read(&mut self, read: PendingRead) {
        let mut state = ReadState {
            now: self.clock.now(),
            node: &self.node,
            fleet: &self.fleet,
            followers: &mut self.followers,
        };
        if let Some(response) = state.response(&read.request) {
            read.reply.respond(&response);
        }
    }

    fn compact(&mut self) {
        let applied = self.fleet.applied();
        let since = applied.as_u64().saturating_sub(self.snapshot_at.as_u64());
        let is_below_limits =
            since < SNAPSHOT_AFTER_ENTRIES && self.applied_bytes < SNAPSHOT_AFTER_BYTES;
        if is_below_limits || self.failure.is_some() {
            return;
        }
        self.snapshot_at = applied;
        self.applied_bytes = 0;
        let data = self.fleet.to_snapshot().into();
        self.step(Input::Snapshot { through: applied, data });
        self.execute_actions();
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

/// Sets a command's timestamp to the leader's time.
fn with_leader_time(mut command: Command, now: UnixMillis) -> Command {
    let at = match &mut command {
        Command::Change(change) => &mut change.at,
        Command::Claim(claim) => &mut claim.at,
        Command::Finish(finish) => &mut finish.at,
        Command::Release(release) => &mut release.at,
        Command::Resolve(resolve) => &mut resolve.at,
        Command::OwnerGone(gone) => &mut gone.at,
        Command::Depart(departure) => &mut departure.at,
        Command::Publish(_) | Command::SetDesiredWeights(_) => return command,
    };
    *at = now;
    command
}
