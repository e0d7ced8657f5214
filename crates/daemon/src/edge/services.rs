use std::{rc::Rc, time::Duration};

use base::{Hasher, IdempotencyKey, OrganisationId, ParseError, ServiceId, Verdict};
use bytes::Bytes;
use fleet::{Answer, CallKey, Scope};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue},
    http::request::Parts,
};
use route::Outcome;
use telemetry::{Hop, Refusal};

use crate::{failure::Failure, net};

use super::{
    ActiveRequest, Edge,
    admission::Counted,
    body::{self, Body},
    claims::{Claimed, Keyed},
    idempotent,
    router::NoEndpoint,
    targets::InFlight,
    tracked::Tracked,
    upstream,
};

/// Start of the paths of plain services.
pub(super) const PATH_PREFIX: &str = "/services/";

/// Headers of a call that the service gets.
const PASSED_HEADERS: [&str; 3] = ["idempotency-key", "x-request-id", "user-agent"];

/// Most endpoints that a call which may not be repeated tries to connect to.
const MAX_CONNECTS: usize = 3;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
pub(super) struct Call {
    organisation: OrganisationId,
    pub service: ServiceId,
    path: String,
    parts: Parts,
    body: Bytes,
    pub settings: fleet::Settings,
    pub tracked: Tracked,
}

/// Answers calls to plain services.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<Incoming>,
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
    let tracked = Tracked::begin(edge, &organisation, &parts.headers);
    let shown_id = tracked.shown_id(&parts.headers);
    active.name(tracked.id.as_str());
    let counted = edge.gate.count(&organisation, &settings).inspect_err(|_| {
        tracked.recorder.refusal(Refusal::OverShare);
    })?;
    edge.retries.earn(&settings);
    let call = Rc::new(Call { organisation, service, path, parts, body, settings, tracked });
    // A task of its own, so that a caller who hangs up cuts no call that may not be repeated.
    let sending = tokio::task::spawn_local(send(Rc::clone(edge), call, active, counted));
    let mut answer = sending.await.unwrap_or_else(|_| {
        Err(Failure::bad_gateway("the call ended without an answer", Verdict::MayHaveRun))
    })?;
    shown_id.show(&mut answer);
    Ok(answer)
}

async fn send(
    edge: Rc<Edge>,
    call: Rc<Call>,
    _active: ActiveRequest,
    _counted: Counted,
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
    let timeout = tokio::time::timeout(settings.request_timeout.as_duration(), sending).await;
    let answer = timeout.unwrap_or_else(|_| {
        Err(Failure::timed_out("the service did not answer in time", Verdict::MayHaveRun))
    });
    record(&edge, &call, &answer);
    answer
}

