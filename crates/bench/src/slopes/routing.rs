//! Time of one routing decision.

use std::time::{Duration, Instant};

use base::{EndpointId, Incarnation, MonotonicTime, TokenCount};
use prefix::{Chain, IndexSettings, PrefixMatches, Slot, WarmIndex, rank};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{Candidate, Policy as _, Request, Warm};

use super::{Slope, cache::chain, net::MODELS};

const ENDPOINTS: [usize; 5] = [18, 180, 600, 1_200, 1_800];
const PROMPTS: usize = 500;
const BLOCKS: usize = 64;
const HOLDERS: usize = 16;
const DECISIONS: usize = 4_000;

/// Measures decisions among the endpoints that serve one of the models.
pub(super) fn slopes() -> Vec<Slope> {
    let points: Vec<_> = ENDPOINTS
        .iter()
        .map(|&endpoints| [endpoints as f64, median(decisions(endpoints)).as_secs_f64() * 1e6])
        .collect();
    vec![Slope::fit("endpoints/routing decision, 7 models, median", "endpoints", "µs", points)]
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn decisions(endpoints: usize) -> Vec<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut index = WarmIndex::new(IndexSettings::default());
    let serving: Vec<(EndpointId, Slot)> = (0..endpoints.div_ceil(MODELS))
        .map(|endpoint| {
            let id: EndpointId = format!("engine-{endpoint}").parse().expect("a valid id");
            let slot = index.bind(&id, Incarnation::new(1)).expect("a free slot");
            (id, slot)
        })
        .collect();
    let now = MonotonicTime::from_millis(1_000);
    let prompts: Vec<Chain> = (0..PROMPTS).map(prompt).collect();
    for chain in &prompts {
        for _ in 0..HOLDERS {
            index.record_sent(now, serving[rng.random_range(0..serving.len())].1, chain);
        }
    }
    let mut policy = Warm::default();
    let mut warmth = PrefixMatches::default();
    let mut candidates = Vec::new();
    let mut decide = || {
        let chain = &prompts[rng.random_range(0..PROMPTS)];
        let begun = Instant::now();
        index.match_prefix(now, chain, &mut warmth);
        let home = chain.blocks()[BLOCKS / 2];
        candidates.clear();
        candidates.extend(serving.iter().map(|(id, slot)| Candidate {
            rank: rank(home, id),
            warm_tokens: TokenCount::new(warmth.blocks(*slot) as u64 * 16),
            ..Candidate::default()
        }));
        let req = Request { prompt_tokens: TokenCount::new(1_024), homes: 2 };
        assert!(policy.choose(&req, &candidates, &mut rng).is_some());
        begun.elapsed()
    };
    (0..DECISIONS).map(|_| decide()).collect()
}

/// Returns the chain of a prompt that shares its first half with a hundred others.
fn prompt(n: usize) -> Chain {
    chain((0..BLOCKS).map(|block| {
        let shared = if block < BLOCKS / 2 { n / 100 } else { n + PROMPTS };
        shared * BLOCKS + block
    }))
}
