//! Which candidate each policy chooses.

use std::time::Duration;

use base::TokenCount;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::{AnyPolicy, Candidate, Policy, PolicyKind, Request, Slowness, Warm, WarmSettings};

fn tokens(n: u64) -> TokenCount {
    TokenCount::new(n)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request() -> Request {
    Request { prompt_tokens: tokens(2_000), homes: 1 }
}

/// Four idle candidates; the third is the home, the second the next by rank.
fn idle() -> [Candidate; 4] {
    [1, 8, 9, 2].map(|rank| Candidate { rank, ..Candidate::default() })
}

fn with(changes: impl FnOnce(&mut [Candidate; 4])) -> [Candidate; 4] {
    let mut candidates = idle();
    changes(&mut candidates);
    candidates
}

fn choose(kind: PolicyKind, req: Request, candidates: &[Candidate], seed: u64) -> Option<usize> {
    let mut policy = AnyPolicy::new(kind, WarmSettings::default());
    policy.choose(&req, candidates, &mut Pcg64Mcg::seed_from_u64(seed))
}

macro_rules! choice_cases {
    ($($name:ident: $kind:ident, $candidates:expr => $chosen:expr,)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let chosen = choose(PolicyKind::$kind, request(), &$candidates, seed);
                assert_eq!(chosen, Some($chosen));
            }
        }
    )*};
}

choice_cases! {
    round_robin_starts_at_the_first: RoundRobin, idle() => 0,
    least_in_flight_chooses_the_idle_candidate: LeastInFlight,
        with(|c| [0, 1, 3].into_iter().for_each(|i| c[i].in_flight = 1)) => 2,
    hash_chooses_the_home_regardless_of_load: Hash, with(|c| c[2].in_flight = 99) => 2,
    warm_v1_chooses_the_home_without_warm_candidates: WarmV1, idle() => 2,
    warm_v1_chooses_the_warm_candidate: WarmV1, with(|c| c[0].warm_tokens = tokens(1_000)) => 0,
    home_wins_without_warm_candidates: Warm, idle() => 2,
    fast_cold_wins_over_slow_warm: Warm, with(|c| {
        c[2].warm_tokens = tokens(1_000);
        c[2].slowness = Slowness::from_factor(7.5);
        c[1].warm_tokens = tokens(500);
    }) => 1,
    slow_warm_wins_over_cold: Warm, with(|c| {
        c[2].warm_tokens = tokens(1_800);
        c[2].slowness = Slowness::from_factor(1.3);
    }) => 2,
    // Slow by 2, half warm: 180 ms; the next by rank: 167 ms at an idle engine.
    prompt_leaves_slow_warm_if_that_saves_time: Warm, with(|c| {
        c[2].warm_tokens = tokens(1_000);
        c[2].slowness = Slowness::from_factor(2.0);
    }) => 1,
    prompt_stays_at_slow_warm_if_it_would_delay_another: Warm, with(|c| {
        c[2].warm_tokens = tokens(1_000);
        c[2].slowness = Slowness::from_factor(2.0);
        c[1].in_flight = 1;
    }) => 2,
    prompt_stays_at_slow_warm_with_some_load: Warm, with(|c| {
        c[2].warm_tokens = tokens(1_800);
        c[2].slowness = Slowness::from_factor(1.3);
        c[2].own_prefill_tokens = tokens(1_500);
    }) => 2,
    prompt_goes_to_nominal_of_two_that_are_warm: Warm, with(|c| {
        [1, 2].into_iter().for_each(|i| c[i].warm_tokens = tokens(2_000));
        c[2].slowness = Slowness::from_factor(1.3);
    }) => 1,
    waiting_time_is_weighted_by_slowness: Warm, with(|c| {
        [1, 2].into_iter().for_each(|i| c[i].warm_tokens = tokens(2_000));
        c[1].own_prefill_tokens = tokens(2_400);
        c[2].own_prefill_tokens = tokens(2_000);
        c[2].slowness = Slowness::from_factor(1.3);
    }) => 1,
    fast_cold_does_not_attract_prompts_of_nominal_warm: Warm, with(|c| {
        c[2].warm_tokens = tokens(1_800);
        c[1].warm_tokens = tokens(1_700);
        c[1].slowness = Slowness::from_factor(0.5);
    }) => 2,
    warm_wins_over_home: Warm, with(|c| c[0].warm_tokens = tokens(2_000)) => 0,
    warm_wins_over_slightly_less_busy: Warm, with(|c| {
        c[0].warm_tokens = tokens(2_000);
        c[0].in_flight = 5;
        c[0].own_prefill_tokens = tokens(1_500);
    }) => 0,
    overloaded_warm_spills_to_the_home: Warm, with(|c| {
        c[0].warm_tokens = tokens(2_000);
        c[0].own_prefill_tokens = tokens(8_000);
    }) => 2,
    overloaded_home_spills_to_the_next_by_rank: Warm, with(|c| c[2].in_flight = 9) => 1,
    reported_load_spills_as_own_does: Warm, with(|c| {
        c[2].reported_requests = 9;
        c[2].reported_prefill_tokens = tokens(9_000);
    }) => 1,
    near_wins_among_equally_warm: Warm, with(|c| {
        c.iter_mut().for_each(|c| c.warm_tokens = tokens(2_000));
        c.iter_mut().for_each(|c| c.round_trip = ms(10));
        c[3].round_trip = ms(1);
    }) => 3,
    warm_far_away_wins_over_cold_nearby: Warm, with(|c| {
        c[0].warm_tokens = tokens(2_000);
        c[0].round_trip = ms(10);
    }) => 0,
    full_warm_spills_to_the_home: Warm, with(|c| {
        c[0].warm_tokens = tokens(2_000);
        c[0].in_flight = 12;
        c[0].slots = 8;
    }) => 2,
    nearly_full_warm_wins_over_home: Warm, with(|c| {
        c[0].warm_tokens = tokens(2_000);
        c[0].in_flight = 7;
        c[0].slots = 8;
    }) => 0,
    own_load_is_not_counted_twice: Warm, with(|c| {
        c[2].in_flight = 2;
        c[2].reported_requests = 2;
        c[2].own_prefill_tokens = tokens(900);
        c[2].reported_prefill_tokens = tokens(900);
    }) => 2,
}

