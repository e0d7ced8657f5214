//! Which requests that come again are found to crash engines, and what their victims count for.

use std::time::Duration;

use base::MonotonicTime;
use prefix::PartId;
use quarantine::{
    Crash, Detector, Quarantined, RequestContent, RequestFingerprint, RequestFingerprints,
    Survival, Survivals, Suspect,
};

const SYSTEM: PartId = PartId::new(1);
const BAD: PartId = PartId::new(3);

/// The number of the request that crashes engines.
const DEADLY: u64 = 900;

/// Time from the last crash to the check, in which routers are heard.
const HEARD_MS: u64 = 600;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn fingerprints(number: u64) -> RequestFingerprints {
    let fingerprint = RequestFingerprint::new(number);
    RequestFingerprints { content: fingerprint, with_prompt: fingerprint }
}

fn request(number: u64) -> Suspect {
    Suspect::Request(RequestFingerprint::new(number))
}

/// Records that an engine ended 50 ms times its number after the start.
fn crash(detector: &mut Detector<u64>, engine: u64, number: u64, parts: &[PartId]) {
    let request = fingerprints(number);
    detector.record_crash(
        at(50 * engine),
        &Crash { engine, request, parts: parts.to_vec(), age: Duration::ZERO, waited: None },
    );
}

fn survive(detector: &mut Detector<u64>, millis: u64, suspect: Suspect) {
    detector.record_survival(at(millis), Survival { suspect, age: Duration::ZERO });
}

/// Returns all suspects that are found once routers have been heard.
fn found(detector: &mut Detector<u64>, last_engine: u64) -> Vec<Suspect> {
    let now = at(50 * last_engine + HEARD_MS);
    std::iter::from_fn(|| detector.update(now)).map(|finding| finding.suspect).collect()
}

/// Each case lists the engines that ended, the requests that they lost as they began, and parts.
macro_rules! finding_cases {
    ($($name:ident: [$(($engine:expr, $number:expr, $parts:expr)),* $(,)?] => $found:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut detector = Detector::default();
            let crashes: Vec<(u64, u64, Vec<PartId>)> =
                vec![$(($engine, $number, $parts.to_vec())),*];
            for (engine, number, parts) in &crashes {
                crash(&mut detector, *engine, *number, parts);
            }
            let last = crashes.iter().map(|(engine, ..)| *engine).max().unwrap();
            let expected: Vec<Suspect> = $found.to_vec();
            assert_eq!(found(&mut detector, last), expected);
        }
    )*};
}

const NONE: [PartId; 0] = [];

finding_cases! {
    without_parts: [(1, DEADLY, NONE), (2, DEADLY, NONE), (3, DEADLY, NONE)] => [request(DEADLY)],
    too_few_engines: [(1, DEADLY, NONE), (2, DEADLY, NONE)] => [],
    one_engine_that_lost_it_often: [(1, DEADLY, NONE), (1, DEADLY, NONE), (1, DEADLY, NONE)] => [],
    its_parts_are_not_condemned:
        [(1, DEADLY, [SYSTEM, BAD]), (2, DEADLY, [SYSTEM, BAD]), (3, DEADLY, [SYSTEM, BAD]),
         (4, DEADLY, [SYSTEM, BAD]), (5, DEADLY, [SYSTEM, BAD])] => [request(DEADLY)],
    victims_on_its_engines_count_for_nothing:
        [(1, 1, [SYSTEM]), (1, DEADLY, [SYSTEM]), (2, 2, [SYSTEM]), (2, DEADLY, [SYSTEM]),
         (3, 3, [SYSTEM]), (3, DEADLY, [SYSTEM]), (3, 2, [SYSTEM])] => [request(DEADLY)],
    other_requests_that_each_lost_one: [(1, 1, NONE), (2, 2, NONE), (3, 3, NONE)] => [],
    crashing_part_of_requests_that_came_twice:
        [(1, 1, [BAD]), (2, 1, [BAD]), (3, 2, [BAD]), (4, 2, [BAD])] => [Suspect::Part(BAD)],
    crashing_part_of_requests_of_which_one_came_twice:
        [(1, 1, [BAD]), (2, 1, [BAD]), (3, 2, [BAD]), (4, 3, [BAD])] => [Suspect::Part(BAD)],
    crashing_part_after_a_request_that_came_thrice:
        [(1, 1, [BAD]), (2, 1, [BAD]), (3, 1, [BAD]), (4, 2, [BAD]), (5, 3, [BAD])]
        => [request(1), Suspect::Part(BAD)],
}

