//! A caller's request and its attempts at endpoints.

mod attempt;
mod choice;
mod explained;
mod scope;
mod shares;

use std::{rc::Rc, sync::Arc, time::Duration};

use base::{EndpointId, MonotonicTime, ServiceId, TokenCount, Verdict};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, body::Incoming};
use prefix::{CacheScope, PartChain, PartId};
use quarantine::{RequestFingerprints, Suspect};
use routes::{Organisation, Route};
use telemetry::Recorder;
use tokio::time::Instant;

use crate::{buffers::Buffered, failure::Failure, net::AbortOnDrop};

pub(super) use explained::ExplainedChoice;

use super::{
    CallerRequest, Dialect, Gateway, Prompt,
    crash_evidence::LostRequest,
    follow::ActiveConfiguration,
    liveness,
    notices::Withheld,
    quotas::Charge,
    speeds::HeldSlot,
    target::{InFlight, Target},
};

/// Most endpoints that are tried for a request, reachable or not.
const MAX_ENDPOINTS_TRIED: usize = 5;

/// Most endpoints that a request is sent to before it fails as refused.
const MAX_SENT_ATTEMPTS: u32 = 4;

/// `Retry-After` of a request that crashes endpoints, or has a part that does.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Longest wait for a resumable stream's next event before it resumes at another endpoint.
pub(super) const EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a response after which the endpoint's reachability is checked.
const REACHABILITY_CHECK_DELAY: Duration = Duration::from_millis(600);

/// Time between checks whether an engine is about to load weights.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between checks of an endpoint's reachability.
const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the sending of a call in which it may be what crashes its endpoint.
const CALL_CRASH_WINDOW: Duration = Duration::from_secs(3);

/// Error of an attempt without a response in time.
const NO_RESPONSE: &str = "no response in time";

/// Error of an attempt at an endpoint to which connections fail.
pub(super) const UNREACHABLE: &str = "the endpoint became unreachable";

/// Error of a request that is cancelled at an engine that has not started it.
pub(super) const NOT_STARTED_IN_TIME: &str =
    "the engine did not start the request before its weights were outdated";

/// A request that may be sent to endpoints.
pub(super) struct Exchange<D: Dialect> {
    pub gateway: Rc<Gateway<D>>,
    pub route: Arc<Route>,
    pub organisation: Option<Arc<Organisation>>,
    pub caller_request: CallerRequest,
    pub active_configuration: Rc<ActiveConfiguration>,
    pub method: Method,
    pub uri: Uri,
    /// The end-to-end fields of the caller's request.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The memory that the body takes.
    pub _buffered: Buffered,
    /// Deadline of the complete response, the earlier of the caller's and the route's.
    pub deadline: Instant,
    /// Deadline of the caller.
    pub caller_deadline: Instant,
    pub arrived: MonotonicTime,
    /// The scope of the cached parts that the latest attempt may use.
    pub scope: CacheScope,
    /// The prompt's parts, hashed in that scope.
    pub chain: Option<PartChain>,
    pub fingerprints: RequestFingerprints,
    /// What the request costs its organisation, if that is limited.
    pub charge: Option<Charge>,
    pub recorder: Recorder,
    pub progress: Progress,
}

/// Counts of the attempts so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Endpoints that were tried.
    tried: Vec<EndpointId>,
    /// Attempts that reached an endpoint, refused ones included.
    sent: u32,
    /// Attempts that may have run: those that reached an endpoint and were not refused.
    ran: u32,
}

impl Progress {
    /// Counts an attempt that is sent now; it may run even if it is cancelled.
    fn count_sent(&mut self) {
        self.sent += 1;
        self.ran += 1;
    }

    /// Records that the latest attempt that was sent has not run.
    fn count_not_run(&mut self) {
        self.ran -= 1;
    }
}

/// A response whose head has arrived.
pub(super) struct StartedResponse {
    pub response: Response<Incoming>,
    pub in_flight: InFlight,
    pub sent: SendRecord,
    /// The slot of a streamed prompt, if the hold time is learned.
    pub slot: Option<HeldSlot>,
    /// Whether the response ends with its connection, as it does when its endpoint crashes.
    pub is_unframed: bool,
    _driver: AbortOnDrop,
}

/// When a request was sent to an engine, and how outdated the engine's weights were then.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendRecord {
    pub at: MonotonicTime,
    pub weights: u32,
    /// Time since newer weights were desired, as far as this host knows.
    pub outdated: Duration,
    /// Time to the first event or the head of the response that a nominal endpoint was expected to
    /// take.
    pub expected: Duration,
    /// Uncached tokens of the prompt, if the time to its first event shows their prefill.
    pub shown_prefill: Option<TokenCount>,
}

