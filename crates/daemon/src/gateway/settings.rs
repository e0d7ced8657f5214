use std::{net::SocketAddr, time::Duration};

/// Time before the end of a lease on keys from which a host doesn't count on it.
const KEY_LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Time before the end of the bound from which a request would often wait too long at an engine
/// with outdated weights.
const OUTDATED_WEIGHTS_MARGIN: Duration = Duration::from_millis(3_000);

/// Time that it takes to call a request back from an engine that has not begun it.
const CANCELLATION_MARGIN: Duration = Duration::from_millis(400);

/// Time after which no order of an earlier holder is under way any more.
const ORDER_MARGIN: Duration = Duration::from_millis(500);

/// Time that the end of the process itself takes.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(900);

/// Settings of the gateway, beside those of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether callers may be sent here.
    pub readiness: Option<SocketAddr>,
    /// Where operators and endpoints connect.
    pub control: Option<SocketAddr>,
    /// Longest time for which a revoked key may still be used.
    pub max_revocation_delay: Duration,
    /// Longest time for which requests may begin on weights that are no longer the newest.
    pub max_weights_staleness: Duration,
    /// Time between the last order of one holder and the first of the next.
    pub order_lease: Duration,
    /// Bounds on what all hosts together send again.
    pub retries: FleetRetries,
    /// Time from the signal to end until the process is killed.
    pub grace_period: Duration,
}

impl GatewaySettings {
    /// Returns how long a proof that the configuration is the newest counts.
    pub(super) fn key_lease(&self) -> Duration {
        self.max_revocation_delay.saturating_sub(KEY_LEASE_MARGIN)
    }

    /// Returns the age of newer weights from which older ones serve nothing.
    pub(super) fn max_outdated_at_send(&self) -> Duration {
        self.max_weights_staleness
            .saturating_sub(OUTDATED_WEIGHTS_MARGIN.min(self.max_weights_staleness / 2))
    }

    /// Returns the age of newer weights at which requests that wait for older ones are called back.
    pub(super) fn max_outdated_at_start(&self) -> Duration {
        self.max_weights_staleness.saturating_sub(CANCELLATION_MARGIN)
    }

    /// Returns how long a new holder waits before its first order.
    pub(super) fn first_order_delay(&self) -> Duration {
        self.order_lease + ORDER_MARGIN
    }

    /// Returns the time from the end of accepting, which comes `notice` after the signal, to the end
    /// of the process, whatever is under way.
    pub(super) fn drain_limit(&self, notice: Duration) -> Duration {
        self.grace_period.saturating_sub(notice + SHUTDOWN_MARGIN)
    }
}

/// Bounds on what all hosts together send again to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetries {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in each window beyond those.
    pub extra: u32,
    /// The window.
    pub window: Duration,
}