#[test]
fn victims_reported_after_the_finding_count_for_nothing() {
    let mut detector = Detector::default();
    (1..=3).for_each(|engine| crash(&mut detector, engine, DEADLY, &[SYSTEM]));
    assert_eq!(found(&mut detector, 3), [request(DEADLY)]);
    for engine in 20..24 {
        crash(&mut detector, engine, 1, &[BAD]);
        crash(&mut detector, engine, DEADLY, &[SYSTEM]);
        crash(&mut detector, engine, 2, &[BAD]);
    }
    (1..=3).for_each(|engine| crash(&mut detector, engine, 3, &[BAD]));
    assert_eq!(found(&mut detector, 24), []);
}

#[test]
fn victims_of_a_crashing_part_count_for_nothing() {
    let mut detector = Detector::default();
    for engine in 1..=3 {
        crash(&mut detector, engine, 100 + engine, &[SYSTEM]);
        crash(&mut detector, engine, engine, &[SYSTEM, BAD]);
    }
    assert_eq!(found(&mut detector, 3), [Suspect::Part(BAD)]);
    crash(&mut detector, 20, 4, &[SYSTEM]);
    crash(&mut detector, 21, 5, &[SYSTEM]);
    assert_eq!(found(&mut detector, 21), []);
}

#[test]
fn popular_request_that_loses_an_endpoint_now_and_then_is_not_found() {
    let mut detector = Detector::default();
    for engine in 1..200 {
        crash(&mut detector, engine, 1, &NONE);
        if engine % 3 == 0 {
            survive(&mut detector, 50 * engine + 10, request(1));
        }
        assert_eq!(detector.update(at(50 * engine + 20)), None);
    }
}

#[test]
fn request_that_was_answered_needs_more_crashes() {
    let mut detector = Detector::default();
    survive(&mut detector, 0, request(1));
    (1..=7).for_each(|engine| crash(&mut detector, engine, 1, &NONE));
    assert_eq!(found(&mut detector, 7), []);
    crash(&mut detector, 8, 1, &NONE);
    assert_eq!(found(&mut detector, 8), [request(1)]);
}

#[test]
fn request_that_comes_again_once_a_minute_is_found() {
    let mut detector = Detector::default();
    for minute in 0..3 {
        let crash = Crash {
            engine: minute,
            request: fingerprints(DEADLY),
            parts: vec![SYSTEM],
            age: Duration::ZERO,
            waited: None,
        };
        detector.record_crash(at(60_000 * minute), &crash);
        assert_eq!(detector.update(at(60_000 * minute)).is_some(), minute == 2);
    }
    assert_eq!(detector.quarantined(at(120_000)).len(), 1);
}

#[test]
fn request_with_another_prompt_each_time_is_found_by_its_content() {
    let mut detector = Detector::default();
    for engine in 1..=3 {
        let request = RequestFingerprints {
            content: RequestFingerprint::new(DEADLY),
            with_prompt: RequestFingerprint::new(engine),
        };
        detector.record_crash(
            at(50 * engine),
            &Crash { engine, request, parts: vec![], age: Duration::ZERO, waited: None },
        );
    }
    assert_eq!(found(&mut detector, 3), [request(DEADLY)]);
}

#[test]
fn request_with_the_same_prompt_is_found_with_it() {
    let mut detector = Detector::default();
    for engine in 1..=3 {
        let request = RequestFingerprints {
            content: RequestFingerprint::new(1),
            with_prompt: RequestFingerprint::new(DEADLY),
        };
        detector.record_crash(
            at(50 * engine),
            &Crash { engine, request, parts: vec![], age: Duration::ZERO, waited: None },
        );
    }
    assert_eq!(found(&mut detector, 3), [request(DEADLY)]);
}

/// Each case lists the engines that ended in turn, the prompts of one content, and their parts;
/// `SYSTEM` is answered all the time.
macro_rules! content_cases {
    ($($name:ident: [$(($engine:expr, $prompt:expr, $parts:expr)),* $(,)?] => $found:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut detector = Detector::default();
            let crashes: Vec<(u64, u64, Vec<PartId>)> =
                vec![$(($engine, $prompt, $parts.to_vec())),*];
            let mut all_found = Vec::new();
            for (engine, prompt, parts) in crashes {
                let request = RequestFingerprints {
                    content: RequestFingerprint::new(DEADLY),
                    with_prompt: RequestFingerprint::new(prompt),
                };
                detector.record_crash(at(100 * engine), &Crash { engine, request, parts, age: Duration::ZERO, waited: None });
                survive(&mut detector, 100 * engine, Suspect::Part(SYSTEM));
                let now = at(100 * engine + HEARD_MS);
                let found = std::iter::from_fn(|| detector.update(now));
                all_found.extend(found.map(|finding| (engine, finding.suspect)));
            }
            let expected: Vec<(u64, Suspect)> = $found.to_vec();
            assert_eq!(all_found, expected);
        }
    )*};
}

