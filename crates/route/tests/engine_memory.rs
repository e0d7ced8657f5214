//! Bounds on the tokens that engines hold.

use std::time::Duration;

use base::{MonotonicTime, TokenCount};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{ArrivalRate, EngineMemory, HeldLoad};
use yare::parameterized;

/// Memory of 96,000 tokens, of which 72,000 may be held.
fn memory() -> EngineMemory {
    EngineMemory::new(TokenCount::new(96_000)).unwrap()
}

fn held(requests: u32, tokens: u64) -> HeldLoad {
    HeldLoad { requests, tokens: TokenCount::new(tokens) }
}

/// Guards against an engine that ends for lack of memory, and against a large request that no
/// engine ever gets.
#[parameterized(
    idle = { held(0, 0), 9_400, true },
    up_to_the_bound = { held(7, 62_600), 9_400, true },
    over_the_bound = { held(7, 62_601), 9_400, false },
    oversized_at_an_idle_engine = { held(0, 0), 90_000, true },
    oversized_beside_another = { held(1, 100), 90_000, false },
    largest = { held(1, u64::MAX), 1, false },
)]
fn room_for_a_request(held: HeldLoad, size: u64, expected: bool) {
    assert_eq!(memory().has_room(held, TokenCount::new(size)), expected);
}

#[test]
fn unknown_memory_has_no_bound() {
    assert_eq!(EngineMemory::new(TokenCount::ZERO), None);
}

/// Guards against quarantining requests of an engine that ended because others filled it.
#[parameterized(
    below = { 72_000, false },
    above = { 72_001, true },
)]
fn end_of_an_engine_by_its_memory(tokens: u64, expected: bool) {
    assert_eq!(memory().may_be_exceeded(held(9, tokens)), expected);
}

#[test]
fn lone_router_sends_all_that_has_room() {
    assert_eq!(memory().admitted_share(held(7, 62_000), TokenCount::new(9_400), 0.0), 1.0);
}

/// Guards against an estimate that lasts after a burst.
#[test]
fn arrival_rate_follows_the_arrivals() {
    let mut rate = ArrivalRate::default();
    for i in 0..200 {
        rate.record(MonotonicTime::from_millis(i * 100));
    }
    let second = Duration::from_secs(1);
    let during = rate.expected_in(MonotonicTime::from_millis(20_000), second);
    let after = rate.expected_in(MonotonicTime::from_millis(40_000), second);
    assert!((9.0..11.0).contains(&during), "{during}");
    assert!(after < 0.1, "{after}");
}

/// Requests of 9,400 tokens that hold an engine's memory for 1 to 3 s, as 100 routers send them to
/// 105 engines; each router knows what the others sent 150 ms ago.
struct Overload {
    /// Times that an engine's memory was exceeded.
    exceeded: u32,
    admitted: u32,
}

const SIZE: u64 = 9_400;

/// Serves `factor` times the requests that fill the engines' memories, for 30 s.
fn serve(factor: f64, is_limited: bool) -> Overload {
    const ENGINES: usize = 105;
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    // When each request was sent and when it ends, in ms.
    let mut engines: Vec<Vec<(u64, u64)>> = vec![Vec::new(); ENGINES];
    let mut was_exceeded = [false; ENGINES];
    let mut outcome = Overload { exceeded: 0, admitted: 0 };
    let per_ms = factor * 5.1 * ENGINES as f64 / 1_000.0;
    let load = |requests: usize| held(requests as u32, requests as u64 * SIZE);
    for now in 0..30_000 {
        engines.iter_mut().for_each(|engine| engine.retain(|(_, end)| now < end + 150));
        let arrivals =
            per_ms.floor() as u32 + u32::from(rng.random_range(0.0..1.0) < per_ms.fract());
        for _ in 0..arrivals {
            let known = |j: usize| {
                load(
                    engines[j]
                        .iter()
                        .filter(|(sent, end)| sent + 150 <= now && now < end + 150)
                        .count(),
                )
            };
            let size = TokenCount::new(SIZE);
            let with_room: Vec<_> =
                (0..ENGINES).filter(|&j| memory().has_room(known(j), size)).collect();
            let unreported = per_ms * 150.0 / with_room.len().max(1) as f64;
            let draw = rng.random_range(0.0..1.0);
            if with_room.is_empty() {
                continue;
            }
            let chosen = with_room[rng.random_range(0..with_room.len())];
            if is_limited && memory().admitted_share(known(chosen), size, unreported) <= draw {
                continue;
            }
            engines[chosen].push((now, now + rng.random_range(1_000..3_000)));
            outcome.admitted += 1;
        }
        for (engine, was_exceeded) in engines.iter().zip(&mut was_exceeded) {
            let tokens = engine.iter().filter(|(_, end)| now < *end).count() as u64 * SIZE;
            outcome.exceeded += u32::from(96_000 < tokens && !*was_exceeded);
            *was_exceeded = 96_000 < tokens;
        }
    }
    outcome
}

/// Guards against routers that all send to the few engines last reported to have room.
#[parameterized(
    short = { 1.2 },
    burst = { 2.4 },
)]
fn requests_of_100_routers_stay_within_the_memory(factor: f64) {
    let before = serve(factor, false);
    let after = serve(factor, true);
    println!("exceeded {} before, {} after", before.exceeded, after.exceeded);
    println!("admitted {} before, {} after", before.admitted, after.admitted);
    // 105 engines run for 30 s; an engine that ends loses its 10 requests.
    assert!(after.exceeded * 100 < before.exceeded);
    assert!(after.exceeded <= 3, "{}", after.exceeded);
}
