use std::rc::Rc;

use base::{ParseError, RequestId, TokenCount};
use bytes::Bytes;
use fleet::Scope;
use hyper::{
    HeaderMap, Request, Response,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use serde_json::json;
use telemetry::{Refusal, RequestStage};
use wire::{
    EventId,
    chunk::DONE_MARKER,
    completion::{CompletionKind, CompletionRequest},
    sse::Event,
};

use crate::{failure::Failure, net::AbortOnDrop, serve::RequestBody};

use super::{
    ActiveRequest, Edge,
    body::{self, Body},
    buffered_response::BufferedResponse,
    relay::{self, CompletionJob, StreamItem},
    router,
    tracked::TrackedRequest,
};

/// Items buffered for a slow caller before backpressure reaches the engine's stream.
const CHANNEL_CAPACITY: usize = 64;

/// Handles `POST /v1/completions` and `POST /v1/chat/completions`.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<RequestBody>,
    active: ActiveRequest,
) -> Result<Response<Body>, Failure> {
    let organisation = edge.keys.organisation(req.headers())?;
    let (parts, body) = req.into_parts();
    let body = body::read(edge, body).await?;
    let completion = CompletionRequest::from_slice(&body.bytes)
        .map_err(|e| Failure::bad_request(e.to_string()))?;
    check_path(parts.uri.path(), completion.kind())?;
    let resume = last_event_id(&parts.headers)?;
    let stream = completion.wants_stream();
    if resume.is_some() && !stream {
        return Err(Failure::bad_request("\"Last-Event-ID\" resumes streams only"));
    }
    let tracked = TrackedRequest::begin(edge, &organisation, &parts.headers);
    let caller_id = tracked.caller_id(&parts.headers);
    let request = tracked.id.clone();
    active.set_request_id(request.as_str());
    let scope = Scope {
        organisation: Some(organisation.clone()),
        model: Some(completion.model().clone()),
        ..Scope::default()
    };
    let settings = edge.settings(&scope);
    let prompt_bytes = check_prompt(&completion, &settings)?;
    let cost = admission_cost(prompt_bytes, completion.max_tokens());
    let queued = tracked.span.child(RequestStage::Queue);
    let admission_permit =
        edge.admission.admit(&organisation, &settings, cost).await.inspect_err(|_| {
            tracked.recorder.refusal(Refusal::OverShare);
        })?;
    drop(queued);
    tracked.recorder.queue_wait(edge.clock.now().saturating_since(tracked.arrived));
    edge.retries.earn(&settings);
    let TrackedRequest { arrived, recorder, span, .. } = tracked;
    let job = CompletionJob {
        request: request.clone(),
        organisation,
        completion,
        settings,
        arrived,
        resume,
        recorder,
        span,
        _admission_permit: admission_permit,
    };

    let (tx, rx) = flume::bounded(CHANNEL_CAPACITY);
    let kind = job.completion.kind();
    let in_flight = job.recorder.in_flight();
    let held = body.buffered;
    let relay = relay::run(Rc::clone(edge), job, tx);
    let task = AbortOnDrop(tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        let _held = held;
        relay.await;
    }));
    let mut response = if stream {
        streamed(rx, task, active).await?
    } else {
        buffered(&request, kind, rx, task).await?
    };
    caller_id.set_header(&mut response);
    Ok(response)
}

/// Returns the last event that the caller received of a stream that it resumes.
fn last_event_id(headers: &HeaderMap) -> Result<Option<EventId>, Failure> {
    let Some(id) = headers.get("last-event-id") else { return Ok(None) };
    let id = id.to_str().map_err(|_| Failure::bad_request("\"Last-Event-ID\" is not text"))?;
    let id = id.parse().map_err(|e: ParseError| Failure::bad_request(e.to_string()))?;
    Ok(Some(id))
}

/// Handles `GET /v1/models`.
pub(super) fn models(edge: &Edge, req: &Request<RequestBody>) -> Result<Response<Body>, Failure> {
    edge.keys.organisation(req.headers())?;
    let models = edge.router.borrow().models();
    let list: Vec<_> = models.iter().map(|model| json!({"id": model, "object": "model"})).collect();
    Ok(json_response(&json!({"object": "list", "data": list})))
}

/// Returns the prompt's length in bytes, or a failure if it exceeds the limit in the settings.
fn check_prompt(
    completion: &CompletionRequest,
    settings: &fleet::Settings,
) -> Result<usize, Failure> {
    let max_bytes = settings.max_prompt_bytes.as_u32() as usize;
    let bytes = completion.prompt_parts().iter().map(|part| part.len()).sum();
    if max_bytes < bytes {
        return Err(Failure::prompt_too_large(max_bytes));
    }
    Ok(bytes)
}

/// Returns the admission cost of a completion: tokens to prefill and to generate.
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

/// Starts a streamed response once the relay has sent its first item.
async fn streamed(
    rx: flume::Receiver<StreamItem>,
    task: AbortOnDrop,
    active: ActiveRequest,
) -> Result<Response<Body>, Failure> {
    let first = match rx.recv_async().await {
        Ok(StreamItem::Failed(failure)) => return Err(failure),
        Ok(first) => first,
        Err(_) => return Err(relay_ended_early()),
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
    first: StreamItem,
    rx: flume::Receiver<StreamItem>,
    tx: flume::Sender<Bytes>,
    _task: AbortOnDrop,
) {
    let mut next = Some(first);
    while let Some(item) = next {
        let ends = !matches!(item, StreamItem::Data { .. });
        let text = event_text(item);
        if tx.send_async(text.into()).await.is_err() || ends {
            return;
        }
        next = rx.recv_async().await.ok();
    }
    let _ = tx.send_async(event_text(StreamItem::Failed(relay_ended_early())).into()).await;
}

fn event_text(item: StreamItem) -> String {
    match item {
        StreamItem::Data { id, data } => {
            Event { id: Some(id.to_string()), kind: None, data }.to_text()
        }
        StreamItem::Done => Event::data(DONE_MARKER).to_text(),
        StreamItem::Failed(failure) => {
            let data = serde_json::to_string(&failure.to_problem()).expect("a problem is JSON");
            Event { id: None, kind: Some("error".into()), data }.to_text()
        }
    }
}

/// Collects a response for a caller that did not ask for a stream.
async fn buffered(
    request: &RequestId,
    kind: CompletionKind,
    rx: flume::Receiver<StreamItem>,
    _task: AbortOnDrop,
) -> Result<Response<Body>, Failure> {
    let mut response = BufferedResponse::default();
    loop {
        match rx.recv_async().await {
            Ok(StreamItem::Data { data, .. }) => response.add(&data)?,
            Ok(StreamItem::Done) => return Ok(json_response(&response.to_body(request, kind))),
            Ok(StreamItem::Failed(failure)) => return Err(failure),
            Err(_) => return Err(relay_ended_early()),
        }
    }
}

fn json_response(value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::whole(value.to_string()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn relay_ended_early() -> Failure {
    Failure::bad_gateway("the relay ended without a response", base::Verdict::MayHaveRun)
}
