use std::{net::SocketAddr, time::Duration};

/// Settings of the gateway, beside those of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether callers may be sent here.
    pub readiness: Option<SocketAddr>,
    /// Where operators and endpoints connect.
    pub control: Option<SocketAddr>,
    /// Longest time for which a proof that the configuration is the newest counts.
    pub key_lease: Duration,
    /// Time after the naming of new weights up to which requests may begin on older ones.
    pub weights_bound: Duration,
    /// Time in which the orders of another holder may still count, so that this one waits.
    pub order_lease: Duration,
    /// Bounds on what all hosts together send again.
    pub retries: FleetRetries,
    /// Time from the end of accepting to the end of the process, whatever is under way.
    pub drain_limit: Duration,
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
