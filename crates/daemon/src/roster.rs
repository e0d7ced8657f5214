use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{ByteCount, EndpointId, HostId, Incarnation, MonotonicTime, Revision, Term};
use member::{Announcement, Budget, EndpointChange, Membership, PeerUpdate, Roster, TICK_INTERVAL};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use telemetry::{Metrics, QuorumRole, UnusedAnnouncement};
use wire::peer::{gossip_from_bytes, gossip_to_bytes};

use crate::{
    clock::Clock,
    configurations::{Configuration, Configurations},
    directory::Directory,
    peers::{Envelope, GossipCall, Outgoing},
    replica::{ReplicaInput, ReplicaState, ReplicaView},
};

/// Time to wait for a newer configuration before requesting it again.
const CONFIGURATION_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest pause between two ticks that is logged as a stall: the process, or its host, was
/// suspended or starved.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Time between updates of the hosts that may become voters.
const LEARNERS_INTERVAL: Duration = Duration::from_millis(500);

/// Inputs of the roster thread.
pub(crate) enum RosterInput {
    /// An endpoint's announcement to this router.
    Announced(Announcement),
    /// The replicated log says that an endpoint leaves.
    Departed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that leaves.
        incarnation: Incarnation,
    },
    /// A gossip message from another router.
    Gossip(GossipCall),
    /// Another router's response to gossip.
    GossipResponse {
        /// When the message was sent that this responds to.
        sent: MonotonicTime,
        /// The response.
        message: Vec<u8>,
    },
    /// A newer configuration from another router.
    Configuration(Configuration),
    /// This router accepts no new requests.
    Draining,
    /// New peer addresses of seeds.
    Seeds(Vec<std::net::SocketAddr>),
}

/// The newest roster, for threads that read it only occasionally.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatestRoster(Arc<Mutex<Option<Arc<Roster>>>>);

impl LatestRoster {
    pub(crate) fn load(&self) -> Option<Arc<Roster>> {
        self.lock().clone()
    }

