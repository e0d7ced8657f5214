use std::rc::Rc;

use base::{ParseError, RequestId, TokenCount};
use bytes::Bytes;
use fleet::Scope;
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use serde_json::json;
use telemetry::{Hop, Refusal};
use wire::{
    EventId,
    chunk::DONE,
    completion::{Completion, CompletionKind},
    sse::Event,
};

use crate::{failure::Failure, net::AbortOnDrop};

use super::{
    ActiveRequest, Edge,
    body::{self, Body},
    relay::{self, Job, Piece},
    router,
    tracked::Tracked,
    whole_answer::WholeAnswer,
};

/// Pieces of an answer that wait for a slow caller, before the engine's stream is held back.
const RING_PIECES: usize = 64;

/// Answers `POST /v1/completions` and `POST /v1/chat/completions`.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<Incoming>,
    active: ActiveRequest,
) -> Result<Response<Body>, Failure> {
    let organisation = edge.keys.organisation(req.headers())?;
    let (parts, body) = req.into_parts();
    let body = body::read(edge, body).await?;
    let completion =
        Completion::from_slice(&body).map_err(|e| Failure::bad_request(e.to_string()))?;
    check_path(parts.uri.path(), completion.kind())?;
    let resume = last_event_id(&parts.headers)?;
    let stream = completion.wants_stream();
    if resume.is_some() && !stream {
        return Err(Failure::bad_request("\"Last-Event-ID\" resumes streams only"));
    }
    let tracked = Tracked::begin(edge, &organisation, &parts.headers);
    let shown_id = tracked.shown_id(&parts.headers);
    let request = tracked.id.clone();
    active.name(request.as_str());
    let scope = Scope {
        organisation: Some(organisation.clone()),
        model: Some(completion.model().clone()),
        ..Scope::default()
    };
    let settings = edge.settings(&scope);
    let prompt_bytes = check_prompt(&completion, &settings)?;
    let cost = admission_cost(prompt_bytes, completion.max_tokens());
    let queued = tracked.span.child(Hop::Queue);
    let place = edge.gate.admit(&organisation, &settings, cost).await.inspect_err(|_| {
        tracked.recorder.refusal(Refusal::OverShare);
    })?;
    drop(queued);
    tracked.recorder.queue_wait(edge.clock.now().saturating_since(tracked.arrived));
    edge.retries.earn(&settings);
    let Tracked { arrived, recorder, span, .. } = tracked;
    let job = Job {
        request: request.clone(),
        organisation,
        completion,
        settings,
        arrived,
        resume,
        recorder,
        span,
        _place: place,
    };

    let (tx, rx) = flume::bounded(RING_PIECES);
    let kind = job.completion.kind();
    let in_flight = job.recorder.in_flight();
    let relay = relay::run(Rc::clone(edge), job, tx);
    let task = AbortOnDrop(tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        relay.await;
    }));
    let mut response = if stream {
        streamed(rx, task, active).await?
    } else {
        whole(&request, kind, rx, task).await?
    };
    shown_id.show(&mut response);
    Ok(response)
}

/// Returns the last event that the caller got of a stream that it resumes.
fn last_event_id(headers: &HeaderMap) -> Result<Option<EventId>, Failure> {
    let Some(id) = headers.get("last-event-id") else { return Ok(None) };
    let id = id.to_str().map_err(|_| Failure::bad_request("\"Last-Event-ID\" is no text"))?;
    let id = id.parse().map_err(|e: ParseError| Failure::bad_request(e.to_string()))?;
    Ok(Some(id))
}

/// Answers `GET /v1/models`.
pub(super) fn models(edge: &Edge, req: &Request<Incoming>) -> Result<Response<Body>, Failure> {
    edge.keys.organisation(req.headers())?;
    let models = edge.router.borrow().models();
    let list: Vec<_> = models.iter().map(|model| json!({"id": model, "object": "model"})).collect();
    Ok(json_response(&json!({"object": "list", "data": list})))
}

