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
    process::{Process, RING},
    readiness::NEWS_TIMEOUT,
    replica::ReplicaInput,
    roster::RosterInput,
    signals::{self, Signal},
};

/// Time between looks at what the peers have told.
const NEWS_POLL: Duration = Duration::from_millis(10);

/// Longest time that the end of the process waits for another voter to lead.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between looks at whether the settings name other seeds.
const RELOAD_PERIOD: Duration = Duration::from_secs(1);

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
    logged(cfg, run)
}

/// Runs the daemon with its log and turns the way it ended into an exit code.
fn logged(cfg: Settings, run: impl FnOnce(Settings) -> eyre::Result<ServerExit>) -> ExitCode {
    let _logs = match init_logs(cfg.telemetry.log_format, cfg.telemetry.log_level) {
        Ok(guard) => guard,
        Err(e) => {
            eprintln!("{e:#}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    ended(run(cfg))
}

fn ended(end: eyre::Result<ServerExit>) -> ExitCode {
    match end {
        Ok(ServerExit { cut: 0 }) => ExitCode::SUCCESS,
        Ok(ServerExit { cut }) => {
            log::error!(cut; "ended with requests cut, by a second signal or at the end of its time");
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
pub fn run(cfg: Settings) -> eyre::Result<ServerExit> {
    let cfg = Arc::new(cfg);
    let (signal_tx, signals) = flume::bounded(RING);
    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let process = Process::start(&cfg)?;
    log::info!(host:% = cfg.host, address:% = cfg.listen; "serving callers");

    let signal = match wait_for_news(&process, &signals) {
        Some(signal) => signal,
        None => wait_for_end(&signals)?,
    };
    end(&cfg, process, signal, &signals)
}

/// Runs the daemon as a gateway in `dialect` and turns the way it ended into an exit code.
pub fn gateway_exit_code<D: Dialect>(
    cfg: Settings,
    gateway_cfg: GatewaySettings,
    dialect: D,
) -> ExitCode {
    logged(cfg, |cfg| run_gateway(cfg, gateway_cfg, dialect))
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
) -> eyre::Result<ServerExit> {
    let cfg = Arc::new(cfg);
    let (signal_tx, signals) = flume::bounded(RING);
    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let process = Process::start_gateway(&cfg, gateway_cfg, dialect.clone())?;
    log::info!(host:% = cfg.host, data_centre:% = cfg.data_centre; "serving as a gateway");
    let signal = follow_seeds(&process, &signals, &dialect, &cfg.seeds)?;
    end(&cfg, process, signal, &signals)
}

/// Reads the settings again after each signal to do so, and now and then, until one to end.
fn follow_seeds<D: Dialect>(
    process: &Process,
    signals: &flume::Receiver<Signal>,
    dialect: &D,
    known: &[SocketAddr],
) -> eyre::Result<Signal> {
    let mut known = known.to_vec();
    loop {
        match signals.recv_timeout(RELOAD_PERIOD) {
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
fn wait_for_end(signals: &flume::Receiver<Signal>) -> eyre::Result<Signal> {
    loop {
        match signals.recv().wrap_err("the signals thread ended")? {
            Signal::Reload => log::info!("nothing to read again; flags take a restart"),
            signal => return Ok(signal),
        }
    }
}

fn end(
    cfg: &Settings,
    process: Process,
    signal: Signal,
    signals: &flume::Receiver<Signal>,
) -> eyre::Result<ServerExit> {
    log::info!(host:% = cfg.host; "draining after a termination signal");
    begin_drain(&process, signal, signals, cfg.timeouts.drain_notice);
    let end = process.edge.join().map_err(|_| eyre::eyre!("the edge thread panicked"))?;
    hand_over(process.replica.as_ref());
    log::info!(host:% = cfg.host, cut = end.cut; "ended");
    Ok(end)
}

/// Turns ready once the peers' news is here or has taken too long; returns an earlier signal.
fn wait_for_news(process: &Process, signals: &flume::Receiver<Signal>) -> Option<Signal> {
    let news = process.news.as_ref()?;
    let deadline = Instant::now() + NEWS_TIMEOUT;
    while !news.is_here() && Instant::now() < deadline {
        match signals.recv_timeout(NEWS_POLL) {
            Ok(Signal::Reload) | Err(_) => {}
            Ok(signal) => return Some(signal),
        }
    }
    process.readiness.set_ready();
    log::info!(revision:% = news.configurations.revision(); "ready");
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
    let _ = process.control.send(ServerCommand::Leave);
    let _ = process.roster.send(RosterInput::Draining);
    let second = match signal {
        Signal::Immediate => Some(signal),
        _ => next_end(signals, notice),
    };
    if second.is_some() {
        let _ = process.control.send(ServerCommand::Abort);
    }
    let _ = process.control.send(ServerCommand::Drain);
    let (signals, control) = (signals.clone(), process.control.clone());
    std::thread::spawn(move || {
        if wait_for_end(&signals).is_ok() {
            let _ = control.send(ServerCommand::Abort);
        }
    });
}

/// Returns the next signal to end that comes within `span`.
fn next_end(signals: &flume::Receiver<Signal>, span: Duration) -> Option<Signal> {
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
fn hand_over(replica: Option<&flume::Sender<ReplicaInput>>) {
    let Some(replica) = replica else { return };
    let (done, handed_over) = flume::bounded(1);
    if replica.send(ReplicaInput::TransferLeadership(done)).is_ok() {
        let _ = handed_over.recv_timeout(HAND_OVER_TIMEOUT);
    }
}
