//! A fake caller that checks the responses it receives.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use base::{ByteCount, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use wire::{
    chunk::{Chunk, DONE_MARKER},
    problem::{self, Problem},
    sse::{Event, Parser},
};

use crate::model::Generation;

/// Longest accepted event of a stream.
const MAX_EVENT_BYTES: ByteCount = ByteCount::new(1 << 20);

/// Time limit of a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A completion to request.
#[derive(Clone, Debug)]
pub struct CompletionSpec {
    /// The caller's API key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u64,
    /// Whether to use the chat API.
    pub chat: bool,
}

/// Outcome of a completion request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete and correct response.
    Answered(Timing),
    /// A refusal or an explicit failure.
    Failed(Problem),
    /// A response that ended early without an explicit failure.
    Incomplete(String),
    /// A response to another request.
    Mismatched(String),
}

/// Arrival times of a response's tokens.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timing {
    /// The request's id at the router.
    pub request_id: String,
    /// Time to first token, from sending the request.
    pub first_token: Duration,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Outcome of a call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The service's response.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A refusal or an explicit failure.
    Failed(Problem),
    /// No response, so it is unknown whether the call ran.
    Unknown(String),
}

impl CompletionSpec {
    /// Returns the request's body, for a streamed response or a single one.
    pub fn body(&self, stream: bool) -> Value {
        let mut fields = json!({
            "model": self.model,
            "max_tokens": self.tokens,
            "stream": stream,
        });
        if self.chat {
            fields["messages"] = json!([{"role": "user", "content": self.prompt}]);
        } else {
            fields["prompt"] = self.prompt.clone().into();
        }
        fields
    }

    /// Returns the request's path.
    pub fn path(&self) -> &'static str {
        if self.chat { "/v1/chat/completions" } else { "/v1/completions" }
    }

    /// Returns the prompt text that an engine sees.
    pub fn text(&self) -> String {
        if self.chat { format!("user\n{}\n", self.prompt) } else { self.prompt.clone() }
    }

    /// Returns the tokens of the correct response.
    pub fn expected(&self) -> Vec<String> {
        let text = self.text();
        let tokens = usize::try_from(self.tokens).unwrap_or(usize::MAX);
        Generation::after(text.as_bytes()).take(tokens).collect()
    }
}

/// Runs a caller's future to completion on this thread.
///
/// # Panics
///
/// Panics if no runtime can be made.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Returns an id that is unique in this process; engines tell streams apart by it.
fn new_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("caller-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Requests a completion from a router and checks the response.
pub async fn complete(router: SocketAddr, spec: &CompletionSpec) -> Outcome {
    let started = Instant::now();
    let req = Request::post(spec.path())
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {}", spec.key))
        .header("content-type", "application/json")
        .header("x-request-id", new_request_id())
        .body(Full::new(Bytes::from(spec.body(true).to_string())))
        .expect("the request's parts are valid");
    let response = async {
        match send(router, req).await {
            Ok(response) if response.status().is_success() => {
                read_stream(response, spec, started).await
            }
            Ok(response) => match read_problem(response).await {
                Ok(problem) => Outcome::Failed(problem),
                Err(e) => Outcome::Incomplete(e.to_string()),
            },
            Err(e) => Outcome::Incomplete(e.to_string()),
        }
    };
    let timeout = tokio::time::timeout(RESPONSE_TIMEOUT, response).await;
    timeout.unwrap_or_else(|_| Outcome::Incomplete("the response was not complete in time".into()))
}

/// Calls a plain service through a router.
pub async fn call(
    router: SocketAddr,
    method: Method,
    path: &str,
    key: &str,
    idempotency_key: Option<&str>,
    body: &str,
) -> CallOutcome {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {key}"));
    if let Some(idempotency_key) = idempotency_key {
        req = req.header("idempotency-key", idempotency_key);
    }
    let req = req.body(Full::new(Bytes::from(body.to_owned()))).expect("valid parts");
    let response = async {
        let response = send(router, req).await?;
        let status = response.status().as_u16();
        let problem = response.headers().get("content-type").is_some_and(is_problem);
        if problem {
            return Ok(CallOutcome::Failed(read_problem(response).await?));
        }
        let body = response.into_body().collect().await?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        eyre::Ok(CallOutcome::Answered { status, body })
    };
    match tokio::time::timeout(RESPONSE_TIMEOUT, response).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(e)) => CallOutcome::Unknown(e.to_string()),
        Err(_) => CallOutcome::Unknown("no response in time".into()),
    }
}

