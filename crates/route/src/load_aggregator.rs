use std::{collections::BTreeMap, time::Duration};

use base::{EndpointId, HostId, MonotonicTime};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A short key for an endpoint in load reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Derives the key of an endpoint; the probability that any two of 1,800 endpoints share a key
    /// is below 1 in 1,000.
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
    /// Requests in flight.
    pub requests: u32,
    /// Tokens that wait for prefill.
    pub prefill_tokens: u32,
    /// Those of urgent requests.
    pub urgent_prefill_tokens: u32,
    /// Tokens of the requests in flight, prompts plus maximum outputs.
    pub held_tokens: u32,
}

/// Sums the load that the routers of a site report to have sent to endpoints.
///
/// A site may have many small routers, each of which sends too few requests to an endpoint to
/// distinguish a busy endpoint from an idle one.
#[derive(Clone, Debug)]
pub struct LoadAggregator {
    lifetime: Duration,
    reports: BTreeMap<HostId, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    received_at: MonotonicTime,
    loads: Vec<SentLoad>,
}

impl LoadAggregator {
    /// Creates an aggregator that counts each report for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self { lifetime, reports: BTreeMap::new() }
    }

    /// Records a router's report, replacing its previous one.
    pub fn report(&mut self, now: MonotonicTime, host: HostId, loads: Vec<SentLoad>) {
        self.reports.insert(host, Report { received_at: now, loads });
    }

    /// Returns the sums over all reports that have not expired, and removes the others.
    pub fn totals(&mut self, now: MonotonicTime) -> Vec<SentLoad> {
        let lifetime = self.lifetime;
        self.reports.retain(|_, report| now.saturating_since(report.received_at) < lifetime);
        let mut sums: BTreeMap<EndpointKey, SentLoad> = BTreeMap::new();
        for load in self.reports.values().flat_map(|report| &report.loads) {
            let sum = sums.entry(load.endpoint).or_default();
            sum.endpoint = load.endpoint;
            sum.requests = sum.requests.saturating_add(load.requests);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
            sum.urgent_prefill_tokens =
                sum.urgent_prefill_tokens.saturating_add(load.urgent_prefill_tokens);
            sum.held_tokens = sum.held_tokens.saturating_add(load.held_tokens);
        }
        sums.into_values().collect()
    }
}
