use std::io;

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// A request to the process, from a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Read the settings again.
    Reload,
    /// End once all requests have ended.
    Graceful,
    /// End at once.
    Immediate,
}

/// Starts the thread that turns signals into messages.
///
/// # Errors
///
/// Returns an error if the signals can't be watched.
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
