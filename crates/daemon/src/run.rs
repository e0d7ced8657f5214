use std::{
    net::{SocketAddr, TcpListener},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Incarnation, Revision, Sequence, Term};
use eyre::WrapErr as _;
use member::{PeerState, PeerUpdate};
use telemetry::{Exporter, Metrics, QuorumRole, TraceConfig, Tracer, init_logs};

use crate::{
    Settings, SettingsError,
    admin::{self, Sources},
    clock::Clock,
    configurations::Configurations,
    directory::Directory,
    edge::{self, Control, EdgeEnd, Rings},
    leader_client::LeaderClient,
    net,
    peers::{self, Inbox, PeersConfig},
    readiness::{self, NEWS_TIMEOUT, News, Readiness},
    replica::{self, ReplicaConfig, ReplicaInput, ReplicaRings, ReplicaState},
    roster::{self, Latest, RosterInput, RosterRings},
    signals::{self, Termination},
};

/// Messages in a ring between two threads.
const RING: usize = 4096;

/// Rosters in the ring to the edge thread.
const ROSTER_RING: usize = 1;

/// Operators' questions in the ring to the edge thread.
const INQUIRY_RING: usize = 16;

/// Time between looks at what the peers have told.
const NEWS_POLL: Duration = Duration::from_millis(10);

const EXIT_FAILED: u8 = 1;
const EXIT_SETTINGS: u8 = 2;
const EXIT_CUT: u8 = 3;

