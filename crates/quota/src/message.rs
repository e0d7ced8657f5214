use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Cost;

/// A short key for an organisation in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrganisationKey(u64);

impl OrganisationKey {
    /// Derives the key of the organisation named `name`; the probability that any two of 3,100
    /// organisations share a key is below 1 in 10¹².
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A request that waits for the leader's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The request's organisation.
    pub organisation: OrganisationKey,
    /// The request's cost.
    pub cost: Cost,
}

/// The leader's answer to a [`Demand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The request is charged and may run.
    Granted,
    /// The organisation has no more units.
    Denied {
        /// Time until it has some.
        wait: Duration,
    },
    /// The request would leave a larger debt than is allowed; cheaper ones may run.
    TooLarge {
        /// Time until it leaves no larger debt, if no other request runs.
        wait: Duration,
    },
}

/// Units that a router has admitted without asking, less what it returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCost {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The units; negative if more were returned than admitted.
    pub units: i64,
}

/// A router's part of a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Number of routers that this one knows, itself included.
    pub routers: u32,
    /// Random id of the router's process.
    pub process: u64,
    /// Number of the report; a report that is sent again keeps its number.
    pub number: u64,
    /// Consumption of the organisations with traffic since the last report.
    pub costs: Vec<ReportedCost>,
}

/// What changed of the open organisations since a router's last view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaView {
    /// Whether all organisations that aren't listed here are metered.
    pub is_complete: bool,
    /// Organisations that are open now.
    pub opened: Vec<OrganisationKey>,
    /// Organisations that are metered now.
    pub metered: Vec<OrganisationKey>,
    /// The position after these changes.
    pub next: u64,
    /// Number of routers that the leader knows.
    pub routers: u32,
}
