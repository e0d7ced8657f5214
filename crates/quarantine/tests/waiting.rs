//! Which crashes count of requests that waited for the head of their response.

use std::time::Duration;

use base::MonotonicTime;
use prefix::PartId;
use quarantine::{Crash, Detector, RequestFingerprint, RequestFingerprints, Survival, Suspect};

const SYSTEM: PartId = PartId::new(1);
const BAD: PartId = PartId::new(3);

/// The number of the request that crashes engines.
const DEADLY: u64 = 900;

/// Time for which routers are heard before a finding.
const HEARD_MS: u64 = 600;

/// Time from the end of an engine to the report.
const REPORT_MS: u64 = 700;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(number: u64) -> Suspect {
    Suspect::Request(RequestFingerprint::new(number))
}

/// A request that an engine lost as it ended.
struct Lost {
    engine: u64,
    ended_ms: u64,
    /// How long it had waited for its head, if none had come.
    waited_ms: Option<u64>,
    number: u64,
    parts: Vec<PartId>,
}

fn lost(engine: u64, ended_ms: u64, waited_ms: u64, number: u64, parts: &[PartId]) -> Lost {
    Lost { engine, ended_ms, waited_ms: Some(waited_ms), number, parts: parts.to_vec() }
}

fn begun(engine: u64, ended_ms: u64, number: u64, parts: &[PartId]) -> Lost {
    Lost { engine, ended_ms, waited_ms: None, number, parts: parts.to_vec() }
}

/// Returns all that is found from these losses, of which each is reported some time after it.
fn found(survived: &[Suspect], all: &[Lost]) -> Vec<Suspect> {
    let mut detector = Detector::default();
    for &suspect in survived {
        detector.record_survival(at(0), Survival { suspect, age: Duration::ZERO });
    }
    for lost in all {
        let fingerprint = RequestFingerprint::new(lost.number);
        let crash = Crash {
            engine: lost.engine,
            request: RequestFingerprints { content: fingerprint, with_prompt: fingerprint },
            parts: lost.parts.clone(),
            age: Duration::from_millis(REPORT_MS),
            waited: lost.waited_ms.map(Duration::from_millis),
        };
        detector.record_crash(at(lost.ended_ms + REPORT_MS), &crash);
    }
    let last = all.iter().map(|lost| lost.ended_ms).max().unwrap_or_default();
    let now = at(last + REPORT_MS + HEARD_MS);
    std::iter::from_fn(|| detector.update(now)).map(|finding| finding.suspect).collect()
}

macro_rules! waiting_cases {
    ($($name:ident: survived $survived:expr, $lost:expr => $found:expr,)*) => {$(
        #[test]
        fn $name() {
            let expected: Vec<Suspect> = $found.to_vec();
            assert_eq!(found(&$survived, &$lost), expected);
        }
    )*};
}

waiting_cases! {
    request_sent_again_after_each_end: survived [],
        [lost(1, 1_000, 80, DEADLY, &[SYSTEM]), lost(2, 2_000, 80, DEADLY, &[SYSTEM]),
         lost(3, 3_000, 80, DEADLY, &[SYSTEM])] => [request(DEADLY)],
    part_of_requests_sent_after_each_end: survived [Suspect::Part(SYSTEM)],
        [lost(1, 1_000, 80, 1, &[SYSTEM, BAD]), lost(2, 2_000, 80, 2, &[SYSTEM, BAD]),
         lost(3, 3_000, 80, 3, &[SYSTEM, BAD])] => [Suspect::Part(BAD)],
    part_that_waited_at_three_engines_that_ended_together: survived [],
        [lost(1, 1_000, 80, 1, &[BAD]), lost(2, 1_000, 300, 2, &[BAD]),
         lost(3, 1_050, 900, 3, &[BAD])] => [],
    part_of_all_prompts_at_twenty_engines_that_ended_together: survived [Suspect::Part(SYSTEM)],
        std::array::from_fn::<_, 20, _>(|i| lost(i as u64, 1_000 + i as u64, 500, i as u64, &[SYSTEM]))
        => [],
    part_that_waited_where_requests_with_it_had_begun: survived [],
        [begun(1, 1_000, 1, &[BAD]), lost(2, 1_010, 500, 2, &[BAD]), lost(3, 1_020, 500, 3, &[BAD])]
        => [],
    part_at_many_engines_in_flight_at_once: survived [],
        [lost(1, 1_000, 400, 1, &[BAD]), lost(2, 1_100, 400, 2, &[BAD]),
         lost(3, 1_450, 400, 3, &[BAD]), lost(4, 1_500, 400, 4, &[BAD]),
         lost(5, 1_900, 400, 5, &[BAD])] => [Suspect::Part(BAD)],
    bystander_that_lost_three_engines_to_a_part: survived [],
        [lost(1, 1_000, 80, 1, &[BAD]), begun(1, 1_000, 50, &[]),
         lost(2, 1_200, 80, 2, &[BAD]), lost(2, 1_200, 80, 50, &[]),
         lost(3, 1_400, 80, 3, &[BAD]), begun(3, 1_400, 50, &[]),
         lost(4, 1_600, 80, 4, &[BAD])] => [Suspect::Part(BAD)],
    request_that_ended_more_engines_than_the_part_of_others: survived [],
        [lost(1, 1_000, 80, DEADLY, &[]), lost(1, 1_000, 80, 1, &[BAD]),
         lost(2, 1_200, 80, DEADLY, &[]), lost(2, 1_200, 80, 2, &[BAD]),
         lost(3, 1_400, 80, DEADLY, &[]), lost(3, 1_400, 80, 3, &[BAD]),
         lost(4, 1_600, 80, DEADLY, &[])] => [request(DEADLY)],
    waiting_victims_of_a_request_that_had_begun: survived [],
        [begun(1, 1_000, DEADLY, &[SYSTEM]), lost(1, 1_000, 80, 1, &[SYSTEM]),
         begun(2, 2_000, DEADLY, &[SYSTEM]), lost(2, 2_000, 80, 2, &[SYSTEM]),
         begun(3, 3_000, DEADLY, &[SYSTEM]), lost(3, 3_000, 80, 2, &[SYSTEM])] => [request(DEADLY)],
}

/// Bystanders that wait at the engines in numbers must not displace the evidence on the cause.
#[test]
fn waiting_victims_in_numbers_leave_room_for_the_cause() {
    let mut all = vec![begun(1, 1_000, DEADLY, &[BAD]), begun(2, 2_000, DEADLY, &[BAD])];
    all.extend((0..400).map(|i| lost(1 + i % 2, 2_000, 500, i, &[SYSTEM])));
    all.push(begun(3, 3_000, DEADLY, &[BAD]));
    assert_eq!(found(&[Suspect::Part(SYSTEM)], &all), [request(DEADLY)]);
}