/// Returns the prompt's length in bytes, unless it is longer than the settings allow.
fn check_prompt(completion: &Completion, settings: &fleet::Settings) -> Result<usize, Failure> {
    let max_bytes = settings.max_prompt_bytes.as_u32() as usize;
    let bytes = completion.prompt_parts().iter().map(|part| part.len()).sum();
    if max_bytes < bytes {
        return Err(Failure::prompt_too_large(max_bytes));
    }
    Ok(bytes)
}

/// Returns what a completion is charged with: tokens to prefill and to generate.
fn admission_cost(prompt_bytes: usize, max_tokens: Option<u64>) -> TokenCount {
    let prompt = prompt_bytes.div_ceil(router::BYTES_PER_TOKEN) as u64;
    TokenCount::new(prompt.saturating_add(max_tokens.unwrap_or(0)))
}

fn check_path(path: &str, kind: CompletionKind) -> Result<(), Failure> {
    match (path, kind) {
        ("/v1/completions", CompletionKind::Chat) => {
            Err(Failure::bad_request("\"messages\" belong to /v1/chat/completions"))
        }
        ("/v1/chat/completions", CompletionKind::Text) => {
            Err(Failure::bad_request("\"prompt\" belongs to /v1/completions"))
        }
        _ => Ok(()),
    }
}

/// Starts a streamed answer once the engine has sent its first piece.
async fn streamed(
    rx: flume::Receiver<Piece>,
    task: AbortOnDrop,
    active: ActiveRequest,
) -> Result<Response<Body>, Failure> {
    let first = match rx.recv_async().await {
        Ok(Piece::Failed(failure)) => return Err(failure),
        Ok(first) => first,
        Err(_) => return Err(lost_relay()),
    };
    let (tx, bytes) = flume::bounded(1);
    let writer = tokio::task::spawn_local(write_events(first, rx, tx, task));
    let mut response = Response::new(Body::streamed(bytes, AbortOnDrop(writer), active));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

async fn write_events(
    first: Piece,
    rx: flume::Receiver<Piece>,
    tx: flume::Sender<Bytes>,
    _task: AbortOnDrop,
) {
    let mut next = Some(first);
    while let Some(piece) = next {
        let ends = !matches!(piece, Piece::Data { .. });
        let text = event_text(piece);
        if tx.send_async(text.into()).await.is_err() || ends {
            return;
        }
        next = rx.recv_async().await.ok();
    }
    let _ = tx.send_async(event_text(Piece::Failed(lost_relay())).into()).await;
}

fn event_text(piece: Piece) -> String {
    match piece {
        Piece::Data { id, data } => Event { id: Some(id.to_string()), kind: None, data }.to_text(),
        Piece::Done => Event::data(DONE).to_text(),
        Piece::Failed(failure) => {
            let data = serde_json::to_string(&failure.to_problem()).expect("a problem is JSON");
            Event { id: None, kind: Some("error".into()), data }.to_text()
        }
    }
}

/// Collects the pieces of an answer for a caller that wants no stream.
async fn whole(
    request: &RequestId,
    kind: CompletionKind,
    rx: flume::Receiver<Piece>,
    _task: AbortOnDrop,
) -> Result<Response<Body>, Failure> {
    let mut answer = WholeAnswer::default();
    loop {
        match rx.recv_async().await {
            Ok(Piece::Data { data, .. }) => answer.add(&data)?,
            Ok(Piece::Done) => return Ok(json_response(&answer.to_body(request, kind))),
            Ok(Piece::Failed(failure)) => return Err(failure),
            Err(_) => return Err(lost_relay()),
        }
    }
}

fn json_response(value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::whole(value.to_string()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn lost_relay() -> Failure {
    Failure::bad_gateway("the relay ended without an answer", base::Verdict::MayHaveRun)
}
