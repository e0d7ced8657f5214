//! Streams arrive complete and in order despite faults between the caller and the engines.

use std::time::Duration;

use base::{Incarnation, Verdict};
use bench::{
    Fault,
    caller::{self, CompletionSpec, Outcome, block_on},
    declare::apply_declaration,
    process::{Program, wait_until},
    site::{Site, SiteSpec, organisation_key},
    stream::{CompletionStream, StreamEnd, check_complete},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use wire::EventId;

/// Time for an effect to become visible.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes after which a proxy cuts a connection: more than a head, fewer than a response.
const CUT_AFTER_BYTES: u64 = 2_000;

const TOKENS: u64 = 60;

fn site(daemons: &[&'static str], engines: usize) -> Site {
    start(SiteSpec { daemons: daemons.to_vec(), engines: vec!["a"; engines], ..SiteSpec::small() })
}

fn start(spec: SiteSpec) -> Site {
    let spec = SiteSpec {
        voters: 1,
        services: Vec::new(),
        flags: vec![("--idle-timeout", "500ms".to_owned())],
        ..spec
    };
    Site::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap()
}

fn completion(site: &Site, chat: bool) -> CompletionSpec {
    let organisation = &site.spec.organisations[0];
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation {organisation}\nwho keeps the key"),
        tokens: TOKENS,
        chat,
    }
}

/// Opens a stream and reads its first tokens.
async fn open_and_read(site: &Site, request: &CompletionSpec) -> CompletionStream {
    let mut stream = open(site, 0, request).await;
    stream.read_tokens(5).await.unwrap();
    stream
}

/// Resumes a stream at the second host.
async fn resume_elsewhere(
    site: &Site,
    request: &CompletionSpec,
    first: &CompletionStream,
) -> CompletionStream {
    let id = first.last_id.clone().unwrap();
    let second = CompletionStream::open(site.routers()[1], request, Some(&id)).await.unwrap();
    second.stream().unwrap()
}

async fn check_finishes(request: &CompletionSpec, mut stream: CompletionStream) {
    assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
    check_complete(request, &[&stream]).unwrap();
}

async fn open(site: &Site, host: usize, request: &CompletionSpec) -> CompletionStream {
    CompletionStream::open(site.routers()[host], request, None).await.unwrap().stream().unwrap()
}

async fn complete_response(site: &Site, request: &CompletionSpec, choices: u64) -> Value {
    let router = site.routers()[0];
    let mut body = request.body(false);
    body["n"] = choices.into();
    let req = Request::post(request.path())
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {}", request.key))
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    caller::read_json(caller::send(router, req).await.unwrap()).await.unwrap()
}

/// Returns the index of the engine that generates the stream.
fn engine_of(site: &Site, stream: &CompletionStream) -> usize {
    let id: &EventId = stream.last_id.as_ref().unwrap();
    let is_match = |id: &EventId, i: usize| id.endpoint.as_str() == format!("engine-{}", i + 1);
    (0..site.engines.len()).find(|&i| is_match(id, i)).unwrap()
}

/// Sums a count over all engines.
fn total(site: &Site, count: impl Fn(bench::fake::EngineCounts) -> u64) -> u64 {
    site.engines.iter().map(|node| count(node.engine.counts())).sum()
}

macro_rules! complete_despite_cuts {
    ($($name:ident: $chat:literal;)*) => {$(
        #[test]
        fn $name() {
            let site = site(&["a"], 1);
            site.engines[0].proxy.set(Fault { cut_after: Some(CUT_AFTER_BYTES), ..Fault::default() });
            let request = completion(&site, $chat);
            let outcome = block_on(caller::complete(site.routers()[0], &request));
            assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
            let counts = site.engines[0].engine.counts();
            assert_eq!((counts.requests, counts.generated), (1, TOKENS), "{counts:?}");
            assert!(2 < counts.resumed, "{counts:?}");
        }
    )*};
}

complete_despite_cuts! {
    text_resumes_at_its_engine_after_each_cut: false;
    chat_resumes_at_its_engine_after_each_cut: true;
}

#[test]
fn non_streaming_response_resumes_at_its_engine_after_each_cut() {
    let site = site(&["a"], 1);
    site.engines[0].proxy.set(Fault { cut_after: Some(CUT_AFTER_BYTES), ..Fault::default() });
    let request = completion(&site, false);
    let response = block_on(complete_response(&site, &request, 1));
    assert_eq!(response["choices"][0]["text"], request.expected().concat(), "{response}");
    assert_eq!(response["usage"]["completion_tokens"], TOKENS, "{response}");
    let counts = site.engines[0].engine.counts();
    assert_eq!((counts.requests, counts.generated), (1, TOKENS), "{counts:?}");
}

#[test]
fn non_streaming_response_has_every_choice_and_its_finish_reason() {
    let site = site(&["a"], 1);
    let request = completion(&site, false);
    let response = block_on(complete_response(&site, &request, 2));
    assert_eq!(response["choices"][0]["text"], request.expected().concat(), "{response}");
    assert_eq!(response["choices"][0]["finish_reason"], "length", "{response}");
    assert_eq!(response["choices"][1]["finish_reason"], "length", "{response}");
    assert_ne!(response["choices"][1]["text"], response["choices"][0]["text"], "{response}");
}

#[test]
fn stream_of_a_killed_engine_continues_on_another_from_the_last_token() {
    let mut site = site(&["a"], 2);
    let request = completion(&site, false);
    block_on(async {
        let stream = open_and_read(&site, &request).await;
        let engine = engine_of(&site, &stream);
        drop(site.engines.remove(engine));
        check_finishes(&request, stream).await;
    });
    assert_eq!(total(&site, |counts| counts.requests), 1);
}

#[test]
fn stream_of_an_unresponsive_engine_continues_on_another_from_the_last_token() {
    let site = site(&["a"], 2);
    let request = completion(&site, true);
    block_on(async {
        let stream = open_and_read(&site, &request).await;
        let engine = engine_of(&site, &stream);
        site.engines[engine].proxy.set(Fault::partition());
        check_finishes(&request, stream).await;
    });
}

#[test]
fn stream_continues_from_the_last_token_on_its_restarted_engine() {
    let mut site = site(&["a"], 1);
    let request = completion(&site, false);
    block_on(async {
        let stream = open_and_read(&site, &request).await;
        site.restart_engine(0, Incarnation::new(2));
        check_finishes(&request, stream).await;
    });
}

#[test]
fn completion_with_a_slow_first_token_is_retried_on_another_engine() {
    let site = site(&["a"], 2);
    apply_declaration(&site, "[defaults]\nfirst-token-timeout = '400ms'\n").unwrap();
    site.engines[0].proxy.set(Fault { hold_responses: true, ..Fault::default() });
    for number in 0..4 {
        let request =
            CompletionSpec { prompt: format!("question {number}"), ..completion(&site, false) };
        let outcome = block_on(caller::complete(site.routers()[0], &request));
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
}

#[test]
fn request_timeout_ends_the_stream_with_its_verdict() {
    let site = site(&["a"], 1);
    apply_declaration(&site, "[defaults]\nrequest-timeout = '300ms'\n").unwrap();
    let request = CompletionSpec { tokens: 10_000, ..completion(&site, false) };
    block_on(async {
        let mut stream = open(&site, 0, &request).await;
        let StreamEnd::Failed(problem) = stream.finish().await.unwrap() else { panic!("done") };
        assert_eq!((problem.status, problem.verdict), (504, Some(Verdict::MayHaveRun)));
    });
    let engine = &site.engines[0].engine;
    wait_until("the work is cancelled", WAIT_TIMEOUT, || engine.counts().cancelled == 1).unwrap();
}

#[test]
fn last_engine_killed_ends_the_stream_with_its_verdict() {
    let mut site = site(&["a"], 1);
    let request = completion(&site, false);
    block_on(async {
        let mut stream = open_and_read(&site, &request).await;
        site.engines.clear();
        let StreamEnd::Failed(problem) = stream.finish().await.unwrap() else { panic!("done") };
        assert_eq!(problem.verdict, Some(Verdict::MayHaveRun), "{problem:?}");
    });
}

#[test]
fn caller_resumes_at_another_host() {
    let site = site(&["a", "b"], 2);
    let request = completion(&site, false);
    block_on(async {
        let first = open_and_read(&site, &request).await;
        let mut second = resume_elsewhere(&site, &request, &first).await;
        assert_eq!(second.finish().await.unwrap(), StreamEnd::Done);
        check_complete(&request, &[&first, &second]).unwrap();
    });
    let counts = total(&site, |counts| counts.requests);
    assert_eq!((counts, total(&site, |counts| counts.generated)), (1, TOKENS));
}

#[test]
fn resumed_stream_survives_its_engine() {
    let mut site = site(&["a", "b"], 2);
    let request = completion(&site, false);
    block_on(async {
        let first = open_and_read(&site, &request).await;
        let mut second = resume_elsewhere(&site, &request, &first).await;
        second.read_tokens(5).await.unwrap();
        let engine = engine_of(&site, &second);
        drop(site.engines.remove(engine));
        assert_eq!(second.finish().await.unwrap(), StreamEnd::Done);
        check_complete(&request, &[&first, &second]).unwrap();
    });
}

#[test]
fn stream_of_a_lost_engine_is_gone() {
    let mut site = site(&["a", "b"], 2);
    let request = completion(&site, false);
    block_on(async {
        let stream = open_and_read(&site, &request).await;
        let engine = engine_of(&site, &stream);
        let id = stream.last_id.clone().unwrap();
        drop(stream);
        drop(site.engines.remove(engine));
        site.wait_endpoints().unwrap();
        let again = CompletionStream::open(site.routers()[1], &request, Some(&id)).await.unwrap();
        let problem = again.problem().unwrap();
        assert_eq!((problem.status, problem.verdict), (410, Some(Verdict::MayHaveRun)));
    });
}

#[test]
fn stream_of_another_organisation_or_request_is_not_resumed() {
    let site = site(&["a"], 1);
    let request = completion(&site, false);
    block_on(async {
        let stream = open_and_read(&site, &request).await;
        let id = stream.last_id.clone().unwrap();
        let router = site.routers()[0];
        let other = CompletionSpec {
            key: organisation_key(&site.spec.organisations[1]),
            ..request.clone()
        };
        let refused = CompletionStream::open(router, &other, Some(&id)).await.unwrap();
        assert_eq!(refused.problem().unwrap().status, 410);
        let other = CompletionSpec { prompt: "another prompt".into(), ..request.clone() };
        let refused = CompletionStream::open(router, &other, Some(&id)).await.unwrap();
        assert_eq!(refused.problem().unwrap().status, 409);
        check_finishes(&request, stream).await;
    });
}

#[test]
fn caller_disconnect_cancels_the_engines_work() {
    let site = site(&["a"], 1);
    let request = CompletionSpec { tokens: 100_000, ..completion(&site, false) };
    drop(block_on(open_and_read(&site, &request)));
    let engine = &site.engines[0].engine;
    wait_until("the work is cancelled", WAIT_TIMEOUT, || engine.counts().cancelled == 1).unwrap();
    assert!(engine.counts().generated < 1_000, "{:?}", engine.counts());
}

#[test]
fn chunks_of_another_request_are_dropped() {
    let site = start(SiteSpec {
        daemons: vec!["a"],
        engines: vec!["a"],
        tune: |cfg| cfg.sends_mismatched_chunks = true,
        ..SiteSpec::small()
    });
    for chat in [false, true] {
        let outcome = block_on(caller::complete(site.routers()[0], &completion(&site, chat)));
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    assert_eq!(metric(&site, "crossed_answers_dropped"), 2 * TOKENS);
}

/// Returns the sum of a counter over all organisations, as exported by host 0.
fn metric(site: &Site, name: &str) -> u64 {
    let url = format!("http://{}/metrics", site.daemons[0].spec().admin_listen);
    let page = attohttpc::get(url).send().unwrap().text().unwrap();
    let lines = page.lines().filter(|line| !line.starts_with('#') && line.contains(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

#[test]
fn caller_that_reads_nothing_slows_no_other_caller() {
    const MAX_GROWTH_KB: u64 = 32 << 10;
    let site = start(SiteSpec {
        daemons: vec!["a"],
        engines: vec!["a"],
        tune: |cfg| (cfg.decode_token, cfg.decode_share) = (Duration::ZERO, Duration::ZERO),
        ..SiteSpec::small()
    });
    let endless = CompletionSpec { tokens: 10_000_000, ..completion(&site, false) };
    let engine = &site.engines[0].engine;
    let before = resident_kb(site.daemons[0].pid());
    block_on(async {
        let _unread = open(&site, 0, &endless).await;
        let mut last = 0;
        wait_until("backpressure stops the engine", WAIT_TIMEOUT * 4, || {
            std::thread::sleep(Duration::from_millis(100));
            let generated = engine.counts().generated;
            std::mem::replace(&mut last, generated) == generated && 0 < generated
        })
        .unwrap();
        let outcome = caller::complete(site.routers()[0], &completion(&site, false)).await;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    });
    let growth = resident_kb(site.daemons[0].pid()).saturating_sub(before);
    assert!(growth < MAX_GROWTH_KB, "memory grew by {growth} kB");
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
