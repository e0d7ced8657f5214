use std::io;

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// A reload or termination request, from a Unix signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Reload the settings.
    Reload,
    /// Exit once all requests have ended.
    Graceful,
    /// Exit immediately.
    Immediate,
}

/// Starts the thread that converts Unix signals into messages; the second termination signal is
/// immediate.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed.
pub(crate) fn spawn(tx: flume::Sender<Signal>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut next = Signal::Graceful;
        for signal in signals.forever() {
            if signal == SIGHUP {
                let _ = tx.send(Signal::Reload);
                continue;
            }
            if tx.send(next).is_err() {
                return;
            }
            next = Signal::Immediate;
        }
    })?;
    Ok(())
}
