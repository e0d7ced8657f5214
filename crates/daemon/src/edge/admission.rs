use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use base::{MonotonicTime, OrganisationId, TokenCount};
use route::{
    Action, Admission, AdmissionSettings, Arrival, CapacityEstimator, CapacitySettings, Decision,
    Priority, Refusal, Ticket,
};

use crate::clock::Clock;

use crate::failure::Failure;

/// Requests in flight at an engine that has not been full yet, over all routers, until its responses
/// prove more. 16 each put 1.6 s of work ahead at engines that run one request of 100 ms at a time.
const INITIAL_REQUESTS_PER_ENGINE: f64 = 4.0;

/// Requests that an engine that has not been full yet is expected to run soon, over all routers.
const EXPECTED_REQUESTS_PER_ENGINE: f64 = 16.0;

/// Requests admitted for each that the engines run at once. The excess waits at the engines, so that
/// no slot is idle while requests are on their way, and none waits long.
const HEADROOM_FACTOR: f64 = 1.5;

/// Time between checks whether waiting requests can still meet their deadline.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// `Retry-After` for an organisation with too many requests in flight.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admission control: shares this router's part of the engines among the organisations.
#[derive(Clone)]
pub(super) struct AdmissionController(Rc<RefCell<AdmissionState>>);

struct AdmissionState {
    clock: Clock,
    admission: Admission,
    capacity: Option<CapacityEstimator>,
    /// Whether the capacity was set from slot counts that engines reported.
    slots_reported: bool,
    waiting: HashMap<Ticket, flume::Sender<WaitOutcome>>,
    /// Most requests of one organisation in flight, whatever the declaration says.
    max_requests: u64,
    in_flight: HashMap<OrganisationId, u32>,
}

/// How the wait of a queued request ended.
enum WaitOutcome {
    Run,
    Refuse(Refusal),
}

/// Guard that counts a request against its organisation's limit until it is dropped.
pub(super) struct ConcurrencyPermit {
    controller: AdmissionController,
    organisation: OrganisationId,
}

/// Guard that holds a request's place in the queue or among the running; released on drop.
pub(super) struct AdmissionPermit {
    controller: AdmissionController,
    ticket: Ticket,
    _concurrency: ConcurrencyPermit,
}

