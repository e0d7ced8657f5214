use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{BlockCount, EndpointId, Incarnation, ModelId, TokenCount, WeightsVersion};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use wire::{
    announcement::{EngineBody, LoadBody, ModelBody},
    chunk::DONE,
    kv_transfer::{self, KvTransfer},
    sse::Event,
};

use super::{
    cache::{BLOCK_TOKENS, BlockCache, Evicted, Lookup, block_hashes},
    kv::{self, KvName},
    server::{FakeBody, Server, streamed, whole},
    streams::{NotHeld, Reader, StreamKey, Streams},
};

/// Tokens generated if a request names no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Header that asks for the rest of a stream after some tokens.
const RESUME_AFTER: &str = "x-resume-after";

/// Type of the event that tells a reader that another one has taken its stream over.
const TAKEN_OVER: &str = "taken-over";

/// Pieces of an answer that wait for a slow reader.
const RING: usize = 16;

/// Fewest missing blocks for which another place is asked.
const MIN_FETCHED_BLOCKS: usize = 4;

/// Start of the prompt's line that names the organisation.
const ORGANISATION_LINE: &[u8] = b"organisation ";

/// How a fake engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Its name.
    pub id: EndpointId,
    /// The model it serves.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// Blocks that its cache holds.
    pub cache_blocks: usize,
    /// Time to prefill a token.
    pub prefill_token: Duration,
    /// Time between two tokens of a stream, without other streams.
    pub decode_token: Duration,
    /// Time that each other running stream adds to that.
    pub decode_share: Duration,
    /// Streams that run at once.
    pub max_running: usize,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Time to import a fetched block.
    pub import_block: Duration,
    /// Time for another place to answer before the prompt is computed.
    pub fetch_timeout: Duration,
    /// The store that takes evicted blocks.
    pub kept_kv: Option<SocketAddr>,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether each stream also carries chunks of another request.
    pub crosses_answers: bool,
}

impl EngineConfig {
    /// Returns the settings of a fast engine called `id`.
    pub fn new(id: EndpointId, model: ModelId, weights: WeightsVersion) -> Self {
        Self {
            id,
            model,
            weights,
            cache_blocks: 2_000,
            prefill_token: Duration::from_micros(100),
            decode_token: Duration::from_millis(5),
            decode_share: Duration::from_micros(100),
            max_running: 32,
            incarnation: Incarnation::new(1),
            import_block: Duration::from_micros(250),
            fetch_timeout: Duration::from_millis(200),
            kept_kv: None,
            checks_fencing: true,
            crosses_answers: false,
        }
    }
}

/// What all fake engines of a site count together.
#[derive(Debug, Default)]
pub struct Tally {
    /// Every block computed so far.
    pub computed: HashSet<u64>,
    /// The owner of each cache salt.
    pub salts: HashMap<String, String>,
    /// Requests whose salt was missing or belonged to another owner.
    pub wrong_salts: u64,
    /// Fetched blocks whose name was not that of the request.
    pub wrong_transfers: u64,
    /// Time from a request's arrival to its first token, by request id.
    pub first_tokens: HashMap<String, Duration>,
}

/// A tally that engines and the load generator share.
#[derive(Clone, Debug, Default)]
pub struct SharedTally(Arc<Mutex<Tally>>);

impl SharedTally {
    /// Locks the tally.
    pub fn lock(&self) -> MutexGuard<'_, Tally> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a fake engine counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Streams that ended before their end mark, since the reader had gone.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Prompt tokens that arrived.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens computed again.
    pub wasted_tokens: u64,
    /// Times that another place was asked for blocks.
    pub fetches: u64,
    /// Prompt tokens fetched, which then count as cached.
    pub fetched_tokens: u64,
}

/// A model engine with a prefix cache, prefill and decode times, and continuous batching.
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

struct State {
    cfg: EngineConfig,
    tally: SharedTally,
    slots: Semaphore,
    streams: Streams,
    inner: Mutex<Inner>,
}

struct Inner {
    cache: BlockCache,
    counts: EngineCounts,
    prefill_free: Instant,
    prefill_tokens: u64,
    running: u32,
    waiting: u32,
}

/// A request as the engine takes it.
struct Job {
    request: String,
    salt: String,
    prompt: Vec<u8>,
    chat: bool,
    /// Answers asked for.
    choices: u32,
    max_tokens: u64,
    transfer: Option<KvTransfer>,
    arrived: Instant,
}

impl Job {
    fn key(&self) -> StreamKey {
        StreamKey { request: self.request.clone(), salt: self.salt.clone() }
    }
}

