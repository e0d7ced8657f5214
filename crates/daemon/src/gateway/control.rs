//! Calls of operators and endpoints.

use std::{rc::Rc, sync::Arc, time::Duration};

use base::EndpointId;
use fleet::{Command, Reply};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming};
use member::Announcement;
use wire::leader::{LeaderAnswer, LeaderRequest};

use crate::{leader_client::NoAnswer, roster::RosterInput};

use super::{
    ActiveRequest, ControlRequest, ControlRequestError, ControlResponse, Dialect, Gateway,
    body::Body,
};

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Longest wait for the leader, a little below the callers' own.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Shortest time for which an announcement counts; heartbeats may be seconds late.
const MIN_ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(6);

/// Answers a call.
pub(super) async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let _active = ActiveRequest::begin(&gateway);
    let (head, body) = req.into_parts();
    let answer = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => match gateway.dialect.control_request(&head, &body.to_bytes()) {
            Ok(call) => execute(&gateway, call).await,
            Err(ControlRequestError::Unknown) => ControlResponse::Unknown,
            Err(ControlRequestError::Malformed(e)) => ControlResponse::Malformed(e.to_string()),
        },
        Err(e) if e.is::<LengthLimitError>() => ControlResponse::TooLarge,
        Err(e) => ControlResponse::Malformed(format!("the body can't be read: {e}")),
    };
    log_rejected(&answer, head.uri.path());
    gateway.dialect.control_response(&answer).map(Body::from)
}

fn log_rejected(answer: &ControlResponse, path: &str) {
    match answer {
        ControlResponse::Malformed(why) => log::warn!(path, why = why.as_str(); "call refused"),
        ControlResponse::Unavailable(why) => log::info!(path, why; "call not carried out"),
        _ => {}
    }
}

async fn execute<D: Dialect>(gateway: &Rc<Gateway<D>>, call: ControlRequest) -> ControlResponse {
    match call {
        ControlRequest::Announce(announcement) => announce(gateway, *announcement),
        ControlRequest::Leave { endpoint, incarnation } => {
            match leave(gateway, &endpoint, incarnation) {
                Some(announcement) => announce(gateway, announcement),
                // Nobody sends it anything.
                None => ControlResponse::Done,
            }
        }
        ControlRequest::Publish(publication) => {
            let number = publication.number;
            let answer = command(gateway, Command::Publish(publication)).await;
            log::info!(number:%, answer:? = answer; "configuration submitted");
            answer
        }
        ControlRequest::NameWeights(named) => {
            let (model, version) = (named.model.clone(), named.version);
            let answer = command(gateway, Command::NameWeights(named)).await;
            log::info!(model:%, version, answer:? = answer; "weights submitted");
            answer
        }
        ControlRequest::ReadConfiguration => read_configuration(gateway).await,
    }
}

/// Passes an announcement on to the roster, unless this host can't spread it.
fn announce<D: Dialect>(gateway: &Gateway<D>, mut announcement: Announcement) -> ControlResponse {
    announcement.lease = announcement.lease.max(MIN_ANNOUNCEMENT_LEASE);
    if gateway.latest.load().is_some_and(|roster| roster.isolated) {
        return ControlResponse::Unavailable("this host hears no other router");
    }
    match gateway.roster.try_send(RosterInput::Announced(announcement)) {
        Ok(()) => ControlResponse::Done,
        Err(_) => ControlResponse::Unavailable("the router is busy or ending"),
    }
}

/// Returns the last word of an endpoint that is known here.
fn leave<D: Dialect>(
    gateway: &Gateway<D>,
    endpoint: &EndpointId,
    incarnation: Option<base::Incarnation>,
) -> Option<Announcement> {
    let roster = gateway.latest.load()?;
    let known = roster.endpoints.iter().find(|known| known.announcement.endpoint == *endpoint)?;
    let mut announcement = Announcement::clone(&known.announcement);
    if incarnation.is_some_and(|ends| ends != announcement.incarnation) {
        return None;
    }
    announcement.sequence = announcement.sequence.next();
    announcement.leaving = true;
    Some(announcement)
}

/// Brings a command to the leader; it may be sent again, as each one is idempotent.
async fn command<D: Dialect>(gateway: &Gateway<D>, command: Command) -> ControlResponse {
    let asked = gateway.leader.ask(&LeaderRequest::Command(command), LEADER_TIMEOUT).await;
    match asked {
        Ok(LeaderAnswer::Reply(Reply::Publish(_) | Reply::Weights(_))) => ControlResponse::Done,
        Ok(_) => ControlResponse::Unavailable("the leader's answer is of another kind"),
        Err(NoAnswer::NotTaken) => ControlResponse::Unavailable("no leader took it"),
        Err(NoAnswer::Unknown) => ControlResponse::Unavailable("no leader confirmed it"),
    }
}

async fn read_configuration<D: Dialect>(gateway: &Gateway<D>) -> ControlResponse {
    match gateway.leader.ask(&LeaderRequest::ReadPublished, LEADER_TIMEOUT).await {
        Ok(LeaderAnswer::Published(view)) => match view.content {
            Some(content) => ControlResponse::Configuration(Arc::clone(&content)),
            None => ControlResponse::NoConfiguration,
        },
        Ok(_) => ControlResponse::Unavailable("the leader's answer is of another kind"),
        Err(_) => ControlResponse::Unavailable("no leader confirms which configuration is newest"),
    }
}
