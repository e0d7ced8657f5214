use std::time::Duration;

use rouille::Request;
use wire::operator::{ExplainRequest, Explanation, RouteExplanation, RouteQuery};

use crate::edge::{AdminQuery, RouteQueryError};

use super::{AdminApi, body, problems::ApiError};

/// Longest wait for the response of the thread that serves callers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries the edge thread for the endpoint that a request would be sent to.
pub(super) fn explain(api: &AdminApi, req: &Request) -> Result<Explanation, ApiError> {
    let request: ExplainRequest = body::read(req, api.context.cfg.limits.body_bytes.as_u64())?;
    let not_found = format!("no endpoint serves model {}", request.model);
    let explanation = ask(api, |reply| AdminQuery::Explain { request, reply })?;
    explanation.ok_or_else(|| ApiError::not_found(not_found))
}

/// Queries the gateway's thread for the way that a caller's request would take.
pub(super) fn explain_route(api: &AdminApi, req: &Request) -> Result<RouteExplanation, ApiError> {
    let request: RouteQuery = body::read(req, api.context.cfg.limits.body_bytes.as_u64())?;
    let explanation = ask(api, |reply| AdminQuery::ExplainRoute { request, reply })?;
    explanation.map_err(|e| match e {
        RouteQueryError::Malformed(reason) => ApiError::invalid(reason),
        RouteQueryError::NoRoutes => ApiError::not_found("this router has no routes"),
    })
}

/// Sends a query to the thread that serves callers, and waits for the response.
fn ask<T>(
    api: &AdminApi,
    query: impl FnOnce(flume::Sender<T>) -> AdminQuery,
) -> Result<T, ApiError> {
    let (reply, response) = flume::bounded(1);
    let busy = || ApiError::unavailable("the router is busy or shutting down");
    api.context.admin_queries.try_send(query(reply)).map_err(|_| busy())?;
    response.recv_timeout(RESPONSE_TIMEOUT).map_err(|_| busy())
}
