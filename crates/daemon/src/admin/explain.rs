use std::time::Duration;

use rouille::Request;
use wire::operator::{ExplainRequest, Explanation};

use crate::edge::AdminQuery;

use super::{Pages, body, problems::Refused};

/// Longest wait for the edge thread.
const EDGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks the edge thread where a request would go.
pub(super) fn explain(pages: &Pages, req: &Request) -> Result<Explanation, Refused> {
    let request: ExplainRequest = body::read(req, pages.sources.cfg.limits.body_bytes.as_u64())?;
    let nowhere = format!("no endpoint serves model {}", request.model);
    let (reply, answer) = flume::bounded(1);
    let asked = pages.sources.admin_queries.try_send(AdminQuery::Explain { request, reply });
    let busy = || Refused::unavailable("the router is busy or ending");
    asked.map_err(|_| busy())?;
    let explanation = answer.recv_timeout(EDGE_TIMEOUT).map_err(|_| busy())?;
    explanation.ok_or_else(|| Refused::not_found(nowhere))
}
