//! Relays a completion from engines to its caller.
//!
//! An interrupted stream resumes at the same engine after the last token delivered. When the engine
//! is dead, times out or no longer holds the stream, another engine with the same weights continues
//! from the prompt and the text delivered.

mod attempt;
mod forward;
mod progress;

use std::{borrow::Cow, rc::Rc, time::Duration};

use base::{EndpointId, MonotonicTime, OrganisationId, RequestId, Verdict};
use telemetry::{Recorder, RequestStage, Span};
use wire::{EventId, completion::CompletionRequest};

use self::{attempt::AttemptError, progress::Progress};

use crate::failure::Failure;

use super::{
    Edge, FIRST_ROSTER_TIMEOUT, ROSTER_POLL_INTERVAL,
    admission::AdmissionPermit,
    policies::RoutingPreferences,
    router::{ChosenEngine, EngineRequirements, NoEndpoint},
};

/// Most consecutive attempts that deliver no token.
const MAX_ATTEMPTS_WITHOUT_PROGRESS: usize = 4;

/// Most attempts for one request.
const MAX_ATTEMPTS: usize = 64;

/// Delay before engines that failed are tried again for a response that has begun.
const ENGINE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// `Retry-After` when no engine is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A completion to be relayed.
pub(super) struct CompletionJob {
    /// The request's id at this router, and at engines unless it resumes an earlier one.
    pub request: RequestId,
    pub organisation: OrganisationId,
    pub completion: CompletionRequest,
    pub settings: fleet::Settings,
    /// When the request arrived.
    pub arrived: MonotonicTime,
    /// The last event that the caller received of the stream that it resumes.
    pub resume: Option<EventId>,
    pub recorder: Recorder,
    pub span: Span,
    /// Released when the relay ends.
    pub _admission_permit: AdmissionPermit,
}

/// An item of the response stream to the caller.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// A token, or a chunk without one; the id counts the tokens so far.
    Data { id: EventId, data: String },
    /// The response is complete.
    Done,
    /// The response ends with a failure.
    Failed(Failure),
}

/// State of a relayed completion over all attempts.
struct Relay<'a> {
    edge: &'a Rc<Edge>,
    job: &'a CompletionJob,
    tx: &'a flume::Sender<StreamItem>,
    progress: Progress,
    tried: Vec<EndpointId>,
    /// Whether an engine may have run the request.
    may_have_run: bool,
}

/// How an attempt, or the whole relay, ended.
enum RelayEnd {
    Done,
    CallerGone,
    Failed(AttemptError),
}

/// Relays a completion into `tx`, continuing at another engine when one fails.
pub(super) async fn run(edge: Rc<Edge>, job: CompletionJob, tx: flume::Sender<StreamItem>) {
    let mut relay = Relay {
        edge: &edge,
        job: &job,
        tx: &tx,
        progress: Progress::new(job.resume.as_ref()),
        tried: Vec::new(),
        may_have_run: job.resume.is_some(),
    };
    let timeout = job.settings.request_timeout.as_duration().min(edge.cfg.timeouts.request);
    let ended = tokio::time::timeout(timeout, relay.run_attempts()).await;
    let last = match ended {
        Ok(RelayEnd::Done) => StreamItem::Done,
        Ok(RelayEnd::CallerGone) => return,
        Ok(RelayEnd::Failed(error)) => {
            StreamItem::Failed(relay.with_overall_verdict(error.failure))
        }
        Err(_) => {
            let failure = Failure::timed_out("the request timed out", Verdict::NotRun);
            StreamItem::Failed(relay.with_overall_verdict(failure))
        }
    };
    if let StreamItem::Failed(failure) = &last {
        job.recorder.verdict(failure.verdict);
        let tokens = relay.progress.tokens();
        let (request, verdict) = (&job.request, failure.verdict);
        log::warn!(request:%, tokens, verdict:%, detail = failure.detail; "completion failed");
    }
    job.recorder.request_duration(edge.clock.now().saturating_since(job.arrived));
    let _ = tx.send_async(last).await;
}

