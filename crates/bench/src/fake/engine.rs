//! A fake engine: its state and its request handler.

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
    server::{FakeBody, Server, full_response, streaming_response},
    streams::{ResumeError, Streams},
};

/// Header with the number of tokens after which a stream is resumed.
const RESUME_AFTER_HEADER: &str = "x-resume-after";

/// Chunks of a response buffered for a slow reader.
const RESPONSE_BUFFER_CHUNKS: usize = 16;

/// Configuration of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Its endpoint id.
    pub id: EndpointId,
    /// The model it serves.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// Capacity of its cache, in blocks.
    pub cache_blocks: usize,
    /// Prefill time per token.
    pub prefill_token: Duration,
    /// Time between two tokens of a stream that runs alone.
    pub decode_token: Duration,
    /// Time between tokens that each other running stream adds.
    pub decode_share: Duration,
    /// Maximum number of concurrent streams.
    pub max_running: usize,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Import time per fetched block.
    pub import_block: Duration,
    /// Timeout of a fetch, after which the blocks are computed here.
    pub fetch_timeout: Duration,
    /// Address of the store that evicted blocks are put into.
    pub kv_store: Option<SocketAddr>,
    /// Whether it refuses a load order with an old fencing token.
    pub checks_fencing: bool,
    /// Whether it mixes chunks of another request into each stream.
    pub sends_mismatched_chunks: bool,
}

impl EngineConfig {
    /// Returns the configuration of a fast engine with this id.
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

/// State that the tasks of an engine share.
pub(super) struct State {
    pub cfg: EngineConfig,
    pub tally: SharedTally,
    pub slots: Semaphore,
    pub streams: Streams,
    inner: Mutex<Inner>,
}

/// Mutable state of an engine.
pub(super) struct Inner {
    pub cache: BlockCache,
    pub counts: EngineCounts,
    pub prefill_tokens: u64,
    pub running: u32,
    pub waiting: u32,
    prefill_free_at: Instant,
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
            prefill_free_at: Instant::now(),
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
            move |req| handle_request(Arc::clone(&state), req)
        };
        Self { server: Server::start(handler), state }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its counters.
    pub fn counts(&self) -> EngineCounts {
        self.state.lock().counts
    }

    /// Returns the engine part of its announcement.
    pub fn describe(&self) -> EngineBody {
        self.state.describe()
    }

    /// Returns a function that returns the current engine part of its announcement.
    pub fn describer(&self) -> impl Fn() -> EngineBody + Send + 'static {
        let state = Arc::clone(&self.state);
        move || state.describe()
    }
}

impl State {
    /// Locks the mutable state.
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks the prompt up in the cache and returns when its prefill will have ended.
    pub(super) fn begin_prefill(&self, job: &Job) -> (Lookup, Instant) {
        let mut tally = self.tally.lock();
        tally.check_salt(&self.cfg, &job.salt, &job.prompt);
        let mut inner = self.lock();
        let lookup = inner.cache.lookup_and_insert(&job.salt, &job.prompt, &mut tally.computed);
        inner.counts.requests += 1;
        inner.counts.prompt_tokens += lookup.prompt_tokens;
        inner.counts.cached_tokens += lookup.cached_tokens;
        inner.counts.wasted_tokens += lookup.wasted_tokens;
        let uncached_tokens = lookup.prompt_tokens - lookup.cached_tokens;
        let prefill_time =
            self.cfg.prefill_token * u32::try_from(uncached_tokens).unwrap_or(u32::MAX);
        inner.prefill_free_at = inner.prefill_free_at.max(Instant::now()) + prefill_time;
        inner.prefill_tokens += uncached_tokens;
        let evicted = inner.cache.take_evicted();
        self.store_evicted(evicted);
        (lookup, inner.prefill_free_at)
    }

    /// Returns the time to the next token of a stream, given the streams that run now.
    pub(super) fn decode_delay(&self) -> Duration {
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

async fn handle_request(state: Arc<State>, req: Request<Incoming>) -> Response<FakeBody> {
    let arrived_at = Instant::now();
    if let Some((name, blocks)) = kv::parse(&req) {
        return state.export(&req, &name, &blocks);
    }
    let (parts, body) = req.into_parts();
    if !job::is_completion(&parts) {
        return full_response(StatusCode::NOT_FOUND, "{}");
    }
    let Ok(body) = body.collect().await else {
        return full_response(StatusCode::BAD_REQUEST, "{}");
    };
    let Ok(fields) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return full_response(StatusCode::BAD_REQUEST, "{}");
    };
    if fields["model"] != state.cfg.model.as_str() {
        return full_response(StatusCode::NOT_FOUND, "{\"error\": \"unknown model\"}");
    }
    let job = Job::new(&parts, &fields, arrived_at);
    match resume_after(&parts) {
        None => start_stream(state, job),
        Some(after) => resume_stream(state, job, after),
    }
}

/// Returns the number of tokens after which the request resumes a stream, if it does.
fn resume_after(parts: &Parts) -> Option<usize> {
    parts.headers.get(RESUME_AFTER_HEADER).and_then(|n| n.to_str().ok()?.parse().ok())
}

fn start_stream(state: Arc<State>, job: Job) -> Response<FakeBody> {
    let (tx, rx) = flume::bounded(RESPONSE_BUFFER_CHUNKS);
    tokio::task::spawn_local(generate(state, job, tx));
    streaming_response(rx)
}

fn resume_stream(state: Arc<State>, job: Job, after: usize) -> Response<FakeBody> {
    let reader = match state.streams.resume(job.key(), &job.prompt) {
        Ok(reader) => reader,
        Err(ResumeError::Gone) => {
            return full_response(StatusCode::GONE, "{\"error\": \"not held\"}");
        }
        Err(ResumeError::OtherPrompt) => {
            return full_response(StatusCode::CONFLICT, "{\"error\": \"another prompt\"}");
        }
    };
    let (tx, rx) = flume::bounded(RESPONSE_BUFFER_CHUNKS);
    tokio::task::spawn_local(resume(state, job, reader, after, tx));
    streaming_response(rx)
}
