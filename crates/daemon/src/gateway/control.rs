//! Calls of operators and endpoints.

use std::{rc::Rc, sync::Arc, time::Duration};

use base::EndpointId;
use fleet::{Command, Reply};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming};
use member::Announcement;
use wire::leader::{LeaderAnswer, LeaderRequest};

use crate::{leader_client::LeaderRequestError, roster::RosterInput};

use super::{ActiveRequest, BadCall, ControlAnswer, ControlCall, Dialect, Gateway, body::Body};

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 8 << 20;

/// Longest wait for the leader, a little below the callers' own.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Shortest time for which an announcement counts; heartbeats may be seconds late.
const MIN_LEASE: Duration = Duration::from_secs(6);

/// Answers a call.
pub(super) async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let _active = ActiveRequest::begin(&gateway);
    let (head, body) = req.into_parts();
    let answer = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => match gateway.dialect.control(&head, &body.to_bytes()) {
            Ok(call) => carry_out(&gateway, call).await,
            Err(BadCall::Unknown) => ControlAnswer::Unknown,
            Err(BadCall::Malformed(e)) => ControlAnswer::Malformed(e.to_string()),
        },
        Err(e) if e.is::<LengthLimitError>() => ControlAnswer::TooLarge,
        Err(e) => ControlAnswer::Malformed(format!("the body can't be read: {e}")),
    };
    log_refused(&answer, head.uri.path());
    gateway.dialect.control_answer(&answer).map(Body::from)
}

fn log_refused(answer: &ControlAnswer, path: &str) {
    match answer {
        ControlAnswer::Malformed(why) => log::warn!(path, why = why.as_str(); "call refused"),
        ControlAnswer::Unavailable(why) => log::info!(path, why; "call not carried out"),
        _ => {}
    }
}

async fn carry_out<D: Dialect>(gateway: &Rc<Gateway<D>>, call: ControlCall) -> ControlAnswer {
    match call {
        ControlCall::Announce(announcement) => announce(gateway, *announcement),
        ControlCall::Leave { endpoint, incarnation } => {
            match leave(gateway, &endpoint, incarnation) {
                Some(announcement) => announce(gateway, announcement),
                // Nobody sends it anything.
                None => ControlAnswer::Done,
            }
        }
        ControlCall::Publish(publication) => {
            let number = publication.number;
            let answer = command(gateway, Command::Publish(publication)).await;
            log::info!(number:%, answer:? = answer; "configuration submitted");
            answer
        }
        ControlCall::NameWeights(named) => {
            let (model, version) = (named.model.clone(), named.version);
            let answer = command(gateway, Command::NameWeights(named)).await;
            log::info!(model:%, version, answer:? = answer; "weights submitted");
            answer
        }
        ControlCall::ReadConfiguration => read_configuration(gateway).await,
    }
}

/// Passes an announcement on to the roster, unless this host can't spread it.
fn announce<D: Dialect>(gateway: &Gateway<D>, mut announcement: Announcement) -> ControlAnswer {
    announcement.lease = announcement.lease.max(MIN_LEASE);
    if gateway.latest.load().is_some_and(|roster| roster.isolated) {
        return ControlAnswer::Unavailable("this host hears no other router");
    }
    match gateway.roster.try_send(RosterInput::Announced(announcement)) {
        Ok(()) => ControlAnswer::Done,
        Err(_) => ControlAnswer::Unavailable("the router is busy or ending"),
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
async fn command<D: Dialect>(gateway: &Gateway<D>, command: Command) -> ControlAnswer {
    let asked = gateway.leader.submit(&LeaderRequest::Command(command), LEADER_TIMEOUT).await;
    match asked {
        Ok(LeaderAnswer::Reply(Reply::Publish(_) | Reply::Weights(_))) => ControlAnswer::Done,
        Ok(_) => ControlAnswer::Unavailable("the leader's answer is of another kind"),
        Err(LeaderRequestError::NotAccepted) => ControlAnswer::Unavailable("no leader took it"),
        Err(LeaderRequestError::Unknown) => ControlAnswer::Unavailable("no leader confirmed it"),
    }
}

async fn read_configuration<D: Dialect>(gateway: &Gateway<D>) -> ControlAnswer {
    match gateway.leader.submit(&LeaderRequest::ReadPublished, LEADER_TIMEOUT).await {
        Ok(LeaderAnswer::Published(view)) => match view.content {
            Some(content) => ControlAnswer::Configuration(Arc::clone(&content)),
            None => ControlAnswer::NoConfiguration,
        },
        Ok(_) => ControlAnswer::Unavailable("the leader's answer is of another kind"),
        Err(_) => ControlAnswer::Unavailable("no leader confirms which configuration is newest"),
    }
}