impl Relay<'_> {
    async fn run_attempts(&mut self) -> RelayEnd {
        self.edge.wait_for_endpoints().await;
        let mut resumable = None;
        if let Some(id) = &self.job.resume {
            match self.wait_for_resumable(id).await {
                Some(chosen) => resumable = Some(chosen),
                None => return RelayEnd::Failed(AttemptError::stream_gone()),
            }
        }
        let mut without_progress = 0;
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let resumes = resumable.is_some();
            let chosen = match resumable.take().map_or_else(|| self.choose(), Ok) {
                Ok(chosen) => chosen,
                Err(why) => {
                    let Some(error) = last else {
                        return RelayEnd::Failed(no_engine(self.job, why).into());
                    };
                    without_progress += 1;
                    if MAX_ATTEMPTS_WITHOUT_PROGRESS <= without_progress
                        || self.progress.tokens() == 0
                    {
                        return RelayEnd::Failed(error);
                    }
                    // An engine that failed may recover before the deadline.
                    self.tried.clear();
                    last = Some(error);
                    tokio::time::sleep(ENGINE_RETRY_DELAY).await;
                    continue;
                }
            };
            let before = self.progress.tokens();
            // The request timeout may cancel the attempt at any point.
            let ran_before = std::mem::replace(&mut self.may_have_run, true);
            let end = self.attempt(&chosen, resumes).await;
            let RelayEnd::Failed(error) = end else { return end };
            self.may_have_run = ran_before || error.failure.verdict != Verdict::NotRun;
            let delivered = self.progress.tokens();
            without_progress = if delivered == before { without_progress + 1 } else { 0 };
            if !error.failure.status.is_client_error() {
                self.edge.router.borrow_mut().record_failure(self.edge.clock.now(), &chosen);
            }
            let request = &self.job.request;
            let (endpoint, detail) = (&chosen.endpoint, &error.failure.detail);
            log::info!(request:%, endpoint:%, tokens = delivered, detail; "attempt failed");
            if MAX_ATTEMPTS_WITHOUT_PROGRESS <= without_progress || !self.may_continue(&error) {
                return RelayEnd::Failed(error);
            }
            let resume_without_progress = resumes && delivered == before;
            if error.resumable && !resume_without_progress {
                resumable =
                    self.find_resumable(&self.progress.event_id(&chosen, self.engine_request_id()));
            }
            if resumable.is_some() {
                self.job.recorder.resume();
            } else if !self.may_retry(without_progress).await {
                return RelayEnd::Failed(error);
            } else {
                self.job.recorder.retry();
            }
            last = Some(error);
        }
        RelayEnd::Failed(last.expect("the loop ran at least once"))
    }

    /// Takes a retry from the budget; an exhausted budget doesn't end a response that has begun.
    async fn may_retry(&self, without_progress: usize) -> bool {
        if self.progress.tokens() != 0 {
            self.edge.retries.try_spend();
            return true;
        }
        let attempt = u32::try_from(without_progress.saturating_sub(1)).unwrap_or(u32::MAX);
        self.edge.retries.try_spend_and_wait(attempt).await
    }

    /// Returns the failure with a verdict that also covers the attempts before it.
    fn with_overall_verdict(&self, mut failure: Failure) -> Failure {
        if self.may_have_run && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }

    fn choose(&mut self) -> Result<ChosenEngine, NoEndpoint> {
        let _span = self.job.span.child(RequestStage::Route);
        let now = self.edge.clock.now();
        let prompt = self.job.completion.prompt_parts();
        let requirements = self.requirements(&prompt);
        let chosen =
            self.edge.router.borrow_mut().choose_engine(now, &requirements, &self.tried)?;
        self.tried.push(chosen.endpoint.clone());
        self.progress.continue_on_other_engine();
        Ok(chosen)
    }

    /// Returns the engine of an event, after a wait if the first roster has yet to list it.
    async fn wait_for_resumable(&self, id: &EventId) -> Option<ChosenEngine> {
        let until = self.edge.clock.now() + FIRST_ROSTER_TIMEOUT;
        loop {
            let resumable = self.find_resumable(id);
            if resumable.is_some() || until <= self.edge.clock.now() {
                return resumable;
            }
            tokio::time::sleep(ROSTER_POLL_INTERVAL).await;
        }
    }

    /// Returns the engine of an event, if the same incarnation still runs.
    fn find_resumable(&self, id: &EventId) -> Option<ChosenEngine> {
        let prompt = self.job.completion.prompt_parts();
        let requirements =
            EngineRequirements { weights: Some(&id.weights), ..self.requirements(&prompt) };
        let now = self.edge.clock.now();
        self.edge.router.borrow().resumable_engine(now, &id.endpoint, id.incarnation, &requirements)
    }

    fn requirements<'b>(&'b self, prompt: &'b [Cow<'b, [u8]>]) -> EngineRequirements<'b> {
        EngineRequirements {
            organisation: &self.job.organisation,
            model: self.job.completion.model(),
            adapter: self.job.completion.adapter(),
            weights: self.progress.weights.as_ref(),
            prompt,
            preferences: RoutingPreferences::from(&self.job.settings),
        }
    }

    fn may_continue(&self, error: &AttemptError) -> bool {
        if error.is_final {
            return false;
        }
        if error.resumable || self.progress.tokens() == 0 && self.job.resume.is_none() {
            return true;
        }
        self.progress.has_full_text() && self.job.completion.can_continue()
    }

    /// Returns the request id sent to engines.
    fn engine_request_id(&self) -> &RequestId {
        self.job.resume.as_ref().map_or(&self.job.request, |id| &id.request)
    }
}

fn no_engine(job: &CompletionJob, why: NoEndpoint) -> Failure {
    let model = job.completion.model();
    match why {
        NoEndpoint::NotServed => Failure::not_found(format!("no endpoint serves model {model}")),
        NoEndpoint::Unavailable => {
            Failure::unavailable(format!("no endpoint of model {model} is available"), RETRY_AFTER)
        }
    }
}
