//! The hold time and prefill rate that a router learns of a service's engines.

use std::time::Duration;

use base::TokenCount;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{InFlightLoad, ServiceSpeed};
use yare::parameterized;

/// Seeds of the tests with random loads.
const SEEDS: u64 = 40;

/// Lengths of the prompts of a service: chats of 830 tokens and long ones of 9,200.
const PROMPT_TOKENS: [u64; 2] = [830, 9_200];

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the time to the first event at an engine that prefills `rate` tokens/ms and takes
/// `cached_ms` for a cached prompt, with 20% noise.
fn first_event(rng: &mut Pcg64Mcg, tokens: u64, rate: f64, cached_ms: f64) -> Duration {
    let ms = cached_ms + tokens as f64 / rate;
    Duration::from_secs_f64(ms / 1_000.0 * rng.random_range(0.8..1.2))
}

/// Returns uncached tokens: the whole prompt, or a tenth of it if its shared parts are cached.
fn uncached_tokens(rng: &mut Pcg64Mcg) -> u64 {
    let prompt = PROMPT_TOKENS[rng.random_range(0..PROMPT_TOKENS.len())];
    if rng.random_bool(0.5) { prompt } else { prompt / 10 }
}

/// Returns what is learned from 100 prompts, half of them cached, at engines of this rate.
fn speed_after_100_prompts(seed: u64, rate: f64, cached_ms: f64) -> ServiceSpeed {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut speed = ServiceSpeed::default();
    for _ in 0..100 {
        let tokens = uncached_tokens(&mut rng);
        let took = first_event(&mut rng, tokens, rate, cached_ms);
        speed.record_prefill(TokenCount::new(tokens), took);
    }
    speed
}

fn rate_per_ms(speed: &ServiceSpeed) -> f64 {
    speed.prefill_rate().as_u64() as f64 / 1_000.0
}

// Load: 100 prompts, half of them cached, at engines with the rates of three sites. Guards against a
// rate that is assumed for all services.
#[parameterized(
    slow = { 32.4, 80.0 },
    medium = { 49.6, 60.0 },
    fast = { 81.9, 40.0 },
)]
fn prefill_rate_is_learned(rate: f64, cached_ms: f64) {
    for seed in 0..SEEDS {
        let speed = speed_after_100_prompts(seed, rate, cached_ms);
        let learned = rate_per_ms(&speed);
        assert!((learned / rate - 1.0).abs() < 0.2, "{learned} instead of {rate}, seed {seed}");
    }
}

// Load: as before. Guards against expected times that are wrong by the length of the prompt: 28 tokens/ms
// and 80 ms made engines with long prompts seem 1.2 times as fast as those with chats.
#[parameterized(
    slow = { 32.4, 80.0 },
    medium = { 49.6, 60.0 },
    fast = { 81.9, 40.0 },
)]
fn expected_time_is_learned_for_all_lengths(rate: f64, cached_ms: f64) {
    for seed in 0..SEEDS {
        let speed = speed_after_100_prompts(seed, rate, cached_ms);
        for tokens in PROMPT_TOKENS {
            let load = InFlightLoad { requests: 1, prefill_tokens: TokenCount::new(tokens) };
            let learned = speed.expected_ttft(load).as_secs_f64() * 1_000.0;
            let true_time = cached_ms + tokens as f64 / rate;
            assert!(
                (learned / true_time - 1.0).abs() < 0.15,
                "{learned} ms instead of {true_time} ms, seed {seed}"
            );
        }
    }
}

// Load: as before, with the cached part of half the prompts assumed wrongly: those assumed uncached
// are cached, and the reverse. Errors in the tokens make the slope too small, so the rate is too high,
// by about 2. Guards against a rate further off.
#[parameterized(
    slow = { 32.4, 80.0 },
    medium = { 49.6, 60.0 },
    fast = { 81.9, 40.0 },
)]
fn wrong_assumptions_about_the_cache(rate: f64, cached_ms: f64) {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut speed = ServiceSpeed::default();
        for _ in 0..200 {
            let assumed = uncached_tokens(&mut rng);
            let actual = if rng.random_bool(0.5) { assumed } else { uncached_tokens(&mut rng) };
            let took = first_event(&mut rng, actual, rate, cached_ms);
            speed.record_prefill(TokenCount::new(assumed), took);
        }
        let learned = rate_per_ms(&speed);
        assert!(
            rate / 1.2 <= learned && learned <= rate * 3.5,
            "{learned} instead of {rate}, seed {seed}"
        );
    }
}

// Load: 200 prompts whose time doesn't depend on their tokens. Guards against a rate from noise.
#[test]
fn prefill_rate_needs_a_significant_slope() {
    let mut learned = 0;
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut speed = ServiceSpeed::default();
        for _ in 0..200 {
            let tokens = uncached_tokens(&mut rng);
            speed.record_prefill(TokenCount::new(tokens), millis(rng.random_range(40..160)));
        }
        learned += u32::from(speed.prefill_rate() != ServiceSpeed::default().prefill_rate());
    }
    println!("{learned} of {SEEDS} services got a rate");
    assert!(learned <= 4, "{learned} of {SEEDS} services got a rate");
}

