//! Relays a completion from engines to its caller.
//!
//! A stream that is cut resumes at the same engine after the last token delivered. When the engine
//! is dead, silent or no longer holds the stream, another engine with the same weights goes on
//! from the prompt and the text delivered.

mod attempt;
mod progress;
mod pump;

use std::{borrow::Cow, rc::Rc, time::Duration};

use base::{EndpointId, MonotonicTime, OrganisationId, RequestId, Verdict};
use telemetry::{Recorder, RequestStage, Span};
use wire::{EventId, completion::CompletionRequest};

use self::{attempt::Broken, progress::Progress};

use crate::failure::Failure;

use super::{
    Edge, ROSTER_POLL, ROSTER_WAIT,
    admission::Place,
    policies::Preferences,
    router::{Chosen, NoEndpoint, Wanted},
};

/// Most attempts in a row that deliver nothing.
const MAX_FRUITLESS: usize = 4;

/// Most attempts for one request.
const MAX_ATTEMPTS: usize = 64;

/// Time after which engines that failed are tried again for an answer that has begun.
const ENGINE_PAUSE: Duration = Duration::from_millis(250);

/// What callers are told to wait when no engine is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A completion to be relayed.
pub(super) struct Job {
    /// The request's id at this router, and at engines unless it resumes an earlier one.
    pub request: RequestId,
    pub organisation: OrganisationId,
    pub completion: CompletionRequest,
    pub settings: fleet::Settings,
    /// When the request arrived.
    pub arrived: MonotonicTime,
    /// The last event that the caller got of the stream that it resumes.
    pub resume: Option<EventId>,
    pub recorder: Recorder,
    pub span: Span,
    /// Its place among the organisations' requests.
    pub _place: Place,
}

/// A piece of the answer, on its way to the caller.
#[derive(Debug)]
pub(super) enum Piece {
    /// A token, or a chunk without one; the id counts the tokens up to here.
    Data { id: EventId, data: String },
    /// The whole answer has been sent.
    Done,
    /// The answer ends here.
    Failed(Failure),
}

/// Progress of a relayed completion over all attempts.
struct Relay<'a> {
    edge: &'a Rc<Edge>,
    job: &'a Job,
    tx: &'a flume::Sender<Piece>,
    progress: Progress,
    tried: Vec<EndpointId>,
    /// Whether an engine may have taken the request.
    may_have_run: bool,
}

/// How an attempt, or the whole relay, ended.
enum End {
    Done,
    CallerGone,
    Broken(Broken),
}

/// Relays a completion into `tx`, going on at another engine when one fails.
pub(super) async fn run(edge: Rc<Edge>, job: Job, tx: flume::Sender<Piece>) {
    let mut relay = Relay {
        edge: &edge,
        job: &job,
        tx: &tx,
        progress: Progress::new(job.resume.as_ref()),
        tried: Vec::new(),
        may_have_run: job.resume.is_some(),
    };
    let timeout = job.settings.request_timeout.as_duration().min(edge.cfg.timeouts.request);
    let ended = tokio::time::timeout(timeout, relay.attempts()).await;
    let last = match ended {
        Ok(End::Done) => Piece::Done,
        Ok(End::CallerGone) => return,
        Ok(End::Broken(broken)) => Piece::Failed(relay.truthful(broken.failure)),
        Err(_) => {
            let failure = Failure::timed_out("the request timed out", Verdict::NotRun);
            Piece::Failed(relay.truthful(failure))
        }
    };
    if let Piece::Failed(failure) = &last {
        job.recorder.verdict(failure.verdict);
        let tokens = relay.progress.tokens();
        let (request, verdict) = (&job.request, failure.verdict);
        log::warn!(request:%, tokens, verdict:%, detail = failure.detail; "completion failed");
    }
    job.recorder.request_duration(edge.clock.now().saturating_since(job.arrived));
    let _ = tx.send_async(last).await;
}

