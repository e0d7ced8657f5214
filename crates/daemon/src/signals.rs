use std::io;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// A request to end the process, from a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Termination {
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
pub(crate) fn spawn(tx: flume::Sender<Termination>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut next = Termination::Graceful;
        for _ in signals.forever() {
            if tx.send(next).is_err() {
                return;
            }
            next = Termination::Immediate;
        }
    })?;
    Ok(())
}
