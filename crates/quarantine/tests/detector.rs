//! Which part of the prompts is found to crash engines, and which reports keep a part from it.

use std::time::Duration;

use base::MonotonicTime;
use prefix::PartId;
use quarantine::{
    Crash, Detector, Quarantined, RequestFingerprint, RequestFingerprints, Survival, Survivals,
    Suspect,
};

const SYSTEM: PartId = PartId::new(1);
const SUBJECT: PartId = PartId::new(2);
const BAD: PartId = PartId::new(3);

/// Long enough after a crash for routers to have reported survivals.
const HEARD_MS: u64 = 600;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(number: u64) -> RequestFingerprints {
    let fingerprint = RequestFingerprint::new(number);
    RequestFingerprints { content: fingerprint, with_prompt: fingerprint }
}

/// Crashes an engine every 50 ms with another request, whose prompt has these parts.
fn crash(detector: &mut Detector<u64>, engines: std::ops::Range<u64>, parts: &[PartId]) {
    for engine in engines {
        let (request, parts) = (request(engine), parts.to_vec());
        detector.record_crash(
            at(50 * engine),
            &Crash { engine, request, parts, age: Duration::ZERO, waited: None },
        );
    }
}

fn survive(detector: &mut Detector<u64>, millis: u64, part: PartId) {
    detector.record_survival(
        at(millis),
        Survival { suspect: Suspect::Part(part), age: Duration::ZERO },
    );
}

fn found(detector: &mut Detector<u64>, millis: u64) -> Option<Suspect> {
    detector.update(at(millis)).map(|finding| finding.suspect)
}

fn is_quarantined(detector: &Detector<u64>, millis: u64, part: PartId) -> bool {
    detector.quarantined(at(millis)).iter().any(|known| known.suspect == Suspect::Part(part))
}

macro_rules! finding_cases {
    ($($name:ident: $engines:expr, $parts:expr, survived $survived:expr => $found:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut detector = Detector::default();
            let survived: &[(u64, PartId)] = &$survived;
            for (millis, part) in survived.iter().filter(|(millis, _)| *millis == 0) {
                survive(&mut detector, *millis, *part);
            }
            crash(&mut detector, $engines, &$parts);
            for (millis, part) in survived.iter().filter(|(millis, _)| *millis != 0) {
                survive(&mut detector, *millis, *part);
            }
            assert_eq!(found(&mut detector, 50 * $engines.end + HEARD_MS), Option::map($found, Suspect::Part));
        }
    )*};
}

finding_cases! {
    part_that_never_survived: 1..4, [SYSTEM, SUBJECT, BAD], survived [(200, SYSTEM), (200, SUBJECT)]
        => Some(BAD),
    too_few_engines: 1..3, [SYSTEM, BAD], survived [(150, SYSTEM)] => None,
    part_that_survives_every_crash: 1..20, [SYSTEM], survived [(1_000, SYSTEM)] => None,
    part_that_stands_in_fewest_prompts: 1..4, [SUBJECT, BAD], survived [] => Some(BAD),
    sound_once_and_crashing_since: 1..9, [SYSTEM, BAD], survived [(0, SYSTEM), (0, BAD), (450, SYSTEM)]
        => Some(BAD),
    never_survived_before_survived_once: 1..20, [SUBJECT, BAD], survived [(0, SUBJECT)] => Some(BAD),
    too_few_since_it_survived: 1..8, [BAD], survived [(0, BAD)] => None,
}

#[test]
fn one_engine_that_lost_many_requests_counts_once() {
    let mut detector = Detector::default();
    for millis in 0..20 {
        detector.record_crash(
            at(millis),
            &Crash {
                engine: 1,
                request: request(millis),
                parts: vec![BAD],
                age: Duration::ZERO,
                waited: None,
            },
        );
    }
    assert_eq!(found(&mut detector, 20 + HEARD_MS), None);
}

#[test]
fn routers_are_heard_before_a_part_is_quarantined() {
    let mut detector = Detector::default();
    crash(&mut detector, 1..4, &[SYSTEM, BAD]);
    assert_eq!(found(&mut detector, 50 + HEARD_MS - 1), None);
    let mut suspects = detector.suspects();
    suspects.retain(|suspect| !suspect.is_request());
    assert_eq!(suspects, [SYSTEM, BAD].map(Suspect::Part));
}

#[test]
fn crashes_of_a_quarantined_part_count_for_no_other() {
    let mut detector = Detector::default();
    crash(&mut detector, 1..4, &[SUBJECT, BAD]);
    assert_eq!(found(&mut detector, 1_000), Some(Suspect::Part(BAD)));
    crash(&mut detector, 21..30, &[SUBJECT, BAD]);
    assert_eq!(found(&mut detector, 3_000), None);
    assert!(!is_quarantined(&detector, 3_000, SUBJECT));
}

#[test]
fn survival_after_the_finding_ends_the_quarantine() {
    let mut detector = Detector::default();
    crash(&mut detector, 1..4, &[SUBJECT]);
    assert_eq!(found(&mut detector, 1_000), Some(Suspect::Part(SUBJECT)));
    let earlier = Survival { suspect: Suspect::Part(SUBJECT), age: Duration::from_millis(700) };
    detector.record_survival(at(1_500), earlier);
    assert!(is_quarantined(&detector, 1_500, SUBJECT));
    survive(&mut detector, 1_600, SUBJECT);
    assert!(!is_quarantined(&detector, 1_600, SUBJECT));
    detector.adopt(
        at(1_700),
        Quarantined { suspect: Suspect::Part(SUBJECT), age: Duration::from_millis(700) },
    );
    assert!(!is_quarantined(&detector, 1_700, SUBJECT), "a router has not heard of the end yet");
}

#[test]
fn new_leader_adopts_what_routers_know() {
    let mut detector = Detector::<u64>::default();
    detector
        .adopt(at(5_000), Quarantined { suspect: Suspect::Part(BAD), age: Duration::from_secs(1) });
    assert_eq!(
        detector.quarantined(at(6_000)),
        [Quarantined { suspect: Suspect::Part(BAD), age: Duration::from_secs(2) }]
    );
}

#[test]
fn quarantine_ends_after_ten_minutes() {
    let mut detector = Detector::default();
    crash(&mut detector, 1..4, &[BAD]);
    assert_eq!(found(&mut detector, 1_000), Some(Suspect::Part(BAD)));
    detector.update(at(600_999));
    assert!(is_quarantined(&detector, 600_999, BAD));
    detector.update(at(601_000));
    assert!(!is_quarantined(&detector, 601_000, BAD));
}

#[test]
fn router_forgets_the_oldest_survivals_first() {
    let mut survivals = Survivals::default();
    survivals.record(at(0), [Suspect::Part(SYSTEM)]);
    (1..=4_096).for_each(|n| survivals.record(at(n), [Suspect::Part(PartId::new(1_000 + n))]));
    let newest = Suspect::Part(PartId::new(1_000 + 4_096));
    let kept = survivals.among(at(4_096), &[Suspect::Part(SYSTEM), newest]);
    assert_eq!(kept, [Survival { suspect: newest, age: Duration::ZERO }]);
}
