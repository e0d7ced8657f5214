use std::time::Instant;

use base::MonotonicTime;

/// The process's monotonic clock, read here and handed to the cores as a value.
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
}
