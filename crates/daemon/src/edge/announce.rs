use std::rc::Rc;

use hyper::{Request, Response, StatusCode};
use member::Announcement;
use wire::announcement::AnnouncementBody;

use crate::roster::RosterInput;

use crate::{failure::Failure, serve::RequestBody};

use super::{
    Edge,
    body::{self, Body},
};

/// Handles `POST /announce`: passes an endpoint's announcement to the roster thread.
pub(super) async fn handle(
    edge: &Rc<Edge>,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Failure> {
    edge.keys.check_fleet(req.headers())?;
    let body = body::read(edge, req.into_body()).await?;
    let announcement = AnnouncementBody::from_slice(&body)
        .and_then(Announcement::try_from)
        .map_err(|e| Failure::bad_request(e.to_string()))?;
    if edge.announcements.send_async(RosterInput::Announced(announcement)).await.is_err() {
        return Err(Failure::unavailable("the router is shutting down", std::time::Duration::ZERO));
    }
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    Ok(response)
}
