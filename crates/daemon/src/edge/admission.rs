use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use base::{MonotonicTime, OrganisationId, TokenCount};
use route::{
    Action, Admission, AdmissionSettings, Arrival, Capacity, CapacitySettings, Decision, Priority,
    Refusal, Ticket,
};

use crate::clock::Clock;

use crate::failure::Failure;

/// Requests that one engine is first taken to run at once, over all routers.
const INITIAL_REQUESTS_PER_ENGINE: f64 = 16.0;

/// Requests let through for slots_per_engine that the engines run at once: the rest wait there, so that no slot
/// lies idle while requests are on their way, and none waits long.
const HEADROOM_FACTOR: f64 = 1.5;

/// Time between looks at whether waiting requests can still meet their deadline.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a caller is told to wait when its organisation has too many requests in flight.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shares this router's engine_share of the engines among the organisations.
#[derive(Clone)]
pub(super) struct AdmissionController(Rc<RefCell<AdmissionState>>);

struct AdmissionState {
    clock: Clock,
    admission: Admission,
    capacity: Option<Capacity>,
    /// Whether the capacity was sized by what engines showed.
    slots_reported: bool,
    waiting: HashMap<Ticket, flume::Sender<WaitOutcome>>,
    in_flight: HashMap<OrganisationId, u32>,
}

/// The end of a wait.
enum WaitOutcome {
    Run,
    Refuse(Refusal),
}

/// A request that is counted against its organisation; ends on drop.
pub(super) struct ConcurrencyPermit {
    controller: AdmissionController,
    organisation: OrganisationId,
}

/// A request's place among those that run or wait; given back on drop.
pub(super) struct AdmissionPermit {
    controller: AdmissionController,
    ticket: Ticket,
    _concurrency: ConcurrencyPermit,
}

impl AdmissionController {
    pub(super) fn new(clock: Clock) -> Self {
        let state = AdmissionState {
            clock,
            admission: Admission::new(AdmissionSettings::default()),
            capacity: None,
            slots_reported: false,
            waiting: HashMap::new(),
            in_flight: HashMap::new(),
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Counts a request against its organisation until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has as many requests in flight as it may.
    pub(super) fn acquire_concurrency(
        &self,
        organisation: &OrganisationId,
        settings: &fleet::Settings,
    ) -> Result<ConcurrencyPermit, Failure> {
        let max = settings.max_concurrent_requests.as_u32();
        let mut state = self.0.borrow_mut();
        let count = state.in_flight.entry(organisation.clone()).or_default();
        if max <= *count {
            let detail = format!("{organisation} has {max} requests in flight, the most allowed");
            return Err(Failure::too_many(detail, CONCURRENCY_RETRY_AFTER));
        }
        *count += 1;
        Ok(ConcurrencyPermit { controller: self.clone(), organisation: organisation.clone() })
    }

    /// Waits for the turn of a request that costs so many tokens.
    ///
    /// # Errors
    ///
    /// Returns a refusal if its turn won't come before the queue deadline in `settings`.
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
                    Err(_) => Err(Failure::unavailable("the queue ended", DEADLINE_CHECK_INTERVAL)),
                }
            }
        }
    }

    /// Sizes the capacity by this router's engine_share of the engines, slots_per_engine of which runs `slots` requests
    /// at once, 0 if none has shown that it is full.
    ///
    /// Until one has, the capacity grows quickly with the requests under way.
    pub(super) fn resize(&self, engines: usize, slots: u32, routers: usize) {
        if engines == 0 {
            return;
        }
        let engine_share = engines as f64 / routers.max(1) as f64;
        let slots_per_engine = if slots == 0 {
            INITIAL_REQUESTS_PER_ENGINE
        } else {
            f64::from(slots) * HEADROOM_FACTOR
        };
        let requests = (engine_share * slots_per_engine).ceil() as u32;
        let mut state = self.0.borrow_mut();
        let running = u32::try_from(state.admission.running()).unwrap_or(u32::MAX);
        if state.capacity.is_none() || (slots != 0) != state.slots_reported {
            state.capacity = Some(Capacity::new(requests, CapacitySettings::default()));
            state.slots_reported = slots != 0;
        }
        let Some(capacity) = &mut state.capacity else { return };
        let requests =
            if slots == 0 { capacity.probe(running) } else { capacity.set_min(requests) };
        state.set_capacity(requests);
    }

    /// Learns how long a first token took.
    pub(super) fn record_first_token(&self, took: Duration) {
        let mut state = self.0.borrow_mut();
        let now = state.clock.now();
        let running = u32::try_from(state.admission.running()).unwrap_or(u32::MAX);
        let Some(capacity) = &mut state.capacity else { return };
        let before = capacity.requests();
        let requests = capacity.record(now, took, running);
        if requests != before {
            state.set_capacity(requests);
        }
    }

    /// Refuses requests that can no longer be met in time, again and again.
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

    /// Gives a place back, whether its request ran or waited.
    fn release(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.admission.cancel(ticket);
        let now = self.clock.now();
        let actions = self.admission.release(now, ticket);
        self.apply_actions(actions);
    }

    /// Tells waiting requests that their turn has come or won't.
    ///
    /// One that has gone meanwhile gives its place back by its guard.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, outcome_rx) = match action {
                Action::Run(ticket) => (ticket, WaitOutcome::Run),
                Action::Refuse(ticket, refusal) => (ticket, WaitOutcome::Refuse(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(outcome_rx);
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
