//! Queries print tables or JSON, and invalid command lines and settings are reported.

use crate::fake::{CLOSED_ADDRESS, Received, Reply, file, router, run, stderr, stdout};
use yare::parameterized;

const STATUS: &str = r#"{"host": "host-1", "incarnation": 3, "data_centre": "dc-a",
    "version": "0.1.0", "state": "ready", "revision": 9, "quorum": {"role": "leader", "term": 4,
    "leader": "host-1", "commit": 12, "applied": 12, "voters": [{"host": "host-1",
    "folder": "00ab", "matched": 12}]}, "peers": [{"host": "host-2", "incarnation": 1,
    "data_centre": "dc-b", "state": "hibernating", "revision": 8, "laggard": true,
    "heard_ms": 250}], "added-later": true}"#;
const CALL: &str = r#"{"organisation": "north-press", "key": "order/7", "state": "open",
    "verdict": "may-have-run", "owner": "host-2", "owner_incarnation": 1, "claimed_at": 0}"#;
const DECLARATION: &str = r#"{"revision": 4, "toml": "[defaults]\nwait-weight = 1.0\n"}"#;
const EXPLANATION: &str = r#"{"prompt_tokens": 90, "candidates": [{"endpoint": "engine-2",
    "data_centre": "dc-a", "home": true, "warm_tokens": 64, "cost": 1.5,
    "parts": [{"name": "recompute", "cost": 1.25}]}]}"#;

fn serve(req: &Received) -> Reply {
    let body = match req.path.as_str() {
        "/operator/status" => STATUS,
        "/operator/declaration" => DECLARATION,
        "/operator/explain" => EXPLANATION,
        "/operator/endpoints" => r#"{"endpoints": []}"#,
        "/operator/history" => r#"{"changes": []}"#,
        "/operator/voters" => r#"{"voters": []}"#,
        "/operator/calls/north-press/order%2F7" => CALL,
        "/operator/calls/north-press/order%2F7/resolve" => CALL,
        _ => return Reply::Complete(404, r#"{"status": 404, "title": "no such page"}"#.into()),
    };
    Reply::Complete(200, body.into())
}

#[parameterized(
    state = { &["status"], "host-1" },
    quorum = { &["status"], "leader" },
    laggard = { &["status"], "8 (laggard)" },
    unknown_state_of_a_newer_router = { &["status"], "unknown" },
    endpoints = { &["endpoints"], "LEASE" },
    history = { &["history"], "REASON" },
    voters = { &["voters", "list"], "VOTER" },
    default = { &["defaults", "get", "wait-weight"], "1.0" },
    exceptions = { &["exceptions", "list"], "SCOPE" },
    explain = { &["explain", "-o", "a", "--model", "m", "--prefix", "p"], "recompute=1.250" },
    call = { &["calls", "show", "-o", "north-press", "order/7"], "may-have-run" },
    resolve = {
        &["calls", "resolve", "-o", "north-press", "--ran", "--reason", "r", "order/7"], "order/7"
    },
    voter = { &["voters", "add", "--folder", "0a", "--reason", "r", "host-3"], "VOTER" },
)]
fn table_and_json(args: &[&str], expected: &str) {
    let router = router(serve);
    let variables = [("DOTTERELREACH_ROUTERS", router.address.as_str())];
    let output = run(args, &variables);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains(expected), "{}", stdout(&output));
    let mut args = args.to_vec();
    args.push("--json");
    let output = run(&args, &variables);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    serde_json::from_str::<serde_json::Value>(&stdout(&output)).unwrap();
}

#[parameterized(
    same = { "[defaults]\nwait-weight = 1.0\n", 0, "no difference\n" },
    differs = { "[defaults]\n", 5, "  [defaults]\n- wait-weight = 1.0\n" },
)]
fn diff(toml: &str, code: i32, text: &str) {
    let router = router(serve);
    let (_folder, path) = file(toml);
    let output = run(&["diff", "-r", &router.address, path.to_str().unwrap()], &[]);
    assert_eq!((output.status.code(), stdout(&output).as_str()), (Some(code), text));
}

