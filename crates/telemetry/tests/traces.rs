//! Spans are exported with their parents, and a failing collector doesn't affect requests.

mod collector;

use std::{
    net::TcpListener,
    time::{Duration, Instant},
};

use base::Verdict;
use proptest::{prelude::*, test_runner::RngSeed};
use telemetry::{
    ExportCounts, FlushOutcome, Metrics, RequestStage, SampleRatio, TraceConfig, TraceContext,
    Tracer,
};
use yare::parameterized;

const CALLER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
const FLUSH_TIMEOUT: Duration = Duration::from_secs(20);

fn config(endpoint: String) -> TraceConfig {
    TraceConfig { endpoint, sample: SampleRatio::ALL, host: "host-1".into() }
}

#[test]
fn each_stage_is_exported_with_its_parent() {
    let (url, rx) = collector::start(200);
    let (tracer, exporter) = Tracer::start(config(url)).unwrap();
    let accept = tracer.accept(Some(CALLER.parse().unwrap()));
    for stage in &RequestStage::ALL[1..] {
        let mut span = accept.child(*stage);
        span.set("endpoint", "engine-1");
        span.fail(Verdict::NotRun);
    }
    let accept_context = accept.context().unwrap();
    drop(accept);
    assert_eq!(exporter.flush(FLUSH_TIMEOUT), FlushOutcome::Done);
    assert_eq!(exporter.counts(), ExportCounts { exported: 7, ..ExportCounts::default() });
    let spans: Vec<_> = rx.drain().collect();
    let mut names: Vec<_> = spans.iter().map(|span| span.name.as_str()).collect();
    names.sort_unstable();
    let mut expected = RequestStage::ALL.map(RequestStage::as_str);
    expected.sort_unstable();
    assert_eq!(names, expected);
    for span in spans {
        let caller: TraceContext = CALLER.parse().unwrap();
        let parent = if span.name == "accept" { caller } else { accept_context };
        assert_eq!(span.trace, caller.trace_id().to_be_bytes());
        assert_eq!(span.parent, parent.span_id().to_be_bytes());
    }
}

#[test]
fn request_without_context_starts_a_trace() {
    let (url, rx) = collector::start(200);
    let (tracer, exporter) = Tracer::start(config(url)).unwrap();
    drop(tracer.accept(None));
    drop(tracer.accept(None));
    assert_eq!(exporter.flush(FLUSH_TIMEOUT), FlushOutcome::Done);
    let spans: Vec<_> = rx.drain().collect();
    assert_eq!(spans.len(), 2);
    assert_ne!(spans[0].trace, spans[1].trace);
    assert!(spans[0].parent.is_empty());
}

#[test]
fn unsampled_trace_is_not_recorded() {
    let (url, rx) = collector::start(200);
    let (tracer, exporter) = Tracer::start(config(url)).unwrap();
    let accept = tracer.accept(Some(CALLER.replace("-01", "-00").parse().unwrap()));
    assert!(!accept.context().unwrap().is_sampled());
    drop(accept);
    assert_eq!(exporter.flush(FLUSH_TIMEOUT), FlushOutcome::Done);
    assert!(rx.is_empty());
}

#[test]
fn disabled_tracer_propagates_the_context() {
    let tracer = Tracer::off();
    let caller = CALLER.parse().unwrap();
    assert_eq!(tracer.accept(Some(caller)).child(RequestStage::Connect).context(), Some(caller));
    assert_eq!(tracer.accept(None).context(), None);
}

#[test]
fn rejected_export_is_counted_as_failed() {
    let (url, _rx) = collector::start(400);
    let (tracer, exporter) = Tracer::start(config(url)).unwrap();
    drop(tracer.accept(None));
    assert_eq!(exporter.flush(FLUSH_TIMEOUT), FlushOutcome::Done);
    assert_eq!(exporter.counts(), ExportCounts { failed: 1, ..ExportCounts::default() });
}

#[test]
fn failed_connection_is_counted_as_failed() {
    // A listener bound to port 0 is never given port 1.
    let (tracer, exporter) = Tracer::start(config("http://127.0.0.1:1/".into())).unwrap();
    drop(tracer.accept(None));
    assert_eq!(exporter.flush(FLUSH_TIMEOUT), FlushOutcome::Done);
    assert_eq!(exporter.counts(), ExportCounts { failed: 1, ..ExportCounts::default() });
}

#[test]
fn unresponsive_collector_causes_drops_without_blocking() {
    const SPANS: u64 = 20_000;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let (tracer, exporter) = Tracer::start(config(url)).unwrap();
    (0..SPANS).for_each(|_| drop(tracer.accept(None)));
    let timeout = Duration::from_millis(50);
    let start = Instant::now();
    assert_eq!(exporter.flush(timeout), FlushOutcome::TimedOut);
    assert!(timeout <= start.elapsed());
    assert!(0 < exporter.counts().dropped);
    assert_eq!(exporter.counts().exported, 0);
    let metrics = Metrics::new().unwrap();
    metrics.watch_exporter(&exporter);
    let line =
        format!("dotterelreach_spans_total{{outcome=\"dropped\"}} {}\n", exporter.counts().dropped);
    assert!(metrics.render().contains(&line), "{}", metrics.render());
}

#[test]
fn endpoint_must_be_http() {
    let message = Tracer::start(config("https://collector/".into())).unwrap_err().to_string();
    assert_eq!(message, r#"trace endpoint "https://collector/" does not start with http://"#);
}

#[parameterized(
    empty = { "" },
    short = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7" },
    zero_trace = { "00-00000000000000000000000000000000-00f067aa0ba902b7-01" },
    zero_span = { "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01" },
    upper_case = { "00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
    signed = { "00-+bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
    forbidden_version = { "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
    long_version_0 = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x" },
    misplaced_dash = { "00-4bf92f3577b34da6a3ce929d0e0e47360-0f067aa0ba902b7-01" },
    not_ascii = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-é" },
)]
fn malformed_header_is_rejected(text: &str) {
    assert!(text.parse::<TraceContext>().is_err());
}

#[test]
fn later_version_is_parsed_as_version_0() {
    let text = "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-03-more";
    assert_eq!(text.parse::<TraceContext>().unwrap().to_string(), CALLER);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn context_round_trip(trace in 1..u128::MAX, span in 1..u64::MAX, sampled: bool) {
        let context = TraceContext::new(trace, span, sampled).unwrap();
        prop_assert_eq!(context.to_string().parse::<TraceContext>().unwrap(), context);
    }

    #[test]
    fn arbitrary_text_never_panics(text in "(?s).{0,80}", hex in "[0-9a-f-]{50,60}") {
        let _ = text.parse::<TraceContext>();
        let _ = hex.parse::<TraceContext>();
        let _ = text.parse::<SampleRatio>();
    }
}
