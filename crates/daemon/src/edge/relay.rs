use std::{rc::Rc, time::Duration};

use base::{
    ByteCount, CacheSalt, EndpointId, OrganisationId, RequestId, TokenCount, Verdict,
    WeightsVersion,
};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use wire::{
    chunk::{Chunk, DONE, Usage},
    completion::{Completion, CompletionKind, Delivered},
    sse::{Event, Parser},
};

use super::{
    Edge,
    admission::Place,
    failure::Failure,
    policies::Preferences,
    router::{Chosen, NoEndpoint, Wanted},
    upstream::Connection,
};

/// Longest event taken from an engine.
const MAX_EVENT: ByteCount = ByteCount::new(1 << 20);

/// Most engines tried for one request.
const MAX_ATTEMPTS: u32 = 4;

/// What callers are told to wait when no engine is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A completion to be relayed.
pub(super) struct Job {
    pub request: RequestId,
    pub organisation: OrganisationId,
    pub completion: Completion,
    pub traceparent: Option<String>,
    /// The settings in force when it arrived.
    pub settings: fleet::Settings,
    /// Its place among the organisations' requests.
    pub _place: Place,
}

/// A piece of the answer, on its way to the caller.
#[derive(Debug)]
pub(super) enum Piece {
    /// A token or the last chunk; `token` counts the tokens up to here.
    Data { token: u64, text: String, data: String, usage: Option<Usage> },
    /// The whole answer has been sent.
    Done,
    /// The answer ends here.
    Failed(Failure),
}

/// Progress of a relayed completion over all attempts.
struct Relay<'a> {
    edge: &'a Rc<Edge>,
    job: &'a Job,
    tx: &'a flume::Sender<Piece>,
    delivered: Delivered,
    weights: Option<WeightsVersion>,
    tried: Vec<EndpointId>,
}

/// How an attempt ended.
enum End {
    Done,
    CallerGone,
    Broken(Failure),
}

/// Relays a completion into `tx`, going on at another engine when one fails.
pub(super) async fn run(edge: Rc<Edge>, job: Job, tx: flume::Sender<Piece>) {
    let mut relay = Relay {
        edge: &edge,
        job: &job,
        tx: &tx,
        delivered: Delivered::default(),
        weights: None,
        tried: Vec::new(),
    };
    let timeout = edge.cfg.timeouts.request;
    let end = match tokio::time::timeout(timeout, relay.attempts()).await {
        Ok(end) => end,
        Err(_) => End::Broken(Failure::timed_out("the request timed out", Verdict::MayHaveRun)),
    };
    let last = match end {
        End::Done => Piece::Done,
        End::CallerGone => return,
        End::Broken(failure) => Piece::Failed(failure),
    };
    let _ = tx.send_async(last).await;
}