impl AdmissionController {
    pub(super) fn new(clock: Clock, max_requests: u64) -> Self {
        let state = AdmissionState {
            clock,
            admission: Admission::new(AdmissionSettings::default()),
            capacity: None,
            slots_reported: false,
            waiting: HashMap::new(),
            max_requests,
            in_flight: HashMap::new(),
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Counts a request against its organisation's limit until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns a failure if the organisation has reached its limit of requests in flight.
    pub(super) fn acquire_concurrency(
        &self,
        organisation: &OrganisationId,
        settings: &fleet::Settings,
    ) -> Result<ConcurrencyPermit, Failure> {
        let mut state = self.0.borrow_mut();
        let max = state.max_requests.min(settings.max_concurrent_requests.as_u32().into());
        let count = state.in_flight.entry(organisation.clone()).or_default();
        if max <= u64::from(*count) {
            let detail = format!("{organisation} has {max} requests in flight, the most allowed");
            return Err(Failure::too_many(detail, CONCURRENCY_RETRY_AFTER));
        }
        *count += 1;
        Ok(ConcurrencyPermit { controller: self.clone(), organisation: organisation.clone() })
    }

    /// Waits until a request with a cost in tokens is admitted.
    ///
    /// # Errors
    ///
    /// Returns a failure if it can't be admitted before the queue deadline in `settings`.
    pub(super) async fn admit(
        &self,
        organisation: &OrganisationId,
        settings: &fleet::Settings,
        cost: TokenCount,
    ) -> Result<AdmissionPermit, Failure> {
        let concurrency = self.acquire_concurrency(organisation, settings)?;
        let (decision, outcome_rx) = self.0.borrow_mut().enqueue(organisation, settings, cost);
        let permit = |ticket| AdmissionPermit {
            controller: self.clone(),
            ticket,
            _concurrency: concurrency,
        };
        match decision {
            Decision::Run(ticket) => Ok(permit(ticket)),
            Decision::Refuse(refusal) => Err(refusal_failure(refusal)),
            Decision::Wait(ticket) => {
                let permit = permit(ticket);
                match outcome_rx.recv_async().await {
                    Ok(WaitOutcome::Run) => Ok(permit),
                    Ok(WaitOutcome::Refuse(refusal)) => Err(refusal_failure(refusal)),
                    Err(_) => Err(Failure::unavailable(
                        "the admission queue has closed",
                        DEADLINE_CHECK_INTERVAL,
                    )),
                }
            }
        }
    }

    /// Sets the capacity from this router's part of the engines, each of which runs `slots` requests
    /// at once; 0 if no engine has been full yet.
    ///
    /// Until one has, the capacity starts low and doubles as responses prove it.
    pub(super) fn resize(&self, engines: usize, slots: u32, routers: usize) {
        if engines == 0 {
            return;
        }
        let engines_per_router = engines as f64 / routers.max(1) as f64;
        let requests_per_engine = if slots == 0 {
            INITIAL_REQUESTS_PER_ENGINE
        } else {
            f64::from(slots) * HEADROOM_FACTOR
        };
        let requests = (engines_per_router * requests_per_engine).ceil() as u32;
        let expected = (engines_per_router * EXPECTED_REQUESTS_PER_ENGINE).ceil() as u32;
        let mut state = self.0.borrow_mut();
        state.admission.set_expected_capacity(if slots == 0 { expected } else { 0 });
        if state.capacity.is_none() || (slots != 0) != state.slots_reported {
            state.capacity = Some(CapacityEstimator::new(requests, CapacitySettings::default()));
            state.slots_reported = slots != 0;
        }
        let Some(capacity) = &mut state.capacity else { return };
        let requests = capacity.set_min(requests);
        state.set_capacity(requests);
    }

    /// Adjusts the capacity to a measured time to first token.
    pub(super) fn record_first_token(&self, time_to_first_token: Duration) {
        let mut state = self.0.borrow_mut();
        let now = state.clock.now();
        let running = u32::try_from(state.admission.running()).unwrap_or(u32::MAX);
        let slots_reported = state.slots_reported;
        let Some(capacity) = &mut state.capacity else { return };
        let before = capacity.requests();
        let mut requests = capacity.record(now, time_to_first_token, running);
        if !slots_reported {
            requests = capacity.record_proof(time_to_first_token, running);
        }
        if requests != before {
            state.set_capacity(requests);
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline, at regular intervals.
    pub(super) async fn watch_deadlines(self) {
        loop {
            tokio::time::sleep(DEADLINE_CHECK_INTERVAL).await;
            let mut state = self.0.borrow_mut();
            if state.admission.waiting() != 0 {
                let now = state.clock.now();
                let actions = state.admission.tick(now);
                state.apply_actions(actions);
            }
        }
    }
}

impl AdmissionState {
    fn enqueue(
        &mut self,
        organisation: &OrganisationId,
        settings: &fleet::Settings,
        cost: TokenCount,
    ) -> (Decision, flume::Receiver<WaitOutcome>) {
        let now = self.clock.now();
        let priority = i32::try_from(settings.priority.as_u32()).unwrap_or(i32::MAX);
        self.admission.set_weight(organisation.clone(), settings.share.as_u32());
        let decision = self.admission.admit(
            now,
            Arrival {
                organisation: organisation.clone(),
                priority: Priority::new(priority),
                deadline: now + settings.queue_deadline.as_duration(),
                cost,
            },
        );
        let (tx, outcome_rx) = flume::bounded(1);
        if let Decision::Wait(ticket) = decision {
            self.waiting.insert(ticket, tx);
        }
        (decision, outcome_rx)
    }

    fn set_capacity(&mut self, requests: u32) {
        let now: MonotonicTime = self.clock.now();
        let actions = self.admission.set_capacity(now, requests);
        self.apply_actions(actions);
    }

    /// Releases the place of a request that ran or waited.
    fn release(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.admission.cancel(ticket);
        let now = self.clock.now();
        let actions = self.admission.release(now, ticket);
        self.apply_actions(actions);
    }

    /// Notifies waiting requests that they are admitted or refused.
    ///
    /// The place of one that was cancelled meanwhile is released by its guard.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, outcome) = match action {
                Action::Run(ticket) => (ticket, WaitOutcome::Run),
                Action::Refuse(ticket, refusal) => (ticket, WaitOutcome::Refuse(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(outcome);
            }
        }
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        let mut state = self.controller.0.borrow_mut();
        let Some(count) = state.in_flight.get_mut(&self.organisation) else { return };
        *count -= 1;
        if *count == 0 {
            state.in_flight.remove(&self.organisation);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.controller.0.borrow_mut().release(self.ticket);
    }
}

fn refusal_failure(refusal: Refusal) -> Failure {
    let detail = format!("refused before it ran: {}", refusal.reason);
    Failure::too_many(detail, refusal.retry_after)
}
