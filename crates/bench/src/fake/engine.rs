//! A fake engine: what it holds, and how it takes requests.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{BlockCount, EndpointId, Incarnation, ModelId, TokenCount, WeightsVersion};
use http_body_util::BodyExt as _;
use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use serde_json::Value;
use tokio::sync::Semaphore;
use wire::announcement::{EngineBody, LoadBody, ModelBody};

use super::{
    EngineCounts, SharedTally,
    cache::{BLOCK_TOKENS, BlockCache, Lookup},
    generation::{generate, resume},
    job::{self, Job},
    kv,
    server::{FakeBody, Server, streamed, whole},
    streams::{NotHeld, Streams},
};

/// Header that asks for the rest of a stream after some tokens.
const RESUME_AFTER: &str = "x-resume-after";

/// Pieces of an answer that wait for a slow reader.
const RING: usize = 16;

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
    pub kv_store: Option<SocketAddr>,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether each stream also carries chunks of another request.
    pub sends_mismatched_chunks: bool,
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
            kv_store: None,
            checks_fencing: true,
            sends_mismatched_chunks: false,
        }
    }
}

/// A model engine with a prefix cache, prefill and decode times, and continuous batching.
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

/// What the tasks of an engine share.
pub(super) struct State {
    pub cfg: EngineConfig,
    pub tally: SharedTally,
    pub slots: Semaphore,
    pub streams: Streams,
    inner: Mutex<Inner>,
}

/// What changes while an engine runs.
pub(super) struct Inner {
    pub cache: BlockCache,
    pub counts: EngineCounts,
    pub prefill_tokens: u64,
    pub running: u32,
    pub waiting: u32,
    prefill_free: Instant,
}

impl Engine {
    /// Starts an engine.
    pub fn start(cfg: EngineConfig, tally: SharedTally) -> Self {
        let inner = Inner {
            cache: BlockCache::new(cfg.cache_blocks),
            counts: EngineCounts::default(),
            prefill_tokens: 0,
            running: 0,
            waiting: 0,
            prefill_free: Instant::now(),
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
    /// Locks what changes.
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks the prompt up and returns when its prefill will have ended.
    pub(super) fn begin_prefill(&self, job: &Job) -> (Lookup, Instant) {
        let mut tally = self.tally.lock();
        tally.check_salt(&self.cfg, &job.salt, &job.prompt);
        let mut inner = self.lock();
        let lookup = inner.cache.lookup_and_insert(&job.salt, &job.prompt, &mut tally.computed);
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

    /// Returns the time to the next token of a stream, beside the others that run.
    pub(super) fn decode_span(&self) -> Duration {
        let others = self.lock().running.saturating_sub(1);
        self.cfg.decode_token + self.cfg.decode_share * others
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
}

async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<FakeBody> {
    let arrived = Instant::now();
    if let Some((name, blocks)) = kv::parse(&req) {
        return state.export(&req, &name, &blocks);
    }
    let (parts, body) = req.into_parts();
    if !job::is_completion(&parts) {
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
    let job = Job::new(&parts, &fields, arrived);
    match resume_after(&parts) {
        None => begin(state, job),
        Some(after) => take_over(state, job, after),
    }
}

/// Returns after how many tokens a stream should go on, if a request asks for that.
fn resume_after(parts: &Parts) -> Option<usize> {
    parts.headers.get(RESUME_AFTER).and_then(|n| n.to_str().ok()?.parse().ok())
}

fn begin(state: Arc<State>, job: Job) -> Response<FakeBody> {
    let (tx, rx) = flume::bounded(RING);
    tokio::task::spawn_local(generate(state, job, tx));
    streamed(rx)
}

fn take_over(state: Arc<State>, job: Job, after: usize) -> Response<FakeBody> {
    let reader = match state.streams.resume(job.key(), &job.prompt) {
        Ok(reader) => reader,
        Err(NotHeld::Gone) => return whole(StatusCode::GONE, "{\"error\": \"not held\"}"),
        Err(NotHeld::OtherPrompt) => {
            return whole(StatusCode::CONFLICT, "{\"error\": \"another prompt\"}");
        }
    };
    let (tx, rx) = flume::bounded(RING);
    tokio::task::spawn_local(resume(state, job, reader, after, tx));
    streamed(rx)
}