impl Engine {
    /// Starts an engine.
    pub fn start(cfg: EngineConfig, tally: SharedTally) -> Self {
        let inner = Inner {
            cache: BlockCache::new(cfg.cache_blocks),
            counts: EngineCounts::default(),
            prefill_free: Instant::now(),
            prefill_tokens: 0,
            running: 0,
            waiting: 0,
        };
        let slots = Semaphore::new(cfg.max_running);
        let state = Arc::new(State {
            cfg,
            tally,
            slots,
            streams: Streams::default(),
            inner: Mutex::new(inner),
        });
        let handler = {
            let state = Arc::clone(&state);
            move |req| answer(Arc::clone(&state), req)
        };
        Self { server: Server::start(handler), state }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it counted.
    pub fn counts(&self) -> EngineCounts {
        self.state.lock().counts
    }

    /// Returns what it announces.
    pub fn describe(&self) -> EngineBody {
        self.state.describe()
    }

    /// Returns a function that gives what it announces, for as long as it runs.
    pub fn describer(&self) -> impl Fn() -> EngineBody + Send + 'static {
        let state = Arc::clone(&self.state);
        move || state.describe()
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn describe(&self) -> EngineBody {
        let inner = self.lock();
        EngineBody {
            models: vec![ModelBody {
                model: self.cfg.model.clone(),
                weights: self.cfg.weights.clone(),
                adapters: Vec::new(),
            }],
            checks_fencing: self.cfg.checks_fencing,
            block_tokens: TokenCount::new(BLOCK_TOKENS as u64),
            load: LoadBody {
                running: inner.running,
                waiting: inner.waiting,
                prefill_tokens: TokenCount::new(inner.prefill_tokens),
                cached_blocks: BlockCount::new(inner.cache.len() as u64),
            },
        }
    }

    /// Looks the prompt up and returns when its prefill will have ended.
    fn begin_prefill(&self, job: &Job) -> (Lookup, Instant) {
        let mut tally = self.tally.lock();
        check_salt(&mut tally, &self.cfg, job);
        let mut inner = self.lock();
        let lookup = inner.cache.take(&job.salt, &job.prompt, &mut tally.computed);
        inner.counts.requests += 1;
        inner.counts.prompt_tokens += lookup.prompt_tokens;
        inner.counts.cached_tokens += lookup.cached_tokens;
        inner.counts.wasted_tokens += lookup.wasted_tokens;
        let cold = lookup.prompt_tokens - lookup.cached_tokens;
        let span = self.cfg.prefill_token * u32::try_from(cold).unwrap_or(u32::MAX);
        inner.prefill_free = inner.prefill_free.max(Instant::now()) + span;
        inner.prefill_tokens += cold;
        let evicted = inner.cache.take_evicted();
        self.keep(evicted);
        (lookup, inner.prefill_free)
    }

    fn kv_name(&self, salt: &str) -> KvName {
        KvName {
            salt: salt.to_owned(),
            model: self.cfg.model.to_string(),
            weights: self.cfg.weights.to_string(),
        }
    }

    /// Gives blocks to another engine, if this one is what it asks for.
    fn export(&self, req: &Request<Incoming>, name: &KvName, blocks: &[u64]) -> Response<FakeBody> {
        let own = self.kv_name(&name.salt);
        if own != *name || !kv::is_for(req, self.cfg.id.as_str(), self.cfg.incarnation) {
            return whole(StatusCode::CONFLICT, "{}");
        }
        match self.lock().cache.leading(&name.salt, blocks) {
            0 => whole(StatusCode::NOT_FOUND, "{}"),
            held => kv::found(&own, held),
        }
    }

    /// Fetches the blocks that the request says another place holds and this engine lacks.
    ///
    /// Whatever goes wrong is a miss.
    async fn import(&self, job: &Job) {
        let Some(transfer) = &job.transfer else { return };
        let name = self.kv_name(&job.salt);
        let named = (transfer.salt.as_str(), transfer.model.as_str(), transfer.weights.as_str());
        if named != (&name.salt, &name.model, &name.weights) {
            return;
        }
        let mut blocks = block_hashes(&job.salt, &job.prompt);
        blocks.truncate(transfer.blocks.as_u64() as usize);
        let held = self.lock().cache.leading(&job.salt, &blocks);
        if blocks.len() - held < MIN_FETCHED_BLOCKS {
            return;
        }
        self.lock().counts.fetches += 1;
        let fetched = kv::fetch(transfer, &name, &blocks[held..], self.cfg.fetch_timeout).await;
        let Some((found, count)) = fetched else { return };
        if found != name {
            self.tally.lock().wrong_transfers += 1;
            return;
        }
        tokio::time::sleep(self.cfg.import_block * count as u32).await;
        let mut inner = self.lock();
        inner.counts.fetched_tokens += (count * BLOCK_TOKENS) as u64;
        inner.cache.import(&job.salt, &blocks[..held + count]);
        let evicted = inner.cache.take_evicted();
        self.keep(evicted);
    }

    /// Puts evicted blocks into the store, if there is one.
    fn keep(&self, evicted: Vec<Evicted>) {
        let Some(store) = self.cfg.kept_kv else { return };
        for evicted in evicted.chunk_by(|a, b| a.salt == b.salt) {
            let blocks = evicted.iter().map(|evicted| evicted.block).collect();
            let name = self.kv_name(&evicted[0].salt);
            let timeout = self.cfg.fetch_timeout;
            tokio::task::spawn_local(kv::put(store, name, blocks, timeout));
        }
    }

    fn decode_span(&self) -> Duration {
        let others = self.lock().running.saturating_sub(1);
        self.cfg.decode_token + self.cfg.decode_share * others
    }
}

/// Counts a salt that is missing, or that another owner uses.
///
/// The owner is the organisation that the prompt names, with the weights version.
fn check_salt(tally: &mut Tally, cfg: &EngineConfig, job: &Job) {
    let mut lines = job.prompt.split(|&byte| byte == b'\n');
    let named = lines.find(|line| line.starts_with(ORGANISATION_LINE)).unwrap_or_default();
    let owner = format!("{} {} {}", String::from_utf8_lossy(named), cfg.model, cfg.weights);
    let known = tally.salts.entry(job.salt.clone()).or_insert_with(|| owner.clone());
    if job.salt.is_empty() || *known != owner {
        tally.wrong_salts += 1;
    }
}

async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<FakeBody> {
    let arrived = Instant::now();
    if let Some((name, blocks)) = kv::parse(&req) {
        return state.export(&req, &name, &blocks);
    }
    let (parts, body) = req.into_parts();
    let request = parts.headers.get("x-request-id").and_then(|id| id.to_str().ok());
    let request = request.unwrap_or_default().to_owned();
    let chat = parts.uri.path() == "/v1/chat/completions";
    if !chat && parts.uri.path() != "/v1/completions" {
        return whole(StatusCode::NOT_FOUND, "{}");
    }
    let Ok(body) = body.collect().await else {
        return whole(StatusCode::BAD_REQUEST, "{}");
    };
    let Ok(fields) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return whole(StatusCode::BAD_REQUEST, "{}");
    };
    if fields["model"] != state.cfg.model.as_str() {
        return whole(StatusCode::NOT_FOUND, "{\"error\": \"unknown model\"}");
    }
    let job = Job {
        request,
        salt: fields["cache_salt"].as_str().unwrap_or_default().to_owned(),
        prompt: prompt_text(&fields),
        chat,
        choices: fields["n"].as_u64().and_then(|n| u32::try_from(n).ok()).unwrap_or(1),
        max_tokens: fields["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
        transfer: serde_json::from_value(fields[kv_transfer::FIELD].clone()).ok(),
        arrived,
    };
    let resume_after = parts.headers.get(RESUME_AFTER).and_then(|n| n.to_str().ok()?.parse().ok());
    let (tx, rx) = flume::bounded(RING);
    match resume_after {
        None => {
            tokio::task::spawn_local(generate(state, job, tx));
        }
        Some(after) => match state.streams.resume(job.key(), &job.prompt) {
            Ok(reader) => {
                tokio::task::spawn_local(resume(state, job, reader, after, tx));
            }
            Err(NotHeld::Gone) => return whole(StatusCode::GONE, "{\"error\": \"not held\"}"),
            Err(NotHeld::OtherPrompt) => {
                return whole(StatusCode::CONFLICT, "{\"error\": \"another prompt\"}");
            }
        },
    }
    streamed(rx)
}

/// Returns the text that the completion follows.
fn prompt_text(fields: &Value) -> Vec<u8> {
    if let Some(prompt) = fields["prompt"].as_str() {
        return prompt.as_bytes().to_vec();
    }
    let messages = fields["messages"].as_array().map(Vec::as_slice).unwrap_or_default();
    let continues = fields["continue_final_message"] == true;
    let (told, begun) = match messages.split_last() {
        Some((last, told)) if continues => (told, last["content"].as_str().unwrap_or_default()),
        _ => (messages, ""),
    };
    let mut text = String::new();
    for message in told {
        let role = message["role"].as_str().unwrap_or_default();
        let content = message["content"].as_str().unwrap_or_default();
        text.extend([role, "\n", content, "\n"]);
    }
    text.push_str(begun);
    text.into_bytes()
}

async fn generate(state: Arc<State>, job: Job, tx: flume::Sender<Bytes>) {
    state.lock().waiting += 1;
    let slot = state.slots.acquire().await;
    state.lock().waiting -= 1;
    state.import(&job).await;
    let (lookup, prefilled) = state.begin_prefill(&job);
    tokio::time::sleep_until(prefilled.into()).await;
    {
        let mut inner = state.lock();
        inner.prefill_tokens -= lookup.prompt_tokens - lookup.cached_tokens;
        inner.running += 1;
    }
    let limit = usize::try_from(job.max_tokens).unwrap_or(usize::MAX);
    let limit = limit.saturating_mul(job.choices as usize);
    let reader = state.streams.begin(job.key(), &job.prompt, job.choices, limit, lookup);
    run_stream(&state, &job, &reader, 0, &tx).await;
    drop(slot);
}

/// Sends the tokens after the first `after` ones of a stream that is still held.
async fn resume(
    state: Arc<State>,
    job: Job,
    reader: Reader,
    after: usize,
    tx: flume::Sender<Bytes>,
) {
    {
        let mut inner = state.lock();
        inner.counts.resumed += 1;
        inner.running += 1;
    }
    run_stream(&state, &job, &reader, after, &tx).await;
}

async fn run_stream(
    state: &State,
    job: &Job,
    reader: &Reader,
    after: usize,
    tx: &flume::Sender<Bytes>,
) {
    let whole = stream_tokens(state, job, reader, after, tx).await;
    state.streams.end(reader);
    let mut inner = state.lock();
    inner.running -= 1;
    if whole.is_none() {
        inner.counts.cancelled += 1;
    }
}

/// Sends the tokens; returns `None` if the reader has gone.
async fn stream_tokens(
    state: &State,
    job: &Job,
    reader: &Reader,
    after: usize,
    tx: &flume::Sender<Bytes>,
) -> Option<()> {
    for i in after..reader.limit {
        if tx.is_disconnected() {
            return None;
        }
        if state.streams.generated(reader, i).is_none() {
            let span = state.decode_span();
            if !span.is_zero() {
                tokio::time::sleep(span).await;
            }
            let generated = state.streams.generate(reader, i);
            state.lock().counts.generated += generated;
        }
        if !state.streams.is_current(reader) {
            let taken_over = Event { kind: Some(TAKEN_OVER.into()), ..Event::data("{}") };
            let _ = tx.try_send(taken_over.to_text().into());
            return None;
        }
        let token = state.streams.generated(reader, i)?;
        if i == 0 {
            let span = job.arrived.elapsed();
            state.tally.lock().first_tokens.entry(job.request.clone()).or_insert(span);
        }
        if state.cfg.crosses_answers {
            let stray = chunk("another-request", job.chat, 0, "stray");
            tx.send_async(Event::data(stray.to_string()).to_text().into()).await.ok()?;
        }
        let choice = i % reader.choices;
        let mut event = Event::data(chunk(&job.request, job.chat, choice, &token).to_string());
        event.id = Some((i + 1).to_string());
        tx.send_async(event.to_text().into()).await.ok()?;
    }
    let lookup = reader.lookup;
    let usage = json!({
        "prompt_tokens": lookup.prompt_tokens,
        "completion_tokens": reader.limit,
        "prompt_tokens_details": {"cached_tokens": lookup.cached_tokens},
    });
    let choices: Vec<_> =
        (0..job.choices).map(|index| json!({"index": index, "finish_reason": "length"})).collect();
    let last = json!({"id": job.request, "choices": choices, "usage": usage});
    tx.send_async(Event::data(last.to_string()).to_text().into()).await.ok()?;
    tx.send_async(Event::data(DONE).to_text().into()).await.ok()
}

fn chunk(request: &str, chat: bool, index: usize, token: &str) -> Value {
    if chat {
        let choice = json!({"index": index, "delta": {"content": token}, "finish_reason": null});
        return json!({"id": format!("chatcmpl-{request}"), "choices": [choice]});
    }
    let choice = json!({"index": index, "text": token, "finish_reason": null});
    json!({"id": format!("cmpl-{request}"), "choices": [choice]})
}
