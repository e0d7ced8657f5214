use std::{rc::Rc, time::Duration};

use hyper::{Request, Response, StatusCode};
use member::Announcement;
use wire::announcement::AnnouncementBody;

use crate::roster::RosterInput;

use crate::{failure::Failure, serve::RequestBody};

use super::{
    Edge,
    body::{self, Body},
};

/// `Retry-After` of an endpoint whose departure no leader has confirmed.
const DEPARTURE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles `POST /announce`: passes an endpoint's announcement to the roster thread.
///
/// That an endpoint leaves is acknowledged only once the replicated log holds it too.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Failure> {
    edge.keys.check_fleet(req.headers())?;
    let body = body::read(edge, req.into_body()).await?;
    let announcement = AnnouncementBody::from_slice(&body.bytes)
        .and_then(Announcement::try_from)
        .map_err(|e| Failure::bad_request(e.to_string()))?;
    let leaving = announcement.leaving;
    let (endpoint, incarnation) = (announcement.endpoint.clone(), announcement.incarnation);
    if edge.announcements.send_async(RosterInput::Announced(announcement)).await.is_err() {
        return Err(Failure::unavailable("the router is shutting down", Duration::ZERO));
    }
    if leaving && edge.departures.commit(&endpoint, incarnation).await.is_err() {
        let detail = "no leader confirmed that the endpoint leaves";
        return Err(Failure::unavailable(detail, DEPARTURE_RETRY_AFTER));
    }
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    Ok(response)
}
