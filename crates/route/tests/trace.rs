//! Hit rate and time to first token of each policy on a trace of nested, shifting prefixes.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use base::{EndpointId, Incarnation, MonotonicTime, TokenCount, TokenRate};
use prefix::{
    BlockBytes, BlockHash, Chain, HotPrefixes, IndexSettings, PrefixMatches, Replication, Salt,
    WarmIndex, rank,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{AnyPolicy, Candidate, Policy as _, PolicyKind, Request, Slowness, WarmSettings};

const ENGINES: usize = 18;
const ROUTERS: usize = 8;
const CACHE_BLOCKS: usize = 2_000;
const BLOCK_TOKENS: u64 = 64;
const PREFILL_TOKENS_PER_SEC: u64 = 8_000;
const HOME_LEVEL_BLOCKS: usize = 32;
const REPORT_INTERVAL_SECS: f64 = 0.5;
const DECODE_SECS: f64 = 0.5;

fn tokens(blocks: usize) -> TokenCount {
    TokenCount::new(blocks as u64 * BLOCK_TOKENS)
}

/// A simulated engine: an LRU cache of blocks, and the time at which its prefill queue ends.
#[derive(Default)]
struct Engine {
    cache: HashMap<BlockHash, u64>,
    by_use: VecDeque<(BlockHash, u64)>,
    uses: u64,
    free_at: f64,
    reported: (f64, u32, u64),
    ends: Vec<f64>,
}

impl Engine {
    /// Runs a prompt that arrives at `now`; returns the number of cached blocks and the time to
    /// first token.
    fn run(&mut self, now: f64, chain: &Chain) -> (usize, f64) {
        let blocks = chain.blocks();
        let cached = blocks.iter().take_while(|block| self.cache.contains_key(block)).count();
        for &block in blocks.iter().rev() {
            self.uses += 1;
            self.cache.insert(block, self.uses);
            self.by_use.push_back((block, self.uses));
        }
        while CACHE_BLOCKS < self.cache.len() {
            let (block, used) = self.by_use.pop_front().unwrap();
            if self.cache.get(&block) == Some(&used) {
                self.cache.remove(&block);
            }
        }
        let cold = (blocks.len() - cached) as u64 * BLOCK_TOKENS;
        self.free_at = self.free_at.max(now) + cold as f64 / PREFILL_TOKENS_PER_SEC as f64 + 0.002;
        self.ends.push(self.free_at + DECODE_SECS);
        (cached, self.free_at - now)
    }

    fn report(&mut self, now: f64) -> (f64, u32, u64) {
        self.ends.retain(|&end| now < end);
        if self.reported.0 + REPORT_INTERVAL_SECS <= now {
            let prefill = (self.free_at - now).max(0.0) * PREFILL_TOKENS_PER_SEC as f64;
            self.reported = (now, self.ends.len() as u32, prefill as u64);
        }
        self.reported
    }
}

struct Router {
    index: WarmIndex,
    hot: HotPrefixes,
    policy: AnyPolicy,
    /// End of prefill, end of the response and cold blocks of this router's requests, for each
    /// engine.
    own: Vec<Vec<(f64, f64, usize)>>,
}

fn router(kind: PolicyKind, ids: &[EndpointId]) -> Router {
    let mut index = WarmIndex::new(IndexSettings::default());
    ids.iter().for_each(|id| assert!(index.bind(id, Incarnation::new(1)).is_some()));
    let rate = TokenRate::new(PREFILL_TOKENS_PER_SEC);
    let settings = WarmSettings { prefill_rate: rate, ..WarmSettings::default() };
    let hot = HotPrefixes::new(1_024, Duration::from_secs(5));
    Router { index, hot, policy: AnyPolicy::new(kind, settings), own: vec![vec![]; ENGINES] }
}

/// Draws a random prompt of an organisation, a school and a page; a few of each are hot, and the
/// hot schools and pages change every five seconds.
fn prompt(now: f64, n: usize, rng: &mut Pcg64Mcg) -> Chain {
    let mut skewed = |count: usize| (rng.random::<f64>().powi(3) * count as f64) as usize;
    let shift = (now / 5.0) as usize * 7;
    let (org, school, page) = (skewed(8), (skewed(12) + shift) % 12, (skewed(30) + shift) % 30);
    let school = org * 12 + school;
    let shared = [(16, org), (16, 100 + school), (8, 1_000 + school * 30 + page)];
    let mut text = Vec::new();
    for (blocks, id) in shared.into_iter().chain([(2, 10_000 + n)]) {
        text.extend((0..blocks).flat_map(|block| (id * 64 + block).to_le_bytes()));
    }
    let salt =
        Salt::new(&"x".parse().unwrap(), &"m".parse().unwrap(), &"v1".parse().unwrap(), None);
    Chain::of(salt, BlockBytes::new(8).unwrap(), &text)
}

/// Results of a trace.
struct Outcome {
    hit_rate: f64,
    /// The 99th percentile of the time to first token, in seconds.
    p99: f64,
    /// Requests at the busiest engine divided by the mean.
    spread: f64,
}

/// Simulates 30 seconds of load; all routers restart after `restart` seconds.
fn trace(kind: PolicyKind, rate: f64, seed: u64, restart: f64) -> Outcome {
    let ids: Vec<EndpointId> = (0..ENGINES).map(|n| format!("e{n}").parse().unwrap()).collect();
    let mut engines: Vec<_> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut routers: Vec<_> = (0..ROUTERS).map(|_| router(kind, &ids)).collect();
    let (mut load_rng, mut rng) = (Pcg64Mcg::seed_from_u64(seed), Pcg64Mcg::seed_from_u64(!seed));
    let (mut now, mut cached, mut all, mut ttft) = (0.0, 0, 0, Vec::new());
    let (mut matches, mut served) = (PrefixMatches::default(), [0; ENGINES]);
    for n in 0..(rate * 30.0) as usize {
        now -= (1.0 - load_rng.random::<f64>()).ln() / rate;
        let chain = prompt(now, n, &mut load_rng);
        if n == (rate * restart) as usize {
            routers = (0..ROUTERS).map(|_| router(kind, &ids)).collect();
        }
        let router = &mut routers[load_rng.random_range(0..ROUTERS)];
        let time = MonotonicTime::new(Duration::from_secs_f64(now));
        let home = chain.at_level(HOME_LEVEL_BLOCKS).unwrap();
        let homes = Replication::default().homes(router.hot.record(time, home) * ROUTERS as f64);
        router.index.match_prefix(time, &chain, &mut matches);
        let candidates: Vec<_> = (0..ENGINES)
            .map(|e| {
                router.own[e].retain(|own| now < own.1);
                let (at, requests, prefill) = engines[e].report(now);
                let queued = router.own[e].iter().filter(|own| now < own.0).map(|own| own.2).sum();
                Candidate {
                    rank: rank(home, &ids[e]),
                    longer_prefix_rank: rank(
                        chain.at_level(HOME_LEVEL_BLOCKS + 2).unwrap(),
                        &ids[e],
                    ),
                    warm_tokens: tokens(matches.blocks(router.index.slot(&ids[e]).unwrap())),
                    in_flight: router.own[e].len() as u32,
                    own_prefill_tokens: tokens(queued),
                    reported_requests: requests,
                    reported_prefill_tokens: TokenCount::new(prefill),
                    report_age: Duration::from_secs_f64(now - at),
                    slots: 0,
                    round_trip: Duration::from_millis(if e % 3 == 0 { 0 } else { 10 }),
                    slowness: Slowness::NOMINAL,
                }
            })
            .collect();
        let blocks = chain.blocks().len();
        let req = Request { prompt_tokens: tokens(blocks), homes };
        let e = router.policy.choose(&req, &candidates, &mut rng).unwrap();
        let (hits, wait) = engines[e].run(now, &chain);
        let slot = router.index.slot(&ids[e]).unwrap();
        let expected = matches.blocks(slot);
        router.index.record_response(time, slot, &chain, expected, hits);
        router.own[e].push((now + wait, now + wait + DECODE_SECS, blocks - expected));
        served[e] += 1;
        (cached, all) = (cached + hits, all + blocks);
        ttft.push(wait + candidates[e].round_trip.as_secs_f64());
    }
    ttft.sort_by(f64::total_cmp);
    Outcome {
        hit_rate: cached as f64 / all as f64,
        p99: ttft[ttft.len() * 99 / 100],
        spread: f64::from(*served.iter().max().unwrap()) * ENGINES as f64 / ttft.len() as f64,
    }
}

fn mean_of_seeds(kind: PolicyKind, restart: f64) -> Outcome {
    let runs = [1, 2, 3].map(|seed| trace(kind, 150.0, seed, restart));
    let mean = |f: fn(&Outcome) -> f64| runs.iter().map(f).sum::<f64>() / 3.0;
    let (hit_rate, p99, spread) = (mean(|o| o.hit_rate), mean(|o| o.p99), mean(|o| o.spread));
    println!("{kind:16} hit rate {hit_rate:.3}, p99 {p99:.3} s, spread {spread:.2}");
    Outcome { hit_rate, p99, spread }
}

const NO_RESTART: f64 = 99.0;

#[test]
fn warm_policy_outperforms_the_baselines() {
    let [round_robin, least, hash, warm_v1, warm] =
        PolicyKind::ALL.map(|kind| mean_of_seeds(kind, NO_RESTART));
    assert!([&round_robin, &least, &warm_v1].iter().all(|other| other.hit_rate < warm.hit_rate));
    assert!([&round_robin, &least, &hash, &warm_v1].iter().all(|other| warm.p99 < other.p99));
    assert!(hash.hit_rate * 0.95 < warm.hit_rate);
    assert!(warm.spread < hash.spread);
}

#[test]
fn restart_of_routers_keeps_the_hit_rate() {
    let before = mean_of_seeds(PolicyKind::Warm, NO_RESTART);
    let restarted = mean_of_seeds(PolicyKind::Warm, 15.0);
    assert!(before.hit_rate - 0.01 < restarted.hit_rate);
}
