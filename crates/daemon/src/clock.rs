use std::time::{Instant, SystemTime, UNIX_EPOCH};

use base::{MonotonicTime, UnixMillis};

/// The process's clocks, read here and handed to the cores as values.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::new(self.origin.elapsed())
    }

    pub(crate) fn wall(&self) -> UnixMillis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
