//! Transfer of cached KV blocks: only within their namespace, and without failing the request.

use std::{path::PathBuf, time::Duration};

use base::{Incarnation, Verdict};
use bench::{
    Fault, Proxy,
    caller::{self, CompletionSpec, Outcome},
    declare::apply_declaration,
    fake::{Engine, EngineConfig, EngineCounts, KvStore, SharedTally, block_hashes},
    process::{Program, wait_until},
    site::{Site, SiteSpec, organisation_key},
};
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use wire::problem::Problem;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const SALT: &str = "00000000000000aa";
const PROMPT_BLOCKS: u64 = 20;
const BLOCK_TOKENS: u64 = 16;

/// Runs a future on a current-thread runtime with a set of local tasks.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

fn prompt() -> String {
    (0..PROMPT_BLOCKS).map(|n| format!("{n:064}")).collect()
}

fn config(id: &str, tune: impl Fn(&mut EngineConfig)) -> EngineConfig {
    let [model, weights] = ["m", "v1"];
    let model = model.parse().unwrap();
    let mut cfg = EngineConfig::new(id.parse().unwrap(), model, weights.parse().unwrap());
    cfg.decode_token = Duration::ZERO;
    tune(&mut cfg);
    cfg
}

/// Sends an engine a completion request as a router does, and returns the response's status.
fn send_to_engine(engine: &Engine, salt: &str, prompt: &str, params: Option<&Value>) -> StatusCode {
    let mut body = json!({"model": "m", "prompt": prompt, "cache_salt": salt, "max_tokens": 1});
    if let Some(params) = params {
        body["kv_transfer_params"] = params.clone();
    }
    let req = Request::post("/v1/completions").header("host", "engine");
    let req = req.body(Full::new(body.to_string().into())).unwrap();
    block_on(async {
        let response = caller::send(engine.address(), req).await.unwrap();
        let status = response.status();
        let text = response.into_body().collect().await.unwrap().to_bytes();
        assert!(String::from_utf8_lossy(&text).contains("[DONE]"));
        status
    })
}

/// Changes to a transfer that would otherwise succeed.
struct TransferCase {
    /// The engine that holds the blocks.
    source: fn(&mut EngineConfig),
    /// The transfer parameters of the request to the engine that lacks them.
    params: fn(&mut Value),
    /// The cache salt of the request to the engine that lacks them.
    salt: &'static str,
    /// The network fault on the connection to the source.
    fault: Fault,
}

impl Default for TransferCase {
    fn default() -> Self {
        Self { source: |_| {}, params: |_| {}, salt: SALT, fault: Fault::default() }
    }
}

/// Runs a transfer and returns the counts of the fetching engine.
fn run_transfer(case: &TransferCase) -> EngineCounts {
    let tally = SharedTally::default();
    let source = Engine::start(config("engine-1", case.source), SharedTally::default());
    let proxy = Proxy::start(source.address(), 1);
    send_to_engine(&source, SALT, &prompt(), None);
    proxy.set(case.fault.clone());
    let fetching = Engine::start(config("engine-2", |_| {}), tally.clone());
    let mut params = json!({
        "endpoint": "engine-1", "incarnation": 1, "address": proxy.address().to_string(),
        "salt": SALT, "model": "m", "weights": "v1", "blocks": PROMPT_BLOCKS,
    });
    (case.params)(&mut params);
    assert_eq!(send_to_engine(&fetching, case.salt, &prompt(), Some(&params)), StatusCode::OK);
    assert_eq!(tally.lock().wrong_transfers, 0);
    fetching.counts()
}

macro_rules! fetches {
    ($($name:ident: $case:expr => $blocks:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(run_transfer(&$case).fetched_tokens, $blocks * BLOCK_TOKENS);
        }
    )*};
}

fetches! {
    matching_namespace_fetches_the_blocks: TransferCase::default() => PROMPT_BLOCKS;
    block_count_in_the_params_limits_the_fetch:
        TransferCase { params: |p| p["blocks"] = 12.into(), ..TransferCase::default() } => 12;
    another_incarnation_is_a_miss: TransferCase {
        source: |cfg| cfg.incarnation = Incarnation::new(2),
        ..TransferCase::default()
    } => 0;
    another_endpoint_at_the_address_is_a_miss: TransferCase {
        source: |cfg| cfg.id = "engine-9".parse().unwrap(),
        ..TransferCase::default()
    } => 0;
    other_weights_at_the_source_are_a_miss: TransferCase {
        source: |cfg| cfg.weights = "v2".parse().unwrap(),
        ..TransferCase::default()
    } => 0;
    other_weights_in_the_request_are_a_miss:
        TransferCase { params: |p| p["weights"] = "v0".into(), ..TransferCase::default() } => 0;
    another_organisation_is_a_miss:
        TransferCase { salt: "00000000000000bb", ..TransferCase::default() } => 0;
    another_organisation_with_its_own_salt_in_the_params_is_a_miss: TransferCase {
        salt: "00000000000000bb",
        params: |p| p["salt"] = "00000000000000bb".into(),
        ..TransferCase::default()
    } => 0;
    unreachable_source_is_a_miss: TransferCase {
        fault: Fault { refuse: true, ..Fault::default() },
        ..TransferCase::default()
    } => 0;
    unresponsive_source_is_a_miss: TransferCase {
        fault: Fault { hold_responses: true, ..Fault::default() },
        ..TransferCase::default()
    } => 0;
}

