//! Log lines keep their format whatever the values contain.

use log::{Level, Record};
use proptest::{prelude::*, test_runner::RngSeed};
use telemetry::LogFormat;

fn line(format: LogFormat, event: &str, request: &str) -> String {
    let mut out = Vec::new();
    let pairs = [("request_id", request)];
    let args = format_args!("{event}");
    let record =
        Record::builder().level(Level::Info).target("daemon").args(args).key_values(&pairs).build();
    format.write_record(&mut out, "2026-01-01T00:00:00.000Z", &record).unwrap();
    String::from_utf8(out).unwrap()
}

#[test]
fn text_format() {
    let expected = "time=2026-01-01T00:00:00.000Z level=info target=daemon \
                    event=answered request_id=r-1\n";
    assert_eq!(line(LogFormat::Text, "answered", "r-1"), expected);
}

#[test]
fn injected_line_is_escaped() {
    let text = line(LogFormat::Text, "answered", "a\" level=error\nlevel=error \u{202e}");
    let expected = r#"request_id="a\" level=error\nlevel=error \u{202e}""#;
    assert!(text.ends_with(&format!("{expected}\n")), "{text}");
}

#[test]
fn format_names_round_trip() {
    for format in [LogFormat::Text, LogFormat::Json] {
        assert_eq!(format.to_string().parse::<LogFormat>().unwrap(), format);
    }
    let message = "yaml".parse::<LogFormat>().unwrap_err().to_string();
    assert_eq!(message, r#""yaml" is not a valid log format; expected text or json"#);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_line_per_event(event in "\\PC*|(?s).*", request in "(?s).*") {
        let text = line(LogFormat::Text, &event, &request);
        prop_assert_eq!(text.find(|c: char| c.is_control()), Some(text.len() - 1));
        let json = line(LogFormat::Json, &event, &request);
        prop_assert_eq!(json.find(|c: char| c.is_control()), Some(json.len() - 1));
        let parsed: serde_json::Value = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(parsed["event"].as_str(), Some(event.as_str()));
        prop_assert_eq!(parsed["request_id"].as_str(), Some(request.as_str()));
        prop_assert_eq!(parsed["level"].as_str(), Some("info"));
    }
}
