use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
};

use base::{Incarnation, Revision, Sequence, Term};
use eyre::WrapErr as _;
use member::{PeerState, PeerUpdate, Roster};
use telemetry::{Exporter, Metrics, QuorumRole, TraceConfig, Tracer};

use crate::{
    Settings,
    admin::{self, AdminContext},
    buffers::BufferBudget,
    clock::Clock,
    configurations::Configurations,
    directory::Directory,
    edge::{self, AdminQuery, EdgeChannels, ServerCommand, ServerExit},
    gateway::{self, Dialect, GatewayChannels, GatewayListeners, GatewaySettings, Identity},
    leader_client::LeaderClient,
    net,
    peers::{self, Envelope, Inbox, PeersConfig},
    readiness::{self, Readiness, StartupSync},
    replica::{self, ReplicaChannels, ReplicaConfig, ReplicaInput, ReplicaState},
    roster::{self, LatestRoster, RosterChannels, RosterInput},
};

/// Capacity of a channel between two threads, in messages.
pub(crate) const CHANNEL_CAPACITY: usize = 4096;

/// Capacity of the channel of rosters to the edge thread.
const ROSTER_CHANNEL_CAPACITY: usize = 1;

/// Capacity of the channel of operators' queries to the edge thread.
const ADMIN_QUERY_CHANNEL_CAPACITY: usize = 16;

/// Handles to the process's threads that shutdown needs.
pub(crate) struct Process {
    pub edge: JoinHandle<ServerExit>,
    pub control: flume::Sender<ServerCommand>,
    pub readiness: Readiness,
    /// State to receive from peers before the router is ready; `None` if it needs none.
    pub startup_sync: Option<StartupSync>,
    pub roster: flume::Sender<RosterInput>,
    pub replica: Option<flume::Sender<ReplicaInput>>,
    /// Exports the last spans on drop.
    _exporter: Option<Exporter>,
}

/// State shared by several threads.
struct SharedState {
    cfg: Arc<Settings>,
    clock: Clock,
    incarnation: Incarnation,
    metrics: Arc<Metrics>,
    directory: Directory,
    configurations: Configurations,
    latest: LatestRoster,
    replica_state: ReplicaState,
    readiness: Readiness,
    outbox: flume::Sender<Envelope>,
    roster: flume::Sender<RosterInput>,
    buffer_budget: Arc<BufferBudget>,
}

/// Channels to the replica and roster threads, which both interfaces for callers need.
struct CoreChannels {
    replica: Option<flume::Sender<ReplicaInput>>,
    leader: LeaderClient,
    rosters: flume::Receiver<Arc<Roster>>,
}

impl Process {
    /// Binds the addresses, opens the data folder and starts the threads.
    pub(crate) fn start(cfg: &Arc<Settings>) -> eyre::Result<Self> {
        let (outbox, outbox_rx) = flume::bounded(CHANNEL_CAPACITY);
        let (roster, roster_inputs) = flume::bounded(CHANNEL_CAPACITY);
        let shared = SharedState::new(cfg, outbox, roster)?;
        let (tracer, exporter) = tracing(cfg, &shared.metrics)?;
        let edge_listener = bind(cfg.listen)?;
        let peer_listener = bind(cfg.peer_listen)?;

        let CoreChannels { replica, leader, rosters } =
            shared.start_core_threads(peer_listener, outbox_rx, roster_inputs)?;
        let startup_sync = shared.startup_sync(leader.clone())?;
        let admin_queries = shared.start_admin(leader.clone())?;
        let (control, control_rx) = flume::bounded(CHANNEL_CAPACITY);
        let channels = EdgeChannels {
            rosters,
            announcements: shared.roster.clone(),
            control: control_rx,
            admin_queries,
            configurations: shared.configurations.clone(),
            leader,
            replica_state: shared.replica_state.clone(),
            incarnation: shared.incarnation,
            metrics: Arc::clone(&shared.metrics),
            buffer_budget: Arc::clone(&shared.buffer_budget),
            tracer,
        };
        let edge = edge::spawn(Arc::clone(cfg), shared.clock, edge_listener, channels)?;
        Ok(Self {
            edge,
            control,
            readiness: shared.readiness,
            startup_sync: Some(startup_sync),
            roster: shared.roster,
            replica,
            _exporter: exporter,
        })
    }

