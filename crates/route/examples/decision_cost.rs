//! Measures the time of one routing decision, and of one block of a cache event, at the design
//! size: 1,800 endpoints that serve 7 models.

use std::time::{Duration, Instant};

use base::{ByteCount, EndpointId, Incarnation, MonotonicTime, Sequence, TokenCount};
use prefix::{
    BlockBytes, BlockHash, CacheEvent, Chain, IndexSettings, PrefixMatches, Salt, Slot, WarmIndex,
    rank,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{Candidate, Policy as _, Request, Warm};

const ENDPOINTS: usize = 1_800;
const MODELS: usize = 7;
const BLOCKS: usize = 64;
const PROMPTS: usize = 2_000;
const DECISIONS: usize = 20_000;

/// Times of the steps of one decision.
#[derive(Clone, Copy)]
struct DecisionTimes {
    lookup: Duration,
    rank: Duration,
    choose: Duration,
}

fn main() {
    for (name, serving) in [("one of 7 models", ENDPOINTS / MODELS), ("every model", ENDPOINTS)] {
        let times = decision_times(serving);
        println!("{serving} candidates (endpoints serve {name})");
        print_times("prefix lookup", times.iter().map(|times| times.lookup));
        print_times("ranks", times.iter().map(|times| times.rank));
        print_times("choice", times.iter().map(|times| times.choose));
        print_times("total", times.iter().map(|times| times.lookup + times.rank + times.choose));
    }
    println!("one stored block of a cache event: mean {:?}", event_time());
}

/// Returns the mean time to apply one stored block to a full index.
fn event_time() -> Duration {
    const EVENTS: u64 = 100_000;
    const EVENT_BLOCKS: u64 = 16;
    let mut index = WarmIndex::new(IndexSettings::default());
    let incarnation = Incarnation::new(1);
    let slots: Vec<Slot> = (0..ENDPOINTS)
        .map(|n| {
            let id = format!("engine-{n}").parse().expect("a valid id");
            index.bind(&id, incarnation).expect("a free slot")
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut apply = |n: u64| {
        let slot = slots[n as usize % ENDPOINTS];
        let blocks = (0..EVENT_BLOCKS).map(|_| BlockHash::new(rng.random())).collect();
        let event = CacheEvent::Stored(blocks);
        let start = Instant::now();
        index.apply(MonotonicTime::from_millis(n), slot, incarnation, Sequence::new(n), &event);
        start.elapsed()
    };
    let fill = index_capacity() / EVENT_BLOCKS + 1;
    for n in 0..fill {
        apply(n);
    }
    let total: Duration = (fill..fill + EVENTS).map(&mut apply).sum();
    total / (EVENTS * EVENT_BLOCKS) as u32
}

fn index_capacity() -> u64 {
    IndexSettings::default().memory.as_u64() / WarmIndex::ENTRY_BYTES as u64
}

fn print_times(name: &str, times: impl Iterator<Item = Duration>) {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!("  {name}: median {:?}, p99 {:?}", at(50), at(99));
}

/// Measures lookups in the index, ranks and choices among `serving` candidates.
fn decision_times(serving: usize) -> Vec<DecisionTimes> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let memory = ByteCount::new(64 << 20);
    let mut index = WarmIndex::new(IndexSettings { memory, ..IndexSettings::default() });
    let endpoints: Vec<(EndpointId, Slot)> = (0..ENDPOINTS)
        .map(|n| {
            let id: EndpointId = format!("region-1/engine-{n}").parse().expect("a valid id");
            let slot = index.bind(&id, Incarnation::new(1)).expect("a free slot");
            (id, slot)
        })
        .collect();
    let prompts: Vec<Chain> = (0..PROMPTS).map(prompt).collect();
    let now = MonotonicTime::from_millis(1_000);
    for chain in &prompts {
        for _ in 0..16 {
            let (_, slot) = endpoints[rng.random_range(0..serving)];
            index.record_sent(now, slot, chain);
        }
    }
    let mut policy = Warm::default();
    let mut matches = PrefixMatches::default();
    let mut candidates = Vec::new();
    let mut time = || {
        let chain = &prompts[rng.random_range(0..PROMPTS)];
        let start = Instant::now();
        index.match_prefix(now, chain, &mut matches);
        let lookup = start.elapsed();
        let home = chain.blocks()[BLOCKS / 2];
        candidates.clear();
        candidates.extend(endpoints[..serving].iter().map(|(id, slot)| Candidate {
            rank: rank(home, id),
            warm_tokens: TokenCount::new(matches.blocks(*slot) as u64 * 16),
            ..Candidate::default()
        }));
        let rank = start.elapsed() - lookup;
        let req = Request { prompt_tokens: TokenCount::new(1_024), homes: 2 };
        let chosen = policy.choose(&req, &candidates, &mut rng);
        assert!(chosen.is_some());
        DecisionTimes { lookup, rank, choose: start.elapsed() - lookup - rank }
    };
    (0..DECISIONS).map(|_| time()).collect()
}

/// Returns the chain of a prompt that shares its first half with a hundred others.
fn prompt(n: usize) -> Chain {
    let text: Vec<u8> = (0..BLOCKS)
        .flat_map(|block| {
            let id = if block < BLOCKS / 2 { n / 100 } else { n + PROMPTS };
            ((id * BLOCKS + block) as u64).to_le_bytes()
        })
        .collect();
    let id = "x".parse().expect("a valid id");
    let model = "m".parse().expect("a valid id");
    let weights = "v1".parse().expect("a valid id");
    let size = BlockBytes::new(8).expect("not zero");
    Chain::of(Salt::new(&id, &model, &weights, None), size, &text)
}
