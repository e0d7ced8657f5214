//! Properties over random commands: replicas agree, snapshots restore, one owner per claim,
//! decoders never panic.

mod fixture;

use std::collections::HashMap;

use base::{Digest, Incarnation};
use fixture::{Log, at, call, change, owner, response};
use fleet::{
    Claim, ClaimId, ClaimReply, Command, ConfigChange, Declaration, Finish, Fleet, Outcome,
    OwnerGone, Release, ReleaseReply, Reply, Resolution, Resolve,
};
use proptest::{prelude::*, test_runner::RngSeed};

const DECLARATIONS: [&str; 4] = [
    "",
    "[defaults]\nclaim-retention = '5s'\nclaim-retention-count = 2",
    "[defaults]\nmax-open-claims = 2\nmax-answer-bytes = 2",
    "[defaults]\nshare = 0",
];

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

prop_compose! {
    fn any_claim()(
        key in 0..3_u8, id in 0..6_u128, host in 0..3_u8, incarnation in 1..3_u64, millis in 0..40_000_u64,
        body in 0..8_u8,
    ) -> Claim {
        Claim {
            call: call(&format!("k-{key}")),
            request: Digest::of(&[body / 7]),
            id: ClaimId::new(id),
            owner: fleet::Owner {
                incarnation: Incarnation::new(incarnation),
                ..owner(&format!("host-{host}"), 1)
            },
            at: at(millis),
        }
    }
}

fn finish(Claim { call, id, owner, at, .. }: Claim, is_known: bool) -> Command {
    let outcome = if is_known { Outcome::Answered(response(b"yes")) } else { Outcome::Unknown };
    Command::Finish(Finish { call, id, owner, outcome, at })
}

fn release(Claim { call, request, id, owner, at }: Claim) -> Command {
    Command::Release(Release { call, request, id, owner, at })
}

