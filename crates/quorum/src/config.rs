use std::time::Duration;

use base::HostId;

/// A node's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// The hosts that found the log, the same list on each; the first writes the first entry.
    pub founders: Vec<HostId>,
    /// Shortest time without a leader before an election; each draw is up to twice as long.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// How much two hosts' clocks may drift apart within an election timeout.
    pub drift_margin: Duration,
    /// Size of a batch of entries, in bytes; a larger entry travels alone.
    pub max_batch: usize,
    /// Size of a part of a snapshot, in bytes.
    pub max_chunk: usize,
}

impl Config {
    /// Creates the settings of `host`, which founds no log.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            founders: Vec::new(),
            election_timeout: Duration::from_millis(300),
            heartbeat: Duration::from_millis(60),
            drift_margin: Duration::from_millis(30),
            max_batch: 256 << 10,
            max_chunk: 256 << 10,
        }
    }
}
