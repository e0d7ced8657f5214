//! `explain-route` sends a caller's request as described on the command line, and prints the answer.

use std::{
    io::Write as _,
    process::{Command, Output, Stdio},
};

use wire::operator::{QueriedCaller, QueriedPart, QueriedTokens, RouteQuery};
use yare::parameterized;

use crate::fake::{CLOSED_ADDRESS, Reply, Router, router, run, stderr, stdout};

const SENT: &str = r#"{"host": "10.1.0.9", "configuration": 3, "route": {"name": "notes",
    "prefix": "/notes/", "service": "lm"}, "organisation": "school", "quota": {"rate": 10.0,
    "burst": 20.0, "cost": 5, "state": "added-later"}, "refusal": null, "chosen": "engine-1",
    "report_age_ms": 120, "added-later": 1, "endpoints": [{"endpoint": "engine-1",
    "data_centre": "dc-a", "excluded": null, "score": 0.25, "parts": [{"name": "compute",
    "cost": 0.125}], "requests": 2, "prefill_tokens": 90, "held_tokens": 700, "warm_tokens": 64,
    "headroom_wait_ms": 0, "has_memory": true, "slowness": 1.5, "stated_wait_ms": 0,
    "stated_limit": 0.5, "limit_wait_ms": 750, "announced_age_ms": 40}, {"endpoint": "engine-2",
    "data_centre": "dc-a", "excluded": "connections to it fail", "score": null, "parts": [],
    "requests": 0, "prefill_tokens": 0, "held_tokens": 0, "warm_tokens": 0,
    "headroom_wait_ms": null, "has_memory": null, "slowness": 1.0, "stated_wait_ms": 0,
    "stated_limit": null, "limit_wait_ms": 0, "announced_age_ms": 9000}]}"#;

const REFUSED: &str = r#"{"host": "10.1.0.9", "configuration": 3, "route": null,
    "organisation": null, "quota": null, "refusal": {"status": 503, "detail": "no\u001bengine",
    "retry_after_ms": 1500}, "chosen": null, "report_age_ms": 0, "endpoints": []}"#;

const REQUEST: [&str; 5] = ["explain-route", "--host", "desk.example", "--path", "/notes/7"];

fn answering(answer: &'static str) -> Router {
    router(move |_| Reply::Complete(200, answer.into()))
}

/// Runs the command with `input` on its standard input.
fn run_with_input(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dotterelreach"))
        .env_clear()
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn query(router: &Router) -> RouteQuery {
    let received = router.received.recv().unwrap();
    assert_eq!(
        (&*received.method, &*received.path),
        ("POST", "/operator/explain/route"),
        "{received:?}"
    );
    serde_json::from_str(&received.body).unwrap()
}

/// Guards against an option that is lost on the way to the router.
#[test]
fn all_options_are_sent() {
    let router = answering(SENT);
    let options = [
        "--method",
        "POST",
        "-o",
        "school",
        "--request",
        "request-7",
        "--model",
        "m",
        "--parts",
        "5c1e07a2:800,e4:250",
        "--tokens",
        "1050,80",
        "--body",
        "text",
        "-r",
    ];
    let output = run(&[&REQUEST[..], &options, &[&router.address]].concat(), &[]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let part = |id: &str, tokens| QueriedPart { id: id.into(), tokens };
    let expected = RouteQuery {
        host: "desk.example".into(),
        path: "/notes/7".into(),
        method: "POST".into(),
        caller: QueriedCaller::Organisation("school".into()),
        request: Some("request-7".parse().unwrap()),
        model: Some("m".parse().unwrap()),
        parts: vec![part("5c1e07a2", 800), part("e4", 250)],
        tokens: Some(QueriedTokens { prompt: 1050, output: 80 }),
        body: "text".into(),
    };
    assert_eq!(query(&router), expected);
}

/// Guards against a key in the process list, and against one sent with its line end.
#[test]
fn key_is_read_from_standard_input() {
    let router = answering(SENT);
    let args = [&REQUEST[..], &["--key-stdin", "-r", &router.address]].concat();
    let output = run_with_input(&args, "a-key\n");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let query = query(&router);
    assert_eq!(query.caller, QueriedCaller::Key("a-key".into()));
    assert_eq!((&*query.method, query.model, query.tokens), ("GET", None, None));
    assert!(!format!("{:?}", QueriedCaller::Key("a-key".into())).contains("a-key"));
}

/// Guards against a field of the decision that the text leaves out.
#[parameterized(
    route = { SENT, "notes (prefix /notes/, service lm)" },
    quota_state_of_a_newer_router = { SENT, "unknown: costs 5 of 10 per s and 20 at once" },
    outcome = { SENT, "sent to engine-1" },
    reports = { SENT, "120ms" },
    score = { SENT, "0.250" },
    components = { SENT, "compute=0.125" },
    slowness = { SENT, "1.50" },
    memory = { SENT, "room" },
    limit = { SENT, "0.5/s, next in 750ms" },
    exclusion = { SENT, "excluded: connections to it fail" },
    refusal = { REFUSED, "refused with 503: no engine; retry after 1s 500ms" },
    no_quota = { REFUSED, "none" },
)]
fn text_and_json(answer: &'static str, expected: &str) {
    let router = answering(answer);
    let args = [&REQUEST[..], &["-r", &router.address]].concat();
    let output = run(&args, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains(expected), "{}", stdout(&output));
    let output = run(&[&args[..], &["--json"]].concat(), &[]);
    let json: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(json["host"], "10.1.0.9");
}

/// Guards against a malformed option that is sent as if it were absent.
#[parameterized(
    part_without_tokens = { &["--parts", "5c1e07a2"] },
    part_id_not_hexadecimal = { &["--parts", "house:20"] },
    empty_part = { &["--parts", "5c:1,"] },
    one_token_count = { &["--tokens", "80"] },
    negative_token_count = { &["--tokens", "80,-1"] },
    organisation_and_key = { &["-o", "school", "--key-stdin"] },
    no_key_on_standard_input = { &["--key-stdin"] },
)]
fn malformed_options_are_reported(options: &[&str]) {
    let args = [&REQUEST[..], options, &["-r", CLOSED_ADDRESS]].concat();
    let output = run(&args, &[]);
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
}