content_cases! {
    crashing_part_of_prompts_with_one_content:
        [(1, 11, [SYSTEM, BAD]), (2, 12, [SYSTEM, BAD]), (3, 13, [SYSTEM, BAD])]
        => [(3, Suspect::Part(BAD))],
    crashing_part_of_prompts_with_one_content_that_came_twice:
        [(1, 11, [SYSTEM, BAD]), (2, 11, [SYSTEM, BAD]), (3, 12, [SYSTEM, BAD]),
         (4, 12, [SYSTEM, BAD])] => [(4, Suspect::Part(BAD))],
    prompt_with_one_content_that_came_thrice:
        [(1, 11, [SYSTEM, BAD]), (2, 11, [SYSTEM, BAD]), (3, 11, [SYSTEM, BAD])] => [(3, request(11))],
    content_that_comes_with_another_last_part_each_time:
        [(1, 11, [SYSTEM, PartId::new(101)]), (2, 12, [SYSTEM, PartId::new(102)]),
         (3, 13, [SYSTEM, PartId::new(103)])] => [(3, request(DEADLY))],
    content_without_a_prompt:
        [(1, DEADLY, NONE), (2, DEADLY, NONE), (3, DEADLY, NONE)] => [(3, request(DEADLY))],
    content_of_two_prompts_of_which_one_came_twice:
        [(1, 11, NONE), (2, 11, NONE), (3, 12, NONE)] => [],
}

#[test]
fn content_waits_for_a_never_answered_part_that_is_not_heard_yet() {
    let mut detector = Detector::default();
    let content = RequestFingerprint::new(DEADLY);
    let request =
        |prompt| RequestFingerprints { content, with_prompt: RequestFingerprint::new(prompt) };
    // Others' parts fill the list of those asked about; the part enters it with its second crash.
    for engine in 100..200 {
        detector.record_crash(
            at(0),
            &Crash {
                engine,
                request: fingerprints(engine),
                parts: vec![PartId::new(engine)],
                age: Duration::ZERO,
                waited: None,
            },
        );
    }
    for (engine, millis) in [(1, 1), (2, 100), (3, 200)] {
        let parts = vec![SYSTEM, BAD];
        let crash = Crash {
            engine,
            request: request(10 + engine),
            parts,
            age: Duration::ZERO,
            waited: None,
        };
        if engine == 1 {
            detector.record_crash(at(0), &Crash { parts: vec![], ..crash.clone() });
        }
        detector.record_crash(at(millis), &crash);
        survive(&mut detector, millis, Suspect::Part(SYSTEM));
    }
    assert_eq!(
        hear(&mut detector, 250..=2_000, &[]).map(|(_, found)| found),
        Some(Suspect::Part(BAD))
    );
}

#[test]
fn crashes_with_parts_do_not_crowd_out_those_without() {
    let mut detector = Detector::default();
    (1..=3).for_each(|engine| crash(&mut detector, engine, DEADLY, &NONE));
    (10..400)
        .for_each(|engine| crash(&mut detector, engine, 1_000 + engine, &[PartId::new(engine)]));
    let suspects = detector.suspects();
    assert!(suspects.len() <= 128, "{} suspects", suspects.len());
    assert_eq!(found(&mut detector, 400), [request(DEADLY)]);
}

/// Updates as a leader does, every 50 ms; routers speak for these suspects if they are asked.
fn hear(
    detector: &mut Detector<u64>,
    millis: std::ops::RangeInclusive<u64>,
    answered: &[Suspect],
) -> Option<(u64, Suspect)> {
    millis.step_by(50).find_map(|millis| {
        let asked = detector.suspects().into_iter().filter(|asked| answered.contains(asked));
        asked.for_each(|suspect| survive(detector, millis, suspect));
        detector.update(at(millis)).map(|finding| (millis, finding.suspect))
    })
}

/// Records that each of these requests was lost at one of 12 endpoints.
fn lose(detector: &mut Detector<u64>, millis: u64, numbers: std::ops::Range<u64>) {
    for number in numbers {
        let request = fingerprints(number);
        let crash = Crash {
            engine: 1_000 + number % 12,
            request,
            parts: vec![],
            age: Duration::ZERO,
            waited: None,
        };
        detector.record_crash(at(millis), &crash);
    }
}

#[test]
fn popular_request_among_many_victims_is_asked_about() {
    let mut detector = Detector::default();
    let popular = |engine| Crash {
        engine,
        request: fingerprints(1),
        parts: vec![],
        age: Duration::ZERO,
        waited: None,
    };
    (0..3).for_each(|engine| detector.record_crash(at(0), &popular(engine)));
    lose(&mut detector, 1, 2_000..2_100);
    assert_eq!(hear(&mut detector, 50..=2_000, &[request(1)]), None);
}