impl Relay<'_> {
    async fn attempts(&mut self) -> End {
        self.edge.wait_for_endpoints().await;
        let mut held = None;
        if let Some(id) = &self.job.resume {
            match self.wait_for_held(id).await {
                Some(chosen) => held = Some(chosen),
                None => return End::Broken(Broken::not_held()),
            }
        }
        let mut fruitless = 0;
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let resumes = held.is_some();
            let chosen = match held.take().map_or_else(|| self.choose(), Ok) {
                Ok(chosen) => chosen,
                Err(why) => {
                    let Some(broken) = last else {
                        return End::Broken(no_engine(self.job, why).into());
                    };
                    fruitless += 1;
                    if MAX_FRUITLESS <= fruitless || self.progress.tokens() == 0 {
                        return End::Broken(broken);
                    }
                    // An engine that was tried may be back before the deadline.
                    self.tried.clear();
                    last = Some(broken);
                    tokio::time::sleep(ENGINE_PAUSE).await;
                    continue;
                }
            };
            let before = self.progress.tokens();
            // The deadline may end the attempt at any point.
            let ran_before = std::mem::replace(&mut self.may_have_run, true);
            let end = self.attempt(&chosen, resumes).await;
            let End::Broken(broken) = end else { return end };
            self.may_have_run = ran_before || broken.failure.verdict != Verdict::NotRun;
            let delivered = self.progress.tokens();
            fruitless = if delivered == before { fruitless + 1 } else { 0 };
            if !broken.failure.status.is_client_error() {
                self.edge.router.borrow_mut().failed(self.edge.clock.now(), &chosen);
            }
            let request = &self.job.request;
            let (endpoint, detail) = (&chosen.endpoint, &broken.failure.detail);
            log::info!(request:%, endpoint:%, tokens = delivered, detail; "attempt failed");
            if MAX_FRUITLESS <= fruitless || !self.may_go_on(&broken) {
                return End::Broken(broken);
            }
            let fruitless_resume = resumes && delivered == before;
            if broken.held && !fruitless_resume {
                held = self.find_held(&self.progress.event_id(&chosen, self.engine_request()));
            }
            if held.is_some() {
                self.job.recorder.resume();
            } else if !self.may_retry(fruitless).await {
                return End::Broken(broken);
            } else {
                self.job.recorder.retry();
            }
            last = Some(broken);
        }
        End::Broken(last.expect("the loop ran at least once"))
    }

    /// Takes a retry from the budget, which never ends an answer that has begun.
    async fn may_retry(&self, fruitless: usize) -> bool {
        if self.progress.tokens() != 0 {
            self.edge.retries.try_spend();
            return true;
        }
        let attempt = u32::try_from(fruitless.saturating_sub(1)).unwrap_or(u32::MAX);
        self.edge.retries.wait(attempt).await
    }

    /// Returns the failure with a verdict that counts the attempts before it.
    fn truthful(&self, mut failure: Failure) -> Failure {
        if self.may_have_run && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }

    fn choose(&mut self) -> Result<Chosen, NoEndpoint> {
        let _span = self.job.span.child(RequestStage::Route);
        let now = self.edge.clock.now();
        let prompt = self.job.completion.prompt_parts();
        let wanted = self.wanted(&prompt);
        let chosen = self.edge.router.borrow_mut().choose_engine(now, &wanted, &self.tried)?;
        self.tried.push(chosen.endpoint.clone());
        self.progress.go_on_elsewhere();
        Ok(chosen)
    }

    /// Returns the engine of an event once it is known here, as it may not be right after the start.
    async fn wait_for_held(&self, id: &EventId) -> Option<Chosen> {
        let until = self.edge.clock.now() + ROSTER_WAIT;
        loop {
            let held = self.find_held(id);
            if held.is_some() || until <= self.edge.clock.now() {
                return held;
            }
            tokio::time::sleep(ROSTER_POLL).await;
        }
    }

    /// Returns the engine of an event, if it still runs.
    fn find_held(&self, id: &EventId) -> Option<Chosen> {
        let prompt = self.job.completion.prompt_parts();
        let wanted = Wanted { weights: Some(&id.weights), ..self.wanted(&prompt) };
        let now = self.edge.clock.now();
        self.edge.router.borrow().engine_of(now, &id.endpoint, id.incarnation, &wanted)
    }

    fn wanted<'b>(&'b self, prompt: &'b [Cow<'b, [u8]>]) -> Wanted<'b> {
        Wanted {
            organisation: &self.job.organisation,
            model: self.job.completion.model(),
            adapter: self.job.completion.adapter(),
            weights: self.progress.weights.as_ref(),
            prompt,
            preferences: Preferences::from(&self.job.settings),
        }
    }

    fn may_go_on(&self, broken: &Broken) -> bool {
        if broken.final_answer {
            return false;
        }
        if broken.held || self.progress.tokens() == 0 && self.job.resume.is_none() {
            return true;
        }
        self.progress.knows_text() && self.job.completion.can_continue()
    }

    /// Returns the request's id at engines.
    fn engine_request(&self) -> &RequestId {
        self.job.resume.as_ref().map_or(&self.job.request, |id| &id.request)
    }
}

fn no_engine(job: &Job, why: NoEndpoint) -> Failure {
    let model = job.completion.model();
    match why {
        NoEndpoint::Unknown => Failure::not_found(format!("no endpoint serves model {model}")),
        NoEndpoint::AllTried => {
            Failure::unavailable(format!("no endpoint of model {model} is available"), RETRY_AFTER)
        }
    }
}
