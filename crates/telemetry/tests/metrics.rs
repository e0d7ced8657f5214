//! Metrics are labelled by organisation, up to a maximum number of labels.

use std::time::Duration;

use base::{OrganisationId, Revision, Term, TokenCount, Verdict};
use telemetry::{MAX_LABELLED_ORGANISATIONS, Metrics, NoticeKind, QuorumRole, Refusal};

fn organisation(i: usize) -> OrganisationId {
    format!("org-{i}").parse().unwrap()
}

fn value(metrics: &Metrics, series: &str) -> Option<f64> {
    let text = metrics.render();
    let line = text.lines().find_map(|line| line.strip_prefix(series)?.strip_prefix(' '))?;
    line.parse().ok()
}

#[test]
fn instruments_are_rendered() {
    let metrics = Metrics::new().unwrap();
    let school = organisation(0);
    metrics.label_organisations([&school]);
    let recorder = metrics.recorder(&school);
    recorder.first_token(Duration::from_millis(300));
    recorder.prompt(TokenCount::new(100), TokenCount::new(80));
    recorder.verdict(Verdict::MayHaveRun);
    recorder.refusal(Refusal::NoQuorum);
    metrics.connection_cut();
    metrics.endpoint_notice(NoticeKind::Limit);
    metrics.set_configuration_revision(Revision::new(7));
    metrics.set_quorum_state(QuorumRole::Leader, Term::new(3));
    let cases = [
        (r#"time_to_first_token_seconds_bucket{organisation="org-0",le="0.35"}"#, 1.0),
        (r#"time_to_first_token_seconds_bucket{organisation="org-0",le="0.2"}"#, 0.0),
        (r#"prompt_tokens_total{organisation="org-0"}"#, 100.0),
        (r#"cached_tokens_total{organisation="org-0"}"#, 80.0),
        (r#"verdicts_total{organisation="org-0",verdict="may-have-run"}"#, 1.0),
        (r#"refusals_total{organisation="org-0",reason="no-quorum"}"#, 1.0),
        ("connections_cut_total", 1.0),
        (r#"endpoint_notices_total{notice="limit"}"#, 1.0),
        ("configuration_revision", 7.0),
        (r#"quorum_role{role="leader"}"#, 1.0),
        (r#"quorum_role{role="follower"}"#, 0.0),
        ("quorum_term", 3.0),
    ];
    for (series, expected) in cases {
        let found = value(&metrics, &format!("dotterelreach_{series}"));
        assert_eq!(found, Some(expected), "{series}\n{}", metrics.render());
    }
}

#[test]
fn in_flight_decreases_on_drop() {
    let metrics = Metrics::new().unwrap();
    let series = r#"dotterelreach_in_flight{organisation="other"}"#;
    let guard = metrics.recorder(&organisation(0)).in_flight();
    assert_eq!(value(&metrics, series), Some(1.0));
    drop(guard);
    assert_eq!(value(&metrics, series), Some(0.0));
}

#[test]
fn organisations_over_the_maximum_share_a_label() {
    let metrics = Metrics::new().unwrap();
    let all: Vec<_> = (0..MAX_LABELLED_ORGANISATIONS + 10).map(organisation).collect();
    metrics.label_organisations(&all);
    all.iter().for_each(|id| metrics.recorder(id).retry());
    let text = metrics.render();
    let series = text.lines().filter(|line| line.starts_with("dotterelreach_retries_total{"));
    assert_eq!(series.count(), MAX_LABELLED_ORGANISATIONS + 1);
    let other = r#"dotterelreach_retries_total{organisation="other"}"#;
    assert_eq!(value(&metrics, other), Some(10.0));
}