/// Runs the daemon with the process's settings and returns its exit code.
pub fn main() -> ExitCode {
    match Settings::from_process() {
        Ok(cfg) => exit_code(cfg),
        Err(SettingsError::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// Runs the daemon and turns the way it ended into an exit code.
pub fn exit_code(cfg: Settings) -> ExitCode {
    if cfg.check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(e) = init_logs(cfg.telemetry.log_format, cfg.telemetry.log_level) {
        eprintln!("{e:#}");
        return ExitCode::from(EXIT_FAILED);
    }
    match run(cfg) {
        Ok(EdgeEnd { cut: 0 }) => ExitCode::SUCCESS,
        Ok(EdgeEnd { cut }) => {
            log::error!(cut; "ended by a second signal");
            ExitCode::from(EXIT_CUT)
        }
        Err(e) => {
            log::error!(error:% = format!("{e:#}"); "failed");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the daemon until a signal ends it.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the data folder can't be used, or a thread can't
/// be made.
pub fn run(cfg: Settings) -> eyre::Result<EdgeEnd> {
    let cfg = Arc::new(cfg);
    let (signal_tx, signal_rx) = flume::bounded(RING);
    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let process = Process::start(&cfg)?;
    log::info!(host:% = cfg.host, address:% = cfg.listen; "serving callers");

    let signal = match process.wait_for_news(&signal_rx) {
        Some(signal) => signal,
        None => signal_rx.recv().wrap_err("the signals thread ended")?,
    };
    log::info!(host:% = cfg.host; "draining after a termination signal");
    process.readiness.set_draining();
    let _ = process.control.send(Control::Leave);
    let _ = process.roster.send(RosterInput::Draining);
    let notice = match signal {
        Termination::Graceful => signal_rx.recv_timeout(cfg.timeouts.drain_notice),
        Termination::Immediate => Ok(signal),
    };
    if notice.is_ok() {
        let _ = process.control.send(Control::Abort);
    }
    let _ = process.control.send(Control::Drain);
    let control = process.control.clone();
    std::thread::spawn(move || {
        if signal_rx.recv().is_ok() {
            let _ = control.send(Control::Abort);
        }
    });
    let end = process.edge.join().map_err(|_| eyre::eyre!("the edge thread panicked"))?;
    if let Some(replica) = &process.replica {
        let _ = replica.send(ReplicaInput::HandOver);
    }
    Ok(end)
}

/// The process's threads, as far as its end needs them.
struct Process {
    edge: std::thread::JoinHandle<EdgeEnd>,
    control: flume::Sender<Control>,
    readiness: Readiness,
    news: News,
    roster: flume::Sender<RosterInput>,
    replica: Option<flume::Sender<ReplicaInput>>,
    /// Sends the last spans on drop.
    _exporter: Option<Exporter>,
}

impl Process {
    /// Turns ready once the peers' news is here or has taken too long; returns an earlier signal.
    fn wait_for_news(&self, signals: &flume::Receiver<Termination>) -> Option<Termination> {
        let deadline = Instant::now() + NEWS_TIMEOUT;
        while !self.news.is_here() && Instant::now() < deadline {
            if let Ok(signal) = signals.recv_timeout(NEWS_POLL) {
                return Some(signal);
            }
        }
        self.readiness.set_ready();
        log::info!(revision:% = self.news.configurations.revision(); "ready");
        None
    }

    fn start(cfg: &Arc<Settings>) -> eyre::Result<Self> {
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new()?);
        // Series that are there from the start can be compared between hosts.
        metrics.revision(Revision::ZERO);
        metrics.quorum(QuorumRole::Observer, Term::ZERO);
        let (tracer, exporter) = tracing(cfg, &metrics)?;
        let incarnation = new_incarnation(clock);
        let (outbox_tx, outbox_rx) = flume::bounded(RING);
        let (roster_input_tx, roster_input_rx) = flume::bounded(RING);
        let (roster_tx, roster_rx) = flume::bounded(ROSTER_RING);
        let (control_tx, control_rx) = flume::bounded(RING);
        let directory = Directory::default();
        let configurations = match &cfg.data_dir {
            Some(data_dir) => Configurations::open(data_dir)
                .wrap_err("the configuration in the data folder can't be used")?,
            None => Configurations::default(),
        };
        let replica_state = ReplicaState::default();
        let latest = Latest::default();

        let edge_listener = bind(cfg.listen)?;
        let peer_listener = bind(cfg.peer_listen)?;
        let replica = match (&cfg.data_dir, cfg.voter) {
            (Some(data_dir), true) => {
                let (tx, rx) = flume::bounded(RING);
                let replica_cfg = ReplicaConfig {
                    host: cfg.host.clone(),
                    founders: cfg.founders.clone(),
                    data_dir: data_dir.clone(),
                };
                let rings = ReplicaRings {
                    inputs: rx,
                    outbox: outbox_tx.clone(),
                    directory: directory.clone(),
                    configurations: configurations.clone(),
                    state: replica_state.clone(),
                };
                replica::spawn(replica_cfg, clock, rings)?;
                Some(tx)
            }
            _ => None,
        };
        let leader = LeaderClient::new(
            cfg.host.clone(),
            replica.clone(),
            outbox_tx.clone(),
            directory.clone(),
        );
        let rings = RosterRings {
            inputs: roster_input_rx,
            answers: roster_input_tx.clone(),
            rosters: roster_tx,
            older_rosters: roster_rx.clone(),
            latest: latest.clone(),
            outbox: outbox_tx,
            directory,
            configurations: configurations.clone(),
            replica: replica.clone(),
            replica_state: replica_state.clone(),
            metrics: Arc::clone(&metrics),
        };
        let me = myself(cfg, incarnation, replica.is_some());
        roster::spawn(clock, me, cfg.seeds.clone(), rings)?;
        let inbox = Inbox {
            roster: roster_input_tx.clone(),
            replica: replica.clone(),
            configurations: configurations.clone(),
        };
        let peers_cfg = PeersConfig {
            host: cfg.host.clone(),
            source: cfg.listen.ip(),
            fleet_key: cfg.fleet_key.clone(),
        };
        peers::spawn(peers_cfg, peer_listener, inbox, outbox_rx)?;
        let readiness = Readiness::default();
        let (inquiry_tx, inquiry_rx) = flume::bounded(INQUIRY_RING);
        let news = News {
            awaited: cfg.seeds.iter().any(|seed| *seed != cfg.peer_advertise),
            roster: latest.clone(),
            configurations: configurations.clone(),
            committed: readiness::ask_leader(leader.clone())?,
        };
        let sources = Sources {
            cfg: Arc::clone(cfg),
            clock,
            incarnation,
            readiness: readiness.clone(),
            roster: latest,
            replica: replica_state,
            configurations: configurations.clone(),
            leader: leader.clone(),
            inquiries: inquiry_tx,
            metrics: Arc::clone(&metrics),
        };
        admin::spawn(cfg.admin_listen, sources).wrap_err("could not serve the operator's pages")?;
        let rings = Rings {
            rosters: roster_rx,
            announcements: roster_input_tx.clone(),
            control: control_rx,
            inquiries: inquiry_rx,
            configurations,
            leader,
            incarnation,
            metrics,
            tracer,
        };
        let edge = edge::spawn(Arc::clone(cfg), clock, edge_listener, rings)?;
        Ok(Self {
            edge,
            control: control_tx,
            readiness,
            news,
            roster: roster_input_tx,
            replica,
            _exporter: exporter,
        })
    }
}

/// Starts the export of spans, if an endpoint is set.
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

fn myself(cfg: &Settings, incarnation: Incarnation, votes: bool) -> PeerUpdate {
    PeerUpdate {
        host: cfg.host.clone(),
        data_centre: cfg.data_centre.clone(),
        address: cfg.peer_advertise,
        incarnation,
        sequence: Sequence::ZERO,
        heartbeat: Sequence::ZERO,
        revision: Revision::ZERO,
        leader: None,
        votes,
        draining: false,
        state: PeerState::Alive,
    }
}

/// Returns a number higher than that of any earlier process on this host.
fn new_incarnation(clock: Clock) -> Incarnation {
    Incarnation::new(clock.wall().as_u64())
}

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    net::listen(address).wrap_err_with(|| format!("could not bind {address}"))
}
