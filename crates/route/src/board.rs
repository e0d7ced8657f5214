use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, HostId, MonotonicTime};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A short name for an endpoint in reports of load.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Names an endpoint; two of 1,800 share a name with a chance below 1 in 1,000.
    pub fn of(endpoint: &EndpointId) -> Self {
        let hash = xxh3_64(endpoint.as_str().as_bytes());
        Self((hash >> 32) as u32)
    }

    /// Wraps a plain number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn as_u32(self) -> u32 {
        self.0
    }
}

/// Work that routers have sent to an endpoint and that has not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentLoad {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests.
    pub requests: u32,
    /// Tokens that wait for prefill.
    pub prefill_tokens: u32,
}

/// Adds up what the routers of a site say that they have sent to endpoints.
///
/// It answers loads of many small routers, each of which sees too few of an endpoint's requests to
/// tell a busy one from an idle one.
#[derive(Clone, Debug)]
pub struct LoadAggregator {
    lifetime: Duration,
    reports: BTreeMap<HostId, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    at: MonotonicTime,
    loads: Vec<SentLoad>,
}

impl LoadAggregator {
    /// Creates a board on which a report counts for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self { lifetime, reports: BTreeMap::new() }
    }

    /// Takes a router's report, which replaces its last one.
    pub fn report(&mut self, now: MonotonicTime, host: HostId, loads: Vec<SentLoad>) {
        self.reports.insert(host, Report { at: now, loads });
    }

    /// Returns the sums of all reports that still count, and forgets the others.
    pub fn totals(&mut self, now: MonotonicTime) -> Vec<SentLoad> {
        let lifetime = self.lifetime;
        self.reports.retain(|_, report| now.saturating_since(report.at) < lifetime);
        let mut sums: BTreeMap<EndpointKey, SentLoad> = BTreeMap::new();
        for load in self.reports.values().flat_map(|report| &report.loads) {
            let sum = sums.entry(load.endpoint).or_default();
            sum.endpoint = load.endpoint;
            sum.requests = sum.requests.saturating_add(load.requests);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
        }
        sums.into_values().collect()
    }
}