#[test]
fn no_choice_without_candidates() {
    for kind in PolicyKind::ALL {
        assert_eq!(choose(kind, request(), &[], 1), None);
    }
}

#[test]
fn names_round_trip() {
    for kind in PolicyKind::ALL {
        assert_eq!(kind.to_string().parse(), Ok(kind));
        assert_eq!(AnyPolicy::new(kind, WarmSettings::default()).kind(), kind);
    }
    assert!("warmest".parse::<PolicyKind>().is_err());
}

#[test]
fn hot_prefix_uses_all_its_homes() {
    let req = Request { homes: 2, ..request() };
    let chosen =
        |home| (0..100).filter(move |&s| choose(PolicyKind::Warm, req, &idle(), s) == home);
    assert!(30 < chosen(Some(1)).count() && 30 < chosen(Some(2)).count());
    assert_eq!(chosen(Some(0)).count() + chosen(Some(3)).count(), 0);
}

#[test]
fn routers_agree_on_the_home_of_a_longer_prefix() {
    let req = Request { homes: 2, ..request() };
    let candidates = with(|c| {
        c[1].longer_prefix_rank = 5;
        c[2].longer_prefix_rank = 3;
        c[3].longer_prefix_rank = 9;
    });
    assert!((0..100).all(|seed| choose(PolicyKind::Warm, req, &candidates, seed) == Some(1)));
}

#[test]
fn settings_favouring_hits_accept_a_longer_queue() {
    let busy = with(|c| {
        c[0].warm_tokens = tokens(2_000);
        c[0].own_prefill_tokens = tokens(3_500);
    });
    let choose =
        |settings| Warm::new(settings).choose(&request(), &busy, &mut Pcg64Mcg::seed_from_u64(1));
    assert_eq!(choose(WarmSettings::default()), Some(2));
    assert_eq!(choose(WarmSettings::favouring_hits()), Some(0));
}

#[test]
fn stale_low_report_does_not_attract_all_routers() {
    const ROUTERS: u64 = 8;
    const REQUESTS: u64 = 25;
    const ENGINES: u64 = 18;
    let mut sent_to_stale = 0;
    for router in 0..ROUTERS {
        let mut rng = Pcg64Mcg::seed_from_u64(router);
        let mut policy = Warm::default();
        let mut candidates = [Candidate::default(); ENGINES as usize];
        for (n, candidate) in candidates.iter_mut().enumerate() {
            candidate.report_age = ms(1_000);
            candidate.reported_requests = if n == 0 { 0 } else { 12 };
            candidate.reported_prefill_tokens = tokens(if n == 0 { 0 } else { 6_000 });
        }
        for n in 0..REQUESTS {
            let prefix = prefix::BlockHash::new(spread(router * REQUESTS + n));
            for (engine, candidate) in candidates.iter_mut().enumerate() {
                let endpoint = format!("engine-{engine}").parse().unwrap();
                candidate.rank = prefix::rank(prefix, &endpoint);
            }
            let chosen = policy.choose(&request(), &candidates, &mut rng).unwrap();
            candidates[chosen].in_flight += 1;
            candidates[chosen].own_prefill_tokens =
                tokens(candidates[chosen].own_prefill_tokens.as_u64() + 2_000);
            sent_to_stale += u64::from(chosen == 0);
        }
    }
    let fair = ROUTERS * REQUESTS / ENGINES;
    assert!(
        sent_to_stale <= fair * 2,
        "{sent_to_stale} of {} requests sent to the engine with the stale report",
        ROUTERS * REQUESTS
    );
}

fn spread(n: u64) -> u64 {
    n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_choice_is_a_candidate(
        fields in proptest::collection::vec(any::<[u64; 6]>(), 1..40),
        prompt in any::<u64>(),
        homes in any::<u32>(),
        seed in any::<u64>(),
    ) {
        let candidates: Vec<_> = fields.iter().map(|&[rank, warm, busy, own, reported, millis]| {
            Candidate {
                rank,
                longer_prefix_rank: rank.rotate_left(7),
                warm_tokens: tokens(warm),
                in_flight: busy as u32,
                own_prefill_tokens: tokens(own),
                reported_requests: reported as u32,
                reported_prefill_tokens: tokens(reported),
                report_age: ms(millis),
                slots: busy as u32,
                round_trip: ms(millis),
                slowness: Slowness::from_factor(reported as f64 / 100.0),
            }
        }).collect();
        let req = Request { prompt_tokens: tokens(prompt), homes };
        for kind in PolicyKind::ALL {
            let chosen = choose(kind, req, &candidates, seed);
            prop_assert!(chosen.is_some_and(|i| i < candidates.len()));
        }
    }
}