fn record(edge: &Edge, call: &Call, answer: &Result<Response<Body>, Failure>) {
    let Tracked { id, arrived, recorder, .. } = &call.tracked;
    recorder.request_duration(edge.clock.now().saturating_since(*arrived));
    if let Err(failure) = answer {
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
    let service = service.parse().map_err(|_| Failure::not_found("no service is named"))?;
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok((service, path))
}

/// Sends a call without a key over a connection of its own.
async fn send_once(edge: &Rc<Edge>, call: &Call) -> Result<Response<Body>, Failure> {
    let Connected { mut connection, in_flight } = connect(edge, call).await?;
    let response = upstream::send_once(&mut connection, call.request(&in_flight)).await?;
    read_answer(edge, response).await.map(ServiceAnswer::into_response)
}

/// Sends a call under a claim, so that it runs at most once whoever else sends it.
///
/// The claim is committed between the connection and the first byte: a failed connection leaves
/// nothing in doubt, and is still told the outcome of an earlier arrival.
async fn send_claimed(
    edge: &Rc<Edge>,
    call: &Call,
    keyed: &Keyed,
) -> Result<Response<Body>, Failure> {
    let connected = connect(edge, call).await;
    let claim_timeout = call.settings.claim_send_deadline.as_duration();
    let wait = call.settings.claim_wait.as_duration();
    let claiming = call.tracked.span.child(Hop::Claim);
    call.tracked.recorder.claim();
    let claimed = keyed.claim(edge, claim_timeout, wait).await?;
    drop(claiming);
    let permit = match claimed {
        Claimed::Send(permit) => permit,
        Claimed::Answered(answer) => return Ok(answer),
    };
    let Connected { mut connection, in_flight } = connected?;
    let request = call.request(&in_flight);
    let sent = permit.redeem()?;
    let response = upstream::send_once(&mut connection, request).await?;
    let answer = read_answer(edge, response).await?;
    sent.answered(answer.kept(call.settings.max_answer_bytes.as_u32() as usize)).await;
    Ok(answer.into_response())
}

/// A fresh connection to an endpoint of a service.
struct Connected {
    connection: upstream::Connection,
    in_flight: InFlight,
}

async fn connect(edge: &Rc<Edge>, call: &Call) -> Result<Connected, Failure> {
    let timeout = call.settings.connect_timeout.as_duration();
    let mut tried = Vec::new();
    let mut last = None;
    for _ in 0..MAX_CONNECTS {
        let routing = call.tracked.span.child(Hop::Route);
        let chosen = edge.choose_service(call, &tried);
        drop(routing);
        let (endpoint, in_flight) = match chosen {
            Ok(chosen) => chosen,
            Err(why) => return Err(last.unwrap_or_else(|| no_endpoint(call, why))),
        };
        tried.push(endpoint.clone());
        let mut connecting = call.tracked.span.child(Hop::Connect);
        connecting.set("endpoint", endpoint.to_string());
        match in_flight.target().pool().connect(timeout).await {
            Ok(connection) => return Ok(Connected { connection, in_flight }),
            Err(failure) => {
                edge.service_ended(&endpoint, Outcome::Failed);
                last = Some(failure);
            }
        }
    }
    Err(last.expect("the loop ran at least once"))
}

pub(super) fn no_endpoint(call: &Call, why: NoEndpoint) -> Failure {
    match why {
        NoEndpoint::Unknown => Failure::not_found(format!("no endpoint serves {}", call.service)),
        NoEndpoint::AllTried => Failure::unavailable(
            format!("no endpoint of {} is available", call.service),
            RETRY_AFTER,
        ),
    }
}

impl Call {
    /// Returns the call with its caller's key, if it has one.
    fn keyed(&self) -> Result<Option<Keyed>, Failure> {
        let Some(key) = self.parts.headers.get("idempotency-key") else { return Ok(None) };
        let key: IdempotencyKey = key
            .to_str()
            .map_err(|_| Failure::bad_request("the idempotency key is no text"))?
            .parse()
            .map_err(|e: ParseError| Failure::bad_request(e.to_string()))?;
        let request = Hasher::default()
            .field(self.parts.method.as_str().as_bytes())
            .field(self.service.as_str().as_bytes())
            .field(self.path.as_bytes())
            .field(&self.body)
            .finish();
        let call = CallKey { organisation: self.organisation.clone(), key };
        Ok(Some(Keyed { call, request }))
    }

    pub(super) fn request(&self, in_flight: &InFlight) -> Request<Full<Bytes>> {
        let target = in_flight.target();
        let mut req = Request::new(Full::new(self.body.clone()));
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
    for name in PASSED_HEADERS {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
    to.remove(AUTHORIZATION);
}

/// A service's whole answer.
pub(super) struct ServiceAnswer {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

/// Reads a service's whole answer, so that a cut one never passes as whole.
pub(super) async fn read_answer(
    edge: &Edge,
    response: Response<Incoming>,
) -> Result<ServiceAnswer, Failure> {
    let (parts, body) = response.into_parts();
    let max_bytes = usize::try_from(edge.cfg.limits.body_bytes.as_u64()).unwrap_or(usize::MAX);
    let body = Limited::new(body, max_bytes).collect().await.map_err(|e| {
        Failure::bad_gateway(format!("the service's answer was cut: {e}"), Verdict::MayHaveRun)
    })?;
    Ok(ServiceAnswer {
        status: parts.status,
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        body: body.to_bytes(),
    })
}

impl ServiceAnswer {
    /// Returns what the ledger keeps; a body over `max_bytes` is left out.
    fn kept(&self, max_bytes: usize) -> Answer {
        let content_type = self.content_type.as_ref().and_then(|text| text.to_str().ok());
        let body = (self.body.len() <= max_bytes).then(|| self.body.as_ref().into());
        Answer { status: self.status.as_u16(), content_type: content_type.map(Into::into), body }
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
