use std::time::Duration;

use base::{ByteCount, ByteRate, MonotonicTime};

use crate::TICK_INTERVAL;

/// Upper bound on the encoded length of a renewal without load, in bytes.
pub(crate) const RENEWAL_BYTES: usize = 16;

/// Upper bound on the encoded length of a load report, in bytes.
pub(crate) const LOAD_BYTES: usize = 18;

/// Number of times that a router transmits the same renewal.
pub(crate) const RENEWAL_COPIES: u32 = 3;

const MIN_RENEWAL_SPACING: Duration = Duration::from_millis(500);

/// Longest time between two renewals of an endpoint at which renewals still carry load reports.
const MAX_LOAD_SPACING: Duration = Duration::from_secs(5);

/// Limits on a router's gossip traffic, in encoded bytes without transport overhead.
///
/// Each byte sent is received by another router, so sent and received bytes together average twice
/// [`Budget::send_rate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Steady send rate.
    pub send_rate: ByteRate,
    /// Part of the steady rate that is available to renewals.
    pub renewal_rate: ByteRate,
    /// Longest message in steady state.
    pub max_message: ByteCount,
    /// Longest message while a router catches up.
    pub max_catch_up_message: ByteCount,
    /// Burst capacity for catching up after a start or a partition.
    pub reserve: ByteCount,
    /// Rate at which the reserve is refilled.
    pub reserve_refill_rate: ByteRate,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            send_rate: ByteRate::new(3_600),
            renewal_rate: ByteRate::new(1_500),
            max_message: ByteCount::new(1_000),
            max_catch_up_message: ByteCount::new(16_000),
            reserve: ByteCount::new(600_000),
            reserve_refill_rate: ByteRate::new(400),
        }
    }
}

impl Budget {
    /// Returns the time between two relayed renewals of an endpoint, among `endpoints` endpoints.
    pub fn renewal_spacing(&self, endpoints: usize) -> Duration {
        let without_load = self.renewal_cycle(endpoints, RENEWAL_BYTES);
        let with_load = self.renewal_cycle(endpoints, RENEWAL_BYTES + LOAD_BYTES);
        let spacing = if with_load <= MAX_LOAD_SPACING { with_load } else { without_load };
        spacing.max(MIN_RENEWAL_SPACING)
    }

    /// Returns whether renewals among `endpoints` endpoints carry load reports.
    pub fn relays_load(&self, endpoints: usize) -> bool {
        self.renewal_cycle(endpoints, RENEWAL_BYTES + LOAD_BYTES) <= MAX_LOAD_SPACING
    }

    /// Returns the shortest effective lease for a fleet of this size: three renewals and the
    /// dissemination time.
    pub fn lease_floor(&self, routers: usize, endpoints: usize) -> Duration {
        const RENEWALS_PER_LEASE: u32 = 3;
        self.renewal_spacing(endpoints) * RENEWALS_PER_LEASE + dissemination_time(routers)
    }

    /// Returns the age that announcements of running endpoints hardly ever reach: two renewals, one
    /// of which was lost, and the dissemination time.
    pub fn stale_after(&self, routers: usize, endpoints: usize) -> Duration {
        const RENEWAL_COUNT: u32 = 2;
        const MIN_STALE_AGE: Duration = Duration::from_millis(4_500);
        let age = self.renewal_spacing(endpoints) * RENEWAL_COUNT + dissemination_time(routers);
        age.max(MIN_STALE_AGE)
    }

    fn renewal_cycle(&self, endpoints: usize, bytes: usize) -> Duration {
        let sent = endpoints * bytes * RENEWAL_COPIES as usize;
        Duration::from_secs_f64(sent as f64 / self.renewal_rate.as_u64().max(1) as f64)
    }
}

/// Returns the time in which an update reaches nearly all of `routers` routers.
fn dissemination_time(routers: usize) -> Duration {
    const SPARE_ROUNDS: u32 = 3;
    TICK_INTERVAL * (SPARE_ROUNDS + (routers + 1).ilog2())
}

/// A token bucket that limits the bytes sent.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate: f64,
    capacity: f64,
    bytes: f64,
    refilled_at: MonotonicTime,
}

impl RateLimiter {
    /// Creates a full bucket.
    pub(crate) fn new(now: MonotonicTime, rate: ByteRate, capacity: ByteCount) -> Self {
        let capacity = capacity.as_u64() as f64;
        Self { rate: rate.as_u64() as f64, capacity, bytes: capacity, refilled_at: now }
    }

    /// Refills the bucket and returns the bytes that may be sent at `now`.
    pub(crate) fn available(&mut self, now: MonotonicTime) -> usize {
        let gained = self.rate * now.saturating_since(self.refilled_at).as_secs_f64();
        self.bytes = (self.bytes + gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        self.bytes.max(0.0) as usize
    }

    /// Returns `bytes` to the bucket because another one is charged for them.
    pub(crate) fn refund(&mut self, bytes: usize) {
        self.bytes += bytes as f64;
    }

    /// Charges `bytes`; the balance may become negative.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
