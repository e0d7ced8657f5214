//! Each transition of a call that may not be repeated.

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

fn answered() -> Command {
    finish("k", 1, "a", Outcome::Answered(response(b"done")))
}

fn lost() -> Command {
    finish("k", 1, "a", Outcome::Unknown)
}

fn gone(incarnation: u64) -> Command {
    Command::OwnerGone(OwnerGone { owner: owner("a", incarnation), at: at(2_000) })
}

fn in_doubt(why: MayHaveRunReason) -> Reply {
    Reply::Claim(ClaimReply::MayHaveRun { since: at(2_000), reason: why })
}

fn finished() -> Reply {
    Reply::Claim(ClaimReply::Finished(response(b"done")))
}

/// Past the send deadline and its margin, for a claim given at one second.
const SAFE: u64 = 8_000;

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
    free_key_is_claimed: [] then claim_by(1, "a") => claimed();
    same_attempt_is_claimed_again: [claim_by(1, "a")] then claim_by(1, "a") => claimed();
    other_attempt_of_the_owner_waits: [claim_by(1, "a")] then claim_by(2, "a")
        => Reply::Claim(ClaimReply::InProgress(owner("a", 1)));
    other_host_waits: [claim_by(1, "a")] then claim_by(2, "b")
        => Reply::Claim(ClaimReply::InProgress(owner("a", 1)));
    same_id_of_another_host_waits: [claim_by(1, "a")] then claim_by(1, "b")
        => Reply::Claim(ClaimReply::InProgress(owner("a", 1)));
    other_request_is_refused: [claim_by(1, "a")] then Command::Claim(Claim {
        request: Digest::of(b"200 diaries"),
        ..claim("k", 2, "b")
    }) => Reply::Claim(ClaimReply::KeyReused);
    other_request_is_refused_after_the_answer: [claim_by(1, "a"), answered()]
        then Command::Claim(Claim { request: Digest::of(b"200 diaries"), ..claim("k", 2, "b") })
        => Reply::Claim(ClaimReply::KeyReused);
    restarted_owner_learns_of_the_doubt: [claim_by(1, "a")] then Command::Claim(Claim {
        owner: owner("a", 2),
        at: at(2_000),
        ..claim("k", 2, "a")
    }) => in_doubt(MayHaveRunReason::OwnerGone);

    owner_finishes: [claim_by(1, "a")] then answered() => Reply::Finish(FinishReply::Recorded);
    doubled_finish_is_harmless: [claim_by(1, "a"), answered()] then answered()
        => Reply::Finish(FinishReply::AlreadySettled);
    later_arrival_gets_the_answer: [claim_by(1, "a"), answered()] then claim_by(2, "b")
        => finished();
    owner_resending_its_claim_gets_the_answer: [claim_by(1, "a"), answered()]
        then claim_by(1, "a") => finished();
    finish_of_a_free_key: [] then answered() => Reply::Finish(FinishReply::Unknown);
    finish_by_another_host: [claim_by(1, "a")]
        then finish("k", 1, "b", Outcome::Answered(response(b""))) => Reply::Finish(FinishReply::NotOwner);
    finish_by_another_attempt: [claim_by(1, "a")]
        then finish("k", 2, "a", Outcome::Answered(response(b""))) => Reply::Finish(FinishReply::NotOwner);
    finish_after_release: [claim_by(1, "a"), release("k", 1, "a")] then answered()
        => Reply::Finish(FinishReply::NotOwner);
    finish_of_the_attempt_before: [claim_by(1, "a"), release("k", 1, "a"), claim_by(2, "b")]
        then answered() => Reply::Finish(FinishReply::NotOwner);

    owner_loses_the_outcome: [claim_by(1, "a"), lost()] then claim_by(2, "b")
        => in_doubt(MayHaveRunReason::OutcomeLost);
    late_answer_settles_the_doubt: [claim_by(1, "a"), lost(), answered()] then claim_by(2, "b")
        => finished();
    doubt_does_not_undo_an_answer: [claim_by(1, "a"), answered(), lost()] then claim_by(2, "b")
        => finished();
    ended_owner_leaves_a_doubt: [claim_by(1, "a"), gone(1)] then claim_by(2, "b")
        => in_doubt(MayHaveRunReason::OwnerGone);
    woken_owner_still_finishes: [claim_by(1, "a"), gone(1), answered()] then claim_by(2, "b")
        => finished();
    woken_owner_does_not_hold_the_claim: [claim_by(1, "a"), gone(1)] then claim_by(1, "a")
        => in_doubt(MayHaveRunReason::OwnerGone);
    end_of_an_earlier_life_is_no_doubt: [claim_by(1, "a")] then gone(0) => Reply::OwnerGone(0);
    end_of_the_owner_counts_its_claims: [claim_by(1, "a"), claim_by(2, "b")]
        then gone(1) => Reply::OwnerGone(1);

    owner_releases: [claim_by(1, "a")] then release("k", 1, "a")
        => Reply::Release(ReleaseReply::Released);
    released_key_is_claimed: [claim_by(1, "a"), release("k", 1, "a")] then claim_by(2, "b")
        => claimed();
    released_attempt_is_not_claimed_again: [claim_by(1, "a"), release("k", 1, "a")]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::AttemptReleased);
    doubled_release_is_harmless: [claim_by(1, "a"), release("k", 1, "a"), claim_by(2, "b")]
        then release("k", 1, "a") => Reply::Release(ReleaseReply::Released);
    doubled_release_leaves_the_next_claim:
        [claim_by(1, "a"), release("k", 1, "a"), claim_by(2, "b"), release("k", 1, "a")]
        then claim_by(3, "c") => Reply::Claim(ClaimReply::InProgress(owner("b", 1)));
    release_by_another_host: [claim_by(1, "a")] then release("k", 1, "b")
        => Reply::Release(ReleaseReply::NotOwner);
    release_by_another_attempt: [claim_by(1, "a")] then release("k", 2, "a")
        => Reply::Release(ReleaseReply::NotOwner);
    release_of_a_free_key: [] then release("k", 1, "a") => Reply::Release(ReleaseReply::Released);
    claim_that_arrives_after_its_release: [release("k", 1, "a")] then claim_by(1, "a")
        => Reply::Claim(ClaimReply::AttemptReleased);
    claim_that_arrives_after_its_release_and_another: [claim_by(2, "b"), release("k", 1, "a"), release("k", 2, "b")]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::AttemptReleased);
    claim_that_arrives_after_its_release_of_a_released_key: [claim_by(2, "b"), release("k", 2, "b"), release("k", 1, "a")]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::AttemptReleased);
    claim_that_arrives_after_its_owner_has_ended: [gone(1)] then claim_by(1, "a")
        => Reply::Claim(ClaimReply::AttemptReleased);
    claim_of_a_later_life: [gone(0)] then claim_by(1, "a") => claimed();
    key_released_ahead_is_claimed: [release("k", 1, "a")] then claim_by(2, "b") => claimed();
    release_after_the_answer: [claim_by(1, "a"), answered()] then release("k", 1, "a")
        => Reply::Release(ReleaseReply::AlreadySettled);
    release_after_sending: [claim_by(1, "a"), lost()] then release("k", 1, "a")
        => Reply::Release(ReleaseReply::AlreadySettled);
    woken_owner_that_sent_nothing_releases: [claim_by(1, "a"), gone(1)]
        then release("k", 1, "a") => Reply::Release(ReleaseReply::Released);

    resolve_of_a_free_key: [] then resolve("k", Resolution::Ran, SAFE)
        => Reply::Resolve(ResolveReply::Unknown);
    resolved_as_run: [claim_by(1, "a"), resolve("k", Resolution::Ran, 1_000)]
        then claim_by(2, "b") => Reply::Claim(ClaimReply::Ran);
    not_run_while_the_owner_may_send: [claim_by(1, "a")]
        then resolve("k", Resolution::NotRun, SAFE - 1)
        => Reply::Resolve(ResolveReply::TooEarly { wait: Duration::from_millis(1) });
    not_run_after_a_lost_owner_still_waits: [claim_by(1, "a"), gone(1)]
        then resolve("k", Resolution::NotRun, 2_000)
        => Reply::Resolve(ResolveReply::TooEarly { wait: Duration::from_secs(6) });
    not_run_past_the_deadline: [claim_by(1, "a")] then resolve("k", Resolution::NotRun, SAFE)
        => Reply::Resolve(ResolveReply::Resolved);
    resolved_as_not_run_is_final: [claim_by(1, "a"), resolve("k", Resolution::NotRun, SAFE)]
        then claim_by(2, "b") => Reply::Claim(ClaimReply::NotRun);
    owner_cannot_send_after_not_run: [claim_by(1, "a"), resolve("k", Resolution::NotRun, SAFE)]
        then claim_by(1, "a") => Reply::Claim(ClaimReply::NotRun);
    release_after_not_run: [claim_by(1, "a"), resolve("k", Resolution::NotRun, SAFE)]
        then release("k", 1, "a") => Reply::Release(ReleaseReply::AlreadySettled);
    answer_after_not_run_is_a_conflict:
        [claim_by(1, "a"), resolve("k", Resolution::NotRun, SAFE)]
        then answered() => Reply::Finish(FinishReply::Conflict);
    conflict_keeps_the_verdict:
        [claim_by(1, "a"), resolve("k", Resolution::NotRun, SAFE), answered()]
        then claim_by(2, "b") => Reply::Claim(ClaimReply::NotRun);
    answer_after_ran: [claim_by(1, "a"), resolve("k", Resolution::Ran, SAFE)]
        then answered() => Reply::Finish(FinishReply::AlreadySettled);
    wrong_owner_after_not_run: [claim_by(1, "a"), resolve("k", Resolution::NotRun, SAFE)]
        then finish("k", 2, "b", Outcome::Unknown) => Reply::Finish(FinishReply::NotOwner);
    resolve_of_an_answered_call: [claim_by(1, "a"), answered()]
        then resolve("k", Resolution::NotRun, SAFE) => Reply::Resolve(ResolveReply::AlreadySettled);
    resolve_twice: [claim_by(1, "a"), resolve("k", Resolution::Ran, SAFE)]
        then resolve("k", Resolution::NotRun, SAFE) => Reply::Resolve(ResolveReply::AlreadySettled);
}

