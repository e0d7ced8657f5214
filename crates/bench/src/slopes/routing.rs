//! Duration of a routing decision.

use std::time::{Duration, Instant};

use base::{EndpointId, Incarnation, MonotonicTime, TokenCount};
use prefix::{Chain, IndexSettings, PrefixMatches, Slot, WarmIndex, rank};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{Candidate, Policy as _, Request, Warm};

use super::{Slope, cache::chain, net::MODELS};

const ENDPOINTS: [usize; 5] = [18, 180, 600, 1_200, 1_800];
const PROMPTS: usize = 500;
const PROMPT_BLOCKS: usize = 64;
const ENGINES_PER_PROMPT: usize = 16;
const DECISIONS: usize = 4_000;

/// Measures decisions among the endpoints that serve the same model.
pub(super) fn slopes() -> Vec<Slope> {
    let points: Vec<_> = ENDPOINTS
        .iter()
        .map(|&endpoints| [endpoints as f64, median(decision_times(endpoints)).as_secs_f64() * 1e6])
        .collect();
    vec![Slope::fit("endpoints/routing decision, 7 models, median", "endpoints", "µs", points)]
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn decision_times(endpoints: usize) -> Vec<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut index = WarmIndex::new(IndexSettings::default());
    let engines: Vec<(EndpointId, Slot)> = (0..endpoints.div_ceil(MODELS))
        .map(|endpoint| {
            let id: EndpointId = format!("engine-{endpoint}").parse().expect("a valid id");
            let slot = index.bind(&id, Incarnation::new(1)).expect("a free slot");
            (id, slot)
        })
        .collect();
    let now = MonotonicTime::from_millis(1_000);
    let prompts: Vec<Chain> = (0..PROMPTS).map(prompt).collect();
    for chain in &prompts {
        for _ in 0..ENGINES_PER_PROMPT {
            index.record_sent(now, engines[rng.random_range(0..engines.len())].1, chain);
        }
    }
    let mut policy = Warm::default();
    let mut matches = PrefixMatches::default();
    let mut candidates = Vec::new();
    let mut decide = || {
        let chain = &prompts[rng.random_range(0..PROMPTS)];
        let begun = Instant::now();
        index.match_prefix(now, chain, &mut matches);
        let home = chain.blocks()[PROMPT_BLOCKS / 2];
        candidates.clear();
        candidates.extend(engines.iter().map(|(id, slot)| Candidate {
            rank: rank(home, id),
            warm_tokens: TokenCount::new(matches.blocks(*slot) as u64 * 16),
            ..Candidate::default()
        }));
        let req = Request { prompt_tokens: TokenCount::new(1_024), homes: 2 };
        assert!(policy.choose(&req, &candidates, &mut rng).is_some());
        begun.elapsed()
    };
    (0..DECISIONS).map(|_| decide()).collect()
}

/// Returns the chain of a prompt; each group of 100 prompts shares its first half.
fn prompt(n: usize) -> Chain {
    chain((0..PROMPT_BLOCKS).map(|block| {
        let shared = if block < PROMPT_BLOCKS / 2 { n / 100 } else { n + PROMPTS };
        shared * PROMPT_BLOCKS + block
    }))
}
