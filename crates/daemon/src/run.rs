use std::{
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::WrapErr as _;
use telemetry::init_logs;

use crate::{
    Settings, SettingsError,
    edge::{Control, EdgeEnd},
    process::{Process, RING},
    readiness::NEWS_TIMEOUT,
    replica::ReplicaInput,
    roster::RosterInput,
    signals::{self, Termination},
};

/// Time between looks at what the peers have told.
const NEWS_POLL: Duration = Duration::from_millis(10);

/// Longest time that the end of the process waits for another voter to lead.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

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
    let (signal_tx, signals) = flume::bounded(RING);
    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let process = Process::start(&cfg)?;
    log::info!(host:% = cfg.host, address:% = cfg.listen; "serving callers");

    let signal = match wait_for_news(&process, &signals) {
        Some(signal) => signal,
        None => signals.recv().wrap_err("the signals thread ended")?,
    };
    log::info!(host:% = cfg.host; "draining after a termination signal");
    begin_drain(&process, signal, &signals, cfg.timeouts.drain_notice);
    let end = process.edge.join().map_err(|_| eyre::eyre!("the edge thread panicked"))?;
    hand_over(process.replica.as_ref());
    Ok(end)
}

/// Turns ready once the peers' news is here or has taken too long; returns an earlier signal.
fn wait_for_news(process: &Process, signals: &flume::Receiver<Termination>) -> Option<Termination> {
    let deadline = Instant::now() + NEWS_TIMEOUT;
    while !process.news.is_here() && Instant::now() < deadline {
        if let Ok(signal) = signals.recv_timeout(NEWS_POLL) {
            return Some(signal);
        }
    }
    process.readiness.set_ready();
    log::info!(revision:% = process.news.configurations.revision(); "ready");
    None
}

/// Tells callers and peers that the router leaves, and after the notice accepts nothing more.
///
/// A second signal ends it at once, whenever it comes.
fn begin_drain(
    process: &Process,
    signal: Termination,
    signals: &flume::Receiver<Termination>,
    notice: Duration,
) {
    process.readiness.set_draining();
    let _ = process.control.send(Control::Leave);
    let _ = process.roster.send(RosterInput::Draining);
    let second = match signal {
        Termination::Graceful => signals.recv_timeout(notice),
        Termination::Immediate => Ok(signal),
    };
    if second.is_ok() {
        let _ = process.control.send(Control::Abort);
    }
    let _ = process.control.send(Control::Drain);
    let (signals, control) = (signals.clone(), process.control.clone());
    std::thread::spawn(move || {
        if signals.recv().is_ok() {
            let _ = control.send(Control::Abort);
        }
    });
}

/// Gives another voter the lead before the process ends, so that none has to miss the leader first.
fn hand_over(replica: Option<&flume::Sender<ReplicaInput>>) {
    let Some(replica) = replica else { return };
    let (done, handed_over) = flume::bounded(1);
    if replica.send(ReplicaInput::HandOver(done)).is_ok() {
        let _ = handed_over.recv_timeout(HAND_OVER_TIMEOUT);
    }
}
