//! Conflicting and resent changes of the configuration.

mod fixture;

use base::Revision;
use fixture::{Log, at, change};
use fleet::{
    ChangeRecord, ChangeReply, Command, ConfigChange, MAX_HISTORY_ENTRIES, MAX_STORED_REPLIES,
    REPLY_RETENTION, Reply,
};

const EMPTY: &str = "";
const LARGER_SHARE: &str = "[defaults]\nshare = 2";

fn apply(log: &mut Log, change: ConfigChange) -> ChangeReply {
    let Reply::Change(reply) = log.apply(&Command::Change(change)) else {
        panic!("expected the reply to a change");
    };
    reply
}

fn record(change: &ConfigChange, revision: u64) -> ChangeRecord {
    ChangeRecord {
        revision: Revision::new(revision),
        id: change.id.clone(),
        author: change.author.clone(),
        reason: change.reason.clone(),
        at: change.at,
    }
}

#[test]
fn conflict_returns_the_winning_change() {
    let mut log = Log::default();
    let winner = change("first", 0, LARGER_SHARE);
    assert_eq!(apply(&mut log, winner.clone()), ChangeReply::Changed(Revision::new(1)));
    apply(&mut log, change("later", 1, EMPTY));
    let reply = apply(&mut log, change("second", 0, EMPTY));
    let winner = Some(record(&winner, 1));
    assert_eq!(reply, ChangeReply::Conflict { winner, current: Revision::new(2) });
}

#[test]
fn future_revision_conflicts_with_the_latest_change() {
    let mut log = Log::default();
    let latest = change("first", 0, EMPTY);
    apply(&mut log, latest.clone());
    let reply = apply(&mut log, change("ahead", 7, EMPTY));
    let winner = Some(record(&latest, 1));
    assert_eq!(reply, ChangeReply::Conflict { winner, current: Revision::new(1) });
}

macro_rules! resend_cases {
    ($($name:ident: $expected:literal, $declaration:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut log = Log::default();
            apply(&mut log, change("other", 0, LARGER_SHARE));
            let first = change("resent", $expected, $declaration);
            let reply = apply(&mut log, first.clone());
            for number in 1..50 {
                let expected = log.fleet.revision().as_u64();
                apply(&mut log, change(&format!("more-{number}"), expected, EMPTY));
            }
            let mut log = log.round_trip();
            let before = log.fleet.configuration().clone();
            let resent = ConfigChange { at: at(1_500), ..first };
            assert_eq!(apply(&mut log, resent), reply);
            assert_eq!(log.fleet.configuration().text(), before.text());
            assert_eq!(log.fleet.revision(), before.revision());
        }
    )*};
}

resend_cases! {
    resent_accepted_change: 1, EMPTY;
    resent_conflicting_change: 0, EMPTY;
    resent_invalid_change: 1, "[defaults]\nshare = 0";
}

macro_rules! reuse_cases {
    ($($name:ident: |$change:ident| $edit:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut log = Log::default();
            apply(&mut log, change("first", 0, EMPTY));
            let mut $change = change("first", 0, EMPTY);
            $edit;
            assert_eq!(apply(&mut log, $change), ChangeReply::IdReused);
            assert_eq!(log.fleet.revision(), Revision::new(1));
        }
    )*};
}

reuse_cases! {
    other_declaration: |change| change.declaration = LARGER_SHARE.into();
    other_revision: |change| change.expected = Revision::new(1);
    other_author: |change| change.author = "bela".parse().expect("author");
    other_reason: |change| change.reason = "another reason".into();
}

#[test]
fn invalid_declaration_changes_nothing() {
    let mut log = Log::default();
    apply(&mut log, change("first", 0, LARGER_SHARE));
    let ChangeReply::Invalid(error) = apply(&mut log, change("bad", 1, "[defaults]\nshare = 0"))
    else {
        panic!("share 0 must be rejected");
    };
    assert_eq!((error.line(), error.column()), (2, 9));
    assert_eq!(log.fleet.revision(), Revision::new(1));
    assert_eq!(log.fleet.configuration().text().as_ref(), LARGER_SHARE);
}

#[test]
fn empty_reason_is_rejected() {
    let mut log = Log::default();
    let without_reason = ConfigChange { reason: " ".into(), ..change("first", 0, EMPTY) };
    assert_eq!(apply(&mut log, without_reason), ChangeReply::InvalidReason);
    assert_eq!(log.fleet.revision(), Revision::ZERO);
}

#[test]
fn history_and_stored_replies_are_bounded() {
    let mut log = Log::default();
    let count = MAX_STORED_REPLIES as u64 + 1;
    for revision in 0..count {
        apply(&mut log, change(&format!("change-{revision}"), revision, EMPTY));
    }
    assert_eq!(log.fleet.configuration().history().count(), MAX_HISTORY_ENTRIES);
    let expired = apply(&mut log, change("change-0", 0, EMPTY));
    assert!(matches!(expired, ChangeReply::Conflict { .. }), "{expired:?}");
    let stored = apply(&mut log, change("change-2", 2, EMPTY));
    assert_eq!(stored, ChangeReply::Changed(Revision::new(3)));
}

#[test]
fn stored_reply_expires() {
    let mut log = Log::default();
    let first = ConfigChange { at: at(0), ..change("first", 0, EMPTY) };
    let end = REPLY_RETENTION.as_millis() as u64;
    apply(&mut log, first.clone());
    let late = ConfigChange { at: at(end - 1), ..change("late", 1, EMPTY) };
    apply(&mut log, late);
    assert_eq!(apply(&mut log, first.clone()), ChangeReply::Changed(Revision::new(1)));
    let later = ConfigChange { at: at(end), ..change("later", 2, EMPTY) };
    apply(&mut log, later);
    assert!(matches!(apply(&mut log, first), ChangeReply::Conflict { .. }));
}

#[test]
fn applied_index_is_not_applied_again() {
    let mut log = Log::default();
    apply(&mut log, change("first", 0, EMPTY));
    let command = Command::Change(change("second", 1, EMPTY));
    let reply = log.fleet.apply(log.fleet.applied(), &command);
    assert_eq!(reply, Reply::AlreadyApplied);
    assert_eq!(log.fleet.revision(), Revision::new(1));
}
