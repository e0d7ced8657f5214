//! Routing and admission, with real daemons.

use std::{path::PathBuf, time::Duration};

use base::Incarnation;
use bench::{
    caller::{self, CompletionSpec, Outcome},
    declare::apply_declaration,
    fake::EngineConfig,
    process::{Program, wait_until},
    site::{Site, SiteSpec, organisation_key},
};
use futures_util::future::join_all;
use hyper::Method;
use wire::problem::Problem;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A prompt text long enough to fill several blocks.
const STYLE: &str = "house style: ";

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

fn start(spec: SiteSpec) -> Site {
    Site::start(&program(), spec).unwrap()
}

/// Runs a future on a current-thread runtime with a set of local tasks.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Returns an organisation's request; requests with the same `page` share a long prefix.
fn completion_for(
    site: &Site,
    organisation: usize,
    page: usize,
    question: usize,
) -> CompletionSpec {
    let organisation = &site.spec.organisations[organisation];
    let page = format!("{STYLE}page {page} ").repeat(60);
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation {organisation}\n{page}\nquestion {question}"),
        tokens: 4,
        chat: false,
    }
}

async fn send(site: &Site, host: usize, request: &CompletionSpec) -> Outcome {
    caller::complete(site.daemons[host].spec().listen, request).await
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(_))
}

/// Returns the number of requests that each engine has received.
fn requests(site: &Site) -> Vec<u64> {
    site.engines.iter().map(|node| node.engine.counts().requests).collect()
}

/// Returns the engines that received a request since `before`.
fn used_since(site: &Site, before: &[u64]) -> Vec<usize> {
    let now = requests(site);
    (0..now.len()).filter(|&i| before[i] < now[i]).collect()
}

fn cached_tokens(site: &Site) -> u64 {
    site.engines.iter().map(|node| node.engine.counts().cached_tokens).sum()
}

fn one_host() -> SiteSpec {
    SiteSpec { daemons: vec!["a"], voters: 1, ..SiteSpec::small() }
}

fn slow_engines(cfg: &mut EngineConfig) {
    cfg.max_running = 1;
    cfg.decode_token = Duration::from_millis(25);
}

#[test]
fn flood_of_one_organisation_leaves_another_its_share() {
    const FLOOD: usize = 200;
    const OTHERS: usize = 6;
    let spec = SiteSpec { engines: vec!["a", "a"], tune: slow_engines, ..one_host() };
    let site = start(spec);
    apply_declaration(&site, "[defaults]\nqueue-deadline = \"2s\"\n").unwrap();
    block_on(async {
        let flood = (0..FLOOD).map(|i| completion_for(&site, 0, i, i)).collect::<Vec<_>>();
        let flood = join_all(flood.iter().map(|request| send(&site, 0, request)));
        let others = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let others = (0..OTHERS).map(|i| completion_for(&site, 1, i, i)).collect::<Vec<_>>();
            join_all(others.iter().map(|request| send(&site, 0, request))).await
        };
        let (flood, others) = tokio::join!(flood, others);
        let refused = flood.iter().filter(|outcome| !is_answered(outcome)).count();
        assert!(0 < refused, "nothing was refused: the flood is below capacity");
        assert!(others.iter().all(is_answered), "{others:?}");
    });
}

#[test]
fn refused_completions_reach_no_engine_and_carry_retry_after() {
    const FLOOD: usize = 120;
    let spec = SiteSpec { engines: vec!["a"], tune: slow_engines, ..one_host() };
    let site = start(spec);
    apply_declaration(&site, "[defaults]\nqueue-deadline = \"200ms\"\n").unwrap();
    let responses = block_on(async {
        let flood = (0..FLOOD).map(|i| completion_for(&site, i % 8, i, i)).collect::<Vec<_>>();
        join_all(flood.iter().map(|request| read_response(&site, request))).await
    });
    let refused: Vec<_> = responses.iter().filter(|(status, ..)| *status == 429).collect();
    let answered = responses.iter().filter(|(status, ..)| *status == 200).count();
    assert!(!refused.is_empty(), "{responses:?}");
    assert_eq!(refused.len() + answered, FLOOD, "{responses:?}");
    for (_, retry_after, problem) in &refused {
        assert!(retry_after.is_some(), "{problem:?}");
        assert_eq!(problem.as_ref().and_then(|p| p.verdict), Some(base::Verdict::NotRun));
    }
    assert_eq!(requests(&site).iter().sum::<u64>(), answered as u64);
}

