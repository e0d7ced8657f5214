//! Idempotent calls to plain services: retried on failure, and hedged when the response is late.

use std::{rc::Rc, time::Duration};

use base::EndpointId;
use fleet::setting::HedgeDelay;
use hyper::Response;
use route::Outcome;

use crate::failure::Failure;

use super::{
    Edge,
    body::Body,
    services::{self, ServiceCall, ServiceResponse},
    targets::InFlight,
    tracked::REQUEST_ID_HEADER,
};

/// Most endpoints tried for a call, not counting hedges.
const MAX_ATTEMPTS: u32 = 3;

/// Sends a call, and retries it at another endpoint if it fails.
pub(super) async fn send(edge: &Rc<Edge>, call: &ServiceCall) -> Result<Response<Body>, Failure> {
    let mut tried = Vec::new();
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        if last.is_some() && !edge.retries.try_spend_and_wait(attempt - 1).await {
            break;
        }
        if last.is_some() {
            call.tracked.recorder.retry();
        }
        let first = match edge.choose_service_endpoint(call, &tried) {
            Ok(first) => first,
            Err(why) => return Err(last.unwrap_or_else(|| services::no_endpoint(call, why))),
        };
        tried.push(first.0.clone());
        match attempt_hedged(edge, call, first, &mut tried).await {
            Ok(response) => return Ok(response.into_response()),
            Err(failure) => last = Some(failure),
        }
    }
    Err(last.expect("the loop ran at least once"))
}

/// Sends a call, and a hedge to a second endpoint if the response is late and the settings allow it.
///
/// The first successful response is returned; the other call is cancelled.
async fn attempt_hedged(
    edge: &Edge,
    call: &ServiceCall,
    first: (EndpointId, InFlight),
    tried: &mut Vec<EndpointId>,
) -> Result<ServiceResponse, Failure> {
    let (endpoint, in_flight) = first;
    let first = attempt(edge, call, endpoint, in_flight);
    let HedgeDelay::After(delay) = call.settings.hedge_delay else { return first.await };
    tokio::pin!(first);
    let delay: Duration = delay.as_duration();
    if let Ok(response) = tokio::time::timeout(delay, first.as_mut()).await {
        return response;
    }
    let Ok((endpoint, in_flight)) = edge.choose_service_endpoint(call, tried) else {
        return first.await;
    };
    if !edge.retries.try_spend() {
        return first.await;
    }
    call.tracked.recorder.hedge();
    tried.push(endpoint.clone());
    let second = attempt(edge, call, endpoint, in_flight);
    tokio::pin!(second);
    tokio::select! {
        response = first.as_mut() => if response.is_ok() { response } else { second.await },
        response = second.as_mut() => if response.is_ok() { response } else { first.await },
    }
}

/// Sends a call to one endpoint and records the outcome.
async fn attempt(
    edge: &Edge,
    call: &ServiceCall,
    endpoint: EndpointId,
    in_flight: InFlight,
) -> Result<ServiceResponse, Failure> {
    let started_at = edge.clock.now();
    let response = exchange(edge, call, &in_flight).await;
    let outcome = match &response {
        Ok(_) => Outcome::Answered(edge.clock.now().saturating_since(started_at)),
        Err(_) => Outcome::Failed,
    };
    edge.record_service_outcome(&endpoint, outcome);
    response
}

async fn exchange(
    edge: &Edge,
    call: &ServiceCall,
    in_flight: &InFlight,
) -> Result<ServiceResponse, Failure> {
    let pool = in_flight.target().pool();
    let timeout = call.settings.connect_timeout.as_duration();
    let request = call.request(in_flight);
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let (response, connection) = pool.send(request, timeout).await?;
    let response = services::read_response(edge, response).await?;
    // A faulty service may write a refusal once more, as the next request's response.
    if response.is_success() {
        pool.return_idle(connection, id);
    }
    Ok(response)
}