#[test]
fn request_that_routers_were_not_asked_about_is_not_condemned() {
    let mut detector = Detector::default();
    lose(&mut detector, 0, 2_000..2_100);
    let popular = |engine| Crash {
        engine,
        request: fingerprints(1),
        parts: vec![],
        age: Duration::ZERO,
        waited: None,
    };
    (0..3).for_each(|engine| detector.record_crash(at(1), &popular(engine)));
    assert_eq!(detector.update(at(700)), None);
    assert!(detector.suspects().contains(&request(1)));
    assert_eq!(detector.update(at(700 + HEARD_MS - 1)), None);
    assert!(detector.update(at(700 + HEARD_MS)).is_some());
}

#[test]
fn suspects_beyond_those_asked_about_get_their_turn() {
    let mut detector = Detector::default();
    for engine in 0..3 {
        for number in 2_000..2_100 {
            let crash = Crash {
                engine,
                request: fingerprints(number),
                parts: vec![],
                age: Duration::ZERO,
                waited: None,
            };
            detector.record_crash(at(0), &crash);
        }
    }
    let sound: Vec<Suspect> = (2_000..2_100).map(request).collect();
    assert_eq!(hear(&mut detector, 50..=5_000, &sound), None);
    assert_eq!(detector.suspects(), []);
}

#[test]
fn deadly_request_among_hundreds_of_victims_is_found_within_a_second() {
    let mut detector = Detector::default();
    for engine in 0..3 {
        let start = 250 * engine;
        lose(&mut detector, start, 2_000 + 80 * engine..2_080 + 80 * engine);
        let deadly = Crash {
            engine,
            request: fingerprints(DEADLY),
            parts: vec![],
            age: Duration::ZERO,
            waited: None,
        };
        detector.record_crash(at(start), &deadly);
        assert_eq!(hear(&mut detector, start + 50..=start + 90, &[]), None);
    }
    let third_crash = 500;
    let found = hear(&mut detector, third_crash + 100..=third_crash + 1_000, &[]);
    assert_eq!(found.map(|(_, suspect)| suspect), Some(request(DEADLY)));
}

#[test]
fn new_leader_adopts_requests_and_parts() {
    let mut detector = Detector::<u64>::default();
    let known = [Suspect::Part(BAD), request(DEADLY)]
        .map(|suspect| Quarantined { suspect, age: Duration::from_secs(1) });
    known.iter().for_each(|known| detector.adopt(at(5_000), *known));
    assert_eq!(detector.quarantined(at(5_000)), known);
}

#[test]
fn answers_to_parts_do_not_crowd_out_those_to_requests() {
    let mut survivals = Survivals::default();
    survivals.record(at(0), [request(1)]);
    (1..=10_000).for_each(|n| survivals.record(at(n), [Suspect::Part(PartId::new(n))]));
    assert_eq!(survivals.among(at(10_000), &[request(1)]).len(), 1);
}

macro_rules! fingerprint_cases {
    ($($name:ident: $field:ident = $value:expr,)*) => {$(
        #[test]
        fn $name() {
            let content = RequestContent {
                host: "a", method: "POST", path: "/x?y=1", caller: "k", body: b"body",
            };
            let other = RequestContent { $field: $value, ..content };
            let parts = || [SYSTEM, BAD].into_iter();
            let fingerprints = RequestFingerprints::new(&content, parts());
            assert_eq!(fingerprints, RequestFingerprints::new(&content, parts()));
            assert_ne!(
                fingerprints.content,
                RequestFingerprints::new(&other, parts()).content,
            );
        }
    )*};
}

fingerprint_cases! {
    other_hosts_differ: host = "b",
    other_methods_differ: method = "GET",
    other_queries_differ: path = "/x?y=2",
    other_callers_differ: caller = "l",
    other_bodies_differ: body = b"",
}

#[test]
fn prompt_changes_one_of_the_fingerprints() {
    let content = RequestContent { host: "a", method: "GET", path: "/", caller: "k", body: b"" };
    let without = RequestFingerprints::new(&content, std::iter::empty());
    let with = RequestFingerprints::new(&content, std::iter::once(BAD));
    assert_eq!(without.content, without.with_prompt);
    assert_eq!((with.content, with.iter().count()), (without.content, 2));
}

#[test]
fn fingerprint_prints_and_parses() {
    let fingerprint = RequestFingerprint::new(0xabc);
    assert_eq!(fingerprint.to_string(), "0000000000000abc");
    assert_eq!("0000000000000abc".parse(), Ok(fingerprint));
    assert!("request".parse::<RequestFingerprint>().is_err());
}
