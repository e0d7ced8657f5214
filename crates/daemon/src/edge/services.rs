use std::{rc::Rc, time::Duration};

use base::{Hasher, IdempotencyKey, OrganisationId, ParseError, ServiceId, Verdict};
use bytes::Bytes;
use fleet::{CallKey, Scope, StoredResponse};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue},
    http::request::Parts,
};
use route::Outcome;
use telemetry::{Refusal, RequestStage};

use crate::{buffers::BufferedBody, failure::Failure, net, serve::RequestBody};

use super::{
    ActiveRequest, Edge,
    admission::ConcurrencyPermit,
    body::{self, Body},
    claims::{ClaimOutcome, KeyedCall},
    idempotent,
    router::NoEndpoint,
    targets::InFlight,
    tracked::TrackedRequest,
    upstream,
};

/// Path prefix of plain services, which are those other than completions.
pub(super) const PATH_PREFIX: &str = "/services/";

/// Headers of a call that are forwarded to the service, besides those on its content.
const FORWARDED_HEADERS: [&str; 3] = ["idempotency-key", "x-request-id", "user-agent"];

/// Most endpoints to which a non-idempotent call tries to connect.
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// `Retry-After` when no endpoint of a service is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
pub(super) struct ServiceCall {
    organisation: OrganisationId,
    pub service: ServiceId,
    path: String,
    parts: Parts,
    body: BufferedBody,
    pub settings: fleet::Settings,
    pub tracked: TrackedRequest,
}

/// Handles calls to plain services.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<RequestBody>,
    active: ActiveRequest,
) -> Result<Response<Body>, Failure> {
    let organisation = edge.keys.organisation(req.headers())?;
    let (parts, body) = req.into_parts();
    let (service, path) = split_path(&parts)?;
    let body = body::read(edge, body).await?;
    let scope = Scope {
        organisation: Some(organisation.clone()),
        service: Some(service.clone()),
        ..Scope::default()
    };
    let settings = edge.settings(&scope);
    let tracked = TrackedRequest::begin(edge, &organisation, &parts.headers);
    let caller_id = tracked.caller_id(&parts.headers);
    active.set_request_id(tracked.id.as_str());
    let concurrency =
        edge.admission.acquire_concurrency(&organisation, &settings).inspect_err(|_| {
            tracked.recorder.refusal(Refusal::OverShare);
        })?;
    edge.retries.earn(&settings);
    let call = Rc::new(ServiceCall { organisation, service, path, parts, body, settings, tracked });
    // A separate task, so that a caller's disconnect doesn't cancel a non-idempotent call.
    let sending = tokio::task::spawn_local(send(Rc::clone(edge), call, active, concurrency));
    let mut response = sending.await.unwrap_or_else(|_| {
        Err(Failure::bad_gateway("the call ended without a response", Verdict::MayHaveRun))
    })?;
    caller_id.set_header(&mut response);
    Ok(response)
}

async fn send(
    edge: Rc<Edge>,
    call: Rc<ServiceCall>,
    _active: ActiveRequest,
    _concurrency: ConcurrencyPermit,
) -> Result<Response<Body>, Failure> {
    let settings = &call.settings;
    let sending = async {
        edge.wait_for_endpoints().await;
        if settings.may_repeat(call.parts.method.as_str()) {
            return idempotent::send(&edge, &call).await;
        }
        match call.keyed()? {
            Some(keyed) => send_claimed(&edge, &call, &keyed).await,
            None if settings.require_idempotency_key => {
                Err(Failure::bad_request("expected an \"Idempotency-Key\" header"))
            }
            None => send_once(&edge, &call).await,
        }
    };
    let result = tokio::time::timeout(settings.request_timeout.as_duration(), sending).await;
    let response = result.unwrap_or_else(|_| {
        Err(Failure::timed_out("the service did not respond in time", Verdict::MayHaveRun))
    });
    record_outcome(&edge, &call, &response);
    response
}

fn record_outcome(edge: &Edge, call: &ServiceCall, response: &Result<Response<Body>, Failure>) {
    let TrackedRequest { id, arrived, recorder, .. } = &call.tracked;
    recorder.request_duration(edge.clock.now().saturating_since(*arrived));
    if let Err(failure) = response {
        recorder.verdict(failure.verdict);
        let (service, verdict) = (&call.service, failure.verdict);
        log::warn!(request:% = id, service:%, verdict:%, detail = failure.detail; "call failed");
    }
}

fn split_path(parts: &Parts) -> Result<(ServiceId, String), Failure> {
    let path_and_query = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let rest = path_and_query.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let service = service.parse().map_err(|_| Failure::not_found("the path names no service"))?;
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok((service, path))
}

/// Sends a call without a key once, over a new connection.
async fn send_once(edge: &Rc<Edge>, call: &ServiceCall) -> Result<Response<Body>, Failure> {
    let Connected { mut connection, in_flight } = connect(edge, call).await?;
    let response = upstream::send_once(&mut connection, call.request(&in_flight)).await?;
    read_response(edge, response).await.map(ServiceResponse::into_response)
}