fn resolve(Claim { call, at, .. }: Claim, has_run: bool) -> Command {
    let resolution = if has_run { Resolution::Ran } else { Resolution::NotRun };
    let author = "ilona".parse().expect("author");
    Command::Resolve(Resolve { call, resolution, author, reason: "asked".into(), at })
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let changes = (0..4_u8, 0..4_u64, 0..4_usize).prop_map(|(id, expected, declaration)| {
        let id = format!("change-{id}");
        Command::Change(change(&id, expected, DECLARATIONS[declaration]))
    });
    let command = prop_oneof![
        1 => changes,
        8 => any_claim().prop_map(Command::Claim),
        4 => (any_claim(), any::<bool>()).prop_map(|(claim, known)| finish(claim, known)),
        4 => any_claim().prop_map(release),
        1 => (any_claim(), any::<bool>()).prop_map(|(claim, ran)| resolve(claim, ran)),
        1 => any_claim().prop_map(|claim| Command::OwnerGone(OwnerGone { owner: claim.owner, at: claim.at })),
    ];
    prop::collection::vec(command, 0..80)
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn replicas_and_restored_snapshots_agree(commands in commands(), cut in 0..80_usize) {
        let mut first = Log::default();
        let mut second = Log::default();
        for (position, command) in commands.iter().enumerate() {
            if position == cut {
                second = second.round_trip();
            }
            let decoded = Command::from_bytes(&command.to_bytes()).expect("own bytes");
            prop_assert_eq!(&decoded, command);
            let reply = first.apply(command);
            prop_assert_eq!(&second.apply(&decoded), &reply);
            let again = first.fleet.apply(first.fleet.applied(), command);
            prop_assert_eq!(again, Reply::AlreadyApplied);
        }
        prop_assert_eq!(&first.fleet, &second.fleet);
        prop_assert_eq!(first.fleet.to_snapshot(), second.fleet.to_snapshot());
    }

    #[test]
    fn one_attempt_holds_a_key_until_it_is_released(commands in commands()) {
        let mut log = Log::default();
        let mut holders = HashMap::new();
        for command in commands.iter().filter(|command| !matches!(command, Command::Change(_))) {
            let reply = log.apply(command);
            match (command, reply) {
                (Command::Claim(claim), Reply::Claim(ClaimReply::Claimed { .. })) => {
                    let attempt = (claim.id, claim.owner.clone());
                    let holder = holders.entry(claim.call.clone()).or_insert(attempt.clone());
                    prop_assert_eq!(holder, &attempt);
                }
                (Command::Release(release), Reply::Release(ReleaseReply::Released)) => {
                    let attempt = (release.id, release.owner.clone());
                    if holders.get(&release.call) == Some(&attempt) {
                        holders.remove(&release.call);
                    }
                }
                _ => {}
            }
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_any_decoder(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Command::from_bytes(&bytes);
        let _ = Fleet::from_snapshot(&bytes);
        let _ = Declaration::from_toml(&String::from_utf8_lossy(&bytes));
        bytes.insert(0, 1);
        let _ = Command::from_bytes(&bytes);
        let _ = Fleet::from_snapshot(&bytes);
    }

    #[test]
    fn damaged_snapshot_is_rejected_or_usable(
        commands in commands(), more in commands(), position in any::<prop::sample::Index>(),
        bit in 0..8_u8, is_cut in any::<bool>(),
    ) {
        let mut log = Log::default();
        commands.iter().for_each(|command| drop(log.apply(command)));
        let mut bytes = log.fleet.to_snapshot();
        let position = position.index(bytes.len());
        if is_cut {
            bytes.truncate(position);
        } else {
            bytes[position] ^= 1 << bit;
        }
        if let Ok(fleet) = Fleet::from_snapshot(&bytes) {
            let mut damaged = Log { fleet };
            more.iter().for_each(|command| drop(damaged.apply(command)));
            damaged.round_trip();
        }
    }

    #[test]
    fn damaged_declaration_is_rejected_or_round_trips(
        position in any::<prop::sample::Index>(), character in any::<char>(),
    ) {
        let mut text: Vec<char> =
            "[defaults]\nshare = 3\nqueue-deadline = '1s'\n[[exceptions]]\nid = 'e'\n\
             reason = 'ő proofs'\nset = { priority = 1 }\nscope = { model = 'm' }"
                .chars().collect();
        let position = position.index(text.len());
        text[position] = character;
        let text: String = text.into_iter().collect();
        match Declaration::from_toml(&text) {
            Ok(declaration) => {
                let again = Declaration::from_toml(&declaration.to_toml());
                prop_assert_eq!(again, Ok(declaration));
            }
            Err(e) => prop_assert!(0 < e.line() && 0 < e.column()),
        }
    }
}

#[test]
fn snapshot_with_any_bit_flipped_is_rejected_or_usable() {
    let mut log = Log::default();
    let first = Claim { owner: owner("a", 1), ..fixture::claim("k", 1, "a") };
    log.apply(&Command::Claim(first.clone()));
    log.apply(&finish(first, true));
    log.apply(&Command::Claim(fixture::claim("l", 2, "a")));
    let later = Command::Claim(Claim { at: at(u64::MAX), ..fixture::claim("m", 3, "a") });
    let bytes = log.fleet.to_snapshot();
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        if let Ok(fleet) = Fleet::from_snapshot(&flipped) {
            let mut damaged = Log { fleet };
            damaged.apply(&fixture::release("l", 2, "a"));
            damaged.round_trip();
            damaged.apply(&later);
            damaged.round_trip();
        }
    }
}

#[test]
fn unknown_format_version_is_rejected() {
    let mut bytes = Command::Change(ConfigChange { at: at(0), ..change("c", 0, "") }).to_bytes();
    bytes[0] = 9;
    let error = Command::from_bytes(&bytes).expect_err("format 9 is unknown");
    assert!(error.is_other_format());
    assert_eq!(error.to_string(), "format version 9 is unknown; this program reads version 1");
    let error = Fleet::from_snapshot(&[9]).expect_err("format 9 is unknown");
    assert!(error.is_other_format());
}

#[test]
fn encoded_claim_is_at_most_64_bytes() {
    let bytes = Command::Claim(fixture::claim("k", 1, "a")).to_bytes();
    assert!(bytes.len() <= 64, "{} bytes", bytes.len());
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = Command::Change(change("c", 0, "")).to_bytes();
    bytes.push(0);
    let error = Command::from_bytes(&bytes).expect_err("one byte too many");
    assert_eq!(error.to_string(), "damaged bytes: 1 left over after the value");
}
