use std::{rc::Rc, time::Duration};

use base::{Digest, Incarnation, MonotonicTime, UnixMillis, Verdict};
use bytes::Bytes;
use fleet::{
    CallKey, Claim, ClaimId, ClaimReply, Command, Finish, MayHaveRunReason, Outcome, Owner,
    OwnerGone, Release, Reply, StoredResponse,
};
use hyper::{Response, StatusCode, header::CONTENT_TYPE};
use tokio::task::JoinHandle;
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::leader_client::LeaderRequestError;

use crate::failure::Failure;

use super::{Edge, body::Body};

/// Time between polls of a call that another host has claimed.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which a report to the ledger delays a drain.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for which a response is held back until the ledger has stored it.
const STORE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` when no quorum is reached or the organisation has too many open calls.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A non-idempotent call with its caller's idempotency key.
pub(super) struct KeyedCall {
    pub call: CallKey,
    pub request: Digest,
}

/// Outcome of a claim that succeeded.
pub(super) enum ClaimOutcome {
    /// The call may be sent once.
    Send(SendPermit),
    /// The call was sent before; this is its stored response.
    AlreadyAnswered(Response<Body>),
}

/// Permission to send a call once, until a deadline.
///
/// Dropping an unused permit releases the claim, since the call was never sent.
pub(super) struct SendPermit {
    attempt: ClaimAttempt,
    deadline: MonotonicTime,
}

/// An attempt to claim a call; released on drop unless it is used or known not to hold the claim.
struct ClaimAttempt {
    edge: Rc<Edge>,
    call: CallKey,
    request: Digest,
    id: ClaimId,
    release_on_drop: bool,
}

impl KeyedCall {
    /// Claims the call, or waits for the stored response if another attempt has claimed it.
    pub(super) async fn claim(
        &self,
        edge: &Rc<Edge>,
        timeout: Duration,
        wait: Duration,
    ) -> Result<ClaimOutcome, Failure> {
        let wait_until = edge.clock.now() + wait;
        loop {
            let mut attempt = self.new_attempt(edge);
            let proposed = edge.clock.now();
            let reply = match self.propose(edge, attempt.id, timeout).await {
                Ok(reply) => reply,
                Err(LeaderRequestError::NotAccepted) => {
                    attempt.release_on_drop = false;
                    return Err(no_quorum());
                }
                Err(LeaderRequestError::Unknown) => return Err(no_quorum()),
            };
            if let ClaimReply::Claimed { send_within } = reply {
                let deadline = proposed + send_within;
                return Ok(ClaimOutcome::Send(SendPermit { attempt, deadline }));
            }
            attempt.release_on_drop = false;
            match reply {
                ClaimReply::InProgress(owner) => {
                    self.wait_until_settled(edge, &owner, wait_until).await?
                }
                settled => return settled_response(settled),
            }
        }
    }

    fn new_attempt(&self, edge: &Rc<Edge>) -> ClaimAttempt {
        ClaimAttempt {
            edge: Rc::clone(edge),
            call: self.call.clone(),
            request: self.request,
            id: ClaimId::new(rand::random()),
            release_on_drop: true,
        }
    }

    async fn propose(
        &self,
        edge: &Edge,
        id: ClaimId,
        timeout: Duration,
    ) -> Result<ClaimReply, LeaderRequestError> {
        let claim = Claim {
            call: self.call.clone(),
            request: self.request,
            id,
            owner: edge.owner.clone(),
            at: UnixMillis::default(),
        };
        match submit_command(edge, Command::Claim(claim), timeout).await? {
            Reply::Claim(reply) => Ok(reply),
            _ => Err(LeaderRequestError::Unknown),
        }
    }

    /// Polls the ledger until the call is no longer claimed by `owner`.
    async fn wait_until_settled(
        &self,
        edge: &Edge,
        owner: &Owner,
        until: MonotonicTime,
    ) -> Result<(), Failure> {
        let request = LeaderRequest::ReadCall(self.call.clone());
        while edge.clock.now() < until {
            tokio::time::sleep(CLAIM_POLL_INTERVAL).await;
            let left = until.saturating_since(edge.clock.now());
            if let Ok(LeaderResponse::Call(call)) = edge.leader.submit(&request, left).await
                && !call.is_some_and(|call| call.state.is_open())
            {
                return Ok(());
            }
        }
        let detail = format!("{owner} has claimed the call and not yet reported its outcome");
        Err(Failure::timed_out(detail, Verdict::MayHaveRun))
    }
}

impl SendPermit {
    /// Consumes the permit; called right before the first byte is sent.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict that nothing has run if the deadline has passed.
    pub(super) fn redeem(mut self) -> Result<SentCall, Failure> {
        let attempt = &mut self.attempt;
        if self.deadline <= attempt.edge.clock.now() {
            return Err(Failure::timed_out(
                "the deadline to send the claimed call has passed",
                Verdict::NotRun,
            ));
        }
        attempt.release_on_drop = false;
        let (edge, call) = (Rc::clone(&attempt.edge), attempt.call.clone());
        Ok(SentCall { edge, call, id: attempt.id, reported: false })
    }
}

impl Drop for ClaimAttempt {
    fn drop(&mut self) {
        if self.release_on_drop {
            let release = Release {
                call: self.call.clone(),
                request: self.request,
                id: self.id,
                owner: self.edge.owner.clone(),
                at: UnixMillis::default(),
            };
            let edge = Rc::clone(&self.edge);
            tokio::task::spawn_local(submit_until_committed(edge, Command::Release(release)));
        }
    }
}

/// A call that was sent under a claim; its outcome is reported once, as unknown if it is dropped.
pub(super) struct SentCall {
    edge: Rc<Edge>,
    call: CallKey,
    id: ClaimId,
    reported: bool,
}

impl SentCall {
    /// Reports the response, and waits up to [`STORE_RESPONSE_TIMEOUT`] until the ledger has stored it.
    ///
    /// The report continues after the timeout, and if the wait is cancelled.
    pub(super) async fn report_response(mut self, response: StoredResponse) {
        self.reported = true;
        let report = self.report(Outcome::Answered(response));
        let _ = tokio::time::timeout(STORE_RESPONSE_TIMEOUT, report).await;
    }

    fn report(&self, outcome: Outcome) -> JoinHandle<()> {
        let finish = Finish {
            call: self.call.clone(),
            id: self.id,
            owner: self.edge.owner.clone(),
            outcome,
            at: UnixMillis::default(),
        };
        tokio::task::spawn_local(submit_until_committed(
            Rc::clone(&self.edge),
            Command::Finish(finish),
        ))
    }
}

impl Drop for SentCall {
    fn drop(&mut self) {
        if !self.reported {
            drop(self.report(Outcome::Unknown));
        }
    }
}

/// Reports to the ledger that this host's earlier incarnations have ended.
pub(super) async fn report_earlier_incarnations_ended(edge: Rc<Edge>) {
    let before = edge.owner.incarnation.as_u64().saturating_sub(1);
    let owner = Owner { host: edge.owner.host.clone(), incarnation: Incarnation::new(before) };
    let gone = OwnerGone { owner, at: UnixMillis::default() };
    while submit_command(&edge, Command::OwnerGone(gone.clone()), REPORT_TIMEOUT).await.is_err() {}
}

/// Submits a command to the ledger repeatedly until it is committed.
///
/// A drain waits for the commit for up to [`REPORT_TIMEOUT`].
async fn submit_until_committed(edge: Rc<Edge>, command: Command) {
    let active = edge.begin_report();
    if submit_command(&edge, command.clone(), REPORT_TIMEOUT).await.is_ok() {
        return;
    }
    drop(active);
    log::warn!("ledger report not committed, retrying: {command:?}");
    while submit_command(&edge, command.clone(), REPORT_TIMEOUT).await.is_err() {}
}

async fn submit_command(
    edge: &Edge,
    command: Command,
    timeout: Duration,
) -> Result<Reply, LeaderRequestError> {
    match edge.leader.submit(&LeaderRequest::Command(command), timeout).await? {
        LeaderResponse::Reply(reply) => Ok(reply),
        _ => Err(LeaderRequestError::Unknown),
    }
}

/// Returns the failure for a call that this host didn't send, since no quorum committed its claim.
///
/// An earlier request with the same key may have run, which only the quorum knows, so the verdict
/// is [`Verdict::MayHaveRun`].
fn no_quorum() -> Failure {
    let detail = "no quorum committed the claim in time: this request was not sent, but an earlier \
                  one with the same key may have been; send it again with the same key";
    let mut failure = Failure::unavailable(detail, RETRY_AFTER);
    failure.title = "no quorum";
    failure.verdict = Verdict::MayHaveRun;
    failure
}

fn settled_response(settled: ClaimReply) -> Result<ClaimOutcome, Failure> {
    match settled {
        ClaimReply::Finished(response) => {
            stored_response(response).map(ClaimOutcome::AlreadyAnswered)
        }
        ClaimReply::Ran => {
            Err(already_ran("an operator settled the call as run; its response is not known"))
        }
        ClaimReply::MayHaveRun { reason, .. } => {
            let detail = match reason {
                MayHaveRunReason::OutcomeLost => {
                    "the endpoint was lost after the call had been sent"
                }
                MayHaveRunReason::OwnerGone => "the host that sent the call has ended",
            };
            Err(Failure::bad_gateway(detail, Verdict::MayHaveRun))
        }
        ClaimReply::NotRun => {
            Err(Failure::conflict("an operator settled the key as not run; use a new key"))
        }
        ClaimReply::KeyReused => {
            Err(Failure::unprocessable("the idempotency key belongs to another request"))
        }
        ClaimReply::TooMany => {
            let detail = "the organisation has too many calls without an outcome";
            Err(Failure::too_many(detail, RETRY_AFTER))
        }
        ClaimReply::AttemptReleased | ClaimReply::Claimed { .. } | ClaimReply::InProgress(_) => {
            Err(no_quorum())
        }
    }
}

fn already_ran(detail: &str) -> Failure {
    Failure::new(StatusCode::CONFLICT, "already run", detail, Verdict::Ran)
}

fn stored_response(stored: StoredResponse) -> Result<Response<Body>, Failure> {
    let Some(body) = stored.body else {
        return Err(already_ran("the call ran; its response was too large to store"));
    };
    let mut response = Response::new(Body::whole(Bytes::copy_from_slice(&body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    if let Some(content_type) = stored.content_type.and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}
