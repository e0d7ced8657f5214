//! Control requests of operators and endpoints.

use std::{rc::Rc, sync::Arc, time::Duration};

use fleet::{Command, Reply};
use hyper::{Request, Response};
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::{buffers::RequestReadError, leader_client::LeaderRequestError, serve::RequestBody};

use super::{
    ActiveRequest, ControlRequest, ControlRequestError, ControlResponse, Dialect, Gateway,
    announcements, body::Body,
};

/// Largest body of a control request, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;

/// Longest wait for the leader, a little shorter than the clients' own timeout.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Handles a control request.
pub(super) async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let _active = ActiveRequest::begin(&gateway);
    let (head, body) = req.into_parts();
    let response = match gateway.buffer_budget.read_request(body, MAX_BODY_BYTES).await {
        Ok(body) => match gateway.dialect.control_request(&head, &body.bytes) {
            Ok(request) => execute(&gateway, request).await,
            Err(ControlRequestError::Unknown) => ControlResponse::Unknown,
            Err(ControlRequestError::Malformed(e)) => ControlResponse::Malformed(e.to_string()),
        },
        Err(RequestReadError::TooLarge) => ControlResponse::TooLarge,
        Err(RequestReadError::Full) => {
            ControlResponse::Unavailable("too many bodies are held in memory")
        }
        Err(RequestReadError::Stalled) => {
            ControlResponse::Malformed("the body arrived too slowly".to_owned())
        }
        Err(RequestReadError::Connection(e)) => {
            ControlResponse::Malformed(format!("can't read the body: {e}"))
        }
    };
    log_rejected(&response, head.uri.path());
    gateway.dialect.control_response(&response).map(Body::from)
}

fn log_rejected(response: &ControlResponse, path: &str) {
    match response {
        ControlResponse::Malformed(why) => {
            log::warn!(path, why = why.as_str(); "control request rejected")
        }
        ControlResponse::Unavailable(why) => log::info!(path, why; "control request failed"),
        _ => {}
    }
}

async fn execute<D: Dialect>(gateway: &Rc<Gateway<D>>, request: ControlRequest) -> ControlResponse {
    match request {
        ControlRequest::Announce(announcement) => {
            announcements::announce(gateway, *announcement).await
        }
        ControlRequest::Leave { endpoint, incarnation } => {
            announcements::leave(gateway, &endpoint, incarnation).await
        }
        ControlRequest::Publish(publication) => {
            let number = publication.number;
            let response = submit(gateway, Command::Publish(publication)).await;
            log::info!(number:%, response:?; "configuration submitted");
            response
        }
        ControlRequest::SetDesiredWeights(desired) => {
            let (model, version) = (desired.model.clone(), desired.version);
            let response = submit(gateway, Command::SetDesiredWeights(desired)).await;
            log::info!(model:%, version, response:?; "desired weights submitted");
            response
        }
        ControlRequest::ReadConfiguration => read_configuration(gateway).await,
    }
}

/// Sends a command to the leader; retries are safe, as every command is idempotent.
async fn submit<D: Dialect>(gateway: &Gateway<D>, command: Command) -> ControlResponse {
    let response = gateway.leader.submit(&LeaderRequest::Command(command), LEADER_TIMEOUT).await;
    match response {
        Ok(LeaderResponse::Reply(Reply::Publish(_) | Reply::Weights(_))) => ControlResponse::Done,
        Ok(_) => ControlResponse::Unavailable("unexpected response from the leader"),
        Err(LeaderRequestError::NotAccepted) => {
            ControlResponse::Unavailable("no leader accepted the command")
        }
        Err(LeaderRequestError::Unknown) => {
            ControlResponse::Unavailable("no leader confirmed the command")
        }
    }
}

async fn read_configuration<D: Dialect>(gateway: &Gateway<D>) -> ControlResponse {
    match gateway.leader.submit(&LeaderRequest::ReadPublished, LEADER_TIMEOUT).await {
        Ok(LeaderResponse::Published(view)) => match view.content {
            Some(content) => ControlResponse::Configuration(Arc::clone(&content)),
            None => ControlResponse::NoConfiguration,
        },
        Ok(_) => ControlResponse::Unavailable("unexpected response from the leader"),
        Err(_) => ControlResponse::Unavailable("no leader confirmed the newest configuration"),
    }
}