/// Sends a call under a claim, so that it runs at most once however often and wherever it is sent.
///
/// The claim is committed between the connect and the first byte: if the connect fails, the call
/// certainly didn't run, and the caller still gets the outcome of an earlier request with its key.
async fn send_claimed(
    edge: &Rc<Edge>,
    call: &ServiceCall,
    keyed: &KeyedCall,
) -> Result<Response<Body>, Failure> {
    let connected = connect(edge, call).await;
    let claim_timeout = call.settings.claim_send_deadline.as_duration();
    let wait = call.settings.claim_wait.as_duration();
    let claiming = call.tracked.span.child(RequestStage::Claim);
    call.tracked.recorder.claim();
    let claimed = keyed.claim(edge, claim_timeout, wait).await?;
    drop(claiming);
    let permit = match claimed {
        ClaimOutcome::Send(permit) => permit,
        ClaimOutcome::AlreadyAnswered(response) => return Ok(response),
    };
    let Connected { mut connection, in_flight } = connected?;
    let request = call.request(&in_flight);
    let sent = permit.redeem()?;
    let response = upstream::send_once(&mut connection, request).await?;
    let response = read_response(edge, response).await?;
    sent.report_response(response.to_stored(call.settings.max_response_bytes.as_u32() as usize))
        .await;
    Ok(response.into_response())
}

/// A new connection to an endpoint of a service.
struct Connected {
    connection: upstream::Connection,
    in_flight: InFlight,
}

async fn connect(edge: &Rc<Edge>, call: &ServiceCall) -> Result<Connected, Failure> {
    let timeout = call.settings.connect_timeout.as_duration();
    let mut tried = Vec::new();
    let mut last = None;
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let routing = call.tracked.span.child(RequestStage::Route);
        let chosen = edge.choose_service_endpoint(call, &tried);
        drop(routing);
        let (endpoint, in_flight) = match chosen {
            Ok(chosen) => chosen,
            Err(why) => return Err(last.unwrap_or_else(|| no_endpoint(call, why))),
        };
        tried.push(endpoint.clone());
        let mut connecting = call.tracked.span.child(RequestStage::Connect);
        connecting.set("endpoint", endpoint.to_string());
        match in_flight.target().pool().connect(timeout).await {
            Ok(connection) => return Ok(Connected { connection, in_flight }),
            Err(failure) => {
                edge.record_service_outcome(&endpoint, Outcome::Failed);
                last = Some(failure);
            }
        }
    }
    Err(last.expect("the loop ran at least once"))
}

pub(super) fn no_endpoint(call: &ServiceCall, why: NoEndpoint) -> Failure {
    match why {
        NoEndpoint::NotServed => Failure::not_found(format!("no endpoint serves {}", call.service)),
        NoEndpoint::Unavailable => Failure::unavailable(
            format!("no endpoint of {} is available", call.service),
            RETRY_AFTER,
        ),
    }
}

impl ServiceCall {
    /// Returns the call's idempotency key with a digest of the request, if it has a key.
    fn keyed(&self) -> Result<Option<KeyedCall>, Failure> {
        let Some(key) = self.parts.headers.get("idempotency-key") else { return Ok(None) };
        let key: IdempotencyKey = key
            .to_str()
            .map_err(|_| Failure::bad_request("the idempotency key is not text"))?
            .parse()
            .map_err(|e: ParseError| Failure::bad_request(e.to_string()))?;
        let request = Hasher::default()
            .field(self.parts.method.as_str().as_bytes())
            .field(self.service.as_str().as_bytes())
            .field(self.path.as_bytes())
            .field(&self.body.bytes)
            .finish();
        let call = CallKey { organisation: self.organisation.clone(), key };
        Ok(Some(KeyedCall { call, request }))
    }

    pub(super) fn request(&self, in_flight: &InFlight) -> Request<Full<Bytes>> {
        let target = in_flight.target();
        let mut req = Request::new(Full::new(self.body.bytes.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.path.parse().expect("a path taken from a valid one is valid");
        let headers = req.headers_mut();
        copy_headers(&self.parts.headers, headers);
        headers.insert(HOST, net::host_value(target.announcement().address));
        let organisation = self.organisation.as_str();
        headers.insert("x-organisation", organisation.parse().expect("an id is a valid header"));
        if let Some(context) = self.tracked.span.context() {
            let context = context.to_string().parse().expect("a trace context is a valid header");
            headers.insert("traceparent", context);
        }
        req
    }
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for name in [ACCEPT, CONTENT_TYPE] {
        if let Some(value) = from.get(&name) {
            to.insert(name, value.clone());
        }
    }
    for name in FORWARDED_HEADERS {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
    to.remove(AUTHORIZATION);
}

/// A service's complete response.
pub(super) struct ServiceResponse {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

/// Reads a service's complete response, so that a truncated one is never passed on as complete.
pub(super) async fn read_response(
    edge: &Edge,
    response: Response<Incoming>,
) -> Result<ServiceResponse, Failure> {
    let (parts, body) = response.into_parts();
    let max_bytes = usize::try_from(edge.cfg.limits.body_bytes.as_u64()).unwrap_or(usize::MAX);
    let body = edge.buffer_budget.read(body, max_bytes).await.map_err(|e| {
        Failure::bad_gateway(
            format!("could not read the service's response: {e}"),
            Verdict::MayHaveRun,
        )
    })?;
    Ok(ServiceResponse {
        status: parts.status,
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        body: body.buffered.hold(body.bytes),
    })
}

impl ServiceResponse {
    pub(super) fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// Returns what the ledger stores; a body over `max_bytes` is left out.
    fn to_stored(&self, max_bytes: usize) -> StoredResponse {
        let content_type = self.content_type.as_ref().and_then(|text| text.to_str().ok());
        let body = (self.body.len() <= max_bytes).then(|| self.body.as_ref().into());
        StoredResponse {
            status: self.status.as_u16(),
            content_type: content_type.map(Into::into),
            body,
        }
    }

    pub(super) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::whole(self.body));
        *response.status_mut() = self.status;
        if let Some(content_type) = self.content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        response
    }
}
