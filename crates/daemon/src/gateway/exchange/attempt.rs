//! One attempt at an endpoint: the request that it gets, and the check of its response.

use std::{rc::Rc, time::Duration};

use base::{MonotonicTime, TokenCount};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};
use route::Urgency;
use tokio::time::Instant;

use crate::{
    failure::Failure,
    gateway::{
        AttemptHead, Dialect, EngineHead, ResponseHead, performance,
        placement::{self, Transfers},
        speeds::HeldSlot,
        target::{InFlight, SendPermit, Target},
    },
    in_flight::Work,
    net::{self, AbortOnDrop},
};

use super::{
    AttemptError, EVENT_TIMEOUT, Exchange, NO_RESPONSE, NOT_STARTED_IN_TIME, SendRecord,
    StartedResponse, UNREACHABLE, wait_until_unreachable,
};

/// Longest wait for a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Share of the remaining time that an attempt may take while another one is allowed.
const ATTEMPT_TIME_SHARE: f64 = 0.5;

/// Shortest timeout of an attempt while another one is allowed.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between checks whether an engine's weights are outdated for too long.
const OUTDATED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Who responded to a request that was sent to an endpoint.
enum Responder {
    /// The endpoint.
    Attempted(Response<Incoming>),
    /// Another one, while the endpoint was silent; its response is checked.
    Replacement(Box<StartedResponse>),
}

impl<D: Dialect> Exchange<D> {
    /// Sends the request to an endpoint and waits for the head of its response.
    pub(super) async fn attempt(
        &mut self,
        target: &Rc<Target>,
        permit: SendPermit,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, AttemptError> {
        let work = self.work(target);
        let in_flight = InFlight::begin(target, work);
        let (source, address) = (self.gateway.source, target.address);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let connected = net::connect_http(source, address, CONNECT_TIMEOUT.min(left)).await;
        let connection = connected.map_err(AttemptError::Unreachable)?;
        let (mut sender, driver) = (connection.sender, AbortOnDrop(connection.driver));
        target.mark_reachable();
        self.check_withheld(target, permit).map_err(AttemptError::Withheld)?;

        self.update_scope();
        let transfers = self.transfers(target);
        let request = self.request(target, resume_after, transfers);
        if let Some(chain) = &self.chain {
            self.gateway.record_sent(target, chain, transfers.save_to.is_some());
        }
        self.progress.count_sent();
        if let Some(charge) = &mut self.charge {
            charge.spend();
        }
        let mut sent = self.send_record(target);
        // Tokens that are fetched from another engine take less time than their prefill.
        if self.chain.is_some() && transfers.fetch_from.is_none() {
            sent.shown_prefill = performance::shown_prefill(target, work.prefill_tokens);
        }
        let mut slot = self.held_slot(target, &sent);
        let sending = sender.send_request(request);
        let response = match self.response(target, sending, sent, resume_after).await? {
            Responder::Attempted(response) => response,
            Responder::Replacement(started) => return Ok(*started),
        };
        let response = self.check_response(target, &sent, response).inspect_err(|e| {
            if let (AttemptError::Refused(_), Some(slot)) = (e, slot.take()) {
                slot.discard();
            }
        })?;
        // A stream has responded with its first event.
        if !self.route.retry_policy.is_stream() && !response.status().is_server_error() {
            self.record_response_time(target, &sent);
            // The rest of a response to a call is short compared with the time to its head.
            self.record_hold_time(target, &sent);
        }
        let is_unframed = is_unframed(&response);
        Ok(StartedResponse { response, in_flight, sent, slot, is_unframed, _driver: driver })
    }

    /// Waits for the head of the response to a request that is being sent.
    ///
    /// An endpoint that doesn't respond keeps the request until another one has responded.
    async fn response(
        &mut self,
        target: &Rc<Target>,
        sending: impl Future<Output = hyper::Result<Response<Incoming>>>,
        sent: SendRecord,
        resume_after: Option<&str>,
    ) -> Result<Responder, AttemptError> {
        tokio::pin!(sending);
        loop {
            let why = tokio::select! {
                biased;
                response = &mut sending => return self.attempted(target, &sent, response),
                () = tokio::time::sleep_until(self.deadline) => {
                    self.record_response_time(target, &sent);
                    return Err(AttemptError::TimedOut);
                }
                () = self.wait_until_start_overdue(sent.weights) => {
                    return Err(AttemptError::MayHaveRun(NOT_STARTED_IN_TIME.to_owned()));
                }
                why = self.wait_until_suspect(target) => why,
            };
            if !self.try_replace() {
                continue;
            }
            log::info!(request:% = self.caller_request.id, endpoint:% = target.endpoint, why;
                "silent endpoint suspected, another one is asked");
            // An attempt may lead to another one, so its future is boxed.
            match first_response(&mut sending, Box::pin(self.open(resume_after))).await {
                FirstResponse::Attempted(response) => {
                    return self.attempted(target, &sent, response);
                }
                FirstResponse::Replacement { started, lost } => {
                    if let Some(e) = lost {
                        // The replacement has responded; this only records what was lost.
                        let _ = self.attempted(target, &sent, Err(e));
                    } else {
                        self.record_response_time(target, &sent);
                    }
                    log::info!(request:% = self.caller_request.id, endpoint:% = target.endpoint,
                        to:% = started.in_flight.target().endpoint;
                        "attempt replaced, request may have run");
                    return Ok(Responder::Replacement(started));
                }
                FirstResponse::NoReplacement(failure) => {
                    log::info!(request:% = self.caller_request.id, endpoint:% = target.endpoint,
                        why = failure.detail; "no other endpoint responded, the silent one goes on");
                }
            }
        }
    }

    /// Handles the outcome of the attempt at an endpoint.
    fn attempted(
        &mut self,
        target: &Rc<Target>,
        sent: &SendRecord,
        response: hyper::Result<Response<Incoming>>,
    ) -> Result<Responder, AttemptError> {
        match response {
            Ok(response) => Ok(Responder::Attempted(response)),
            Err(e) if e.is_canceled() => {
                self.progress.count_not_run();
                Err(AttemptError::Unreachable(e.to_string()))
            }
            Err(e) => {
                if !e.is_parse() {
                    self.record_lost_head(target, sent);
                }
                Err(AttemptError::MayHaveRun(format!("no response: {e}")))
            }
        }
    }

    /// Waits until an endpoint without a response is suspected not to respond at all; returns why.
    async fn wait_until_suspect(&self, target: &Rc<Target>) -> &'static str {
        let may_repeat = self.route.retry_policy.may_repeat();
        tokio::select! {
            () = tokio::time::sleep_until(self.attempt_deadline()) => NO_RESPONSE,
            () = wait_until_unreachable(&self.gateway, target, may_repeat) => UNREACHABLE,
        }
    }

