//! Whether engines have room for a request in time.

use std::time::Duration;

use base::TokenCount;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::{Candidate, EngineSpeed, Headroom, InFlightLoad, Request, Warm, choose_with_headroom};
use yare::parameterized;

const AIM: Duration = Duration::from_millis(600);

fn load(requests: u32, prefill_tokens: u64) -> InFlightLoad {
    InFlightLoad { requests, prefill_tokens: TokenCount::new(prefill_tokens) }
}

#[parameterized(
    idle = { load(0, 0), 800, true },
    some_reading = { load(5, 9_000), 800, true },
    much_reading = { load(5, 30_000), 800, false },
    many_streams = { load(32, 0), 800, false },
    long_prompt_at_an_idle_engine = { load(0, 0), 60_000, true },
    long_prompt_behind_another = { load(1, 9_000), 60_000, false },
)]
fn room(load: InFlightLoad, cold: u64, enough: bool) {
    let headroom = EngineSpeed::default().headroom(load, TokenCount::new(cold), AIM);
    assert_eq!(headroom == Headroom::Enough, enough, "{headroom:?}");
}

#[test]
fn refused_caller_is_told_when_there_is_room() {
    let speed = EngineSpeed::default();
    let Headroom::After(wait) = speed.headroom(load(5, 30_000), TokenCount::new(800), AIM) else {
        panic!("too much to read")
    };
    let left = speed.first_token(load(5, 30_000), TokenCount::new(800)) - AIM;
    assert_eq!(wait, left);
}

#[parameterized(
    unknown = { 0, 31, true },
    few_slots_free = { 24, 23, true },
    few_slots_taken = { 24, 24, false },
    many_slots = { 48, 32, false },
)]
fn room_among_slots(slots: u32, requests: u32, enough: bool) {
    let headroom =
        EngineSpeed::with_slots(slots).headroom(load(requests, 0), TokenCount::ZERO, AIM);
    assert_eq!(headroom == Headroom::Enough, enough, "{headroom:?}");
}

/// Returns the choice among a home, a cold engine and one that holds most of the prompt.
fn chosen(rooms: [Headroom; 3]) -> Result<Option<usize>, Duration> {
    let home = Candidate { rank: 9, warm_tokens: TokenCount::new(3_900), ..Candidate::default() };
    let warm = Candidate { warm_tokens: TokenCount::new(3_000), ..Candidate::default() };
    let req = Request { prompt_tokens: TokenCount::new(4_000), homes: 1 };
    let candidates = [home, Candidate::default(), warm];
    choose_with_headroom(
        &mut Warm::default(),
        &req,
        &candidates,
        &rooms,
        &mut Pcg64Mcg::seed_from_u64(1),
    )
}

#[test]
fn prompt_whose_home_is_full_goes_to_the_next_warmest_engine_with_room() {
    let full = |millis| Headroom::After(Duration::from_millis(millis));
    let enough = Headroom::Enough;
    assert_eq!(chosen([enough, enough, enough]), Ok(Some(0)));
    assert_eq!(chosen([full(90), enough, enough]), Ok(Some(2)));
    assert_eq!(chosen([full(90), enough, full(80)]), Ok(Some(1)));
    assert_eq!(chosen([full(90), full(70), full(80)]), Err(Duration::from_millis(70)));
}
