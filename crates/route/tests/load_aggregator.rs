//! Aggregation of the load that routers report.

use std::time::Duration;

use base::{EndpointId, HostId, MonotonicTime};
use route::{EndpointKey, LoadAggregator, SentLoad};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn host(i: u32) -> HostId {
    format!("host-{i}").parse().unwrap()
}

fn load(endpoint: &str, requests: u32, prefill_tokens: u32) -> SentLoad {
    let endpoint: EndpointId = endpoint.parse().unwrap();
    let endpoint = EndpointKey::of(&endpoint);
    let urgent_prefill_tokens = prefill_tokens / 2;
    let held_tokens = prefill_tokens * 2;
    SentLoad { endpoint, requests, prefill_tokens, urgent_prefill_tokens, held_tokens }
}

#[test]
fn totals_add_up_over_hosts() {
    let mut aggregator = LoadAggregator::new(Duration::from_secs(1));
    aggregator.report(at(0), host(1), vec![load("a", 2, 100), load("b", 1, 0)]);
    aggregator.report(at(0), host(2), vec![load("a", 3, 50)]);
    let totals = aggregator.totals(at(10));
    assert!(totals.contains(&load("a", 5, 150)));
    assert!(totals.contains(&load("b", 1, 0)));
}

#[test]
fn newer_report_replaces_the_older_one() {
    let mut aggregator = LoadAggregator::new(Duration::from_secs(1));
    aggregator.report(at(0), host(1), vec![load("a", 2, 100)]);
    aggregator.report(at(5), host(1), vec![load("b", 1, 10)]);
    assert_eq!(aggregator.totals(at(10)), [load("b", 1, 10)]);
}

#[test]
fn reports_expire() {
    let mut aggregator = LoadAggregator::new(Duration::from_secs(1));
    aggregator.report(at(0), host(1), vec![load("a", 2, 100)]);
    assert_eq!(aggregator.totals(at(1_000)), []);
}
