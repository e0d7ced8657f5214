use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{MonotonicTime, UnixMillis};
use rustix::time::{ClockId, clock_gettime};

/// The process's monotonic and wall clocks; state machines get their readings as arguments.
///
/// The monotonic clock advances while the host is suspended, so that no lease outlives a
/// suspension.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { origin: since_boot() }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::new(since_boot().saturating_sub(self.origin))
    }

    pub(crate) fn wall(&self) -> UnixMillis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or_default())
}