/// Why an attempt has no response to forward.
enum AttemptError {
    /// The endpoint was unreachable.
    Unreachable(String),
    /// The endpoint stated meanwhile that it accepts no request now; none was sent.
    Withheld(Withheld),
    /// The endpoint reported that it has not run the request.
    Refused(StatusCode),
    /// The request may have run.
    MayHaveRun(String),
    /// The request's deadline passed; the request may have run.
    TimedOut,
}

impl<D: Dialect> Exchange<D> {
    /// Sends the request to endpoints until one starts a response.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict on whether the request may have run.
    pub(super) async fn open(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, Failure> {
        loop {
            self.check_quarantine()?;
            let (target, permit) = self.choose_or_wait().await?;
            match self.attempt(&target, permit, resume_after).await {
                Ok(started) => return Ok(started),
                Err(error) => self.handle_attempt_error(&target, error)?,
            }
        }
    }

    /// Returns an error if endpoints crash on the request or on a part of its prompt.
    fn check_quarantine(&self) -> Result<(), Failure> {
        let quarantined = self.gateway.crash_evidence.borrow().quarantined_among(self.suspects());
        let why = match quarantined {
            None => return Ok(()),
            Some(Suspect::Part(part)) => format!("engines crash on the prompt's part {part}"),
            Some(Suspect::Request(request)) => format!("endpoints crash on the request {request}"),
        };
        let mut failure = self.failure(why, false);
        if failure.retry_after.is_some() {
            failure.retry_after = Some(QUARANTINE_RETRY_AFTER);
        }
        Err(failure)
    }

    /// Credits the retry budget of the request's service.
    pub(super) fn count_request(&self) {
        if let Some(service) = self.service() {
            self.gateway.count_request(service);
        }
    }

    /// Returns whether the request may be sent again although it may have run.
    ///
    /// A permitted retry is spent from the budget.
    pub(super) fn try_repeat(&self) -> bool {
        self.may_attempt_again() && self.try_retry()
    }

    fn may_attempt_again(&self) -> bool {
        self.route.retry_policy.may_repeat()
            && self.progress.ran < self.route.max_attempts
            && self.progress.tried.len() < MAX_ENDPOINTS_TRIED
    }

    /// Returns whether another endpoint may take over from one that may still go on.
    ///
    /// A permitted retry is spent from the budget.
    pub(super) fn try_replace(&self) -> bool {
        self.may_attempt_again() && self.has_alternative() && self.try_retry()
    }

    fn has_alternative(&self) -> bool {
        let now = self.gateway.clock.now();
        self.choose().is_ok_and(|target| !target.is_avoided(now))
    }

    /// Returns whether a resumable stream may migrate although its engine still serves it.
    ///
    /// A permitted migration is spent from the budget.
    pub(super) fn try_migrate(&self) -> bool {
        self.may_attempt_again() && self.spend_retry(Gateway::try_migration_retry)
    }

    fn try_retry(&self) -> bool {
        self.spend_retry(Gateway::try_retry)
    }

    /// Spends a retry from the budget of the request's service, and counts it.
    fn spend_retry(&self, try_spend: impl Fn(&Gateway<D>, &ServiceId) -> bool) -> bool {
        let is_granted = self.service().is_some_and(|service| try_spend(&self.gateway, service));
        if is_granted {
            self.recorder.retry();
        }
        is_granted
    }

    /// Returns the verdict on the request as a whole.
    pub(super) fn verdict(&self) -> Verdict {
        if self.progress.ran == 0 { Verdict::NotRun } else { Verdict::MayHaveRun }
    }

    pub(super) fn attempts(&self) -> u32 {
        self.progress.sent
    }

    /// Returns the parts of the prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        self.caller_request.prompt.iter().flat_map(Prompt::shared_parts)
    }