/// Returns a response's status, `Retry-After` and problem, after reading its body.
async fn read_response(
    site: &Site,
    request: &CompletionSpec,
) -> (u16, Option<String>, Option<Problem>) {
    use http_body_util::BodyExt as _;
    let router = site.daemons[0].spec().listen;
    let body = serde_json::json!({
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "stream": true,
    });
    let req = hyper::Request::post("/v1/completions")
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {}", request.key))
        .body(http_body_util::Full::new(body.to_string().into()))
        .unwrap();
    let (parts, body) = caller::send(router, req).await.unwrap().into_parts();
    let retry_after = parts.headers.get("retry-after").map(|v| v.to_str().unwrap().to_owned());
    let body = body.collect().await.unwrap().to_bytes();
    (parts.status.as_u16(), retry_after, serde_json::from_slice(&body).ok())
}

#[test]
fn organisation_over_its_concurrency_limit_is_refused_as_not_run() {
    let site = start(SiteSpec { tune: slow_engines, ..one_host() });
    apply_declaration(&site, "[defaults]\nmax-concurrent-requests = 2\n").unwrap();
    let outcomes = block_on(async {
        let requests = (0..6).map(|i| completion_for(&site, 0, i, i)).collect::<Vec<_>>();
        join_all(requests.iter().map(|request| send(&site, 0, request))).await
    });
    let answered = outcomes.iter().filter(|outcome| is_answered(outcome)).count() as u64;
    assert!((2..6).contains(&answered), "{outcomes:?}");
    assert_eq!(requests(&site).iter().sum::<u64>(), answered);
}

#[test]
fn drained_endpoints_get_no_new_requests() {
    let site = start(one_host());
    let drain = |scope: &str| {
        format!(
            "[[exceptions]]\nid = \"d\"\nreason = \"a test\"\nscope = {{ {scope} }}\n\
             set = {{ drain = true }}\n"
        )
    };
    let send = |page: usize| {
        block_on(async {
            for question in 0..4 {
                let request = completion_for(&site, question, page + question, question);
                assert!(is_answered(&send(&site, 0, &request).await));
            }
        });
    };
    for (scope, drained) in [("endpoint = \"engine-2\"", 1), ("data-centre = \"c\"", 2)] {
        apply_declaration(&site, &drain(scope)).unwrap();
        let before = requests(&site);
        (0..4).for_each(|i| send(i * 10));
        assert!(!used_since(&site, &before).contains(&drained), "{scope}");
    }
    apply_declaration(&site, &drain("endpoint = \"engine-1\"")).unwrap();
    let before = requests(&site);
    let all = |i: usize| send(100 + i * 10);
    (0..8).for_each(all);
    assert_eq!(
        used_since(&site, &before),
        [1, 2],
        "endpoints that are no longer drained get requests again"
    );
}

#[test]
fn routing_policy_changes_without_a_restart() {
    let site = start(one_host());
    let engines_of = |page: usize| {
        let before = requests(&site);
        block_on(async {
            for question in 0..6 {
                assert!(is_answered(
                    &send(&site, 0, &completion_for(&site, 0, page, question)).await
                ));
            }
        });
        used_since(&site, &before).len()
    };
    assert_eq!(engines_of(1), 1, "the engine with the cached prefix");
    apply_declaration(&site, "[defaults]\nrouting-policy = \"round-robin\"\n").unwrap();
    assert_eq!(engines_of(1), 3, "each engine in turn");
    apply_declaration(&site, "[defaults]\nrouting-policy = \"warm\"\n").unwrap();
    assert_eq!(engines_of(2), 1, "the engine that cached the first request's prefix");
}

