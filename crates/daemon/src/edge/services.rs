use std::{rc::Rc, time::Duration};

use base::{OrganisationId, ServiceId, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::Incoming,
    header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE, HOST},
    http::request::Parts,
};

use super::{
    Edge,
    body::{self, Body},
    failure::Failure,
    router::NoEndpoint,
    targets::InFlight,
    upstream,
};

/// Start of the paths of plain services.
pub(super) const PATH_PREFIX: &str = "/services/";

/// Headers of a call that the service gets.
const PASSED_HEADERS: [&str; 4] = ["idempotency-key", "x-request-id", "traceparent", "user-agent"];

/// Most endpoints tried for an idempotent call.
const MAX_ATTEMPTS: usize = 3;

/// Most endpoints that a call which may not be repeated tries to connect to.
const MAX_CONNECTS: usize = 3;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
struct Call {
    organisation: OrganisationId,
    service: ServiceId,
    path: String,
    parts: Parts,
    body: Bytes,
}

/// Answers calls to plain services.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let organisation = edge.keys.organisation(req.headers())?;
    let (parts, body) = req.into_parts();
    let (service, path) = split_path(&parts)?;
    let body = body::read(edge, body).await?;
    let call = Call { organisation, service, path, parts, body };
    let idempotent = matches!(call.parts.method, Method::GET | Method::HEAD);
    let timeout = edge.cfg.timeouts.request;
    let sending = async {
        if idempotent { send_idempotent(edge, &call).await } else { send_once(edge, &call).await }
    };
    tokio::time::timeout(timeout, sending).await.unwrap_or_else(|_| {
        Err(Failure::timed_out("the service did not answer in time", Verdict::MayHaveRun))
    })
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

async fn send_idempotent(edge: &Rc<Edge>, call: &Call) -> Result<Response<Body>, Failure> {
    let mut tried = Vec::new();
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let chosen = edge.router.borrow_mut().choose_service(&call.service, &tried);
        let (endpoint, in_flight) = match chosen {
            Ok(chosen) => chosen,
            Err(why) => return Err(last.unwrap_or_else(|| no_endpoint(call, why))),
        };
        tried.push(endpoint);
        let pool = in_flight.target().pool();
        let sent = pool.send(call.request(&in_flight), edge.cfg.timeouts.connect).await;
        let answer = match sent {
            Ok((response, connection)) => {
                let answer = read_answer(edge, response).await;
                if answer.is_ok() {
                    pool.put_back(connection);
                }
                answer
            }
            Err(failure) => Err(failure),
        };
        match answer {
            Ok(answer) => return Ok(answer),
            Err(failure) => last = Some(failure),
        }
    }
    Err(last.expect("the loop ran at least once"))
}

/// Sends a call that may not be repeated over a connection of its own.
async fn send_once(edge: &Rc<Edge>, call: &Call) -> Result<Response<Body>, Failure> {
    let mut tried = Vec::new();
    let mut last = None;
    for _ in 0..MAX_CONNECTS {
        let chosen = edge.router.borrow_mut().choose_service(&call.service, &tried);
        let (endpoint, in_flight) = match chosen {
            Ok(chosen) => chosen,
            Err(why) => return Err(last.unwrap_or_else(|| no_endpoint(call, why))),
        };
        tried.push(endpoint);
        match in_flight.target().pool().connect(edge.cfg.timeouts.connect).await {
            Ok(mut connection) => {
                let response =
                    upstream::send_once(&mut connection, call.request(&in_flight)).await?;
                return read_answer(edge, response).await;
            }
            Err(failure) => last = Some(failure),
        }
    }
    Err(last.expect("the loop ran at least once"))
}

fn no_endpoint(call: &Call, why: NoEndpoint) -> Failure {
    match why {
        NoEndpoint::Unknown => Failure::not_found(format!("no endpoint serves {}", call.service)),
        NoEndpoint::AllTried => {
            Failure::unavailable(format!("every endpoint of {} failed", call.service), RETRY_AFTER)
        }
    }
}

impl Call {
    fn request(&self, in_flight: &InFlight) -> Request<Full<Bytes>> {
        let target = in_flight.target();
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.path.parse().expect("a path taken from a valid one is valid");
        let headers = req.headers_mut();
        copy_headers(&self.parts.headers, headers);
        let address = target.announcement().address.to_string();
        headers.insert(HOST, address.parse().expect("an address is a valid header"));
        let organisation = self.organisation.as_str();
        headers.insert("x-organisation", organisation.parse().expect("an id is a valid header"));
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

/// Reads a service's whole answer, so that a cut one never passes as whole.
async fn read_answer(edge: &Edge, response: Response<Incoming>) -> Result<Response<Body>, Failure> {
    let (parts, body) = response.into_parts();
    let max_bytes = usize::try_from(edge.cfg.limits.body_bytes.as_u64()).unwrap_or(usize::MAX);
    let body = Limited::new(body, max_bytes).collect().await.map_err(|e| {
        Failure::broken(format!("the service's answer was cut: {e}"), Verdict::MayHaveRun)
    })?;
    let mut answer = Response::new(Body::whole(body.to_bytes()));
    *answer.status_mut() = parts.status;
    if let Some(content_type) = parts.headers.get(CONTENT_TYPE) {
        answer.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    Ok(answer)
}