    fn send_record(&self, target: &Target) -> SendRecord {
        let (at, weights) = (self.gateway.clock.now(), target.version());
        let speed = self.gateway.targets.borrow().service_speed(&target.service);
        let expected = performance::expected_time(target, self.chain.is_some(), &speed);
        let outdated = self.outdated_for(weights, at);
        SendRecord { at, weights, outdated, expected, shown_prefill: None }
    }

    /// Returns the slot that a streamed prompt holds from now on.
    fn held_slot(&self, target: &Target, sent: &SendRecord) -> Option<HeldSlot> {
        let is_streamed_prompt = self.chain.is_some() && self.route.retry_policy.is_stream();
        is_streamed_prompt.then(|| self.gateway.hold_slot(target, sent.at)).flatten()
    }

    /// Returns for how long a version of the prompt's weights has not been the newest.
    pub(in crate::gateway) fn outdated_for(&self, weights: u32, now: MonotonicTime) -> Duration {
        let newest = self.gateway.active_configuration();
        let requirements = self.prompt_requirements(&newest);
        requirements
            .map_or(Duration::ZERO, |requirements| requirements.weights.outdated_for(weights, now))
    }

    /// Waits until an engine with these weights may no longer start the request.
    pub(in crate::gateway) async fn wait_until_start_overdue(&self, weights: u32) {
        let latest = self.gateway.cfg.max_outdated_at_start();
        loop {
            let outdated = self.outdated_for(weights, self.gateway.clock.now());
            if !outdated.is_zero() && latest <= outdated {
                return;
            }
            tokio::time::sleep(OUTDATED_POLL_INTERVAL).await;
        }
    }

    /// Checks that a response belongs to the request, whatever its status.
    ///
    /// A refusal without an id is believed, as the connection has carried no other request.
    fn check_response(
        &mut self,
        target: &Target,
        sent: &SendRecord,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, AttemptError> {
        let (parts, body) = response.into_parts();
        let head = self.gateway.dialect.response_head(&parts);
        let status = parts.status;
        let request = head.request.as_deref();
        let is_ours = request == Some(self.caller_request.id.as_str());
        if head.not_run && (is_ours || request.is_none()) {
            self.progress.count_not_run();
            self.handle_refusal(target, sent, status, &head);
            return Err(AttemptError::Refused(status));
        }
        if !is_ours {
            self.recorder.mismatched_response();
            let why = "the response belongs to another request".to_owned();
            return Err(AttemptError::MayHaveRun(why));
        }
        if !head.signed {
            return Err(AttemptError::MayHaveRun(format!("an unsigned response with {status}")));
        }
        if let Some(version) = head.weights {
            target.update_version(version);
        }
        target.mark_answered(self.gateway.clock.now());
        target.record_accepted(sent.at);
        self.record_notice(target, sent, head.notice);
        Ok(Response::from_parts(parts, body))
    }

    /// Handles a refusal by another process at the address, or by an engine with other weights.
    fn handle_refusal(
        &self,
        target: &Target,
        sent: &SendRecord,
        status: StatusCode,
        head: &ResponseHead,
    ) {
        if head.endpoint.as_deref().is_some_and(|there| there != target.endpoint.as_str()) {
            if status == StatusCode::MISDIRECTED_REQUEST {
                target.mark_unreachable(self.gateway.clock.now());
            }
            return;
        }
        // Only a signed response shows that an endpoint states no limit any more.
        if head.notice.limit.is_some() {
            self.record_limit(target, sent, head.notice.limit);
        }
        self.record_constraints(target, head.notice);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            self.record_full(target, sent, head.notice);
        }
        if status != StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        // The engine has unexpected weights; its next heartbeat or the leader reports which.
        target.suspend(self.gateway.clock.now());
    }