    /// Returns all that may crash endpoints.
    fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        let parts = self.shared_parts().map(Suspect::Part);
        parts.chain(self.fingerprints.iter().map(Suspect::Request))
    }

    /// Records that an engine ended just as it began to answer, unless it has left by itself.
    pub(super) fn record_crash(&self, target: &Target) {
        if self.gateway.targets.borrow().has_left(target) || self.is_memory_loss(target) {
            return;
        }
        let now = self.gateway.clock.now();
        let mut evidence = self.gateway.crash_evidence.borrow_mut();
        evidence.record_crash(now, target, self.lost_request(None));
    }

    /// Records that an endpoint ended the connection of a request before the head of its response.
    pub(super) fn record_lost_head(&self, target: &Rc<Target>, sent: &SendRecord) {
        match self.chain {
            None => self.record_lost_call(target, sent),
            Some(_) => {
                let waited = self.gateway.clock.now().saturating_since(sent.at);
                self.record_lost(target, self.lost_request(Some(waited)));
            }
        }
    }

    /// Records that an endpoint ended the connection of a call before its response was complete.
    pub(super) fn record_lost_call(&self, target: &Rc<Target>, sent: &SendRecord) {
        if self.gateway.clock.now().saturating_since(sent.at) < CALL_CRASH_WINDOW {
            self.record_lost_connection(target);
        }
    }

    /// Records that an endpoint ended the connection of a request that it may just have begun.
    pub(super) fn record_lost_connection(&self, target: &Rc<Target>) {
        self.record_lost(target, self.lost_request(None));
    }

    /// Returns whether a request was lost at an engine that held more than its memory, which shows
    /// nothing about the request.
    fn is_memory_loss(&self, target: &Target) -> bool {
        let now = self.gateway.clock.now();
        let is_loss =
            self.engine_memory().is_some_and(|memory| target.may_lack_memory(now, memory));
        if is_loss {
            let held = target.held_load();
            log::warn!(request:% = self.caller_request.id, endpoint:% = target.endpoint,
                requests = held.requests, held_tokens:% = held.tokens;
                "request lost at an engine without memory, no evidence against it");
        }
        is_loss
    }

    fn record_lost(&self, target: &Rc<Target>, lost: LostRequest) {
        if self.is_memory_loss(target) {
            return;
        }
        let now = self.gateway.clock.now();
        let mut evidence = self.gateway.crash_evidence.borrow_mut();
        if evidence.record_lost_connection(now, target, lost) {
            liveness::spawn_check(Rc::clone(&self.gateway), Rc::clone(target));
        }
    }

    fn lost_request(&self, waited: Option<Duration>) -> LostRequest {
        LostRequest { request: self.fingerprints, parts: self.shared_parts().collect(), waited }
    }

    /// Records the time until an endpoint responded, or until the request was given up before.
    pub(super) fn record_response_time(&self, target: &Target, sent: &SendRecord) {
        self.gateway.record_response_time(self.gateway.clock.now(), target, sent);
    }

    /// Records that an endpoint answered the request.
    pub(super) fn record_survival(&self) {
        let now = self.gateway.clock.now();
        self.gateway.crash_evidence.borrow_mut().record_survival(now, self.suspects());
    }

    /// Returns how long ago the leader had confirmed the configuration when the request arrived.
    pub(super) fn unconfirmed_at_arrival(&self) -> Duration {
        self.active_configuration.age(self.arrived)
    }

    /// Records the request's duration at the end of the response, and returns it.
    pub(super) fn finish(&self) -> Duration {
        let took = self.gateway.clock.now().saturating_since(self.arrived);
        self.recorder.request_duration(took);
        took
    }

    /// Returns an error unless another attempt may follow a failed one.
    fn handle_attempt_error(
        &mut self,
        target: &Target,
        error: AttemptError,
    ) -> Result<(), Failure> {
        let request = &self.caller_request.id;
        let endpoint = &target.endpoint;
        let now = self.gateway.clock.now();
        let (why, may_have_run) = match error {
            AttemptError::Unreachable(why) => {
                target.mark_unreachable(now);
                log::info!(request:%, endpoint:%, why; "endpoint unreachable");
                if self.progress.tried.len() < MAX_ENDPOINTS_TRIED {
                    return Ok(());
                }
                (why, false)
            }
            AttemptError::Withheld(why) => {
                log::info!(request:%, endpoint:%, why:%; "request withheld from endpoint");
                if self.progress.tried.len() < MAX_ENDPOINTS_TRIED {
                    return Ok(());
                }
                (why.to_string(), false)
            }
            AttemptError::Refused(status) => {
                log::info!(request:%, endpoint:%, status = status.as_u16();
                    "request refused by endpoint");
                if self.progress.sent < MAX_SENT_ATTEMPTS && self.try_retry() {
                    return Ok(());
                }
                (format!("the endpoint refused with {status}"), false)
            }
            AttemptError::MayHaveRun(why) => {
                log::info!(request:%, fingerprint:% = self.fingerprints.with_prompt, endpoint:%, why;
                    "attempt failed, request may have run");
                if self.try_repeat() {
                    return Ok(());
                }
                (why, true)
            }
            AttemptError::TimedOut => {
                return Err(Failure::timed_out(NO_RESPONSE, Verdict::MayHaveRun));
            }
        };
        Err(self.failure(why, may_have_run))
    }

    fn failure(&self, why: String, may_have_run: bool) -> Failure {
        if may_have_run || self.verdict() != Verdict::NotRun {
            return Failure::bad_gateway(why, Verdict::MayHaveRun);
        }
        Failure::unavailable(why, self.gateway.retry_after())
    }
}

/// Waits until an endpoint counts as unreachable; forever if the request can't be retried.
pub(super) async fn wait_until_unreachable<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    target: &Rc<Target>,
    may_retry: bool,
) {
    tokio::time::sleep(REACHABILITY_CHECK_DELAY).await;
    while !may_retry || !target.is_unreachable(gateway.clock.now()) {
        tokio::time::sleep(REACHABILITY_POLL_INTERVAL).await;
    }
}

/// Waits until an engine is paused because it is about to load weights.
pub(super) async fn wait_until_paused(target: &Target) {
    while !target.is_paused() {
        tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
    }
}
