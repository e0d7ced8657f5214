use std::time::Duration;

/// How long a host may go by a configuration that the leader has not confirmed since.
///
/// A change is acknowledged only by a leader. A host that has heard of a leader but can't reach it
/// must expect changes; one that knows of none may wait longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationLease {
    /// Time after its acknowledgement by which every host applies a change.
    pub max_delay: Duration,
    /// Additional time that this may take while the quorum is unstable.
    pub max_unstable_delay: Duration,
}

/// What a host knows of the quorum's leader when the leader hasn't responded lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderSighting {
    /// A voter has named the leader lately.
    Named,
    /// No voter has.
    Unknown,
}

impl ConfigurationLease {
    /// Returns whether a configuration last confirmed `unconfirmed` ago may still be used.
    pub fn is_valid(&self, unconfirmed: Duration, leader: LeaderSighting) -> bool {
        let limit = match leader {
            LeaderSighting::Named => self.max_delay,
            LeaderSighting::Unknown => self.max_delay + self.max_unstable_delay,
        };
        unconfirmed < limit
    }
}
