use std::time::Duration;

use base::{MonotonicTime, RequestRate};

/// Longest time that an endpoint may keep requests away for.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Part of the stated time over which routers spread their return.
const SPREAD_SHARE: f64 = 0.25;

/// Longest time over which routers spread their return.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// What an endpoint states about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointNotice {
    /// Whether it leaves and accepts no new requests.
    pub leaving: bool,
    /// The time for which it accepts no requests from this router, if it refuses one.
    pub wait: Option<Duration>,
    /// The rate of requests that it accepts from all routers together, while it states one.
    pub limit: Option<RequestRate>,
}

/// The time until which an endpoint accepts no requests from this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedWait {
    until: MonotonicTime,
}

impl StatedWait {
    /// Applies a wait that was stated at `now`; `draw`, from 0 to 1, is this router's place among
    /// those that return.
    ///
    /// A shorter wait doesn't end a longer one.
    pub fn record(&mut self, now: MonotonicTime, stated: Duration, draw: f64) {
        let stated = stated.min(MAX_WAIT);
        let spread = stated.mul_f64(SPREAD_SHARE).min(MAX_SPREAD).mul_f64(draw.clamp(0.0, 1.0));
        self.until = self.until.max(now + stated + spread);
    }

    /// Returns the time that is left of the wait.
    pub fn left(&self, now: MonotonicTime) -> Duration {
        self.until.saturating_since(now)
    }
}
