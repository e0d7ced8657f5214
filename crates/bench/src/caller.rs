//! A caller that checks what it gets.

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
    chunk::{Chunk, DONE},
    problem::{self, Problem},
    sse::{Event, Parser},
};

use crate::model::Generation;

/// Longest event taken.
const MAX_EVENT: ByteCount = ByteCount::new(1 << 20);

/// Time for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionSpec {
    /// The caller's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u64,
    /// Whether to ask by chat.
    pub chat: bool,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer to the request.
    Answered(Timing),
    /// A refusal or an explicit failure.
    Failed(Problem),
    /// An answer that ended early without saying so.
    Incomplete(String),
    /// An answer to something else.
    Crossed(String),
}

/// When the pieces of an answer arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timing {
    /// The request's id at the router.
    pub request: String,
    /// From sending the request to the first token.
    pub first_token: Duration,
    /// Between one token and the next.
    pub gaps: Vec<Duration>,
}

/// What a caller of a plain service got.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The service's answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A refusal or an explicit failure.
    Failed(Problem),
    /// No answer, so that nothing is known.
    Unknown(String),
}

impl CompletionSpec {
    /// Returns the request's body, for a streamed answer or a whole one.
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

    /// Returns the path that takes it.
    pub fn path(&self) -> &'static str {
        if self.chat { "/v1/chat/completions" } else { "/v1/completions" }
    }

    /// Returns the text that an engine takes as its prompt.
    pub fn text(&self) -> String {
        if self.chat { format!("user\n{}\n", self.prompt) } else { self.prompt.clone() }
    }

    /// Returns the tokens that answer it.
    pub fn expected(&self) -> Vec<String> {
        let text = self.text();
        let tokens = usize::try_from(self.tokens).unwrap_or(usize::MAX);
        Generation::after(text.as_bytes()).take(tokens).collect()
    }
}

/// Runs a caller on this thread.
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

/// Returns an id that no other request of this process has; engines tell streams apart by it.
fn new_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("caller-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Asks a router for a completion and checks the answer.
pub async fn complete(router: SocketAddr, ask: &CompletionSpec) -> Outcome {
    let begun = Instant::now();
    let req = Request::post(ask.path())
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {}", ask.key))
        .header("content-type", "application/json")
        .header("x-request-id", new_request_id())
        .body(Full::new(Bytes::from(ask.body(true).to_string())))
        .expect("the request's parts are valid");
    let answer = async {
        match send(router, req).await {
            Ok(response) if response.status().is_success() => {
                read_stream(response, ask, begun).await
            }
            Ok(response) => match read_problem(response).await {
                Ok(problem) => Outcome::Failed(problem),
                Err(e) => Outcome::Incomplete(e.to_string()),
            },
            Err(e) => Outcome::Incomplete(e.to_string()),
        }
    };
    let timeout = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    timeout.unwrap_or_else(|_| Outcome::Incomplete("no whole answer in time".into()))
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
    let answer = async {
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
    match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(e)) => CallOutcome::Unknown(e.to_string()),
        Err(_) => CallOutcome::Unknown("no answer in time".into()),
    }
}

impl CallOutcome {
    /// Returns the verdict that the caller was given, if any.
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

/// Sends a request over a connection of its own.
///
/// # Errors
///
/// Returns an error if there is no answer.
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

/// Checks each token of a stream against the expected ones.
async fn read_stream(
    response: Response<Incoming>,
    ask: &CompletionSpec,
    begun: Instant,
) -> Outcome {
    let mut body = response.into_body();
    let mut parser = Parser::new(MAX_EVENT);
    let mut expected = ask.expected().into_iter();
    let mut timing = Timing::default();
    let mut last = None;
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
            if let Some(outcome) = check(&event, &mut expected, &mut timing, &mut last, begun) {
                return outcome;
            }
        }
    }
    Outcome::Incomplete("the stream ended in silence".into())
}

/// Checks an event; returns the outcome if the stream ends with it.
fn check(
    event: &Event,
    expected: &mut impl Iterator<Item = String>,
    timing: &mut Timing,
    last: &mut Option<Instant>,
    begun: Instant,
) -> Option<Outcome> {
    if event.kind.as_deref() == Some("error") {
        return Some(match serde_json::from_str(&event.data) {
            Ok(problem) => Outcome::Failed(problem),
            Err(e) => Outcome::Incomplete(e.to_string()),
        });
    }
    if event.data == DONE {
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
    match last.replace(now) {
        None => timing.first_token = now.saturating_duration_since(begun),
        Some(before) => timing.gaps.push(now.saturating_duration_since(before)),
    }
    timing.request = request_of(&chunk);
    if expected.next().as_deref() != Some(text) {
        return Some(Outcome::Crossed(format!("unexpected token {text:?}")));
    }
    None
}

fn request_of(chunk: &Chunk<'_>) -> String {
    let id = chunk.id.as_ref();
    let id = id.strip_prefix("chatcmpl-").or_else(|| id.strip_prefix("cmpl-")).unwrap_or(id);
    id.to_owned()
}

/// Reads a JSON body of a whole answer.
///
/// # Errors
///
/// Returns an error if the body is cut or not JSON.
pub async fn read_json(response: Response<Incoming>) -> eyre::Result<Value> {
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
