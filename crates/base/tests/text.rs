//! Text forms of identifiers, numbers, digests and verdicts.

use base::{Digest, EndpointId, LogIndex, ParseError, RequestRate, Verdict};
use proptest::{
    prelude::{ProptestConfig, any, prop_assert_eq, proptest},
    test_runner::RngSeed,
};

macro_rules! rejected_ids {
    ($($name:ident: $text:expr,)*) => {$(
        #[test]
        fn $name() {
            let parsed: Result<EndpointId, ParseError> = $text.parse();
            assert!(parsed.is_err());
        }
    )*};
}

rejected_ids! {
    rejects_empty_id: "",
    rejects_space_in_id: "engine 3",
    rejects_line_break_in_id: "engine\r\nx-evil: 1",
    rejects_long_id: "e".repeat(129),
    rejects_non_ascii_id: "kút",
}

macro_rules! round_trips {
    ($($name:ident: $type:ty = $text:expr,)*) => {$(
        #[test]
        fn $name() {
            let value: $type = $text.parse().unwrap();
            assert_eq!(value.to_string(), $text);
        }
    )*};
}

round_trips! {
    id_round_trips: EndpointId = "tas-a/engine_3.1",
    number_round_trips: LogIndex = "18446744073709551615",
    rate_round_trips: RequestRate = "2.25",
    not_run_round_trips: Verdict = "not-run",
    may_have_run_round_trips: Verdict = "may-have-run",
    ran_round_trips: Verdict = "ran",
}

#[test]
fn only_not_run_may_be_retried() {
    let retried: Vec<_> = Verdict::ALL.into_iter().filter(|v| v.may_retry()).collect();
    assert_eq!(retried, [Verdict::NotRun]);
}

#[test]
fn deserialising_rejects_invalid_ids() {
    let parsed = serde_json::from_str::<EndpointId>("\"a b\"");
    assert!(parsed.unwrap_err().to_string().contains("endpoint id"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default()
    })]

    #[test]
    fn digest_text_round_trips(bytes in any::<Vec<u8>>()) {
        let digest = Digest::of(&bytes);
        prop_assert_eq!(digest.to_string().parse::<Digest>(), Ok(digest));
    }

    #[test]
    fn parsing_never_panics(text in any::<String>()) {
        let _ = text.parse::<EndpointId>();
        let _ = text.parse::<Digest>();
        let _ = text.parse::<LogIndex>();
    }
}