#[test]
fn warmth_of_an_earlier_life_is_not_believed() {
    let mut site = start(one_host());
    let warm = {
        let before = requests(&site);
        let first = completion_for(&site, 0, 1, 0);
        assert!(block_on(async { is_answered(&send(&site, 0, &first).await) }));
        used_since(&site, &before)[0]
    };
    let explained = |site: &Site| -> u64 {
        let request = completion_for(site, 0, 1, 1);
        warm_tokens(site, &request).into_iter().max().unwrap_or(0)
    };
    assert!(0 < explained(&site));
    site.restart_engine(warm, Incarnation::new(2));
    wait_until("the new incarnation is known and has nothing cached", WAIT_TIMEOUT, || {
        explained(&site) == 0
    })
    .unwrap();
    let again = completion_for(&site, 0, 1, 2);
    assert!(block_on(async { is_answered(&send(&site, 0, &again).await) }));
}

/// Returns the number of a prompt's tokens that the router expects in each engine's cache.
fn warm_tokens(site: &Site, request: &CompletionSpec) -> Vec<u64> {
    let url =
        format!("http://{}{}", site.daemons[0].spec().admin_listen, wire::operator::EXPLAIN_PATH);
    let body = serde_json::json!({
        "organisation": site.spec.organisations[0],
        "model": site.spec.model,
        "input": {"prompt": request.prompt},
    });
    let response = attohttpc::post(url)
        .bearer_auth(bench::site::OPERATOR_KEY)
        .text(body.to_string())
        .send()
        .unwrap();
    let explained: Option<wire::operator::Explanation> =
        serde_json::from_str(&response.text().unwrap()).ok();
    explained
        .unwrap_or_default()
        .candidates
        .iter()
        .map(|candidate| candidate.warm_tokens.as_u64())
        .collect()
}

/// Waits until the first daemon routes to all engines; its pages may list them slightly earlier.
fn wait_candidates(site: &Site) {
    let probe = completion_for(site, 0, 0, 0);
    let all = || warm_tokens(site, &probe).len() == site.engines.len();
    wait_until("the router chooses among all engines", WAIT_TIMEOUT, all).unwrap();
}

#[test]
fn restarted_router_routes_to_the_endpoint_with_the_cached_prefix() {
    let mut site = start(SiteSpec::small());
    wait_candidates(&site);
    let pages = 0..6;
    block_on(async {
        for page in pages.clone() {
            assert!(is_answered(&send(&site, 0, &completion_for(&site, 0, page, 0)).await));
        }
    });
    site.daemons[0].restart().unwrap();
    site.daemons[0].wait_ready(WAIT_TIMEOUT).unwrap();
    wait_candidates(&site);
    let before = cached_tokens(&site);
    block_on(async {
        for page in pages.clone() {
            assert!(is_answered(&send(&site, 0, &completion_for(&site, 0, page, 1)).await));
        }
    });
    let prompt_tokens = pages.map(|page| completion_for(&site, 0, page, 1).prompt.len() as u64 / 4);
    let all: u64 = prompt_tokens.sum();
    let cached = cached_tokens(&site) - before;
    assert!(all * 9 / 10 <= cached, "{cached} of {all} tokens were cached");
}

#[test]
fn late_status_lookup_is_hedged_at_a_second_endpoint_and_a_claimed_call_is_not() {
    let site = start(one_host());
    apply_declaration(&site, "[defaults]\nhedge-delay = \"100ms\"\n").unwrap();
    let held = bench::Fault { hold_responses: true, ..bench::Fault::default() };
    site.services[0].proxy.set(held);
    let key = organisation_key(&site.spec.organisations[0]);
    let router = site.daemons[0].spec().listen;
    block_on(async {
        for i in 0..4 {
            let path = format!("/services/orders/orders/{i}");
            let outcome = caller::call(router, Method::GET, &path, &key, None, "").await;
            let answered = matches!(outcome, caller::CallOutcome::Answered { status: 200, .. });
            assert!(answered, "{outcome:?}");
        }
    });
    let orders = (0..4).map(|i| format!("order-{i}")).collect::<Vec<_>>();
    block_on(async {
        let calls = orders.iter().map(|order| {
            caller::call(router, Method::POST, "/services/orders/orders", &key, Some(order), "{}")
        });
        let calls = join_all(calls);
        let _ = tokio::time::timeout(Duration::from_millis(800), calls).await;
    });
    assert!(orders.iter().all(|order| site.orders.runs(order) <= 1));
}
