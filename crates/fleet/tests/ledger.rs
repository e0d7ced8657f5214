//! State transitions of a non-idempotent call.

mod fixture;

use std::time::Duration;

use base::{Digest, Incarnation, UnixMillis};
use fixture::{Log, at, call, claim, claimed, finish, owner, release, resolve, response};
use fleet::{
    CallState, Claim, ClaimId, ClaimReply, Command, FinishReply, MayHaveRunReason, Outcome,
    OwnerGone, ReleaseReply, Reply, Resolution, ResolveReply,
};

fn claim_by(id: u128, host: &str) -> Command {
    Command::Claim(claim("k", id, host))
}

fn responded() -> Command {
    finish("k", 1, "a", Outcome::Answered(response(b"done")))
}

fn outcome_lost() -> Command {
    finish("k", 1, "a", Outcome::Unknown)
}

fn owner_gone(incarnation: u64) -> Command {
    Command::OwnerGone(OwnerGone { owner: owner("a", incarnation), at: at(2_000) })
}

fn in_doubt(why: MayHaveRunReason) -> Reply {
    Reply::Claim(ClaimReply::MayHaveRun { since: at(2_000), reason: why })
}

fn finished() -> Reply {
    Reply::Claim(ClaimReply::Finished(response(b"done")))
}

/// The send deadline plus its margin, for a claim granted at one second.
const RESOLVABLE_AT: u64 = 8_000;

macro_rules! transitions {
    ($($name:ident: [$($before:expr),*] then $command:expr => $reply:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut log = Log::default();
            $(log.apply(&$before);)*
            let mut restored = log.round_trip();
            assert_eq!(log.apply(&$command), $reply);
            assert_eq!(restored.apply(&$command), $reply);
            assert_eq!(log.fleet, restored.fleet);
        }
    )*};
}

