use std::time::Duration;

use base::{ByteCount, ByteRate, MonotonicTime};

use crate::TICK_INTERVAL;

/// Bound on the encoded length of a renewal without load, in bytes.
pub(crate) const RENEWAL_BYTES: usize = 16;

/// Bound on the encoded length of a report of load, in bytes.
pub(crate) const LOAD_BYTES: usize = 18;

/// Number of times that a router sends the same renewal.
pub(crate) const RENEWAL_COPIES: u32 = 3;

const SHORTEST_SPACING: Duration = Duration::from_millis(500);
const LONGEST_LOAD_SPACING: Duration = Duration::from_secs(5);

/// Bytes that a router may spend on gossip, as encoded without the transport's own overhead.
///
/// What a router sends, others receive: on average each one spends twice [`Budget::send`] in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Steady rate of sending.
    pub send: ByteRate,
    /// Part of the steady rate that renewals are spaced for.
    pub renewals: ByteRate,
    /// Longest message of the steady exchange.
    pub message: ByteCount,
    /// Longest message while a router catches up.
    pub catch_up_message: ByteCount,
    /// Reserve for catching up after a start or a partition.
    pub reserve: ByteCount,
    /// Rate at which the reserve fills up again.
    pub reserve_refill: ByteRate,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            send: ByteRate::new(3_600),
            renewals: ByteRate::new(1_500),
            message: ByteCount::new(1_000),
            catch_up_message: ByteCount::new(16_000),
            reserve: ByteCount::new(600_000),
            reserve_refill: ByteRate::new(400),
        }
    }
}

impl Budget {
    /// Returns the time between two relayed renewals of one of `endpoints` endpoints.
    pub fn renewal_spacing(&self, endpoints: usize) -> Duration {
        let bare = self.wave(endpoints, RENEWAL_BYTES);
        let loaded = self.wave(endpoints, RENEWAL_BYTES + LOAD_BYTES);
        let spacing = if loaded <= LONGEST_LOAD_SPACING { loaded } else { bare };
        spacing.max(SHORTEST_SPACING)
    }

    /// Returns whether renewals among `endpoints` endpoints carry reports of load.
    pub fn relays_load(&self, endpoints: usize) -> bool {
        self.wave(endpoints, RENEWAL_BYTES + LOAD_BYTES) <= LONGEST_LOAD_SPACING
    }

    /// Returns the shortest lease that counts among so many routers and endpoints: three renewals
    /// and the time that news takes to spread.
    pub fn lease_floor(&self, routers: usize, endpoints: usize) -> Duration {
        const RENEWALS_PER_LEASE: u32 = 3;
        self.renewal_spacing(endpoints) * RENEWALS_PER_LEASE + spread_time(routers)
    }

    /// Returns the age from which an announcement is older than those of nearly all endpoints that
    /// run: two renewals, one of which was lost, and the time that news takes to spread.
    pub fn stale_after(&self, routers: usize, endpoints: usize) -> Duration {
        const RENEWALS: u32 = 2;
        const SHORTEST: Duration = Duration::from_millis(4_500);
        let age = self.renewal_spacing(endpoints) * RENEWALS + spread_time(routers);
        age.max(SHORTEST)
    }

    fn wave(&self, endpoints: usize, bytes: usize) -> Duration {
        let sent = endpoints * bytes * RENEWAL_COPIES as usize;
        Duration::from_secs_f64(sent as f64 / self.renewals.as_u64().max(1) as f64)
    }
}

/// Returns the time in which news reaches nearly all of so many routers.
fn spread_time(routers: usize) -> Duration {
    const SPARE_ROUNDS: u32 = 3;
    TICK_INTERVAL * (SPARE_ROUNDS + (routers + 1).ilog2())
}

/// Bytes that may be sent now, refilled at a steady rate.
#[derive(Debug)]
pub(crate) struct Allowance {
    rate: f64,
    most: f64,
    bytes: f64,
    filled: MonotonicTime,
}

impl Allowance {
    /// Starts full.
    pub(crate) fn new(now: MonotonicTime, rate: ByteRate, most: ByteCount) -> Self {
        let most = most.as_u64() as f64;
        Self { rate: rate.as_u64() as f64, most, bytes: most, filled: now }
    }

    /// Returns the bytes that may be sent at `now`.
    pub(crate) fn left(&mut self, now: MonotonicTime) -> usize {
        let gained = self.rate * now.saturating_since(self.filled).as_secs_f64();
        self.bytes = (self.bytes + gained).min(self.most);
        self.filled = self.filled.max(now);
        self.bytes.max(0.0) as usize
    }

    /// Gives back `bytes` that another allowance pays for.
    pub(crate) fn give_back(&mut self, bytes: usize) {
        self.bytes += bytes as f64;
    }

    /// Takes `bytes`, which may leave a debt.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
