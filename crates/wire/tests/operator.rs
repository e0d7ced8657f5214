//! Bodies of the operator interface round-trip and handle arbitrary input without a panic.

use base::{Author, ChangeId, Revision, Verdict};
use proptest::{prelude::*, test_runner::RngSeed};
use wire::{
    operator::{CallPath, ChangeRequest, ChangeResult, HistoryEntry, ResolveRequest, Status},
    problem::Problem,
};

const ID: &str = "[A-Za-z0-9._:/+@=-]{1,40}";

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn call_path_round_trip(organisation in ID, key in ID) {
        let path =
            CallPath { organisation: organisation.parse().unwrap(), key: key.parse().unwrap() };
        prop_assert_eq!(path.to_string().parse::<CallPath>().unwrap(), path);
    }

    #[test]
    fn call_path_of_arbitrary_text_never_panics(text in ".{0,60}") {
        let _ = format!("/operator/calls/{text}").parse::<CallPath>();
    }

    #[test]
    fn change_round_trip(id in ID, author in ID, revision: u64, reason in ".*", toml in ".*") {
        let req = ChangeRequest {
            id: id.parse::<ChangeId>().unwrap(),
            expected: Revision::new(revision),
            author: author.parse::<Author>().unwrap(),
            reason: reason.into(),
            toml: toml.into(),
        };
        let json = serde_json::to_vec(&req).unwrap();
        prop_assert_eq!(serde_json::from_slice::<ChangeRequest>(&json).unwrap(), req);
    }

    #[test]
    fn problem_round_trip(status: u16, title in ".*", detail in proptest::option::of(".*"), verdict in 0..3_usize) {
        let mut problem = Problem::new(status, title).with_verdict(Verdict::ALL[verdict]);
        problem.detail = detail.map(Into::into);
        let json = serde_json::to_vec(&problem).unwrap();
        prop_assert_eq!(serde_json::from_slice::<Problem>(&json).unwrap(), problem);
    }

    #[test]
    fn bodies_of_arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = serde_json::from_slice::<Problem>(&bytes);
        let _ = serde_json::from_slice::<Status>(&bytes);
        let _ = serde_json::from_slice::<ChangeResult>(&bytes);
        let _ = serde_json::from_slice::<ChangeRequest>(&bytes);
    }
}

#[test]
fn responses_ignore_unknown_fields() {
    let json = r#"{"status": 503, "new-field": [1]}"#;
    assert_eq!(serde_json::from_str::<Problem>(json).unwrap(), Problem::new(503, ""));
}

#[test]
fn requests_reject_unknown_fields() {
    let json = r#"{"verdict": "ran", "author": "a", "reason": "r", "force": true}"#;
    assert!(serde_json::from_str::<ResolveRequest>(json).is_err());
}

#[test]
fn conflict_reports_the_winning_change() {
    let json = r#"{"result": "conflict", "winner":
        {"revision": 4, "id": "c", "author": "ilka", "at": 1, "reason": "r"}}"#;
    let result: ChangeResult = serde_json::from_str(json).unwrap();
    assert_eq!(result.status(), 409);
    assert!(matches!(
        result,
        ChangeResult::Conflict { winner: HistoryEntry { author, .. } } if author.as_str() == "ilka"
    ));
}

#[test]
fn status_of_older_router_is_parsed() {
    let json = r#"{"host": "h", "incarnation": 1, "data_centre": "a", "version": "0", "state":
        "ready", "revision": 4, "quorum": {"role": "observer", "term": 0, "leader": null, "commit":
        0, "applied": 0, "voters": []}, "peers": [], "counts": {"open_calls": 2}}"#;
    let status: Status = serde_json::from_str(json).unwrap();
    assert_eq!((status.newest, status.counts.open_calls), (Revision::ZERO, Some(2)));
    assert_eq!(status.quorum.folder, None);
}
