//! Counts and latency percentiles of a run.

use std::{collections::BTreeMap, time::Duration};

use base::{OrganisationId, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::fake::EngineCounts;

/// Longest time that a histogram can record, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Outcomes of a run's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Orders reported as run that never ran.
    pub lost: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Responses to another request.
    pub crossed: u64,
    /// Responses that ended early without an explicit failure.
    pub incomplete: u64,
    /// Requests refused or failed with the verdict not run.
    pub not_run: u64,
    /// Requests failed with the verdict may have run.
    pub may_have_run: u64,
    /// Orders reported as not run that did run.
    pub false_not_run: u64,
}

/// Counts and times of a run, from the callers and the fakes.
#[derive(Debug)]
pub struct Counts {
    /// Outcomes of the requests.
    pub totals: Totals,
    /// Completions by organisation.
    pub organisations: BTreeMap<OrganisationId, Completions>,
    /// Time to first token.
    pub first_token: Histogram<u64>,
    /// Time between tokens.
    pub gap: Histogram<u64>,
    /// Time to first token minus the engine's own time to first token.
    pub added_ttft: Histogram<u64>,
}

/// Completions of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Completions {
    /// Completions requested.
    pub asked: u64,
    /// Completions with a complete response.
    pub answered: u64,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            totals: Totals::default(),
            organisations: BTreeMap::new(),
            first_token: histogram(),
            gap: histogram(),
            added_ttft: histogram(),
        }
    }
}

impl Counts {
    /// Counts a failure by its verdict; one without a verdict counts as incomplete.
    pub fn count_failure(&mut self, verdict: Option<Verdict>) {
        match verdict {
            Some(Verdict::NotRun) => self.totals.not_run += 1,
            Some(Verdict::MayHaveRun | Verdict::Ran) => self.totals.may_have_run += 1,
            None => self.totals.incomplete += 1,
        }
    }
}

/// Creates a histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

/// Records a duration, capped at the histogram's maximum.
pub fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(u64::try_from(span.as_micros()).unwrap_or(MAX_MICROS));
}

/// Returns a percentile, in milliseconds.
pub fn percentile_ms(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    histogram.value_at_percentile(percentile) as f64 / 1_000.0
}

/// A run's results, as printed.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Outcomes of the requests.
    #[serde(flatten)]
    pub totals: Totals,
    /// Requests with a cache salt of another owner.
    pub wrong_salts: u64,
    /// Fetches of cached blocks that returned other blocks than requested.
    pub wrong_transfers: u64,
    /// Share of prompt tokens found cached.
    pub hit_rate: f64,
    /// Prompt tokens computed more than once.
    pub wasted_tokens: u64,
    /// Prompt tokens whose blocks were fetched from another engine or the KV store; they count as
    /// cached.
    pub fetched_tokens: u64,
    /// Time to first token, median, in milliseconds.
    pub ttft_p50_ms: f64,
    /// Time to first token, 95th percentile, in milliseconds.
    pub ttft_p95_ms: f64,
    /// Time to first token, 99th percentile, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Time between tokens, 95th percentile, in milliseconds.
    pub gap_p95_ms: f64,
    /// Time to first token minus the engine's own, median, in milliseconds.
    pub added_p50_ms: f64,
    /// Time to first token minus the engine's own, 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
}

impl Summary {
    /// Summarises a run on a site.
    pub fn new(counts: &Counts, site: &crate::site::Site) -> Self {
        let engines = site.engines.iter().map(|node| node.engine.counts());
        let engines = engines.fold(EngineCounts::default(), |sum, counts| sum.plus(&counts));
        let (wrong_salts, wrong_transfers) = {
            let tally = site.tally.lock();
            (tally.wrong_salts, tally.wrong_transfers)
        };
        let mut summary = Self {
            totals: counts.totals,
            wrong_salts,
            wrong_transfers,
            hit_rate: 0.0,
            wasted_tokens: 0,
            fetched_tokens: 0,
            ttft_p50_ms: percentile_ms(&counts.first_token, 50.0),
            ttft_p95_ms: percentile_ms(&counts.first_token, 95.0),
            ttft_p99_ms: percentile_ms(&counts.first_token, 99.0),
            gap_p95_ms: percentile_ms(&counts.gap, 95.0),
            added_p50_ms: percentile_ms(&counts.added_ttft, 50.0),
            added_p99_ms: percentile_ms(&counts.added_ttft, 99.0),
        };
        summary.set_engine_counts(&engines);
        summary
    }

    /// Replaces the engines' counts.
    pub fn set_engine_counts(&mut self, engines: &EngineCounts) {
        self.hit_rate = engines.cached_tokens as f64 / engines.prompt_tokens.max(1) as f64;
        self.wasted_tokens = engines.wasted_tokens;
        self.fetched_tokens = engines.fetched_tokens;
    }
}
