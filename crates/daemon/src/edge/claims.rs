use std::{rc::Rc, time::Duration};

use base::{Digest, Incarnation, MonotonicTime, UnixMillis, Verdict};
use bytes::Bytes;
use fleet::{
    Answer, CallKey, Claim, ClaimId, ClaimReply, Command, Doubt, Finish, Outcome, Owner, OwnerGone,
    Release, Reply,
};
use hyper::{Response, StatusCode, header::CONTENT_TYPE};
use tokio::task::JoinHandle;
use wire::leader::{LeaderAnswer, LeaderRequest};

use crate::leader_client::LeaderRequestError;

use crate::failure::Failure;

use super::{Edge, body::Body};

/// Pause between two looks at a call that another host has claimed.
const WAIT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a report holds up the end of the process.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which an answer waits until the ledger has it.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// What callers are told to wait when no quorum is reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that may not be repeated, with the name that its caller gave it.
pub(super) struct Keyed {
    pub call: CallKey,
    pub request: Digest,
}

/// What a claim allows.
pub(super) enum Claimed {
    /// The call may be sent once.
    Send(Permit),
    /// The call was sent before, and this was its answer.
    Answered(Response<Body>),
}

/// The right to send a call once, until a deadline.
///
/// A permit that is dropped unused is given back, since its call was never sent.
pub(super) struct Permit {
    attempt: Attempt,
    deadline: MonotonicTime,
}

/// An attempt to claim a call; released on drop unless it is used or known to hold nothing.
struct Attempt {
    edge: Rc<Edge>,
    call: CallKey,
    request: Digest,
    id: ClaimId,
    held: bool,
}

impl Keyed {
    /// Claims the call, or waits for the answer of whoever did.
    pub(super) async fn claim(
        &self,
        edge: &Rc<Edge>,
        timeout: Duration,
        wait: Duration,
    ) -> Result<Claimed, Failure> {
        let wait_until = edge.clock.now() + wait;
        loop {
            let mut attempt = self.attempt(edge);
            let proposed = edge.clock.now();
            let reply = match self.propose(edge, attempt.id, timeout).await {
                Ok(reply) => reply,
                Err(LeaderRequestError::NotAccepted) => {
                    attempt.held = false;
                    return Err(no_quorum());
                }
                Err(LeaderRequestError::Unknown) => return Err(no_quorum()),
            };
            if let ClaimReply::Claimed { send_within } = reply {
                let deadline = proposed + send_within;
                return Ok(Claimed::Send(Permit { attempt, deadline }));
            }
            attempt.held = false;
            match reply {
                ClaimReply::InProgress(owner) => self.wait(edge, &owner, wait_until).await?,
                settled => return settled_answer(settled),
            }
        }
    }

    fn attempt(&self, edge: &Rc<Edge>) -> Attempt {
        Attempt {
            edge: Rc::clone(edge),
            call: self.call.clone(),
            request: self.request,
            id: ClaimId::new(rand::random()),
            held: true,
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
        match command(edge, Command::Claim(claim), timeout).await? {
            Reply::Claim(reply) => Ok(reply),
            _ => Err(LeaderRequestError::Unknown),
        }
    }

    /// Waits until the call is no longer claimed by another.
    async fn wait(&self, edge: &Edge, owner: &Owner, until: MonotonicTime) -> Result<(), Failure> {
        let request = LeaderRequest::ReadCall(self.call.clone());
        while edge.clock.now() < until {
            tokio::time::sleep(WAIT_PAUSE).await;
            let left = until.saturating_since(edge.clock.now());
            if let Ok(LeaderAnswer::Call(call)) = edge.leader.submit(&request, left).await
                && !call.is_some_and(|call| call.state.is_open())
            {
                return Ok(());
            }
        }
        let detail = format!("{owner} holds the call and has not told its outcome");
        Err(Failure::timed_out(detail, Verdict::MayHaveRun))
    }
}

impl Permit {
    /// Uses the permit up, right before the first byte is sent.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict that nothing has run if the deadline has passed.
    pub(super) fn redeem(mut self) -> Result<Sent, Failure> {
        let attempt = &mut self.attempt;
        if self.deadline <= attempt.edge.clock.now() {
            return Err(Failure::timed_out("the claim took too long", Verdict::NotRun));
        }
        attempt.held = false;
        let (edge, call) = (Rc::clone(&attempt.edge), attempt.call.clone());
        Ok(Sent { edge, call, id: attempt.id, told: false })
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.held {
            let release = Release {
                call: self.call.clone(),
                request: self.request,
                id: self.id,
                owner: self.edge.owner.clone(),
                at: UnixMillis::default(),
            };
            let edge = Rc::clone(&self.edge);
            tokio::task::spawn_local(report(edge, Command::Release(release)));
        }
    }
}

/// A call that was sent under a claim; its outcome is reported once, as unknown if it is dropped.
pub(super) struct Sent {
    edge: Rc<Edge>,
    call: CallKey,
    id: ClaimId,
    told: bool,
}

impl Sent {
    /// Reports the answer, and waits a while until the ledger has it.
    ///
    /// The report goes on after the wait, and if the wait is cancelled.
    pub(super) async fn answered(mut self, answer: Answer) {
        self.told = true;
        let report = self.report(Outcome::Answered(answer));
        let _ = tokio::time::timeout(RECORD_TIMEOUT, report).await;
    }