transitions! {
    unused_key_is_claimed: [] then claim_by(1, "a") => claimed();
    resent_claim_is_granted_again: [claim_by(1, "a")] then claim_by(1, "a") => claimed();
    second_attempt_of_the_owner_is_in_progress: [claim_by(1, "a")] then claim_by(2, "a")
        => Reply::Claim(ClaimReply::InProgress(owner("a", 1)));
    claim_of_another_host_is_in_progress: [claim_by(1, "a")] then claim_by(2, "b")
        => Reply::Claim(ClaimReply::InProgress(owner("a", 1)));
    same_id_of_another_host_is_in_progress: [claim_by(1, "a")] then claim_by(1, "b")
        => Reply::Claim(ClaimReply::InProgress(owner("a", 1)));
    key_reused_for_another_request_is_rejected: [claim_by(1, "a")] then Command::Claim(Claim {
        request: Digest::of(b"200 diaries"),
        ..claim("k", 2, "b")
    }) => Reply::Claim(ClaimReply::KeyReused);
    key_reused_after_the_response_is_rejected: [claim_by(1, "a"), responded()]
        then Command::Claim(Claim { request: Digest::of(b"200 diaries"), ..claim("k", 2, "b") })
        => Reply::Claim(ClaimReply::KeyReused);
    claim_of_a_restarted_owner_finds_the_call_in_doubt: [claim_by(1, "a")] then Command::Claim(Claim {
        owner: owner("a", 2),
        at: at(2_000),
        ..claim("k", 2, "a")
    }) => in_doubt(MayHaveRunReason::OwnerGone);

    owner_finishes: [claim_by(1, "a")] then responded() => Reply::Finish(FinishReply::Recorded);
    duplicate_finish_is_ignored: [claim_by(1, "a"), responded()] then responded()
        => Reply::Finish(FinishReply::AlreadySettled);
    duplicate_call_gets_the_response: [claim_by(1, "a"), responded()] then claim_by(2, "b")
        => finished();
    resent_claim_after_finish_gets_the_response: [claim_by(1, "a"), responded()]
        then claim_by(1, "a") => finished();
    finish_of_an_unused_key: [] then responded() => Reply::Finish(FinishReply::Unknown);
    finish_by_another_host: [claim_by(1, "a")]
        then finish("k", 1, "b", Outcome::Answered(response(b""))) => Reply::Finish(FinishReply::NotOwner);
    finish_by_another_attempt: [claim_by(1, "a")]
        then finish("k", 2, "a", Outcome::Answered(response(b""))) => Reply::Finish(FinishReply::NotOwner);
    finish_after_release: [claim_by(1, "a"), release("k", 1, "a")] then responded()
        => Reply::Finish(FinishReply::NotOwner);
    finish_of_a_released_attempt: [claim_by(1, "a"), release("k", 1, "a"), claim_by(2, "b")]
        then responded() => Reply::Finish(FinishReply::NotOwner);

    unknown_outcome_may_have_run: [claim_by(1, "a"), outcome_lost()] then claim_by(2, "b")
        => in_doubt(MayHaveRunReason::OutcomeLost);
    late_response_replaces_an_unknown_outcome: [claim_by(1, "a"), outcome_lost(), responded()] then claim_by(2, "b")
        => finished();
    unknown_outcome_does_not_replace_a_response: [claim_by(1, "a"), responded(), outcome_lost()] then claim_by(2, "b")
        => finished();
    open_claim_of_an_ended_owner_is_in_doubt: [claim_by(1, "a"), owner_gone(1)] then claim_by(2, "b")
        => in_doubt(MayHaveRunReason::OwnerGone);
    finish_after_the_owner_was_declared_gone: [claim_by(1, "a"), owner_gone(1), responded()] then claim_by(2, "b")
        => finished();
    owner_declared_gone_does_not_hold_the_claim: [claim_by(1, "a"), owner_gone(1)] then claim_by(1, "a")
        => in_doubt(MayHaveRunReason::OwnerGone);
    end_of_an_earlier_incarnation_does_not_affect_the_claim: [claim_by(1, "a")] then owner_gone(0) => Reply::OwnerGone(0);
    owner_gone_returns_the_number_of_its_claims: [claim_by(1, "a"), claim_by(2, "b")]
        then owner_gone(1) => Reply::OwnerGone(1);

    owner_releases: [claim_by(1, "a")] then release("k", 1, "a")
        => Reply::Release(ReleaseReply::Released);
    released_key_is_claimed: [claim_by(1, "a"), release("k", 1, "a")] then claim_by(2, "b")
        => claimed();
    released_attempt_is_not_claimed_again: [claim_by(1, "a"), release("k", 1, "a")]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::AttemptReleased);
    duplicate_release_is_ignored: [claim_by(1, "a"), release("k", 1, "a"), claim_by(2, "b")]
        then release("k", 1, "a") => Reply::Release(ReleaseReply::Released);
    duplicate_release_keeps_the_next_claim:
        [claim_by(1, "a"), release("k", 1, "a"), claim_by(2, "b"), release("k", 1, "a")]
        then claim_by(3, "c") => Reply::Claim(ClaimReply::InProgress(owner("b", 1)));
    release_by_another_host: [claim_by(1, "a")] then release("k", 1, "b")
        => Reply::Release(ReleaseReply::NotOwner);
    release_by_another_attempt: [claim_by(1, "a")] then release("k", 2, "a")
        => Reply::Release(ReleaseReply::NotOwner);
    release_of_an_unused_key: [] then release("k", 1, "a") => Reply::Release(ReleaseReply::Released);
    claim_that_arrives_after_its_release: [release("k", 1, "a")] then claim_by(1, "a")
        => Reply::Claim(ClaimReply::AttemptReleased);
    claim_that_arrives_after_its_release_and_another: [claim_by(2, "b"), release("k", 1, "a"), release("k", 2, "b")]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::AttemptReleased);
    claim_that_arrives_after_its_release_of_a_released_key: [claim_by(2, "b"), release("k", 2, "b"), release("k", 1, "a")]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::AttemptReleased);
    claim_that_arrives_after_its_owner_has_ended: [owner_gone(1)] then claim_by(1, "a")
        => Reply::Claim(ClaimReply::AttemptReleased);
    claim_of_a_later_incarnation: [owner_gone(0)] then claim_by(1, "a") => claimed();
    key_released_before_any_claim_is_claimed: [release("k", 1, "a")] then claim_by(2, "b") => claimed();
    release_after_the_response: [claim_by(1, "a"), responded()] then release("k", 1, "a")
        => Reply::Release(ReleaseReply::AlreadySettled);
    release_after_sending: [claim_by(1, "a"), outcome_lost()] then release("k", 1, "a")
        => Reply::Release(ReleaseReply::AlreadySettled);
    release_after_the_owner_was_declared_gone: [claim_by(1, "a"), owner_gone(1)]
        then release("k", 1, "a") => Reply::Release(ReleaseReply::Released);

    resolve_of_an_unused_key: [] then resolve("k", Resolution::Ran, RESOLVABLE_AT)
        => Reply::Resolve(ResolveReply::Unknown);
    resolved_as_run: [claim_by(1, "a"), resolve("k", Resolution::Ran, 1_000)]
        then claim_by(2, "b") => Reply::Claim(ClaimReply::Ran);
    not_run_before_the_send_deadline_is_too_early: [claim_by(1, "a")]
        then resolve("k", Resolution::NotRun, RESOLVABLE_AT - 1)
        => Reply::Resolve(ResolveReply::TooEarly { wait: Duration::from_millis(1) });
    not_run_after_owner_gone_is_too_early: [claim_by(1, "a"), owner_gone(1)]
        then resolve("k", Resolution::NotRun, 2_000)
        => Reply::Resolve(ResolveReply::TooEarly { wait: Duration::from_secs(6) });
    not_run_after_the_deadline: [claim_by(1, "a")] then resolve("k", Resolution::NotRun, RESOLVABLE_AT)
        => Reply::Resolve(ResolveReply::Resolved);
    resolved_as_not_run_is_final: [claim_by(1, "a"), resolve("k", Resolution::NotRun, RESOLVABLE_AT)]
        then claim_by(2, "b") => Reply::Claim(ClaimReply::NotRun);
    owner_cannot_send_after_not_run: [claim_by(1, "a"), resolve("k", Resolution::NotRun, RESOLVABLE_AT)]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::NotRun);
    release_after_not_run: [claim_by(1, "a"), resolve("k", Resolution::NotRun, RESOLVABLE_AT)]
        then release("k", 1, "a") => Reply::Release(ReleaseReply::AlreadySettled);
    response_after_not_run_is_a_conflict:
        [claim_by(1, "a"), resolve("k", Resolution::NotRun, RESOLVABLE_AT)]
        then responded() => Reply::Finish(FinishReply::Conflict);
    conflict_keeps_the_verdict:
        [claim_by(1, "a"), resolve("k", Resolution::NotRun, RESOLVABLE_AT), responded()]
        then claim_by(2, "b") => Reply::Claim(ClaimReply::NotRun);
    response_after_resolved_as_run: [claim_by(1, "a"), resolve("k", Resolution::Ran, RESOLVABLE_AT)]
        then responded() => Reply::Finish(FinishReply::AlreadySettled);
    wrong_owner_after_not_run: [claim_by(1, "a"), resolve("k", Resolution::NotRun, RESOLVABLE_AT)]
        then finish("k", 2, "b", Outcome::Unknown) => Reply::Finish(FinishReply::NotOwner);
    resolve_of_a_finished_call: [claim_by(1, "a"), responded()]
        then resolve("k", Resolution::NotRun, RESOLVABLE_AT) => Reply::Resolve(ResolveReply::AlreadySettled);
    resolve_twice: [claim_by(1, "a"), resolve("k", Resolution::Ran, RESOLVABLE_AT)]
        then resolve("k", Resolution::NotRun, RESOLVABLE_AT) => Reply::Resolve(ResolveReply::AlreadySettled);
}

