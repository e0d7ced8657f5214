//! What a run counted, and its percentiles.

use std::{collections::BTreeMap, time::Duration};

use base::{OrganisationId, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::fake::EngineCounts;

/// Longest time that a histogram holds, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// What became of a run's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Orders answered as run that never ran.
    pub lost: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Answers to something else.
    pub crossed: u64,
    /// Answers that ended early without saying so.
    pub incomplete: u64,
    /// Requests refused or failed as not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub may_have_run: u64,
    /// Orders refused as not run that did run.
    pub false_not_run: u64,
}

/// Counts and times of a run, as fakes and callers saw them.
#[derive(Debug)]
pub struct Counts {
    /// What became of requests.
    pub totals: Totals,
    /// Completions by organisation.
    pub organisations: BTreeMap<OrganisationId, Completions>,
    /// From request to first token.
    pub first_token: Histogram<u64>,
    /// Between tokens.
    pub gap: Histogram<u64>,
    /// First-token time beyond the engine's own.
    pub added: Histogram<u64>,
}

/// Completions of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Completions {
    /// Asked for.
    pub asked: u64,
    /// Answered whole.
    pub answered: u64,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            totals: Totals::default(),
            organisations: BTreeMap::new(),
            first_token: histogram(),
            gap: histogram(),
            added: histogram(),
        }
    }
}

impl Counts {
    /// Counts a failure by its verdict; a failure without one ends in silence.
    pub fn fail(&mut self, verdict: Option<Verdict>) {
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

/// Records a time.
pub fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(u64::try_from(span.as_micros()).unwrap_or(MAX_MICROS));
}

/// Returns a percentile, in milliseconds.
pub fn percentile_ms(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    histogram.value_at_percentile(percentile) as f64 / 1_000.0
}

/// The figures of a run, as printed.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// What became of requests.
    #[serde(flatten)]
    pub totals: Totals,
    /// Requests with a cache salt that belongs to another owner.
    pub wrong_salts: u64,
    /// Fetches of cached blocks that gave blocks of another name.
    pub wrong_transfers: u64,
    /// Share of prompt tokens found cached.
    pub hit_rate: f64,
    /// Prompt tokens computed again.
    pub wasted_tokens: u64,
    /// Prompt tokens fetched from another engine or the store; they count as cached.
    pub fetched_tokens: u64,
    /// Time to first token, median, in milliseconds.
    pub ttft_p50_ms: f64,
    /// Time to first token, 95th percentile, in milliseconds.
    pub ttft_p95_ms: f64,
    /// Time to first token, 99th percentile, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Time between tokens, 95th percentile, in milliseconds.
    pub gap_p95_ms: f64,
    /// First-token time beyond the engine's own, median, in milliseconds.
    pub added_p50_ms: f64,
    /// First-token time beyond the engine's own, 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
}

impl Summary {
    /// Sums up a run.
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
            added_p50_ms: percentile_ms(&counts.added, 50.0),
            added_p99_ms: percentile_ms(&counts.added, 99.0),
        };
        summary.count_engines(&engines);
        summary
    }

    /// Replaces what the engines counted.
    pub fn count_engines(&mut self, engines: &EngineCounts) {
        self.hit_rate = engines.cached_tokens as f64 / engines.prompt_tokens.max(1) as f64;
        self.wasted_tokens = engines.wasted_tokens;
        self.fetched_tokens = engines.fetched_tokens;
    }
}
