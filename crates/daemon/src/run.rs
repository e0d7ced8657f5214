use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::WrapErr as _;
use telemetry::init_logs;

use crate::{
    Settings, SettingsError,
    edge::{ServerCommand, ServerExit},
    gateway::{Dialect, GatewaySettings},
    process::{CHANNEL_CAPACITY, Process},
    readiness::STARTUP_SYNC_TIMEOUT,
    replica::ReplicaInput,
    roster::RosterInput,
    signals::{self, Signal},
};

/// Time between checks whether the startup sync is complete.
const STARTUP_SYNC_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time that shutdown waits for another voter to become leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between checks whether the seeds in the settings have changed.
const SEEDS_POLL_INTERVAL: Duration = Duration::from_secs(1);

const EXIT_FAILED: u8 = 1;
const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_REQUESTS_ABORTED: u8 = 3;

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
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Runs the daemon and returns its exit code.
pub fn exit_code(cfg: Settings) -> ExitCode {
    if cfg.check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    run_with_logs(cfg, run)
}

/// Starts logging, runs the daemon and returns its exit code.
fn run_with_logs(
    cfg: Settings,
    run: impl FnOnce(Settings) -> eyre::Result<ServerExit>,
) -> ExitCode {
    let _logs = match init_logs(cfg.telemetry.log_format, cfg.telemetry.log_level) {
        Ok(guard) => guard,
        Err(e) => {
            eprintln!("{e:#}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    to_exit_code(run(cfg))
}

fn to_exit_code(end: eyre::Result<ServerExit>) -> ExitCode {
    match end {
        Ok(ServerExit { cut: 0 }) => ExitCode::SUCCESS,
        Ok(ServerExit { cut }) => {
            log::error!(cut; "shutdown aborted requests: second signal or drain timeout");
            ExitCode::from(EXIT_REQUESTS_ABORTED)
        }
        Err(e) => {
            log::error!(error:% = format!("{e:#}"); "daemon failed");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the daemon until a signal ends it.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the data folder can't be used, or a thread can't
/// be started.
pub fn run(cfg: Settings) -> eyre::Result<ServerExit> {
    let cfg = Arc::new(cfg);
    let (signal_tx, signals) = flume::bounded(CHANNEL_CAPACITY);
    signals::spawn(signal_tx).wrap_err("could not install signal handlers")?;
    let process = Process::start(&cfg)?;
    log::info!(host:% = cfg.host, address:% = cfg.listen; "serving callers");

    let signal = match wait_for_startup_sync(&process, &signals) {
        Some(signal) => signal,
        None => wait_for_termination(&signals)?,
    };
    shut_down(&cfg, process, signal, &signals)
}

/// Runs the daemon as a gateway with the given `dialect` and returns its exit code.
pub fn gateway_exit_code<D: Dialect>(
    cfg: Settings,
    gateway_cfg: GatewaySettings,
    dialect: D,
) -> ExitCode {
    run_with_logs(cfg, |cfg| run_gateway(cfg, gateway_cfg, dialect))
}

/// Runs the daemon as a gateway with the given `dialect` until a signal ends it.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the data folder can't be used, or a thread can't
/// be started.
pub fn run_gateway<D: Dialect>(
    cfg: Settings,
    gateway_cfg: GatewaySettings,
    dialect: D,
) -> eyre::Result<ServerExit> {
    let cfg = Arc::new(cfg);
    let (signal_tx, signals) = flume::bounded(CHANNEL_CAPACITY);
    signals::spawn(signal_tx).wrap_err("could not install signal handlers")?;
    let process = Process::start_gateway(&cfg, gateway_cfg, dialect.clone())?;
    log::info!(host:% = cfg.host, data_centre:% = cfg.data_centre; "serving as a gateway");
    let signal = watch_seeds(&process, &signals, &dialect, &cfg.seeds)?;
    shut_down(&cfg, process, signal, &signals)
}

/// Rereads the seeds on each reload signal and at intervals; returns on a termination signal.
fn watch_seeds<D: Dialect>(
    process: &Process,
    signals: &flume::Receiver<Signal>,
    dialect: &D,
    known: &[SocketAddr],
) -> eyre::Result<Signal> {
    let mut known = known.to_vec();
    loop {
        match signals.recv_timeout(SEEDS_POLL_INTERVAL) {
            Ok(Signal::Reload) => log::info!("reading the settings again"),
            Ok(signal) => return Ok(signal),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => eyre::bail!("the signals thread ended"),
        }
        match dialect.seeds() {
            Ok(seeds) if seeds != known => {
                log::info!(seeds = seeds.len(); "seeds changed");
                known.clone_from(&seeds);
                let _ = process.roster.send(RosterInput::Seeds(seeds));
            }
            Ok(_) => {}
            Err(e) => log::warn!(error:% = format!("{e:#}"); "settings reload failed"),
        }
    }
}

/// Waits for a termination signal; flags and the environment can't be reloaded.
fn wait_for_termination(signals: &flume::Receiver<Signal>) -> eyre::Result<Signal> {
    loop {
        match signals.recv().wrap_err("the signals thread ended")? {
            Signal::Reload => log::info!("reload signal ignored: changed flags need a restart"),
            signal => return Ok(signal),
        }
    }
}

fn shut_down(
    cfg: &Settings,
    process: Process,
    signal: Signal,
    signals: &flume::Receiver<Signal>,
) -> eyre::Result<ServerExit> {
    log::info!(host:% = cfg.host; "draining after a termination signal");
    begin_drain(&process, signal, signals, cfg.timeouts.drain_notice);
    let end = process.edge.join().map_err(|_| eyre::eyre!("the edge thread panicked"))?;
    transfer_leadership(process.replica.as_ref());
    log::info!(host:% = cfg.host, cut = end.cut; "shutdown complete");
    Ok(end)
}

/// Sets the router ready once the startup sync is complete or has timed out.
///
/// Returns a termination signal that arrives earlier.
fn wait_for_startup_sync(process: &Process, signals: &flume::Receiver<Signal>) -> Option<Signal> {
    let startup_sync = process.startup_sync.as_ref()?;
    let deadline = Instant::now() + STARTUP_SYNC_TIMEOUT;
    while !startup_sync.is_complete() && Instant::now() < deadline {
        match signals.recv_timeout(STARTUP_SYNC_POLL_INTERVAL) {
            Ok(Signal::Reload) | Err(_) => {}
            Ok(signal) => return Some(signal),
        }
    }
    process.readiness.set_ready();
    log::info!(revision:% = startup_sync.configurations.revision(); "router ready");
    None
}

/// Announces the drain to callers and peers, and stops accepting connections after the notice.
///
/// A second termination signal at any time aborts the drain.
fn begin_drain(
    process: &Process,
    signal: Signal,
    signals: &flume::Receiver<Signal>,
    notice: Duration,
) {
    process.readiness.set_draining();
    let _ = process.control.send(ServerCommand::Leave);
    let _ = process.roster.send(RosterInput::Draining);
    let second = match signal {
        Signal::Immediate => Some(signal),
        _ => next_termination(signals, notice),
    };
    if second.is_some() {
        let _ = process.control.send(ServerCommand::Abort);
    }
    let _ = process.control.send(ServerCommand::Drain);
    let (signals, control) = (signals.clone(), process.control.clone());
    std::thread::spawn(move || {
        if wait_for_termination(&signals).is_ok() {
            let _ = control.send(ServerCommand::Abort);
        }
    });
}

/// Returns the next termination signal that arrives within `span`.
fn next_termination(signals: &flume::Receiver<Signal>, span: Duration) -> Option<Signal> {
    let until = Instant::now() + span;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match signals.recv_timeout(left).ok()? {
            Signal::Reload => {}
            signal => return Some(signal),
        }
    }
}

/// Transfers leadership before the process ends, so that voters need no election timeout to notice
/// that the leader is gone.
fn transfer_leadership(replica: Option<&flume::Sender<ReplicaInput>>) {
    let Some(replica) = replica else { return };
    let (done, transferred) = flume::bounded(1);
    if replica.send(ReplicaInput::TransferLeadership(done)).is_ok() {
        let _ = transferred.recv_timeout(LEADERSHIP_TRANSFER_TIMEOUT);
    }
}
