use std::time::Duration;

use rouille::Request;
use wire::operator::{ExplainRequest, Explanation};

use crate::edge::AdminQuery;

use super::{AdminApi, body, problems::ApiError};

/// Longest wait for the edge thread's response.
const EDGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries the edge thread for the endpoint that a request would be sent to.
pub(super) fn explain(api: &AdminApi, req: &Request) -> Result<Explanation, ApiError> {
    let request: ExplainRequest = body::read(req, api.context.cfg.limits.body_bytes.as_u64())?;
    let not_found = format!("no endpoint serves model {}", request.model);
    let (reply, response) = flume::bounded(1);
    let sent = api.context.admin_queries.try_send(AdminQuery::Explain { request, reply });
    let busy = || ApiError::unavailable("the router is busy or shutting down");
    sent.map_err(|_| busy())?;
    let explanation = response.recv_timeout(EDGE_RESPONSE_TIMEOUT).map_err(|_| busy())?;
    explanation.ok_or_else(|| ApiError::not_found(not_found))
}