#[parameterized(
    malformed = { || Reply::Complete(200, "{}".into()), 4 },
    refused = { || Reply::Complete(409, r#"{"status": 409, "title": "settled"}"#.into()), 1 },
    wrong_key = { || Reply::Complete(401, String::new()), 1 },
    truncated = { || Reply::Truncated(200, CALL.into()), 4 },
)]
fn failed_resolution_has_its_exit_code(reply: fn() -> Reply, code: i32) {
    let router = router(move |_| reply());
    let args = ["calls", "resolve", "-r", &router.address, "--ran", "--reason", "r"];
    let output = run(&[&args[..], &["-o", "north-press", "order/7"]].concat(), &[]);
    assert_eq!(output.status.code(), Some(code), "{}", stderr(&output));
}

#[parameterized(
    refused = { || Reply::Complete(404, r#"{"status": 404, "title": "none"}"#.into()), 1 },
    truncated = { || Reply::Truncated(200, STATUS.into()), 3 },
    failed = { || Reply::Complete(500, "{}".into()), 3 },
)]
fn failed_query_has_its_exit_code(reply: fn() -> Reply, code: i32) {
    let router = router(move |_| reply());
    assert_eq!(run(&["status", "-r", &router.address], &[]).status.code(), Some(code));
}

#[test]
fn control_characters_are_not_printed() {
    let title = r#"{"status": 404, "title": "\u001b[2Jgone"}"#;
    let router = router(move |_| Reply::Complete(404, title.into()));
    let output = run(&["status", "-r", &router.address], &[]);
    assert_eq!(stderr(&output), " [2Jgone (status 404): no detail given\n");
}

#[test]
fn query_is_retried_after_a_lost_response() {
    let first = router(|_| Reply::NoResponse);
    let second = router(|_| Reply::Complete(404, r#"{"status": 404, "title": "none"}"#.into()));
    let both = format!("{},{}", first.address, second.address);
    assert_eq!(run(&["status", "-r", &both], &[]).status.code(), Some(1));
}

#[test]
fn unreachable_router() {
    assert_eq!(run(&["status", "-r", CLOSED_ADDRESS], &[]).status.code(), Some(3));
}

#[test]
fn all_invalid_settings_are_reported() {
    let variables = [
        ("DOTTERELREACH_ROUTERS", "localhost"),
        ("DOTTERELREACH_TIMEOUT", "5"),
        ("DOTTERELREACH_OPERATOR_KEY", "two words"),
    ];
    let output = run(&["status"], &variables);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(
        text.contains(r#"--routers: "localhost" is not a valid router address; expected an IP"#)
    );
    assert!(text.contains(r#"--timeout: "5" is not a valid timeout; expected a duration"#));
    assert!(text.contains("(environment: DOTTERELREACH_TIMEOUT)"));
    assert!(text.contains("--operator-key") && !text.contains("two words"), "{text}");
}

#[parameterized(
    no_command = { &[] },
    unknown_command = { &["reboot"] },
    no_reason = { &["defaults", "set", "-y", "a", "1"] },
    no_scope = { &["exceptions", "add", "--set", "a=1", "--reason", "r", "-y", "id"] },
    pair_without_value = {
        &["exceptions", "add", "--scope", "a", "--set", "a=1", "--reason", "r", "-y", "id"]
    },
    invalid_end_time = {
        &["exceptions", "add", "--scope", "a=b", "--set", "a=1", "--until", "soon",
            "--reason", "r", "-y", "id"]
    },
    both_outcomes = {
        &["calls", "resolve", "--ran", "--not-run", "-o", "a", "--reason", "r", "k"]
    },
    no_file = { &["apply", "--reason", "r", "/nonexistent/file"] },
)]
fn invalid_command_line(args: &[&str]) {
    let output = run(args, &[("DOTTERELREACH_ROUTERS", CLOSED_ADDRESS)]);
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
}

#[test]
fn help_lists_exit_codes_and_hides_the_key() {
    let output = run(&["--help"], &[]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains("Exit codes: 0 done"), "{}", stdout(&output));
    let output = run(&["status", "--help"], &[("DOTTERELREACH_OPERATOR_KEY", "secret-1")]);
    assert!(stdout(&output).contains("DOTTERELREACH_OPERATOR_KEY"));
    assert!(!stdout(&output).contains("secret-1"));
}

#[test]
fn completion_script_is_printed() {
    let output = run(&["--bpaf-complete-style-bash"], &[]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains("dotterelreach"), "{}", stdout(&output));
}
