use std::time::Duration;

use base::HostId;

/// A node's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// The founders of the log, the same list on each; the first one writes the first entry.
    pub founders: Vec<HostId>,
    /// Minimum time without a leader before an election; each timeout is drawn between this and
    /// twice this.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Maximum drift between two hosts' clocks within an election timeout.
    pub max_clock_drift: Duration,
    /// Maximum size of a batch of entries, in bytes; a larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum size of a snapshot chunk, in bytes.
    pub max_chunk_bytes: usize,
}

impl Config {
    /// Creates the settings of `host` with default timing and no founders.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            founders: Vec::new(),
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(60),
            max_clock_drift: Duration::from_millis(30),
            max_batch_bytes: 256 << 10,
            max_chunk_bytes: 256 << 10,
        }
    }
}
