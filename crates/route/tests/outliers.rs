//! Ejection of endpoints that fail or are slow.

use std::time::Duration;

use base::{EndpointId, MonotonicTime};
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use route::{EjectionChange, EjectionState, Outcome, OutlierDetector, OutlierSettings};

fn id(n: usize) -> EndpointId {
    format!("engine-{n}").parse().unwrap()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn detector(endpoints: usize) -> OutlierDetector {
    let mut outliers = OutlierDetector::new(OutlierSettings {
        max_ejected_share: 0.5,
        initial_ejection_time: Duration::from_secs(1),
        ..OutlierSettings::default()
    });
    (0..endpoints).for_each(|n| outliers.join(at(0), id(n)));
    outliers
}

const FAST: Outcome = Outcome::Answered(Duration::from_millis(100));
const SLOW: Outcome = Outcome::Answered(Duration::from_millis(900));

/// Records outcomes at the first endpoint while the others respond fast.
fn record(
    outliers: &mut OutlierDetector,
    millis: u64,
    outcomes: &[Outcome],
) -> Option<EjectionChange> {
    let mut last = None;
    for &outcome in outcomes {
        (1..4).for_each(|n| assert_eq!(outliers.record(at(millis), &id(n), FAST), None));
        last = outliers.record(at(millis), &id(0), outcome).or(last);
    }
    last
}

macro_rules! ejection_cases {
    ($($name:ident: $outcomes:expr => $state:ident,)*) => {$(
        #[test]
        fn $name() {
            let mut outliers = detector(4);
            record(&mut outliers, 10, &$outcomes);
            assert_eq!(outliers.ejection_state(at(20), &id(0)), EjectionState::$state);
            assert_eq!(outliers.ejection_state(at(20), &id(1)), EjectionState::Ready);
        }
    )*};
}

ejection_cases! {
    fast_responses_do_not_eject: [FAST; 20] => Ready,
    too_few_failures_do_not_eject: [Outcome::Failed; 4] => Ready,
    failures_eject: [Outcome::Failed; 5] => Ejected,
    slow_responses_eject: [SLOW; 8] => Ejected,
    failures_below_the_share_do_not_eject: [FAST, FAST, Outcome::Failed, FAST, Outcome::Failed] => Ready,
}

#[test]
fn old_failures_leave_the_window() {
    let mut outliers = detector(4);
    record(&mut outliers, 0, &[Outcome::Failed; 4]);
    record(&mut outliers, 11_000, &[Outcome::Failed; 4]);
    assert_eq!(outliers.ejected(), 0);
}

#[test]
fn successful_probes_restore_an_endpoint() {
    let mut outliers = detector(4);
    record(&mut outliers, 0, &[Outcome::Failed; 5]);
    assert_eq!(outliers.ejection_state(at(999), &id(0)), EjectionState::Ejected);
    let mut changes = Vec::new();
    for _ in 0..3 {
        assert_eq!(outliers.ejection_state(at(1_000), &id(0)), EjectionState::ProbeDue);
        outliers.record_sent(at(1_000), &id(0));
        assert_eq!(outliers.ejection_state(at(1_000), &id(0)), EjectionState::Ejected);
        changes.extend(outliers.record(at(1_000), &id(0), FAST));
    }
    assert_eq!(changes, [EjectionChange::Restored]);
    assert_eq!(
        (outliers.ejection_state(at(1_000), &id(0)), outliers.ejected()),
        (EjectionState::Ready, 0)
    );
}

#[test]
fn failed_probe_doubles_the_ejection() {
    let mut outliers = detector(4);
    record(&mut outliers, 0, &[Outcome::Failed; 5]);
    outliers.record_sent(at(1_000), &id(0));
    outliers.record(at(1_000), &id(0), Outcome::Failed);
    assert_eq!(outliers.ejection_state(at(2_999), &id(0)), EjectionState::Ejected);
    assert_eq!(outliers.ejection_state(at(3_000), &id(0)), EjectionState::ProbeDue);
}

#[test]
fn outcome_of_an_earlier_request_is_not_a_probe() {
    let mut outliers = detector(4);
    record(&mut outliers, 0, &[Outcome::Failed; 5]);
    (0..5).for_each(|_| assert_eq!(outliers.record(at(1), &id(0), FAST), None));
    assert_eq!(outliers.ejection_state(at(2), &id(0)), EjectionState::Ejected);
}

#[test]
fn lost_probe_is_followed_by_another() {
    let mut outliers = detector(4);
    record(&mut outliers, 0, &[Outcome::Failed; 5]);
    outliers.record_sent(at(1_000), &id(0));
    assert_eq!(outliers.ejection_state(at(2_000), &id(0)), EjectionState::ProbeDue);
}

#[test]
fn new_incarnation_clears_the_ejection() {
    let mut outliers = detector(4);
    record(&mut outliers, 0, &[Outcome::Failed; 5]);
    outliers.join(at(1), id(0));
    assert_eq!(
        (outliers.ejection_state(at(1), &id(0)), outliers.ejected()),
        (EjectionState::Ready, 0)
    );
}

macro_rules! bound_cases {
    ($($name:ident: $endpoints:expr => $ejected:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut outliers = detector($endpoints);
            for n in (0..$endpoints).cycle().take(20 * $endpoints) {
                outliers.record(at(1), &id(n), Outcome::Failed);
            }
            assert_eq!(outliers.ejected(), $ejected);
        }
    )*};
}

bound_cases! {
    only_endpoint_is_never_ejected: 1 => 0,
    at_most_half_are_ejected: 8 => 4,
    odd_half_is_rounded_down: 3 => 1,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn ejections_stay_within_the_maximum_share(steps in proptest::collection::vec(any::<(u8, u8, u16)>(), 0..400)) {
        let mut outliers = detector(6);
        let mut now = 0;
        for (op, n, pause) in steps {
            now += u64::from(pause % 300);
            let endpoint = id(usize::from(n % 6));
            match op % 8 {
                0 => outliers.join(at(now), endpoint),
                1 => outliers.record_sent(at(now), &endpoint),
                2 => { outliers.record(at(now), &endpoint, FAST); }
                _ => { outliers.record(at(now), &endpoint, Outcome::Failed); }
            }
            let ready = (0..6).filter(|&n| outliers.ejection_state(at(now), &id(n)) == EjectionState::Ready);
            prop_assert_eq!(ready.count() + outliers.ejected(), 6);
            prop_assert!(outliers.ejected() <= 3);
        }
    }
}