#[test]
fn conflict_is_recorded() {
    let mut log = Log::default();
    log.apply(&claim_by(1, "a"));
    log.apply(&resolve("k", Resolution::NotRun, RESOLVABLE_AT));
    log.apply(&responded());
    let stored = log.fleet.ledger().call(&call("k")).expect("call");
    assert_eq!(stored.conflict.map(|conflict| conflict.status), Some(201));
}

#[test]
fn deadline_uses_the_ledger_clock_when_the_owner_clock_is_behind() {
    let mut log = Log::default();
    log.apply(&Command::Claim(Claim { at: at(100_000), ..claim("other", 9, "b") }));
    log.apply(&Command::Claim(Claim { at: at(0), ..claim("k", 1, "a") }));
    let reply = log.apply(&resolve("k", Resolution::NotRun, 106_999));
    let wait = Duration::from_millis(1);
    assert_eq!(reply, Reply::Resolve(ResolveReply::TooEarly { wait }));
}

#[test]
fn too_many_open_claims_are_refused_until_one_settles() {
    let mut log = Log::default();
    log.declare("[defaults]\nmax-open-claims = 1");
    assert_eq!(log.apply(&Command::Claim(claim("k", 1, "a"))), claimed());
    let next = Command::Claim(claim("l", 2, "a"));
    assert_eq!(log.apply(&next), Reply::Claim(ClaimReply::TooMany));
    assert!(log.fleet.ledger().call(&call("l")).is_none());
    assert_eq!(log.apply(&Command::Claim(claim("k", 1, "a"))), claimed());
    log.apply(&responded());
    assert_eq!(log.apply(&next), claimed());
}

#[test]
fn large_response_is_stored_without_its_body() {
    let mut log = Log::default();
    log.declare("[defaults]\nmax-answer-bytes = 3");
    log.apply(&claim_by(1, "a"));
    log.apply(&responded());
    let Reply::Claim(ClaimReply::Finished(stored)) = log.apply(&claim_by(2, "b")) else {
        panic!("the call must be finished");
    };
    assert_eq!((stored.status, stored.body), (201, None));
}

#[test]
fn same_key_of_another_organisation_is_another_call() {
    let mut log = Log::default();
    log.apply(&claim_by(1, "a"));
    let mut other = claim("k", 2, "b");
    other.call.organisation = "weavers".parse().expect("organisation");
    assert_eq!(log.apply(&Command::Claim(other)), claimed());
    assert_eq!(log.fleet.ledger().unsettled().count(), 2);
}

#[test]
fn changed_send_deadline_does_not_affect_open_claims() {
    let mut log = Log::default();
    log.apply(&claim_by(1, "a"));
    log.declare("[defaults]\nclaim-send-deadline = '1ms'");
    assert_eq!(log.apply(&claim_by(1, "a")), claimed());
    let stored = log.fleet.ledger().call(&call("k")).expect("call");
    let CallState::Claimed(granted) = &stored.state else { panic!("the claim must be open") };
    assert_eq!(granted.send_within, Duration::from_secs(2));
    assert_eq!(granted.owner.incarnation, Incarnation::new(1));
    assert_eq!((granted.id, granted.claimed_at), (ClaimId::new(1), UnixMillis::new(1_000)));
}