#[test]
fn store_returns_evicted_blocks_only_within_their_namespace() {
    let store = KvStore::start(1_000);
    let address = store.address();
    let small = move |cfg: &mut EngineConfig| {
        cfg.cache_blocks = PROMPT_BLOCKS as usize;
        cfg.kv_store = Some(address);
    };
    let engine = Engine::start(config("engine-1", small), SharedTally::default());
    send_to_engine(&engine, SALT, &prompt(), None);
    send_to_engine(&engine, SALT, &prompt().replace('0', "x"), None);
    wait_until("the evicted blocks are stored", WAIT_TIMEOUT, || {
        store.counts().held == PROMPT_BLOCKS
    })
    .unwrap();
    let hashes = block_hashes(SALT, prompt().as_bytes());
    let hashes: Vec<_> = hashes.iter().map(|hash| format!("{hash:016x}")).collect();
    let status = |salt: &str, weights: &str| {
        let url = format!("http://{address}/kv/{salt}/{}", hashes.join(","));
        let req = attohttpc::get(url).header("x-kv-model", "m").header("x-kv-weights", weights);
        req.send().unwrap().status().as_u16()
    };
    assert_eq!(status(SALT, "v1"), 200);
    assert_eq!(status("00000000000000bb", "v1"), 404);
    assert_eq!(status(SALT, "v2"), 404);
    assert_eq!(store.counts().hits, 1);
}

fn start(spec: SiteSpec, kv_transfer: &str) -> Site {
    let program =
        Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] };
    let spec = SiteSpec { daemons: vec!["a"], voters: 1, ..spec };
    let site = Site::start(&program, spec).unwrap();
    apply_declaration(&site, &format!("[defaults]\nkv-transfer = \"{kv_transfer}\"\n")).unwrap();
    site
}

/// Sends the router a completion request; requests for the same `page` share 18 blocks.
fn send_completion(site: &Site, page: usize, question: usize) {
    let organisation = &site.spec.organisations[0];
    let page = format!("house style: page {page} ").repeat(60);
    let request = CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation 0\n{page}\nquestion {question}"),
        tokens: 2,
        chat: false,
    };
    let outcome = block_on(caller::complete(site.daemons[0].spec().listen, &request));
    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
}

fn counts(site: &Site) -> EngineCounts {
    let counts = site.engines.iter().map(|node| node.engine.counts());
    counts.fold(EngineCounts::default(), |sum, counts| sum.plus(&counts))
}

/// Returns the counts of an engine that gets a page again after evicting its blocks.
fn counts_after_eviction(kv_transfer: &str) -> EngineCounts {
    let tune = |cfg: &mut EngineConfig| cfg.cache_blocks = 30;
    let spec = SiteSpec { engines: vec!["a"], kv_store: Some("a"), tune, ..SiteSpec::small() };
    let site = start(spec, kv_transfer);
    send_completion(&site, 0, 0);
    send_completion(&site, 1, 0);
    let store = &site.kv_store.as_ref().unwrap().store;
    wait_until("evicted blocks are stored", WAIT_TIMEOUT, || store.counts().held != 0).unwrap();
    send_completion(&site, 0, 1);
    assert_eq!(site.tally.lock().wrong_transfers, 0);
    counts(&site)
}

#[test]
fn evicted_blocks_are_fetched_from_the_store() {
    let (without, with) = (counts_after_eviction("off"), counts_after_eviction("store"));
    assert_eq!(without.fetched_tokens, 0);
    assert!(0 < with.fetched_tokens, "{with:?}");
    assert!(with.wasted_tokens < without.wasted_tokens, "{with:?}, without {without:?}");
}

#[test]
fn engine_fetches_blocks_from_a_drained_neighbour() {
    let spec = SiteSpec { engines: vec!["a", "a"], ..SiteSpec::small() };
    let site = start(spec, "neighbour");
    send_completion(&site, 0, 0);
    let first = site.engines.iter().position(|node| node.engine.counts().requests != 0).unwrap();
    let drain = format!(
        "[defaults]\nkv-transfer = \"neighbour\"\n\
         [[exceptions]]\nid = \"d\"\nreason = \"a test\"\n\
         scope = {{ endpoint = \"engine-{}\" }}\nset = {{ drain = true }}\n",
        first + 1
    );
    apply_declaration(&site, &drain).unwrap();
    send_completion(&site, 0, 1);
    assert!(0 < site.engines[1 - first].engine.counts().fetched_tokens, "{:?}", counts(&site));
}

#[test]
fn callers_cannot_reach_the_kv_store() {
    let site = start(SiteSpec { kv_store: Some("a"), ..SiteSpec::small() }, "both");
    let router = site.daemons[0].spec().listen;
    let url = format!("http://{router}/services/kept-kv/kv/{SALT}/00");
    let key = organisation_key(&site.spec.organisations[0]);
    let req = attohttpc::get(url).bearer_auth(key);
    let req = req.header("x-kv-model", "m").header("x-kv-weights", "v1");
    let response = req.send().unwrap();
    assert_eq!(response.status().as_u16(), 404);
    let problem: Problem = serde_json::from_str(&response.text().unwrap()).unwrap();
    assert_eq!(problem.verdict, Some(Verdict::NotRun), "the router refuses, not the store");
    assert_eq!(site.kv_store.as_ref().unwrap().store.counts().gets, 0);
}
