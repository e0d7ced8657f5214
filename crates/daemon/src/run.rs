use std::{
    net::{SocketAddr, TcpListener},
    process::ExitCode,
    sync::Arc,
};

use eyre::WrapErr as _;

use crate::{
    Settings, SettingsError,
    admin::{self, Pages, Readiness},
    clock::Clock,
    edge::{self, Control, EdgeEnd, Rings},
    roster,
    signals::{self, Termination},
};

/// Messages in a ring between two threads.
const RING: usize = 1024;

/// Rosters in the ring to the edge thread; a full ring holds the roster thread back.
const ROSTER_RING: usize = 1;

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
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(cfg) {
        Ok(EdgeEnd { cut: 0 }) => ExitCode::SUCCESS,
        Ok(EdgeEnd { cut }) => {
            log::error!("ended by a second signal; requests cut: {cut}");
            ExitCode::from(EXIT_CUT)
        }
        Err(e) => {
            log::error!("{e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the daemon until a signal ends it.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be made.
pub fn run(cfg: Settings) -> eyre::Result<EdgeEnd> {
    let cfg = Arc::new(cfg);
    let clock = Clock::start();
    let (signal_tx, signal_rx) = flume::bounded(RING);
    let (announce_tx, announce_rx) = flume::bounded(RING);
    let (roster_tx, roster_rx) = flume::bounded(ROSTER_RING);
    let (control_tx, control_rx) = flume::bounded(RING);

    signals::spawn(signal_tx).wrap_err("could not watch signals")?;
    let latest = roster::Latest::default();
    roster::spawn(clock, announce_rx, roster_tx, latest.clone())?;
    let listener = bind(cfg.listen)?;
    let readiness = Readiness::default();
    let pages = Pages { readiness: readiness.clone(), roster: latest };
    admin::spawn(cfg.admin_listen, pages).wrap_err("could not serve the operator's pages")?;
    let rings = Rings { rosters: roster_rx, announcements: announce_tx, control: control_rx };
    let edge = edge::spawn(Arc::clone(&cfg), listener, rings)?;
    readiness.set(true);
    log::info!("host={} serving callers on {}", cfg.host, cfg.listen);

    let signal = signal_rx.recv().wrap_err("the signals thread ended")?;
    readiness.set(false);
    log::info!("host={} draining after a {signal:?} termination signal", cfg.host);
    if signal_rx.recv_timeout(cfg.timeouts.drain_notice) == Ok(Termination::Immediate) {
        let _ = control_tx.send(Control::Abort);
    }
    let _ = control_tx.send(Control::Drain);
    std::thread::spawn(move || {
        if signal_rx.recv().is_ok() {
            let _ = control_tx.send(Control::Abort);
        }
    });
    edge.join().map_err(|_| eyre::eyre!("the edge thread panicked"))
}

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("could not bind {address}"))
}