// Guards against a rate from the first few prompts, and against rates that no engine has.
#[parameterized(
    few_prompts = { 8, 10.0, 28_000 },
    slower_than_any = { 50, 4.0, 5_000 },
    faster_than_any = { 50, 1_000.0, 200_000 },
)]
fn prefill_rate_is_bounded(prompts: u64, rate: f64, expected: u64) {
    let mut speed = ServiceSpeed::default();
    for i in 0..prompts {
        let tokens = i % 5 * 1_000;
        let took = Duration::from_secs_f64(0.04 + tokens as f64 / rate / 1_000.0);
        speed.record_prefill(TokenCount::new(tokens), took);
    }
    assert_eq!(speed.prefill_rate().as_u64(), expected);
}

// Load: overload from the start: a dozen requests run at each engine and prompts wait. Guards against
// waiting time that counts as prefill.
#[parameterized(
    idle = { 1, 9_200, 9_200, true },
    few_streams = { 4, 9_200, 9_200, true },
    many_streams = { 12, 9_200, 9_200, false },
    behind_another_prompt = { 2, 18_400, 9_200, false },
)]
fn prefill_shows_at_engines_with_little_load(
    requests: u32,
    prefill_tokens: u64,
    uncached: u64,
    shows: bool,
) {
    let load = InFlightLoad { requests, prefill_tokens: TokenCount::new(prefill_tokens) };
    assert_eq!(ServiceSpeed::shows_prefill(load, TokenCount::new(uncached)), shows);
}

// Load: a prompt in ten waits 2 to 10 s at an engine that stands still. Guards against a fit that
// follows a few frozen engines.
#[test]
fn frozen_engines_do_not_change_the_prefill_rate() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut speed = ServiceSpeed::default();
        for _ in 0..200 {
            let tokens = uncached_tokens(&mut rng);
            let mut took = first_event(&mut rng, tokens, 49.6, 60.0);
            if rng.random_bool(0.1) {
                took += millis(rng.random_range(3_000..10_000));
            }
            speed.record_prefill(TokenCount::new(tokens), took);
        }
        let learned = rate_per_ms(&speed);
        assert!((learned / 49.6 - 1.0).abs() < 0.2, "{learned} instead of 49.6, seed {seed}");
    }
}

// Load: streams of 1.4 to 2.8 s, as short prompts hold slots at the site with 12 of them. Guards
// against a hold time that is assumed for all services, and one from a single stream.
#[test]
fn hold_time_is_learned() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut speed = ServiceSpeed::default();
    speed.record_stream(millis(2_100));
    assert_eq!(speed.hold_time(), ServiceSpeed::default().hold_time());
    (0..30).for_each(|_| speed.record_stream(millis(rng.random_range(1_400..2_800))));
    let learned = speed.hold_time();
    assert!(millis(1_800) < learned && learned < millis(2_400), "{learned:?}");
    (0..100).for_each(|_| speed.record_stream(millis(300)));
    assert!(speed.hold_time() < millis(400), "{:?}", speed.hold_time());
}

// Load: half the streams are given up, short ones at once and long ones after their mean. Guards
// against a mean that leaves out the streams that nobody waits for.
#[parameterized(
    shorter_than_the_mean = { 100, 1_000 },
    longer_than_the_mean = { 3_000, 2_900 },
)]
fn unfinished_streams_count_if_longer_than_the_mean(lasted: u64, expected: u64) {
    let mut speed = ServiceSpeed::default();
    (0..30).for_each(|_| speed.record_stream(millis(1_000)));
    (0..200).for_each(|_| speed.record_unfinished_stream(millis(lasted)));
    let learned = speed.hold_time().as_secs_f64() * 1_000.0;
    assert!((learned / expected as f64 - 1.0).abs() < 0.05, "{learned} instead of {expected}");
}

// Guards against hold times that no stream has, as after a pause of the process.
#[parameterized(shortest = { 1, 50 }, longest = { 3_600_000, 30_000 })]
fn hold_time_is_bounded(hold_time: u64, expected: u64) {
    let mut speed = ServiceSpeed::default();
    (0..30).for_each(|_| speed.record_stream(millis(hold_time)));
    let learned = speed.hold_time().as_secs_f64() * 1_000.0;
    assert!((learned - expected as f64).abs() < 0.01, "{learned}");
}

// Guards against costs of misplaced prompts that differ from the former constants where nothing is
// learned, as with the switch off.
#[parameterized(long = { 11_200, 400 }, short = { 7_000, 250 })]
fn default_rate_gives_the_former_costs(tokens: u64, expected: u64) {
    assert_eq!(ServiceSpeed::default().prefill_time(TokenCount::new(tokens)), millis(expected));
}

// Guards against a log line for each stream.
#[test]
fn only_clear_changes_differ() {
    let mut speed = ServiceSpeed::default();
    (0..30).for_each(|_| speed.record_stream(millis(1_000)));
    let logged = speed;
    (0..30).for_each(|_| speed.record_stream(millis(1_200)));
    assert!(!speed.differs_clearly(&logged));
    (0..30).for_each(|_| speed.record_stream(millis(2_000)));
    assert!(speed.differs_clearly(&logged));
}
