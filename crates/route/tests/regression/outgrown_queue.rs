//! Requests that waited when another organisation joined were refused only at their deadlines, although
//! the smaller share of capacity made them late already.

use base::{MonotonicTime, TokenCount};
use route::{
    Action, Admission, AdmissionSettings, Arrival, Decision, Priority, Refusal, RefusalReason,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn arrival(organisation: &str, deadline: u64) -> Arrival {
    let (priority, cost) = (Priority::default(), TokenCount::new(100));
    Arrival { organisation: organisation.parse().unwrap(), priority, deadline: at(deadline), cost }
}

#[test]
fn queue_beyond_a_shrunken_share_is_refused_before_the_deadline() {
    let settings = AdmissionSettings { capacity: 1, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    assert!(matches!(admission.admit(at(100), arrival("large", 60_000)), Decision::Run(_)));
    for _ in 0..9 {
        assert!(matches!(admission.admit(at(100), arrival("large", 1_100)), Decision::Wait(_)));
    }
    assert_eq!(admission.tick(at(101)), []);
    assert!(matches!(admission.admit(at(101), arrival("small", 60_000)), Decision::Wait(_)));
    let actions = admission.tick(at(102));
    let is_early = |action: &Action| {
        let Action::Refuse(_, Refusal { reason, .. }) = action else { return false };
        *reason == RefusalReason::Overloaded
    };
    assert_eq!(actions.iter().filter(|action| is_early(action)).count(), 2);
}
