//! Headroom of engines, and the choice among engines with headroom.

use std::time::Duration;

use base::TokenCount;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::{
    Candidate, EngineSpeed, Headroom, InFlightLoad, Request, Slowness, Warm, choose_with_headroom,
};
use yare::parameterized;

const TARGET_TTFT: Duration = Duration::from_millis(600);

fn load(requests: u32, prefill_tokens: u64) -> InFlightLoad {
    InFlightLoad { requests, prefill_tokens: TokenCount::new(prefill_tokens) }
}

#[parameterized(
    idle = { load(0, 0), 800, true },
    some_prefill = { load(5, 9_000), 800, true },
    much_prefill = { load(5, 30_000), 800, false },
    many_streams = { load(32, 0), 800, false },
    long_prompt_at_an_idle_engine = { load(0, 0), 60_000, true },
    long_prompt_behind_another = { load(1, 9_000), 60_000, false },
)]
fn headroom_by_load(load: InFlightLoad, cold: u64, enough: bool) {
    let headroom = EngineSpeed::default().headroom(load, TokenCount::new(cold), TARGET_TTFT);
    assert_eq!(headroom == Headroom::Enough, enough, "{headroom:?}");
}

#[test]
fn refusal_has_the_time_until_there_is_headroom() {
    let speed = EngineSpeed::default();
    let Headroom::After(wait) = speed.headroom(load(5, 30_000), TokenCount::new(800), TARGET_TTFT)
    else {
        panic!("too much prefill for headroom")
    };
    let left = speed.expected_ttft(load(5, 30_000), TokenCount::new(800)) - TARGET_TTFT;
    assert_eq!(wait, left);
}

#[parameterized(
    unknown = { 0, 31, true },
    few_slots_free = { 24, 23, true },
    few_slots_taken = { 24, 24, false },
    many_slots = { 48, 32, false },
)]
fn headroom_by_slots(slots: u32, requests: u32, enough: bool) {
    let headroom =
        EngineSpeed::with_slots(slots).headroom(load(requests, 0), TokenCount::ZERO, TARGET_TTFT);
    assert_eq!(headroom == Headroom::Enough, enough, "{headroom:?}");
}

/// Returns the choice among a home, a cold engine and one that has most of the prompt cached.
fn chosen(headrooms: [Headroom; 3]) -> Result<Option<usize>, Duration> {
    let home = Candidate { rank: 9, warm_tokens: TokenCount::new(3_900), ..Candidate::default() };
    let warm = Candidate { warm_tokens: TokenCount::new(3_000), ..Candidate::default() };
    let req = Request { prompt_tokens: TokenCount::new(4_000), homes: 1 };
    let candidates = [home, Candidate::default(), warm];
    choose_with_headroom(
        &mut Warm::default(),
        &req,
        &candidates,
        &headrooms,
        &mut Pcg64Mcg::seed_from_u64(1),
    )
}

#[test]
fn full_home_falls_back_to_the_warmest_engine_with_headroom() {
    let full = |millis| Headroom::After(Duration::from_millis(millis));
    let enough = Headroom::Enough;
    assert_eq!(chosen([enough, enough, enough]), Ok(Some(0)));
    assert_eq!(chosen([full(90), enough, enough]), Ok(Some(2)));
    assert_eq!(chosen([full(90), enough, full(80)]), Ok(Some(1)));
    assert_eq!(chosen([full(90), full(70), full(80)]), Err(Duration::from_millis(70)));
}

// Guards against a slow engine that is compared by the speed of the others.
#[test]
fn slow_engine_needs_more_headroom() {
    let (load, cold) = (InFlightLoad::default(), TokenCount::new(2_800));
    let target = Duration::from_millis(200);
    let speed = EngineSpeed::default();
    assert_eq!(speed.headroom(load, cold, target), Headroom::Enough);
    let slow = speed.slowed_by(Slowness::from_factor(2.0));
    assert_eq!(slow.expected_ttft(load, cold), speed.expected_ttft(load, cold) * 2);
    assert_eq!(speed.slowed_by(Slowness::NOMINAL), speed);
}