    /// Binds the addresses, opens the data folder and starts the threads, with the gateway in place
    /// of the edge thread.
    pub(crate) fn start_gateway<D: Dialect>(
        cfg: &Arc<Settings>,
        gateway_cfg: GatewaySettings,
        dialect: D,
    ) -> eyre::Result<Self> {
        let (outbox, outbox_rx) = flume::bounded(CHANNEL_CAPACITY);
        let (roster, roster_inputs) = flume::bounded(CHANNEL_CAPACITY);
        let shared = SharedState::new(cfg, outbox, roster)?;
        let listeners = GatewayListeners {
            callers: gateway_cfg.callers.map(bind_nonblocking).transpose()?,
            readiness: gateway_cfg.readiness.map(bind_nonblocking).transpose()?,
            control: gateway_cfg.control.map(bind_nonblocking).transpose()?,
        };
        let peer_listener = bind(cfg.peer_listen)?;
        let CoreChannels { replica, leader, rosters } =
            shared.start_core_threads(peer_listener, outbox_rx, roster_inputs)?;
        let admin_queries = shared.start_admin(leader.clone())?;
        let (control, control_rx) = flume::bounded(CHANNEL_CAPACITY);
        let channels = GatewayChannels {
            rosters,
            latest: shared.latest.clone(),
            roster: shared.roster.clone(),
            control: control_rx,
            admin_queries,
            leader,
            replica: replica.clone(),
            replica_state: shared.replica_state.clone(),
            metrics: Arc::clone(&shared.metrics),
            buffer_budget: Arc::clone(&shared.buffer_budget),
        };
        let identity = Identity {
            host: cfg.host.clone(),
            data_centre: cfg.data_centre.clone(),
            source: cfg.listen.ip(),
            drain_notice: cfg.timeouts.drain_notice,
        };
        let edge =
            gateway::spawn(gateway_cfg, dialect, identity, shared.clock, listeners, channels)?;
        Ok(Self {
            edge,
            control,
            readiness: shared.readiness,
            startup_sync: None,
            roster: shared.roster,
            replica,
            _exporter: None,
        })
    }
}

