//! Changes are applied at most once, and the exit code reports the outcome.

use std::process::Output;

use crate::fake::{CLOSED_ADDRESS, Received, Reply, file, router, run, stderr, stdout};
use wire::operator::ChangeRequest;

const OLD: &str = "[defaults]\nwait-weight = 1.0\n";
const NEW: &str = "[defaults]\nwait-weight = 2.0\n";
const APPLIED: &str = r#"{"result": "applied", "revision": 5}"#;

fn current() -> Reply {
    Reply::Complete(200, serde_json::json!({"revision": 4, "toml": OLD}).to_string())
}

fn reply_to_change(reply: fn() -> Reply) -> impl Fn(&Received) -> Reply + Send + 'static {
    move |req| if req.method == "GET" { current() } else { reply() }
}

fn apply(routers: &str, toml: &str, more: &[&str]) -> Output {
    let (_folder, path) = file(toml);
    let path = path.to_str().unwrap();
    let args = ["apply", "--routers", routers, "--reason", "colder nights"];
    run(&[&args, more, &[path]].concat(), &[("DOTTERELREACH_OPERATOR_KEY", "k-1")])
}

fn changes(received: &std::sync::mpsc::Receiver<Received>) -> Vec<ChangeRequest> {
    let changes = received.try_iter().filter(|req| req.method == "POST");
    changes.map(|req| serde_json::from_str(&req.body).unwrap()).collect()
}

macro_rules! outcomes {
    ($($name:ident: $reply:expr => $code:literal, $text:literal;)*) => {$(
        #[test]
        fn $name() {
            let router = router(reply_to_change(|| $reply));
            let output = apply(&router.address, NEW, &["--yes"]);
            let text = stdout(&output) + &stderr(&output);
            assert_eq!(output.status.code(), Some($code), "{text}");
            assert!(text.contains($text), "{text}");
        }
    )*};
}

outcomes! {
    applied: Reply::Complete(200, APPLIED.into()) => 0, "applied; revision 5";
    conflict: Reply::Complete(409, r#"{"result": "conflict", "winner": {"revision": 5, "id": "x",
        "author": "ilka", "at": 0, "reason": "frost"}}"#.into())
        => 1, r#"revision 5 by ilka, "frost"; nothing was changed"#;
    invalid: Reply::Complete(422, r#"{"result": "invalid", "line": 2, "message": "bad"}"#.into())
        => 1, "declaration, line 2: bad; nothing was changed";
    unauthorised: Reply::Complete(401, r#"{"status": 401, "title": "wrong key"}"#.into())
        => 1, "wrong key (status 401)";
    no_quorum: Reply::Complete(503, r#"{"status": 503, "title": "no quorum",
        "verdict": "not-run"}"#.into()) => 3, "no quorum";
    may_have_run: Reply::Complete(503, r#"{"status": 503, "title": "leader lost",
        "verdict": "may-have-run"}"#.into()) => 4, "leader lost";
    truncated: Reply::Truncated(200, APPLIED.into()) => 4, "answer lost: 18 of 36 bytes arrived";
    closed: Reply::NoResponse => 4, "answer lost";
    not_json: Reply::Complete(200, "ok".into()) => 4, "cannot be read";
}

#[test]
fn retry_after_a_lost_response_sends_the_same_change() {
    let first = router(reply_to_change(|| Reply::Truncated(200, APPLIED.into())));
    let second = router(reply_to_change(|| Reply::Complete(200, APPLIED.into())));
    let both = format!("{},{}", first.address, second.address);
    let output = apply(&both, NEW, &["--yes"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let again = apply(&first.address, NEW, &["--yes"]);
    assert_eq!(again.status.code(), Some(4));
    let sent = [changes(&first.received), changes(&second.received)].concat();
    assert_eq!(sent.len(), 3);
    assert_eq!((&sent[0], &sent[0]), (&sent[1], &sent[2]));
}

#[test]
fn unresponsive_router_causes_a_timeout() {
    let router = router(reply_to_change(|| Reply::Hang));
    let output = apply(&router.address, NEW, &["--yes", "--timeout", "200ms"]);
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
}

#[test]
fn refusal_after_a_lost_response_leaves_the_outcome_unknown() {
    let first = router(reply_to_change(|| Reply::NoResponse));
    let second = router(reply_to_change(|| Reply::Complete(401, "{}".into())));
    let both = format!("{},{}", first.address, second.address);
    assert_eq!(apply(&both, NEW, &["--yes"]).status.code(), Some(4));
}

#[test]
fn unreachable_router_is_skipped() {
    let live = router(reply_to_change(|| Reply::Complete(200, APPLIED.into())));
    let both = format!("{},{}", CLOSED_ADDRESS, live.address);
    let output = apply(&both, NEW, &["--yes", "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let result: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(result, serde_json::json!({"result": "applied", "revision": 5}));
    let keys = live.received.try_iter().map(|req| req.authorization);
    assert!(keys.into_iter().all(|key| key.as_deref() == Some("Bearer k-1")));
}

#[test]
fn no_reachable_router() {
    let output = apply(CLOSED_ADDRESS, NEW, &["--yes"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("not sent"), "{}", stderr(&output));
}

#[test]
fn unchanged_declaration_is_not_sent() {
    let router = router(reply_to_change(|| Reply::NoResponse));
    let output = apply(&router.address, &format!("# kept in git\n{OLD}"), &[]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output), "nothing to do; revision 4\n");
    assert!(changes(&router.received).is_empty());
}

#[test]
fn change_is_shown_and_needs_confirmation() {
    let router = router(reply_to_change(|| Reply::NoResponse));
    let output = apply(&router.address, NEW, &[]);
    assert_eq!(output.status.code(), Some(2));
    let expected = "  [defaults]\n- wait-weight = 1.0\n+ wait-weight = 2.0\n--yes: not given";
    assert!(stderr(&output).starts_with(expected), "{}", stderr(&output));
    assert!(changes(&router.received).is_empty());
}

#[test]
fn default_is_set_in_the_declaration() {
    let router = router(reply_to_change(|| Reply::Complete(200, APPLIED.into())));
    let args = ["defaults", "set", "-r", &router.address, "--reason", "r", "-y"];
    let output = run(&[&args[..], &["queue-deadline", "800ms"]].concat(), &[]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let sent = changes(&router.received);
    assert_eq!(&*sent[0].toml, "[defaults]\nqueue-deadline = \"800ms\"\nwait-weight = 1.0\n");
    assert_eq!(sent[0].expected.as_u64(), 4);
}

#[test]
fn exception_is_added_with_its_reason() {
    let router = router(reply_to_change(|| Reply::Complete(200, APPLIED.into())));
    let args = ["exceptions", "add", "-r", &router.address, "--reason", "term start", "-y"];
    let scope_and_set = ["--scope", "organisation=north-press", "--set", "priority=2"];
    let until = ["--until", "2027-02-01T00:00:00Z", "term-start"];
    let output = run(&[&args[..], &scope_and_set, &until].concat(), &[]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let sent: toml::Table = changes(&router.received)[0].toml.parse().unwrap();
    let expected: toml::Table = r#"
        [defaults]
        wait-weight = 1.0
        [[exceptions]]
        id = "term-start"
        reason = "term start"
        until = "2027-02-01T00:00:00Z"
        scope = { organisation = "north-press" }
        set = { priority = 2 }
    "#
    .parse()
    .unwrap();
    assert_eq!(sent, expected);
}