    /// Returns an attempt's deadline, which leaves time for another attempt if one is allowed.
    fn attempt_deadline(&self) -> Instant {
        let repeatable = self.route.retry_policy.may_repeat();
        if !repeatable || self.route.max_attempts <= self.progress.ran {
            return self.deadline;
        }
        let now = Instant::now();
        if self.route.retry_policy.is_stream() {
            return (now + EVENT_TIMEOUT).min(self.deadline);
        }
        let left = self.deadline.saturating_duration_since(now);
        now + left.mul_f64(ATTEMPT_TIME_SHARE).max(MIN_ATTEMPT_TIMEOUT).min(left)
    }

    /// Returns what the request adds to the work of an endpoint.
    fn work(&self, target: &Target) -> Work {
        let prefill_tokens = self.uncached_tokens(target);
        let (urgency, held_tokens) = (Urgency::of(self.urgency()), self.held_tokens());
        Work { prefill_tokens, urgency, held_tokens }
    }

    fn uncached_tokens(&self, target: &Target) -> TokenCount {
        let Some(chain) = &self.chain else { return TokenCount::ZERO };
        let warm = target.warm_tokens(chain).as_u64();
        TokenCount::new(chain.tokens().as_u64().saturating_sub(warm))
    }

    fn request(
        &self,
        target: &Target,
        resume_after: Option<&str>,
        transfers: Transfers,
    ) -> Request<Full<Bytes>> {
        let salt = self.scope.salt(target.version());
        let engine = self.chain.as_ref().map(|_| EngineHead {
            weights: target.version(),
            salt: &salt,
            fetch_from: transfers.fetch_from,
            save_to: transfers.save_to,
        });
        let head = AttemptHead {
            endpoint: &target.endpoint,
            organisation: self.organisation.as_ref().map(|organisation| &*organisation.name),
            deadline: self
                .caller_deadline
                .min(self.deadline)
                .saturating_duration_since(Instant::now()),
            urgency: self.urgency(),
            engine,
            resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.gateway.dialect.endpoint_headers(&self.headers, &head);
        if !req.headers().contains_key(HOST) {
            req.headers_mut().insert(HOST, net::host_value(target.address));
        }
        req
    }

    /// Returns where the engine may fetch missing shared parts, and where it saves them.
    fn transfers(&self, target: &Target) -> Transfers {
        let Some(chain) = &self.chain else { return Transfers::default() };
        let targets = self.gateway.targets.borrow();
        placement::transfers(&targets, target, chain, self.gateway.clock.now())
    }

    /// Returns the priority of the request; 0 is the most urgent.
    pub(super) fn urgency(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// The first response of a silent endpoint and of another one that may replace it.
enum FirstResponse {
    /// The silent endpoint responded, or both failed.
    Attempted(hyper::Result<Response<Incoming>>),
    /// The other one responded; the attempt at the silent one may have failed before.
    Replacement { started: Box<StartedResponse>, lost: Option<hyper::Error> },
    /// No other one responded; the silent one may still do so.
    NoReplacement(Failure),
}

/// Waits for the first response of a silent endpoint and of its replacement; if the silent one fails
/// meanwhile, the replacement decides.
async fn first_response(
    mut sending: impl Future<Output = hyper::Result<Response<Incoming>>> + Unpin,
    mut replacing: impl Future<Output = Result<StartedResponse, Failure>> + Unpin,
) -> FirstResponse {
    let lost = tokio::select! {
        biased;
        response = &mut sending => match response {
            Ok(response) => return FirstResponse::Attempted(Ok(response)),
            Err(e) => e,
        },
        replaced = &mut replacing => return match replaced {
            Ok(started) => FirstResponse::Replacement { started: Box::new(started), lost: None },
            Err(failure) => FirstResponse::NoReplacement(failure),
        },
    };
    match replacing.await {
        Ok(started) => FirstResponse::Replacement { started: Box::new(started), lost: Some(lost) },
        Err(_) => FirstResponse::Attempted(Err(lost)),
    }
}

/// Returns whether a response that has just begun ends with its connection.
fn is_unframed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    !response.body().is_end_stream()
        && !headers.contains_key(CONTENT_LENGTH)
        && !headers.contains_key(TRANSFER_ENCODING)
}
