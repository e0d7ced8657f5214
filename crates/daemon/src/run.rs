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
    edge::{Control, EdgeEnd},
    gateway::{Dialect, GatewaySettings},
    process::{CHANNEL_CAPACITY, Process},
    readiness::STARTUP_SYNC_TIMEOUT,
    replica::ReplicaInput,
    roster::RosterInput,
    signals::{self, Signal},
};

/// Time between looks at what the peers have told.
const STARTUP_SYNC_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time that the end of the process waits for another voter to lead.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between looks at whether the settings name other seeds.
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

/// Runs the daemon and turns the way it ended into an exit code.
pub fn exit_code(cfg: Settings) -> ExitCode {
    if cfg.check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    run_with_logs(cfg, run)
}

/// Runs the daemon with its log and turns the way it ended into an exit code.
fn run_with_logs(cfg: Settings, run: impl FnOnce(Settings) -> eyre::Result<EdgeEnd>) -> ExitCode {
    let _logs = match init_logs(cfg.telemetry.log_format, cfg.telemetry.log_level) {
        Ok(guard) => guard,
        Err(e) => {
            eprintln!("{e:#}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    to_exit_code(run(cfg))
}

fn to_exit_code(end: eyre::Result<EdgeEnd>) -> ExitCode {
    match end {
        Ok(EdgeEnd { cut: 0 }) => ExitCode::SUCCESS,
        Ok(EdgeEnd { cut }) => {
            log::error!(cut; "ended with requests cut, by a second signal or at the end of its time");
            ExitCode::from(EXIT_REQUESTS_ABORTED)
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
    let (signal_tx, signals) = flume::bounded(CHANNEL_CAPACITY);
    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let process = Process::start(&cfg)?;
    log::info!(host:% = cfg.host, address:% = cfg.listen; "serving callers");

    let signal = match wait_for_startup_sync(&process, &signals) {
        Some(signal) => signal,
        None => wait_for_termination(&signals)?,
    };
    shut_down(&cfg, process, signal, &signals)
}

/// Runs the daemon as a gateway in `dialect` and turns the way it ended into an exit code.
pub fn gateway_exit_code<D: Dialect>(
    cfg: Settings,
    gateway_cfg: GatewaySettings,
    dialect: D,
) -> ExitCode {
    run_with_logs(cfg, |cfg| run_gateway(cfg, gateway_cfg, dialect))
}

/// Runs the daemon as a gateway in `dialect` until a signal ends it.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the data folder can't be used, or a thread can't
/// be made.
pub fn run_gateway<D: Dialect>(
    cfg: Settings,
    gateway_cfg: GatewaySettings,
    dialect: D,
) -> eyre::Result<EdgeEnd> {
    let cfg = Arc::new(cfg);
    let (signal_tx, signals) = flume::bounded(CHANNEL_CAPACITY);
    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let process = Process::start_gateway(&cfg, gateway_cfg, dialect.clone())?;
    log::info!(host:% = cfg.host, data_centre:% = cfg.data_centre; "serving as a gateway");
    let signal = watch_seeds(&process, &signals, &dialect, &cfg.seeds)?;
    shut_down(&cfg, process, signal, &signals)
}

/// Reads the settings again after each signal to do so, and now and then, until one to end.
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
                log::info!(seeds = seeds.len(); "other seeds are named");
                known.clone_from(&seeds);
                let _ = process.roster.send(RosterInput::Seeds(seeds));
            }
            Ok(_) => {}
            Err(e) => log::warn!(error:% = format!("{e:#}"); "the settings can't be read again"),
        }
    }
}

/// Waits for a signal that ends the process; flags and environment can't be read again.
fn wait_for_termination(signals: &flume::Receiver<Signal>) -> eyre::Result<Signal> {
    loop {
        match signals.recv().wrap_err("the signals thread ended")? {
            Signal::Reload => log::info!("nothing to read again; flags take a restart"),
            signal => return Ok(signal),
        }
    }
}

fn shut_down(
    cfg: &Settings,
    process: Process,
    signal: Signal,
    signals: &flume::Receiver<Signal>,
) -> eyre::Result<EdgeEnd> {
    log::info!(host:% = cfg.host; "draining after a termination signal");
    begin_drain(&process, signal, signals, cfg.timeouts.drain_notice);
    let end = process.edge.join().map_err(|_| eyre::eyre!("the edge thread panicked"))?;
    transfer_leadership(process.replica.as_ref());
    log::info!(host:% = cfg.host, cut = end.cut; "ended");
    Ok(end)
}

/// Turns ready once the peers' news is here or has taken too long; returns an earlier signal.
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
    log::info!(revision:% = startup_sync.configurations.revision(); "ready");
    None
}

/// Tells callers and peers that the router leaves, and after the notice accepts nothing more.
///
/// A second signal ends it at once, whenever it comes.
fn begin_drain(
    process: &Process,
    signal: Signal,
    signals: &flume::Receiver<Signal>,
    notice: Duration,
) {
    process.readiness.set_draining();
    let _ = process.control.send(Control::Leave);
    let _ = process.roster.send(RosterInput::Draining);
    let second = match signal {
        Signal::Immediate => Some(signal),
        _ => next_termination(signals, notice),
    };
    if second.is_some() {
        let _ = process.control.send(Control::Abort);
    }
    let _ = process.control.send(Control::Drain);
    let (signals, control) = (signals.clone(), process.control.clone());
    std::thread::spawn(move || {
        if wait_for_termination(&signals).is_ok() {
            let _ = control.send(Control::Abort);
        }
    });
}

/// Returns the next signal to end that comes within `span`.
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

/// Gives another voter the lead before the process ends, so that none has to miss the leader first.
fn transfer_leadership(replica: Option<&flume::Sender<ReplicaInput>>) {
    let Some(replica) = replica else { return };
    let (done, transferred) = flume::bounded(1);
    if replica.send(ReplicaInput::HandOver(done)).is_ok() {
        let _ = transferred.recv_timeout(LEADERSHIP_TRANSFER_TIMEOUT);
    }
}
