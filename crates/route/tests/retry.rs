//! Retry budget, backoff and hedging.

use std::time::Duration;

use base::MonotonicTime;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{
    Backoff, BudgetSettings, Hedge, HedgeDecision, HedgeSettings, Idempotence, RetryBudget,
};

const START: MonotonicTime = MonotonicTime::ZERO;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn budget(ratio: f64, min_rate: f64, burst: f64) -> RetryBudget {
    RetryBudget::new(START, BudgetSettings { ratio, min_rate, burst })
}

fn spend_all(budget: &mut RetryBudget, now: MonotonicTime) -> usize {
    (0..1_000).take_while(|_| budget.try_spend(now)).count()
}

#[test]
fn burst_is_bounded() {
    assert_eq!(spend_all(&mut budget(0.5, 1.0, 3.0), START), 3);
}

#[test]
fn requests_add_retries_by_the_ratio() {
    let mut budget = budget(0.25, 0.0, 50.0);
    spend_all(&mut budget, START);
    (0..100).for_each(|_| budget.earn(START));
    assert_eq!(spend_all(&mut budget, START), 25);
}

#[test]
fn time_adds_retries_at_the_minimum_rate() {
    let mut budget = budget(0.0, 2.0, 50.0);
    spend_all(&mut budget, START);
    assert_eq!(spend_all(&mut budget, START + ms(5_000)), 10);
}

#[test]
fn clock_step_backwards_adds_no_retries() {
    let mut budget = budget(0.0, 2.0, 50.0);
    spend_all(&mut budget, START + ms(5_000));
    assert_eq!(spend_all(&mut budget, START), 0);
    assert_eq!(spend_all(&mut budget, START + ms(5_000)), 0);
}

#[test]
fn full_outage_sends_few_retries() {
    let mut budget = budget(0.1, 0.0, 10.0);
    let retries = (0..1_000).filter(|_| {
        budget.earn(START);
        budget.try_spend(START)
    });
    assert!(retries.count() <= 110);
}

macro_rules! backoff_cases {
    ($($name:ident: $attempt:expr => $bound:expr,)*) => {$(
        #[test]
        fn $name() {
            let backoff = Backoff { base: ms(10), max: ms(500) };
            let mut rng = Pcg64Mcg::seed_from_u64(1);
            let mut delays: Vec<_> =
                (0..200).map(|_| backoff.delay($attempt, &mut rng)).collect();
            delays.sort();
            assert!(delays[199] <= $bound && $bound.mul_f64(0.9) < delays[199]);
            assert!(delays[0] < $bound.mul_f64(0.1));
        }
    )*};
}

backoff_cases! {
    first_delay_is_up_to_the_base: 0 => ms(10),
    delay_doubles: 3 => ms(80),
    delay_is_bounded: 9 => ms(500),
    huge_attempt_is_bounded: u32::MAX => ms(500),
}

#[test]
fn delay_settles_at_the_quantile() {
    let settings =
        HedgeSettings { quantile: 0.95, min_delay: ms(1), max_delay: Duration::from_secs(5) };
    let mut hedge = Hedge::new(settings);
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut hedged = 0;
    for n in 0..20_000 {
        let took = ms(rng.random_range(0..1_000));
        hedged += u32::from(10_000 <= n && hedge.delay() < took);
        hedge.record(took);
    }
    assert!((350..650).contains(&hedged), "{hedged}");
}

macro_rules! hedge_cases {
    ($($name:ident: $idempotence:ident, waited $waited:expr, burst $burst:expr => $decision:expr,)*) => {$(
        #[test]
        fn $name() {
            let settings = HedgeSettings { max_delay: ms(100), ..HedgeSettings::default() };
            let mut budget = budget(0.0, 0.0, $burst);
            let decision = Hedge::new(settings)
                .decide(START, Idempotence::$idempotence, ms($waited), &mut budget);
            assert_eq!(decision, $decision);
        }
    )*};
}

hedge_cases! {
    early_call_waits: Idempotent, waited 30, burst 1.0 => HedgeDecision::Wait(ms(70)),
    late_call_is_hedged: Idempotent, waited 100, burst 1.0 => HedgeDecision::Send,
    empty_budget_hedges_nothing: Idempotent, waited 100, burst 0.0 => HedgeDecision::Never,
    non_idempotent_call_is_never_hedged:
        NotIdempotent, waited 900, burst 1.0 => HedgeDecision::Never,
}

#[test]
fn reserve_is_kept_for_other_retries() {
    let settings = BudgetSettings { ratio: 0.0, min_rate: 0.0, burst: 3.0 };
    let mut budget = RetryBudget::new(MonotonicTime::ZERO, settings);
    assert!(budget.try_spend_above_reserve(MonotonicTime::ZERO, 0.6));
    assert!(!budget.try_spend_above_reserve(MonotonicTime::ZERO, 0.6));
    assert!(budget.try_spend(MonotonicTime::ZERO));
    assert!(budget.try_spend(MonotonicTime::ZERO));
    assert!(!budget.try_spend(MonotonicTime::ZERO));
}

/// In a large fleet each router has a small budget, which a fixed reserve exceeded.
#[test]
fn small_budget_allows_a_retry_above_the_reserve() {
    let settings = BudgetSettings { ratio: 0.0, min_rate: 0.0, burst: 2.1 };
    let mut budget = RetryBudget::new(MonotonicTime::ZERO, settings);
    assert!(budget.try_spend_above_reserve(MonotonicTime::ZERO, 0.36));
    assert!(budget.try_spend(MonotonicTime::ZERO));
    budget = RetryBudget::new(MonotonicTime::ZERO, BudgetSettings { burst: 1.0, ..settings });
    assert!(budget.try_spend_above_reserve(MonotonicTime::ZERO, 0.36));
    assert!(!budget.try_spend(MonotonicTime::ZERO));
}

#[test]
fn lower_maximum_discards_saved_retries() {
    let wide = BudgetSettings { ratio: 0.0, min_rate: 0.0, burst: 40.0 };
    let mut budget = RetryBudget::new(MonotonicTime::ZERO, wide);
    budget.set_settings(BudgetSettings { burst: 1.0, ..wide });
    assert!(budget.try_spend(MonotonicTime::ZERO));
    assert!(!budget.try_spend(MonotonicTime::ZERO));
}