    fn report(&self, outcome: Outcome) -> JoinHandle<()> {
        let finish = Finish {
            call: self.call.clone(),
            id: self.id,
            owner: self.edge.owner.clone(),
            outcome,
            at: UnixMillis::default(),
        };
        tokio::task::spawn_local(report(Rc::clone(&self.edge), Command::Finish(finish)))
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if !self.told {
            drop(self.report(Outcome::Unknown));
        }
    }
}

/// Tells the ledger that this host's earlier processes have ended.
pub(super) async fn end_earlier_lives(edge: Rc<Edge>) {
    let before = edge.owner.incarnation.as_u64().saturating_sub(1);
    let owner = Owner { host: edge.owner.host.clone(), incarnation: Incarnation::new(before) };
    let gone = OwnerGone { owner, at: UnixMillis::default() };
    while command(&edge, Command::OwnerGone(gone.clone()), REPORT_TIMEOUT).await.is_err() {}
}

/// Tells the ledger of a call, for as long as it takes.
///
/// The process doesn't end gracefully before that, or before [`REPORT_TIMEOUT`].
async fn report(edge: Rc<Edge>, told: Command) {
    let active = edge.begin();
    if command(&edge, told.clone(), REPORT_TIMEOUT).await.is_ok() {
        return;
    }
    drop(active);
    log::warn!("the ledger has not been told yet: {told:?}");
    while command(&edge, told.clone(), REPORT_TIMEOUT).await.is_err() {}
}

async fn command(
    edge: &Edge,
    command: Command,
    timeout: Duration,
) -> Result<Reply, LeaderRequestError> {
    match edge.leader.submit(&LeaderRequest::Command(command), timeout).await? {
        LeaderAnswer::Reply(reply) => Ok(reply),
        _ => Err(LeaderRequestError::Unknown),
    }
}

/// Refuses a call that this host didn't send.
///
/// An earlier arrival may have run it, which only the quorum knows.
fn no_quorum() -> Failure {
    let detail = "no quorum could commit the claim in time: this request was not sent, but whether \
                  an earlier one with its key was isn't known; send it again with the same key";
    let mut failure = Failure::unavailable(detail, RETRY_AFTER);
    failure.title = "no quorum";
    failure.verdict = Verdict::MayHaveRun;
    failure
}

fn settled_answer(settled: ClaimReply) -> Result<Claimed, Failure> {
    match settled {
        ClaimReply::Finished(answer) => kept_answer(answer).map(Claimed::Answered),
        ClaimReply::Ran => Err(ran("the call ran by an operator's word; no answer is known")),
        ClaimReply::MayHaveRun { why, .. } => {
            let why = match why {
                Doubt::OutcomeLost => "the endpoint was lost after the call had been sent",
                Doubt::OwnerGone => "the host that sent the call has ended",
            };
            Err(Failure::bad_gateway(why, Verdict::MayHaveRun))
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

fn ran(detail: &str) -> Failure {
    Failure::new(StatusCode::CONFLICT, "already run", detail, Verdict::Ran)
}

fn kept_answer(answer: Answer) -> Result<Response<Body>, Failure> {
    let Some(body) = answer.body else {
        return Err(ran("the call ran; its answer was too large to keep"));
    };
    let mut response = Response::new(Body::whole(Bytes::copy_from_slice(&body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Some(content_type) = answer.content_type.and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}