impl Relay<'_> {
    async fn attempts(&mut self) -> End {
        let mut last = None;
        for attempt in 0..MAX_ATTEMPTS {
            if last.is_some() && !self.edge.retries.wait(attempt - 1).await {
                break;
            }
            let chosen = match self.choose() {
                Ok(chosen) => chosen,
                Err(why) => return End::Broken(last.unwrap_or_else(|| no_engine(self.job, why))),
            };
            self.tried.push(chosen.endpoint.clone());
            let end = self.attempt(&chosen).await;
            if let End::Broken(failure) = &end
                && !failure.status.is_client_error()
            {
                self.edge.router.borrow_mut().failed(self.edge.clock.now(), &chosen);
            }
            match end {
                End::Broken(failure) if self.may_go_on(&failure) => {
                    log::info!(
                        "request={} attempt failed after {} tokens: {}",
                        self.job.request,
                        self.delivered.tokens,
                        failure.detail,
                    );
                    last = Some(failure);
                }
                end => return end,
            }
        }
        End::Broken(last.expect("the loop ran at least once"))
    }

    fn choose(&self) -> Result<Chosen, NoEndpoint> {
        let prompt = self.job.completion.prompt_parts();
        let wanted = Wanted {
            organisation: &self.job.organisation,
            model: self.job.completion.model(),
            adapter: self.job.completion.adapter(),
            weights: self.weights.as_ref(),
            prompt: &prompt,
            preferences: Preferences::from(&self.job.settings),
        };
        let now = self.edge.clock.now();
        self.edge.router.borrow_mut().choose_engine(now, &wanted, &self.tried)
    }

    fn may_go_on(&self, failure: &Failure) -> bool {
        let engine_refused = failure.status.is_client_error();
        !engine_refused && (self.delivered.tokens == 0 || self.job.completion.can_continue())
    }

    async fn attempt(&mut self, chosen: &Chosen) -> End {
        let pool = chosen.in_flight.target().pool();
        let req = self.request(chosen);
        let sent = tokio::time::timeout(
            self.edge.cfg.timeouts.idle,
            pool.send(req, self.edge.cfg.timeouts.connect),
        );
        let (response, connection) = match sent.await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return End::Broken(failure),
            Err(_) => return End::Broken(silent_engine()),
        };
        let status = response.status();
        if status != StatusCode::OK {
            return End::Broken(refusal(status, response.into_body()).await);
        }
        self.edge.router.borrow_mut().head_arrived(self.edge.clock.now(), chosen);
        if self.weights.is_none() {
            self.weights = Some(chosen.weights.clone());
        }
        let end = self.pump(response.into_body(), chosen).await;
        if matches!(end, End::Done) {
            keep(connection, chosen);
        }
        end
    }

    fn request(&self, chosen: &Chosen) -> Request<Full<Bytes>> {
        let salt: CacheSalt =
            format!("{:016x}", chosen.salt.as_u64()).parse().expect("hexadecimal digits are an id");
        let priority = self.job.settings.priority.as_u32() as i32;
        let body = self.job.completion.to_engine(&salt, priority, &self.delivered);
        let path = match self.job.completion.kind() {
            CompletionKind::Text => "/v1/completions",
            CompletionKind::Chat => "/v1/chat/completions",
        };
        let address = chosen.in_flight.target().announcement().address;
        let mut req = Request::post(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.edge.cfg.fleet_key))
            .header("x-request-id", self.job.request.as_str());
        if let Some(traceparent) = &self.job.traceparent {
            req = req.header("traceparent", traceparent);
        }
        req.body(Full::new(body.into())).expect("the request's parts are valid")
    }

    /// Passes an engine's events on until the stream ends.
    async fn pump(&mut self, mut body: Incoming, chosen: &Chosen) -> End {
        let before = self.delivered.tokens;
        let mut parser = Parser::new(MAX_EVENT);
        let mut events = Vec::new();
        loop {
            let frame = match tokio::time::timeout(self.edge.cfg.timeouts.idle, body.frame()).await
            {
                Err(_) => return End::Broken(silent_engine()),
                Ok(None) => {
                    return End::Broken(cut_stream("the stream ended without its end mark"));
                }
                Ok(Some(Err(e))) => return End::Broken(cut_stream(&e.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            self.note_first_token(chosen);
            if let Err(e) = parser.push(&data, &mut events) {
                return End::Broken(cut_stream(&e.to_string()));
            }
            for event in events.drain(..) {
                if event.data == DONE {
                    return End::Done;
                }
                if let Some(end) = self.pass_on(event, before, chosen).await {
                    return end;
                }
            }
        }
    }

    /// Tells the router and the gate how long an attempt's first token took.
    fn note_first_token(&self, chosen: &Chosen) {
        let now = self.edge.clock.now();
        let took = self.edge.router.borrow_mut().first_token(now, chosen);
        if let Some(took) = took {
            self.edge.gate.first_token(took);
        }
    }

    /// Passes an event on, unless it isn't the next one of this completion.
    async fn pass_on(&mut self, event: Event, before: u64, chosen: &Chosen) -> Option<End> {
        let chunk = match Chunk::parse(&event.data) {
            Ok(chunk) => chunk,
            Err(e) => return Some(End::Broken(cut_stream(&format!("a malformed chunk: {e}")))),
        };
        if !chunk.answers(self.job.request.as_str()) {
            log::warn!("request={} dropped a chunk of {:?}", self.job.request, chunk.id);
            return None;
        }
        let text = chunk.text().unwrap_or_default().to_owned();
        if !text.is_empty() {
            let expected = self.delivered.tokens + 1;
            let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
            let number = number.map_or(expected, |number| number + before);
            if number < expected {
                return None;
            }
            if expected < number {
                return Some(End::Broken(cut_stream("tokens are missing")));
            }
            self.delivered.tokens = expected;
            self.delivered.text.push_str(&text);
        }
        let usage = chunk.usage;
        if let Some(usage) = &usage {
            let cached = TokenCount::new(usage.prompt_tokens_details.cached_tokens);
            self.edge.router.borrow_mut().answered(self.edge.clock.now(), chosen, cached);
        }
        let token = self.delivered.tokens;
        let piece = Piece::Data { token, text, data: event.data, usage };
        if self.tx.send_async(piece).await.is_err() {
            return Some(End::CallerGone);
        }
        None
    }
}

fn keep(connection: Connection, chosen: &Chosen) {
    chosen.in_flight.target().pool().put_back(connection);
}

fn silent_engine() -> Failure {
    Failure::timed_out("the engine sent nothing in time", Verdict::MayHaveRun)
}

fn cut_stream(detail: &str) -> Failure {
    Failure::broken(detail, Verdict::MayHaveRun)
}

fn no_engine(job: &Job, why: NoEndpoint) -> Failure {
    let model = job.completion.model();
    match why {
        NoEndpoint::Unknown => Failure::not_found(format!("no endpoint serves model {model}")),
        NoEndpoint::AllTried => {
            Failure::unavailable(format!("no endpoint of model {model} is available"), RETRY_AFTER)
        }
    }
}

async fn refusal(status: StatusCode, body: Incoming) -> Failure {
    const SHOWN_BYTES: usize = 512;
    let body = http_body_util::Limited::new(body, SHOWN_BYTES).collect().await;
    let text = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
    let detail = format!("the engine answered {status}: {}", text.unwrap_or_default());
    if status.is_client_error() {
        return Failure::new(status, "refused by the engine", detail, Verdict::NotRun);
    }
    Failure::broken(detail, Verdict::MayHaveRun)
}
