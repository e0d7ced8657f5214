//! Settings of the gateway.

use std::{net::SocketAddr, time::Duration};

use fleet::ConfigurationLease;

/// Time by which a host stops relying on its key lease before the lease ends.
const KEY_LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Time before the staleness bound from which engines with outdated weights get no requests, because
/// requests queued there would often start after the bound.
const OUTDATED_WEIGHTS_MARGIN: Duration = Duration::from_millis(3_000);

/// Time that it takes to cancel a request at an engine that has not started it.
const CANCELLATION_MARGIN: Duration = Duration::from_millis(400);

/// Time after which no order of an earlier lease holder is in flight.
const ORDER_MARGIN: Duration = Duration::from_millis(500);

/// Time that the shutdown of the process itself takes.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(900);

/// Settings of the gateway, in addition to those of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Listen address for callers.
    pub callers: Option<SocketAddr>,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Listen address for control requests of operators and endpoints.
    pub control: Option<SocketAddr>,
    /// For how long this host goes by a configuration that the leader no longer confirms.
    pub configuration_lease: ConfigurationLease,
    /// Longest time for which a revoked key may still be used.
    pub max_revocation_delay: Duration,
    /// Longest time for which requests may start on weights that are no longer the newest.
    pub max_weights_staleness: Duration,
    /// Time between the last order of one lease holder and the first of the next.
    pub order_lease: Duration,
    /// Retry budget of all hosts together.
    pub retries: FleetRetries,
    /// Time from the shutdown signal until the process is killed.
    pub grace_period: Duration,
    /// Whether endpoints are compared by the speed that all hosts observe.
    pub endpoint_performance: bool,
    /// Whether this host learns the speed of each service's engines from its own prompts.
    pub service_speed: bool,
    /// Admission of prompts under overload.
    pub overload: OverloadSettings,
    /// What may run for an organisation in addition to its quota.
    pub quota_bounds: quota::Bounds,
}

/// Which decisions a gateway takes under overload; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverloadSettings {
    /// Whether urgent prompts wait only for urgent work, and find slots reserved, in configurations
    /// with quotas.
    pub prefers_urgent: bool,
    /// Whether the tokens in flight at an engine stay within its memory.
    pub bounds_memory: bool,
    /// Whether organisations over their equal share are refused first, in configurations with quotas.
    pub shares_tokens: bool,
    /// Whether every engine takes long and short prompts alike; otherwise each kind prefers a part of
    /// the engines.
    pub mixes_lengths: bool,
}

impl GatewaySettings {
    /// Returns for how long the leader's report that the configuration is the newest is valid.
    pub(super) fn key_lease(&self) -> Duration {
        self.max_revocation_delay.saturating_sub(KEY_LEASE_MARGIN)
    }

    /// Returns the age of newer weights from which older ones get no requests.
    pub(super) fn max_outdated_at_send(&self) -> Duration {
        self.max_weights_staleness
            .saturating_sub(OUTDATED_WEIGHTS_MARGIN.min(self.max_weights_staleness / 2))
    }

    /// Returns the age of newer weights at which requests queued for older ones are cancelled.
    pub(super) fn max_outdated_at_start(&self) -> Duration {
        self.max_weights_staleness.saturating_sub(CANCELLATION_MARGIN)
    }

    /// Returns how long a new lease holder waits before its first order.
    pub(super) fn first_order_delay(&self) -> Duration {
        self.order_lease + ORDER_MARGIN
    }

    /// Returns how long the process drains after its listeners close, which is `notice` after the
    /// shutdown signal; requests still in flight then are dropped.
    pub(super) fn drain_limit(&self, notice: Duration) -> Duration {
        self.grace_period.saturating_sub(notice + SHUTDOWN_MARGIN)
    }
}

/// Retry budget of all hosts together for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetries {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub extra: u32,
    /// The window.
    pub window: Duration,
}
