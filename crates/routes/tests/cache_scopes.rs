//! Which organisations' requests may use each other's cached parts, over histories of
//! configurations.

use std::collections::{HashMap, HashSet};

use prefix::CacheScope;
use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, any},
    prop_assert, prop_oneof, proptest,
};
use routes::{Limits, Organisation, Table};

const NAMES: [&str; 4] = ["school", "library", "archive", "printer"];

/// What a configuration says of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Status {
    Absent,
    Shared,
    Isolated,
}

/// A request, sent by a host that may apply an older configuration than the newest.
#[derive(Clone, Debug)]
struct Sent {
    organisation: usize,
    /// Number of changes that the request's arrival and its attempt are behind the newest.
    arrival_lag: usize,
    attempt_lag: usize,
}

#[derive(Clone, Debug)]
enum Step {
    Configure([Status; NAMES.len()]),
    Send(Sent),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let status = || prop_oneof![Just(Status::Absent), Just(Status::Shared), Just(Status::Isolated)];
    let statuses = [status(), status(), status(), status()];
    let sent = (0..NAMES.len(), 0..4_usize, any::<bool>(), 0..4_usize);
    let sent = sent.prop_map(|(organisation, more, is_late, lag)| {
        let attempt_lag = if is_late { lag } else { 0 };
        Sent { organisation, arrival_lag: attempt_lag + more, attempt_lag }
    });
    let step = prop_oneof![
        1 => statuses.prop_map(Step::Configure),
        4 => sent.prop_map(Step::Send),
    ];
    vec(step, 1..60)
}

fn organisation(name: &str, status: Status) -> Organisation {
    let isolated = status == Status::Isolated;
    Organisation { name: name.into(), keys: Vec::new(), priority: None, isolated, quota: None }
}

fn table(statuses: &[Status]) -> Table {
    let present = NAMES.iter().zip(statuses).filter(|(_, status)| **status != Status::Absent);
    let organisations = present.map(|(name, status)| organisation(name, *status)).collect();
    Table::new(Vec::new(), Vec::new(), Vec::new(), organisations, Limits::default())
        .expect("a valid table")
}

/// Returns the configuration that is `lag` changes older than the newest, or the first.
fn behind(history: &[[Status; NAMES.len()]], lag: usize) -> &[Status; NAMES.len()] {
    &history[(history.len() - 1).saturating_sub(lag)]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against parts that an isolated organisation shares with another, whatever hosts that
    /// were late, started late or retried late have made before.
    #[test]
    fn isolated_organisations_share_no_parts(steps in steps()) {
        let mut history = vec![[Status::Shared; NAMES.len()]];
        let mut makers: HashMap<CacheScope, HashSet<usize>> = HashMap::new();
        for step in steps {
            let sent = match step {
                Step::Configure(statuses) => {
                    history.push(statuses);
                    continue;
                }
                Step::Send(sent) => sent,
            };
            let at_arrival = behind(&history, sent.arrival_lag)[sent.organisation];
            if at_arrival == Status::Absent {
                continue;
            }
            let caller = organisation(NAMES[sent.organisation], at_arrival);
            let scope = table(behind(&history, sent.attempt_lag)).cache_scope(Some(&caller));
            let makers = makers.entry(scope).or_default();
            makers.insert(sent.organisation);
            let newest = behind(&history, 0);
            if sent.attempt_lag == 0 && 1 < makers.len() {
                prop_assert!(makers.iter().all(|maker| newest[*maker] != Status::Isolated));
            }
        }
    }
}

/// Returns the scope of an organisation that shared at its request's arrival.
fn scope_of(caller: &str, statuses: &[Status]) -> CacheScope {
    table(statuses).cache_scope(Some(&organisation(caller, Status::Shared)))
}

#[test]
fn shared_organisations_have_one_scope_with_callers_without_any() {
    let statuses = [Status::Shared, Status::Shared, Status::Isolated, Status::Absent];
    let table = table(&statuses);
    assert_eq!(scope_of("school", &statuses), scope_of("library", &statuses));
    assert_eq!(table.cache_scope(None), scope_of("school", &statuses));
    assert_ne!(table.cache_scope(None), scope_of("archive", &statuses));
}

#[test]
fn isolated_organisation_keeps_its_scope_while_others_change() {
    let before = [Status::Isolated, Status::Shared, Status::Shared, Status::Shared];
    let after = [Status::Isolated, Status::Isolated, Status::Absent, Status::Shared];
    assert_eq!(scope_of("school", &before), scope_of("school", &after));
    assert_ne!(scope_of("printer", &before), scope_of("printer", &after));
}

#[test]
fn organisation_that_was_removed_stays_isolated() {
    let table = table(&[Status::Absent, Status::Shared, Status::Shared, Status::Shared]);
    let removed = organisation("school", Status::Isolated);
    assert_eq!(table.cache_scope(Some(&removed)), CacheScope::isolated("school"));
}

#[test]
fn table_without_organisations_has_the_scope_that_isolates_none() {
    assert_eq!(Table::default().cache_scope(None), CacheScope::shared([]));
}