impl CallOutcome {
    /// Returns the call's verdict, if the caller received one.
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Failed(problem) => problem.verdict,
            Self::Answered { .. } => Some(Verdict::Ran),
            Self::Unknown(_) => None,
        }
    }
}

fn is_problem(content_type: &hyper::header::HeaderValue) -> bool {
    content_type == problem::CONTENT_TYPE
}

/// Sends a request over a new connection.
///
/// # Errors
///
/// Returns an error if there is no response.
pub async fn send(
    router: SocketAddr,
    req: Request<Full<Bytes>>,
) -> eyre::Result<Response<Incoming>> {
    let stream = TcpStream::connect(router).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(driver);
    Ok(sender.send_request(req).await?)
}

pub(crate) async fn read_problem(response: Response<Incoming>) -> eyre::Result<Problem> {
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}

/// Reads a stream and compares each token with the expected one.
async fn read_stream(
    response: Response<Incoming>,
    spec: &CompletionSpec,
    started: Instant,
) -> Outcome {
    let mut body = response.into_body();
    let mut parser = Parser::new(MAX_EVENT_BYTES);
    let mut expected = spec.expected().into_iter();
    let mut timing = Timing::default();
    let mut last_token_at = None;
    let mut events = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) => return Outcome::Incomplete(e.to_string()),
        };
        let Ok(data) = frame.into_data() else { continue };
        if let Err(e) = parser.push(&data, &mut events) {
            return Outcome::Incomplete(e.to_string());
        }
        for event in events.drain(..) {
            if let Some(outcome) =
                check_event(&event, &mut expected, &mut timing, &mut last_token_at, started)
            {
                return outcome;
            }
        }
    }
    Outcome::Incomplete("the stream ended without an end marker or a failure".into())
}

/// Checks an event; returns the outcome if it ends the stream.
fn check_event(
    event: &Event,
    expected: &mut impl Iterator<Item = String>,
    timing: &mut Timing,
    last_token_at: &mut Option<Instant>,
    started: Instant,
) -> Option<Outcome> {
    if event.kind.as_deref() == Some("error") {
        return Some(match serde_json::from_str(&event.data) {
            Ok(problem) => Outcome::Failed(problem),
            Err(e) => Outcome::Incomplete(e.to_string()),
        });
    }
    if event.data == DONE_MARKER {
        return Some(match expected.next() {
            Some(_) => Outcome::Incomplete("tokens are missing at the end".into()),
            None => Outcome::Answered(std::mem::take(timing)),
        });
    }
    let chunk = match Chunk::parse(&event.data) {
        Ok(chunk) => chunk,
        Err(e) => return Some(Outcome::Incomplete(e.to_string())),
    };
    let text = chunk.text().filter(|text| !text.is_empty())?;
    let now = Instant::now();
    match last_token_at.replace(now) {
        None => timing.first_token = now.saturating_duration_since(started),
        Some(before) => timing.gaps.push(now.saturating_duration_since(before)),
    }
    timing.request_id = request_id(&chunk);
    if expected.next().as_deref() != Some(text) {
        return Some(Outcome::Mismatched(format!("unexpected token {text:?}")));
    }
    None
}

fn request_id(chunk: &Chunk<'_>) -> String {
    let id = chunk.id.as_ref();
    let id = id.strip_prefix("chatcmpl-").or_else(|| id.strip_prefix("cmpl-")).unwrap_or(id);
    id.to_owned()
}

/// Reads the JSON body of a response.
///
/// # Errors
///
/// Returns an error if the body is truncated or not JSON.
pub async fn read_json(response: Response<Incoming>) -> eyre::Result<Value> {
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
