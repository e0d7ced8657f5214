//! `bench decision`: measures the time of one routing decision, without I/O.

use std::time::{Duration, Instant};

use base::{EndpointId, Incarnation, MonotonicTime, TokenCount};
use prefix::{BlockBytes, Chain, IndexSettings, PrefixMatches, Salt, WarmIndex};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{Candidate, Policy as _, Request, Warm};
use serde::Serialize;

/// Number of models; each is served by an equal share of the endpoints.
const MODEL_COUNT: usize = 7;

/// Length of each prompt.
const PROMPT_BYTES: usize = 12_800;

/// Number of leading blocks that decide a prompt's home endpoint.
const PLACEMENT_LEVEL: usize = 100;

/// Number of distinct prompts.
const PROMPT_COUNT: usize = 400;

/// Number of measured decisions.
const DECISION_COUNT: usize = 4_000;

const BLOCK_BYTES: BlockBytes = BlockBytes::new(64).expect("the size is not zero");

/// Mean times of a decision's steps.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DecisionCost {
    /// Endpoints in the warm index.
    pub endpoints: usize,
    /// Endpoints that serve the requested model.
    pub candidates: usize,
    /// Time to compute a prompt's hash chain, in microseconds.
    pub chain_us: f64,
    /// Time to look up the chain in the index, in microseconds.
    pub lookup_us: f64,
    /// Time to rank the candidates and choose, in microseconds.
    pub choice_us: f64,
    /// Sum of the three, in microseconds.
    pub total_us: f64,
}

/// Measures routing decisions among `endpoints` endpoints.
///
/// # Panics
///
/// Panics if there are too many endpoints for a warm index.
pub fn measure(endpoints: usize, seed: u64) -> DecisionCost {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let ids: Vec<EndpointId> =
        (0..endpoints).map(|i| format!("engine-{i}").parse().expect("a valid id")).collect();
    let mut index = WarmIndex::new(IndexSettings::default());
    let slots: Vec<_> =
        ids.iter().map(|id| index.bind(id, Incarnation::new(1)).expect("a slot is free")).collect();
    let salt = salt();
    let prompts: Vec<Vec<u8>> =
        (0..PROMPT_COUNT).map(|_| (0..PROMPT_BYTES).map(|_| rng.random()).collect()).collect();
    let now = MonotonicTime::from_millis(1);
    for prompt in &prompts {
        let chain = Chain::of(salt, BLOCK_BYTES, prompt);
        for _ in 0..3 {
            index.record_sent(now, slots[rng.random_range(0..endpoints)], &chain);
        }
    }
    let candidates = endpoints.div_ceil(MODEL_COUNT);
    let mut policy = Warm::default();
    let mut matches = PrefixMatches::default();
    let mut totals = [Duration::ZERO; 3];
    for i in 0..DECISION_COUNT {
        let started = Instant::now();
        let chain = Chain::of(salt, BLOCK_BYTES, &prompts[i % PROMPT_COUNT]);
        let hashed = Instant::now();
        index.match_prefix(now, &chain, &mut matches);
        let looked_up = Instant::now();
        let rank = |level, id| chain.at_level(level).map_or(0, |home| prefix::rank(home, id));
        let serving: Vec<_> = (0..candidates)
            .map(|e| Candidate {
                rank: rank(PLACEMENT_LEVEL, &ids[e]),
                longer_prefix_rank: rank(PLACEMENT_LEVEL + 4, &ids[e]),
                warm_tokens: TokenCount::new(matches.blocks(slots[e]) as u64 * 16),
                in_flight: (e % 5) as u32,
                reported_requests: (e % 9) as u32,
                report_age: Duration::from_millis(700),
                slots: 8,
                ..Candidate::default()
            })
            .collect();
        let req = Request { prompt_tokens: TokenCount::new(PROMPT_BYTES as u64 / 4), homes: 2 };
        std::hint::black_box(policy.choose(&req, &serving, &mut rng));
        let chosen = Instant::now();
        let steps = [hashed - started, looked_up - hashed, chosen - looked_up];
        totals.iter_mut().zip(steps).for_each(|(sum, step)| *sum += step);
    }
    let [chain_us, lookup_us, choice_us] =
        totals.map(|sum| sum.as_secs_f64() * 1e6 / DECISION_COUNT as f64);
    let total_us = chain_us + lookup_us + choice_us;
    DecisionCost { endpoints, candidates, chain_us, lookup_us, choice_us, total_us }
}

fn salt() -> Salt {
    let id = "measured";
    let organisation = id.parse().expect("a valid id");
    let model = id.parse().expect("a valid id");
    let weights = id.parse().expect("a valid id");
    Salt::new(&organisation, &model, &weights, None)
}