    fn store(&self, roster: Arc<Roster>) {
        *self.lock() = Some(roster);
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<Roster>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Channels and state that connect the roster thread to the others.
pub(crate) struct RosterChannels {
    /// The thread's inputs.
    pub inputs: flume::Receiver<RosterInput>,
    /// Sender of `inputs`, for responses to gossip.
    pub responses: flume::Sender<RosterInput>,
    /// Receives each roster.
    pub rosters: flume::Sender<Arc<Roster>>,
    /// Receiver of `rosters`, to remove an older roster from the full channel.
    pub older_rosters: flume::Receiver<Arc<Roster>>,
    /// Updated with the newest roster.
    pub latest: LatestRoster,
    /// Messages to other routers.
    pub outbox: flume::Sender<Envelope>,
    /// Updated with the addresses of other routers.
    pub directory: Directory,
    /// The configuration in force.
    pub configurations: Configurations,
    /// The replica thread, on a voter.
    pub replica: Option<flume::Sender<ReplicaInput>>,
    /// The replica thread's state.
    pub replica_state: ReplicaState,
    /// The process's metrics.
    pub metrics: Arc<Metrics>,
}

/// Starts the thread that maintains the membership of routers and the leases of endpoints.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub(crate) fn spawn(
    clock: Clock,
    me: PeerUpdate,
    seeds: Vec<std::net::SocketAddr>,
    channels: RosterChannels,
) -> io::Result<()> {
    let membership = Membership::new(clock.now(), me, seeds, Budget::default());
    let rng = Pcg64Mcg::seed_from_u64(rand::random());
    let driver = Driver {
        clock,
        membership,
        rng,
        channels,
        next_tick: clock.now(),
        last_tick: MonotonicTime::ZERO,
        last_configuration_request: MonotonicTime::ZERO,
        learners_sent_at: MonotonicTime::ZERO,
    };
    std::thread::Builder::new().name("roster".into()).spawn(move || driver.run())?;
    Ok(())
}

struct Driver {
    clock: Clock,
    membership: Membership,
    rng: Pcg64Mcg,
    channels: RosterChannels,
    next_tick: MonotonicTime,
    last_tick: MonotonicTime,
    last_configuration_request: MonotonicTime,
    learners_sent_at: MonotonicTime,
}

impl Driver {
    fn run(mut self) {
        loop {
            let wait = self.next_tick.saturating_since(self.clock.now());
            match self.channels.inputs.recv_timeout(wait) {
                Ok(input) => self.handle(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(input) = self.channels.inputs.try_recv() {
                self.handle(input);
            }
            let now = self.clock.now();
            let ticked = self.next_tick <= now;
            if ticked {
                self.next_tick = now + TICK_INTERVAL;
                self.tick(now);
            }
            if self.log_changes() || ticked {
                self.publish();
            }
        }
    }

    fn handle(&mut self, input: RosterInput) {
        let now = self.clock.now();
        match input {
            RosterInput::Announced(announcement) => {
                self.announce(now, announcement);
            }
            RosterInput::Departed { endpoint, incarnation } => {
                self.membership.depart(now, &endpoint, incarnation);
            }
            RosterInput::Gossip(call) => self.handle_gossip(now, &call),
            RosterInput::GossipResponse { sent, message } => {
                self.handle_gossip_response(now, sent, &message)
            }
            RosterInput::Configuration(configuration) => {
                self.channels.configurations.apply_if_newer(configuration);
            }
            RosterInput::Draining => self.membership.set_draining(true),
            RosterInput::Seeds(seeds) => self.membership.set_seeds(seeds),
        }
        self.request_configuration(now);
    }

    fn announce(&mut self, now: MonotonicTime, announcement: Announcement) {
        let (incarnation, sequence) = (announcement.incarnation, announcement.sequence);
        if let Err(stale) = self.membership.announce(now, announcement) {
            self.channels.metrics.unused_announcement(UnusedAnnouncement::Stale);
            log::info!(endpoint:% = stale.endpoint, incarnation:%, sequence:%;
                "stale announcement dropped");
        }
    }

    fn handle_gossip(&mut self, now: MonotonicTime, call: &GossipCall) {
        self.channels.metrics.gossip_received(byte_count(&call.message));
        match gossip_from_bytes(&call.message) {
            Ok(message) => {
                // A starting router relies on the revision in the first response.
                self.membership.set_revision(self.channels.configurations.revision());
                let response = gossip_to_bytes(&self.membership.handle_request(now, message));
                self.channels.metrics.gossip_sent(byte_count(&response));
                let _ = call.reply.try_send(response);
            }
            Err(e) => log::warn!(error:% = e; "malformed gossip dropped"),
        }
    }

    fn handle_gossip_response(&mut self, now: MonotonicTime, sent: MonotonicTime, message: &[u8]) {
        self.channels.metrics.gossip_received(byte_count(message));
        match gossip_from_bytes(message) {
            Ok(message) => {
                let follow_ups = self.membership.handle_response(now, sent, message);
                self.send(now, follow_ups);
            }
            Err(e) => log::warn!(error:% = e; "malformed gossip response dropped"),
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        let stall = now.saturating_since(self.last_tick);
        if STALL_THRESHOLD <= stall && self.last_tick != MonotonicTime::ZERO {
            log::warn!(stall_ms = stall.as_millis() as u64; "process stalled or suspended");
        }
        self.last_tick = now;
        let revision = self.channels.configurations.revision();
        self.membership.set_revision(revision);
        self.channels.metrics.set_configuration_revision(revision);
        let mut quorum_state = (QuorumRole::Observer, Term::ZERO);
        if let Some(view) = self.channels.replica_state.load() {
            self.membership.set_leader(view.node.leader.clone());
            self.send_learners(now, &view.node.voters);
            quorum_state = (role(&view, &self.membership.peers().me().host), view.node.term);
        }
        self.channels.metrics.set_quorum_state(quorum_state.0, quorum_state.1);
        let messages = self.membership.tick(now, &mut self.rng);
        self.send(now, messages);
        self.request_configuration(now);
        self.update_directory();
    }

    fn send(&self, now: MonotonicTime, messages: Vec<member::Outgoing>) {
        for outgoing in messages {
            let message = gossip_to_bytes(&outgoing.message);
            self.channels.metrics.gossip_sent(byte_count(&message));
            let message = Outgoing::Gossip {
                message,
                sent: now,
                timeout: outgoing.timeout,
                reply: self.channels.responses.clone(),
            };
            let _ = self.channels.outbox.try_send(Envelope { to: outgoing.to, message });
        }
    }

    /// Requests the newest configuration from a router that has it, if it isn't in force here.
    fn request_configuration(&mut self, now: MonotonicTime) {
        let in_force = self.channels.configurations.revision();
        let newest = self.membership.newest_revision();
        let requested_recently =
            now.saturating_since(self.last_configuration_request) < CONFIGURATION_RETRY_INTERVAL;
        let never_requested = self.last_configuration_request == MonotonicTime::ZERO;
        if newest.revision <= in_force || (requested_recently && !never_requested) {
            return;
        }
        let Some(peer) = self.membership.peers().find(&newest.host) else { return };
        let to = peer.update.address;
        let message =
            Outgoing::Configuration { above: in_force, reply: self.channels.responses.clone() };
        if self.channels.outbox.try_send(Envelope { to, message }).is_ok() {
            self.last_configuration_request = now;
        }
    }

    fn update_directory(&self) {
        let directory = &self.channels.directory;
        let me = self.membership.peers().me();
        directory.insert(me.host.clone(), me.address, me.votes);
        for peer in self.membership.peers().live() {
            let update = &peer.update;
            directory.insert(update.host.clone(), update.address, update.votes);
            if directory.leader().is_none() && update.leader.is_some() {
                directory.set_leader(update.leader.clone());
            }
        }
    }

    /// Sends the replica thread the hosts that may become voters.
    fn send_learners(&mut self, now: MonotonicTime, voters: &quorum::VoterSet) {
        let Some(replica) = &self.channels.replica else { return };
        if now.saturating_since(self.learners_sent_at) < LEARNERS_INTERVAL {
            return;
        }
        self.learners_sent_at = now;
        let live = self.membership.peers().live().map(|peer| &peer.update);
        let learners: Vec<HostId> = live
            .filter(|peer| peer.votes && !voters.folders.contains_key(&peer.host))
            .map(|peer| peer.host.clone())
            .collect();
        let _ = replica.try_send(ReplicaInput::Learners(learners));
    }

    /// Logs membership changes; returns whether they can affect the choice of endpoint.
    fn log_changes(&mut self) -> bool {
        let mut changed = false;
        for change in self.membership.take_changes() {
            match change {
                EndpointChange::Renewed(_) => continue,
                EndpointChange::Joined(endpoint) => log::info!(endpoint:%; "endpoint joined"),
                EndpointChange::Leaving(endpoint) => log::info!(endpoint:%; "endpoint leaving"),
                EndpointChange::Expired(endpoint) => {
                    log::info!(endpoint:%; "endpoint lease expired")
                }
            }
            changed = true;
        }
        changed
    }

    fn publish(&self) {
        let roster = self.membership.roster(self.clock.now());
        self.channels.latest.store(Arc::clone(&roster));
        if let Err(flume::TrySendError::Full(roster)) = self.channels.rosters.try_send(roster) {
            let _ = self.channels.older_rosters.try_recv();
            let _ = self.channels.rosters.try_send(roster);
        }
    }
}

/// Returns the host's role in the quorum.
pub(crate) fn role(view: &ReplicaView, host: &HostId) -> QuorumRole {
    if !view.node.voters.admits(host, view.folder) {
        return QuorumRole::Observer;
    }
    match view.node.role {
        quorum::Role::Follower => QuorumRole::Follower,
        quorum::Role::Candidate => QuorumRole::Candidate,
        quorum::Role::Leader => QuorumRole::Leader,
    }
}

fn byte_count(message: &[u8]) -> ByteCount {
    ByteCount::new(message.len() as u64)
}

/// Returns whether a peer's revision is older than the newest.
pub(crate) fn is_laggard(peer: &member::Peer, newest: Revision) -> bool {
    peer.update.revision < newest
}