#[test]
fn conflict_is_recorded() {
    let mut log = Log::default();
    log.apply(&claim_by(1, "a"));
    log.apply(&resolve("k", Resolution::NotRun, SAFE));
    log.apply(&answered());
    let known = log.fleet.ledger().call(&call("k")).expect("call");
    assert_eq!(known.conflict.map(|conflict| conflict.status), Some(201));
}

#[test]
fn deadline_counts_from_the_ledger_time_when_the_owner_clock_is_behind() {
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
    log.apply(&answered());
    assert_eq!(log.apply(&next), claimed());
}

#[test]
fn answer_past_the_bound_is_kept_without_its_body() {
    let mut log = Log::default();
    log.declare("[defaults]\nmax-response-bytes = 3");
    log.apply(&claim_by(1, "a"));
    log.apply(&answered());
    let Reply::Claim(ClaimReply::Finished(kept)) = log.apply(&claim_by(2, "b")) else {
        panic!("the call is finished");
    };
    assert_eq!((kept.status, kept.body), (201, None));
}

#[test]
fn claim_of_another_organisation_is_another_call() {
    let mut log = Log::default();
    log.apply(&claim_by(1, "a"));
    let mut other = claim("k", 2, "b");
    other.call.organisation = "weavers".parse().expect("organisation");
    assert_eq!(log.apply(&Command::Claim(other)), claimed());
    assert_eq!(log.fleet.ledger().unsettled().count(), 2);
}

#[test]
fn send_deadline_of_a_claim_outlives_a_change_of_the_setting() {
    let mut log = Log::default();
    log.apply(&claim_by(1, "a"));
    log.declare("[defaults]\nclaim-send-deadline = '1ms'");
    assert_eq!(log.apply(&claim_by(1, "a")), claimed());
    let known = log.fleet.ledger().call(&call("k")).expect("call");
    let CallState::Claimed(held) = &known.state else { panic!("the claim is open") };
    assert_eq!(held.send_within, Duration::from_secs(2));
    assert_eq!(held.owner.incarnation, Incarnation::new(1));
    assert_eq!((held.id, held.claimed_at), (ClaimId::new(1), UnixMillis::new(1_000)));
}
