use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use member::{Announcement, Endpoints};

use crate::clock::Clock;

/// Time between looks at which leases have ended.
const TICK: Duration = Duration::from_millis(100);

/// A view of the endpoints that may get new work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    /// The endpoints.
    pub endpoints: Vec<Announcement>,
}

/// The newest roster, for threads that only look now and then.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latest(Arc<Mutex<Arc<Roster>>>);

impl Latest {
    pub(crate) fn load(&self) -> Arc<Roster> {
        Arc::clone(&self.lock())
    }

    fn store(&self, roster: Arc<Roster>) {
        *self.lock() = roster;
    }

    fn lock(&self) -> MutexGuard<'_, Arc<Roster>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the thread that keeps the endpoints' leases.
///
/// # Errors
///
/// Returns an error if the thread can't be made.
pub(crate) fn spawn(
    clock: Clock,
    announcements: flume::Receiver<Announcement>,
    rosters: flume::Sender<Arc<Roster>>,
    latest: Latest,
) -> io::Result<()> {
    std::thread::Builder::new().name("roster".into()).spawn(move || {
        let mut endpoints = Endpoints::default();
        loop {
            match announcements.recv_timeout(TICK) {
                Ok(announcement) => announce(&mut endpoints, clock, announcement),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for announcement in announcements.try_iter() {
                announce(&mut endpoints, clock, announcement);
            }
            for change in endpoints.tick(clock.now()) {
                log::info!("endpoint change: {change:?}");
            }
            let roster = Arc::new(Roster { endpoints: endpoints.ready().cloned().collect() });
            latest.store(Arc::clone(&roster));
            if rosters.send(roster).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}

fn announce(endpoints: &mut Endpoints, clock: Clock, announcement: Announcement) {
    match endpoints.announce(clock.now(), announcement, Duration::ZERO) {
        Ok(member::Change::Renewed(_)) => {}
        Ok(change) => log::info!("endpoint change: {change:?}"),
        Err(stale) => log::debug!("announcement dropped: {stale}"),
    }
}
