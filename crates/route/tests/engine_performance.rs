//! Inference of engines' speeds from prompts, whose expected times routers learn by service.
//!
//! Load of all tests: 100 routers, 40 engines, 6 prompts/s each, chats of 830 tokens and long prompts of
//! 9,200; times vary by 20%.

use std::time::Duration;

use base::{MonotonicTime, TokenCount};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{InFlightLoad, ResponseTimes, ServiceKey, ServiceSpeed, Slowness, SlownessEstimator};
use yare::parameterized;

const SEEDS: std::ops::Range<u64> = 1..21;
const ENGINES: usize = 40;
const ROUTERS: usize = 100;
const POLL_MS: u64 = 150;

/// Prompts to each engine in the time between two polls.
const PROMPTS_PER_POLL: f64 = 0.9;

const CHAT_TOKENS: u64 = 830;
const LONG_TOKENS: u64 = 9_200;

/// Engines that get the long prompts: 60%, as placement prefers.
const LONG_PROMPT_ENGINES: usize = 24;

/// A prompt: the tokens that its router assumes to be uncached, and those that are.
struct Prompt {
    assumed: u64,
    uncached: u64,
}

struct Site {
    now_ms: u64,
    rng: Pcg64Mcg,
    /// Prefill rate in tokens/ms.
    rate: f64,
    cached_ms: f64,
    speeds: Vec<f64>,
    /// What each router has learned.
    routers: Vec<ServiceSpeed>,
    times: ResponseTimes<usize>,
    estimator: SlownessEstimator<usize>,
}

impl Site {
    /// Creates a site whose first engine is slower by `first`.
    fn new(seed: u64, rate: f64, cached_ms: f64, first: f64) -> Self {
        let mut speeds = vec![1.0; ENGINES];
        speeds[0] = first;
        Self {
            now_ms: 10_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            rate,
            cached_ms,
            speeds,
            routers: vec![ServiceSpeed::default(); ROUTERS],
            times: ResponseTimes::default(),
            estimator: SlownessEstimator::default(),
        }
    }

    /// Runs for `polls` polls; `prompt` makes an engine's prompts, and `wait_ms` is the time for which a
    /// prompt waits that its router doesn't expect.
    fn run(
        &mut self,
        polls: u64,
        prompt: impl Fn(&mut Pcg64Mcg, usize) -> Prompt,
        wait_ms: impl Fn(u64) -> f64,
    ) {
        for poll in 0..polls {
            self.now_ms += POLL_MS;
            for engine in 0..ENGINES {
                if self.rng.random_bool(PROMPTS_PER_POLL) {
                    let prompt = prompt(&mut self.rng, engine);
                    self.respond(engine, &prompt, wait_ms(poll));
                }
            }
            let now = MonotonicTime::from_millis(self.now_ms);
            self.estimator.record(now, &self.times.take());
            self.estimator.update(now);
        }
    }

    fn respond(&mut self, engine: usize, prompt: &Prompt, wait_ms: f64) {
        let prefill_tokens = TokenCount::new(prompt.assumed);
        let load = InFlightLoad { requests: 1, prefill_tokens };
        let router = self.rng.random_range(0..ROUTERS);
        let expected = self.routers[router].expected_ttft(load);
        let ms = self.cached_ms + prompt.uncached as f64 / self.rate + wait_ms;
        let observed = ms * self.speeds[engine] * self.rng.random_range(0.8..1.2);
        let service = ServiceKey::of(&"chat".parse().unwrap());
        let observed = Duration::from_secs_f64(observed / 1_000.0);
        self.times.record(engine, service, expected, observed);
        if wait_ms == 0.0 {
            self.routers[router].record_prefill(prefill_tokens, observed);
        }
    }

    fn factor(&self, engine: usize) -> f64 {
        let mut published = self.estimator.published();
        let found = published.find(|slow| slow.endpoint == engine);
        found.map_or(Slowness::NOMINAL, |slow| slow.slowness).factor()
    }

    /// Asserts that only the first engine has a factor, but for 5% of the others.
    fn assert_only_first_differs(&self, expected: f64) {
        let others = (1..ENGINES).filter(|&engine| self.factor(engine) != 1.0).count();
        assert!(others <= ENGINES / 20, "{others} of {} other engines differ", ENGINES - 1);
        let factor = self.factor(0);
        assert!((factor / expected - 1.0).abs() < 0.25, "{factor} instead of {expected}");
    }
}

fn known(tokens: u64) -> Prompt {
    Prompt { assumed: tokens, uncached: tokens }
}

/// Returns a chat or a long prompt, at any engine.
fn mixed(rng: &mut Pcg64Mcg, _engine: usize) -> Prompt {
    known(if rng.random_bool(0.5) { CHAT_TOKENS } else { LONG_TOKENS })
}

/// Returns a prompt of the kind that its engine is preferred for.
fn by_kind(_rng: &mut Pcg64Mcg, engine: usize) -> Prompt {
    known(if engine < LONG_PROMPT_ENGINES { LONG_TOKENS } else { CHAT_TOKENS })
}

/// Returns a prompt of which half are assumed to be cached, or not, without regard to what is true.
fn with_wrong_assumptions(rng: &mut Pcg64Mcg, engine: usize) -> Prompt {
    let is_wrong = rng.random_bool(0.5);
    let (assumed, actual) = (mixed(rng, engine), mixed(rng, engine));
    let uncached = if is_wrong { actual.uncached } else { assumed.uncached };
    Prompt { assumed: assumed.assumed, uncached }
}

// Guards against factors that depend on the service's rate, which the expected times don't know.
#[parameterized(
    slow = { 32.4, 80.0 },
    medium = { 49.6, 60.0 },
    fast = { 81.9, 40.0 },
)]
fn service_at_any_rate(rate: f64, cached_ms: f64) {
    for seed in SEEDS {
        let mut site = Site::new(seed, rate, cached_ms, 3.0);
        site.run(400, mixed, |_| 0.0);
        site.assert_only_first_differs(3.0);
    }
}

// Load: each engine gets only one kind of prompts. Guards against engines that seem slower by the kind
// of their prompts.
#[parameterized(
    slow = { 32.4, 80.0 },
    medium = { 49.6, 60.0 },
    fast = { 81.9, 40.0 },
)]
fn engines_preferred_for_long_prompts(rate: f64, cached_ms: f64) {
    for seed in SEEDS {
        let mut site = Site::new(seed, rate, cached_ms, 3.0);
        site.run(400, by_kind, |_| 0.0);
        site.assert_only_first_differs(3.0);
    }
}

// Load: half of the prompts with wrong assumptions about the cache. Guards against factors for engines
// whose caches are misjudged by chance.
#[parameterized(
    slow = { 32.4, 80.0 },
    medium = { 49.6, 60.0 },
    fast = { 81.9, 40.0 },
)]
fn half_the_assumptions_about_the_cache_are_wrong(rate: f64, cached_ms: f64) {
    for seed in SEEDS {
        let mut site = Site::new(seed, rate, cached_ms, 3.0);
        site.run(400, with_wrong_assumptions, |_| 0.0);
        site.assert_only_first_differs(3.0);
    }
}

// Load: overload from the start; the wait at all engines grows by 50 ms a second, to 3 s. Guards
// against factors from load, at a site that was never idle, where no prompt shows its prefill.
#[test]
fn overload_from_the_start() {
    for seed in SEEDS {
        let mut site = Site::new(seed, 49.6, 60.0, 3.0);
        site.run(400, mixed, |poll| (poll + 1) as f64 * 7.5);
        site.assert_only_first_differs(3.0);
    }
}