impl SharedState {
    fn new(
        cfg: &Arc<Settings>,
        outbox: flume::Sender<Envelope>,
        roster: flume::Sender<RosterInput>,
    ) -> eyre::Result<Self> {
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new()?);
        // Export these series from the start, so that they can be compared between hosts.
        metrics.set_configuration_revision(Revision::ZERO);
        metrics.set_quorum_state(QuorumRole::Observer, Term::ZERO);
        let configurations = match &cfg.data_dir {
            Some(data_dir) => Configurations::open(data_dir)
                .wrap_err("could not read the configuration in the data folder")?,
            None => Configurations::default(),
        };
        let buffer_budget =
            Arc::new(BufferBudget::new(cfg.limits.memory_bytes, Arc::clone(&metrics)));
        Ok(Self {
            cfg: Arc::clone(cfg),
            buffer_budget,
            clock,
            // Higher than that of any earlier process on this host.
            incarnation: Incarnation::new(clock.wall().as_u64()),
            metrics,
            directory: initial_directory(cfg, clock),
            configurations,
            latest: LatestRoster::default(),
            replica_state: ReplicaState::default(),
            readiness: Readiness::default(),
            outbox,
            roster,
        })
    }

    /// Starts the replica, roster and peers threads.
    fn start_core_threads(
        &self,
        peer_listener: TcpListener,
        outbox: flume::Receiver<Envelope>,
        roster_inputs: flume::Receiver<RosterInput>,
    ) -> eyre::Result<CoreChannels> {
        let replica = self.start_replica()?;
        let leader = self.leader_client(replica.clone());
        let rosters = self.start_roster(roster_inputs, replica.clone())?;
        self.start_peers(peer_listener, outbox, replica.clone())?;
        Ok(CoreChannels { replica, leader, rosters })
    }

    /// Starts the replica thread if this host is a voter.
    fn start_replica(&self) -> eyre::Result<Option<flume::Sender<ReplicaInput>>> {
        let (Some(data_dir), true) = (&self.cfg.data_dir, self.cfg.voter) else { return Ok(None) };
        let (tx, inputs) = flume::bounded(CHANNEL_CAPACITY);
        let replica_cfg = ReplicaConfig {
            host: self.cfg.host.clone(),
            founders: self.cfg.founders.clone(),
            data_dir: data_dir.clone(),
            healing: self.cfg.healing,
        };
        let channels = ReplicaChannels {
            inputs,
            outbox: self.outbox.clone(),
            directory: self.directory.clone(),
            configurations: self.configurations.clone(),
            roster: self.roster.clone(),
            state: self.replica_state.clone(),
        };
        replica::spawn(replica_cfg, self.clock, channels)?;
        Ok(Some(tx))
    }

    fn leader_client(&self, replica: Option<flume::Sender<ReplicaInput>>) -> LeaderClient {
        let (outbox, directory) = (self.outbox.clone(), self.directory.clone());
        LeaderClient::new(self.cfg.host.clone(), replica, outbox, directory)
    }

    /// Starts the roster thread; returns the channel of its rosters.
    fn start_roster(
        &self,
        inputs: flume::Receiver<RosterInput>,
        replica: Option<flume::Sender<ReplicaInput>>,
    ) -> eyre::Result<flume::Receiver<Arc<Roster>>> {
        let (rosters, rosters_rx) = flume::bounded(ROSTER_CHANNEL_CAPACITY);
        let me = self.own_peer_update(replica.is_some());
        let channels = RosterChannels {
            inputs,
            responses: self.roster.clone(),
            rosters,
            older_rosters: rosters_rx.clone(),
            latest: self.latest.clone(),
            outbox: self.outbox.clone(),
            directory: self.directory.clone(),
            configurations: self.configurations.clone(),
            replica,
            replica_state: self.replica_state.clone(),
            metrics: Arc::clone(&self.metrics),
        };
        roster::spawn(self.clock, me, self.cfg.seeds.clone(), channels)?;
        Ok(rosters_rx)
    }

    fn own_peer_update(&self, votes: bool) -> PeerUpdate {
        PeerUpdate {
            host: self.cfg.host.clone(),
            data_centre: self.cfg.data_centre.clone(),
            address: self.cfg.peer_advertise,
            incarnation: self.incarnation,
            sequence: Sequence::ZERO,
            heartbeat: Sequence::ZERO,
            revision: Revision::ZERO,
            leader: None,
            votes,
            draining: false,
            state: PeerState::Alive,
        }
    }

    fn start_peers(
        &self,
        listener: TcpListener,
        outbox: flume::Receiver<Envelope>,
        replica: Option<flume::Sender<ReplicaInput>>,
    ) -> eyre::Result<()> {
        let inbox = Inbox {
            roster: self.roster.clone(),
            replica,
            configurations: self.configurations.clone(),
        };
        let peers_cfg = PeersConfig {
            host: self.cfg.host.clone(),
            source: self.cfg.listen.ip(),
            fleet_key: self.cfg.fleet_key.clone(),
        };
        peers::spawn(peers_cfg, listener, inbox, outbox)?;
        Ok(())
    }

    fn startup_sync(&self, leader: LeaderClient) -> eyre::Result<StartupSync> {
        Ok(StartupSync {
            has_peers: self.cfg.seeds.iter().any(|seed| *seed != self.cfg.peer_advertise),
            roster: self.latest.clone(),
            configurations: self.configurations.clone(),
            committed: readiness::fetch_committed_revision(leader)?,
        })
    }

    /// Starts the admin thread; returns the channel of its queries to the edge thread.
    fn start_admin(&self, leader: LeaderClient) -> eyre::Result<flume::Receiver<AdminQuery>> {
        let (admin_queries, admin_queries_rx) = flume::bounded(ADMIN_QUERY_CHANNEL_CAPACITY);
        let context = AdminContext {
            cfg: Arc::clone(&self.cfg),
            clock: self.clock,
            incarnation: self.incarnation,
            readiness: self.readiness.clone(),
            roster: self.latest.clone(),
            replica: self.replica_state.clone(),
            configurations: self.configurations.clone(),
            leader,
            admin_queries,
            metrics: Arc::clone(&self.metrics),
            buffer_budget: Arc::clone(&self.buffer_budget),
        };
        admin::spawn(self.cfg.admin_listen, context)
            .wrap_err("could not start the admin interface")?;
        Ok(admin_queries_rx)
    }
}

/// Returns the hosts that the settings name, before any contact with them.
fn initial_directory(cfg: &Settings, clock: Clock) -> Directory {
    if !cfg.hosts_by_address {
        return Directory::new(clock, None);
    }
    let directory = Directory::new(clock, Some(cfg.peer_advertise.port()));
    for seed in &cfg.seeds {
        if let Ok(host) = seed.ip().to_string().parse() {
            directory.insert(host, *seed, true);
        }
    }
    directory
}

/// Starts the export of spans if a collector is configured.
fn tracing(cfg: &Settings, metrics: &Metrics) -> eyre::Result<(Tracer, Option<Exporter>)> {
    let Some(endpoint) = &cfg.telemetry.trace_endpoint else { return Ok((Tracer::off(), None)) };
    let trace_cfg = TraceConfig {
        endpoint: endpoint.to_string(),
        sample: cfg.telemetry.trace_sample,
        host: cfg.host.to_string(),
    };
    let (tracer, exporter) = Tracer::start(trace_cfg)?;
    metrics.watch_exporter(&exporter);
    Ok((tracer, Some(exporter)))
}

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    net::listen(address).wrap_err_with(|| format!("could not bind {address}"))
}

fn bind_nonblocking(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
