//! Eviction of calls from the ledger.

mod fixture;

use std::time::Duration;

use fixture::{Log, at, call, claim, claimed, finish, response};
use fleet::{Claim, Command, Finish, MAX_STORED_BODY_BYTES, MAX_STORED_CALLS, Outcome, Reply};

const BOUNDS: &str = "[defaults]\nclaim-retention = '10s'\nclaim-retention-count = 3";

fn run(log: &mut Log, key: &str, id: u128, millis: u64) {
    log.apply(&Command::Claim(Claim { at: at(millis), ..claim(key, id, "a") }));
    let Command::Finish(report) = finish(key, id, "a", Outcome::Answered(response(b"done"))) else {
        return;
    };
    log.apply(&Command::Finish(Finish { at: at(millis), ..report }));
}

fn is_stored(log: &Log, key: &str) -> bool {
    log.fleet.ledger().call(&call(key)).is_some()
}

/// Advances the ledger's clock by claiming an unrelated key.
fn advance_clock(log: &mut Log, millis: u64) -> Reply {
    let tick = Claim { at: at(millis), ..claim(&format!("tick-{millis}"), millis.into(), "t") };
    log.apply(&Command::Claim(tick))
}

#[test]
fn settled_key_is_evicted_after_its_retention() {
    let mut log = Log::default();
    log.declare(BOUNDS);
    run(&mut log, "k", 1, 5_000);
    advance_clock(&mut log, 14_999);
    assert!(is_stored(&log, "k"));
    advance_clock(&mut log, 15_000);
    assert!(!is_stored(&log, "k"));
}

#[test]
fn older_command_does_not_move_the_clock_back() {
    let mut log = Log::default();
    log.declare(BOUNDS);
    advance_clock(&mut log, 20_000);
    run(&mut log, "k", 1, 1_000);
    advance_clock(&mut log, 20_001);
    assert_eq!(log.fleet.ledger().clock(), at(20_001));
    assert!(is_stored(&log, "k"), "settled at 20 s by the ledger's clock");
    advance_clock(&mut log, 30_000);
    assert!(!is_stored(&log, "k"));
}

#[test]
fn oldest_settled_keys_beyond_the_count_are_evicted() {
    let mut log = Log::default();
    log.declare(BOUNDS);
    for (id, key) in (1..).zip(["a", "b", "c", "d"]) {
        run(&mut log, key, id, 1_000);
    }
    advance_clock(&mut log, 1_000);
    let stored = ["a", "b", "c", "d"].map(|key| is_stored(&log, key));
    assert_eq!(stored, [false, true, true, true]);
}

#[test]
fn finished_calls_do_not_evict_calls_in_doubt() {
    let mut log = Log::default();
    log.declare(BOUNDS);
    log.apply(&Command::Claim(claim("doubt", 99, "a")));
    log.apply(&finish("doubt", 99, "a", Outcome::Unknown));
    for id in 1..10 {
        run(&mut log, &format!("k-{id}"), id, 2_000);
    }
    advance_clock(&mut log, 11_999);
    assert!(is_stored(&log, "doubt"));
    advance_clock(&mut log, 12_000);
    assert!(!is_stored(&log, "doubt"));
}

#[test]
fn open_claim_is_never_evicted() {
    let mut log = Log::default();
    log.declare(BOUNDS);
    assert_eq!(log.apply(&Command::Claim(claim("open", 99, "a"))), claimed());
    for id in 1..10 {
        run(&mut log, &format!("k-{id}"), id, 1_000);
    }
    advance_clock(&mut log, u64::MAX);
    assert!(is_stored(&log, "open"));
    assert_eq!(log.apply(&Command::Claim(claim("open", 99, "a"))), claimed());
}

#[test]
fn inactive_organisations_are_swept_round_robin() {
    let mut log = Log::default();
    log.declare(BOUNDS);
    for number in 0..5_u128 {
        let mut quiet = claim("k", number, "a");
        quiet.call.organisation = format!("quiet-{number}").parse().expect("organisation");
        let report = Finish {
            call: quiet.call.clone(),
            id: quiet.id,
            owner: quiet.owner.clone(),
            outcome: Outcome::Answered(response(b"done")),
            at: quiet.at,
        };
        log.apply(&Command::Claim(quiet));
        log.apply(&Command::Finish(report));
    }
    for step in 0..6 {
        advance_clock(&mut log, 60_000 + step);
    }
    assert_eq!(log.fleet.ledger().len(), 6, "only the claims that advanced the clock are left");
}

#[test]
fn bodies_of_all_organisations_are_bounded() {
    const BODY_BYTES: usize = 1 << 20;
    let mut log = Log::default();
    log.declare("[defaults]\nmax-answer-bytes = 1048576");
    let body = vec![7; BODY_BYTES];
    let count = (MAX_STORED_BODY_BYTES / BODY_BYTES + 2) as u128;
    for id in 0..count {
        let key = format!("k-{id}");
        log.apply(&Command::Claim(claim(&key, id, "a")));
        log.apply(&finish(&key, id, "a", Outcome::Answered(response(&body))));
    }
    assert_eq!(log.fleet.ledger().len() as u128, count);
    assert!(log.fleet.to_snapshot().len() < MAX_STORED_BODY_BYTES + BODY_BYTES);
    assert_eq!(log.round_trip().fleet, log.fleet);
    assert_eq!(advance_clock(&mut log, 86_402_000), claimed());
    assert!(log.fleet.to_snapshot().len() < 1_000, "bodies are evicted with their calls");
    run(&mut log, "again", 500, 86_402_000);
    assert_eq!(log.round_trip().fleet, log.fleet);
}

#[test]
fn calls_of_all_organisations_are_bounded() {
    let mut log = Log::default();
    log.declare(
        "[defaults]\nclaim-retention-count = 1000000\nmax-open-claims = 1000000\n\
         claim-retention = '30days'",
    );
    log.apply(&Command::Claim(claim("open", 0, "a")));
    let mut small = claim("small", 1, "a");
    small.call.organisation = "weavers".parse().expect("organisation");
    log.apply(&Command::Claim(small.clone()));
    let Claim { call, id, owner, at, .. } = small;
    log.apply(&Command::Finish(Finish {
        call: call.clone(),
        id,
        owner,
        at,
        outcome: Outcome::Unknown,
    }));
    for id in 2..MAX_STORED_CALLS as u128 {
        run(&mut log, &format!("k-{id}"), id, 1_000);
    }
    assert_eq!(log.fleet.ledger().len(), MAX_STORED_CALLS);
    assert_eq!(advance_clock(&mut log, 2_000), claimed());
    assert_eq!(log.fleet.ledger().len(), MAX_STORED_CALLS);
    assert!(is_stored(&log, "open") && !is_stored(&log, "k-2") && is_stored(&log, "k-3"));
    assert!(
        log.fleet.ledger().call(&call).is_some(),
        "no call of the small organisation is evicted"
    );
    assert_eq!(log.round_trip().fleet, log.fleet);
}

#[test]
fn retention_is_per_organisation() {
    let mut log = Log::default();
    log.declare(
        "[[exceptions]]\nid = 'e'\nreason = 'long press runs'\n\
         scope = { organisation = 'printers' }\nset = { claim-retention = '30days' }",
    );
    run(&mut log, "k", 1, 0);
    advance_clock(&mut log, Duration::from_secs(29 * 86_400).as_millis() as u64);
    assert!(is_stored(&log, "k"));
}
