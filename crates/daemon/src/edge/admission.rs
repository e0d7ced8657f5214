use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use base::{MonotonicTime, OrganisationId, TokenCount};
use route::{
    Action, Admission, AdmissionSettings, Arrival, CapacityEstimator, CapacitySettings, Decision,
    Priority, Refusal, Ticket,
};

use crate::clock::Clock;

use crate::failure::Failure;

/// Requests that one engine is first taken to run at once, over all routers.
const REQUESTS_PER_ENGINE: f64 = 16.0;

/// Requests let through for each that the engines run at once: the rest wait there, so that no slot
/// lies idle while requests are on their way, and none waits long.
const HEADROOM: f64 = 1.5;

/// Time between looks at whether waiting requests can still meet their deadline.
const TICK: Duration = Duration::from_millis(10);

/// What a caller is told to wait when its organisation has too many requests in flight.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

/// Shares this router's part of the engines among the organisations.
#[derive(Clone)]
pub(super) struct Gate(Rc<RefCell<Core>>);

struct Core {
    clock: Clock,
    admission: Admission,
    capacity: Option<CapacityEstimator>,
    /// Whether the capacity was sized by what engines showed.
    slots_known: bool,
    waiting: HashMap<Ticket, flume::Sender<Turn>>,
    in_flight: HashMap<OrganisationId, u32>,
}

/// The end of a wait.
enum Turn {
    Run,
    Refuse(Refusal),
}

/// A request that is counted against its organisation; ends on drop.
pub(super) struct Counted {
    gate: Gate,
    organisation: OrganisationId,
}

/// A request's place among those that run or wait; given back on drop.
pub(super) struct Place {
    gate: Gate,
    ticket: Ticket,
    _counted: Counted,
}

impl Gate {
    pub(super) fn new(clock: Clock) -> Self {
        let core = Core {
            clock,
            admission: Admission::new(AdmissionSettings::default()),
            capacity: None,
            slots_known: false,
            waiting: HashMap::new(),
            in_flight: HashMap::new(),
        };
        Self(Rc::new(RefCell::new(core)))
    }

    /// Counts a request against its organisation until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has as many requests in flight as it may.
    pub(super) fn count(
        &self,
        organisation: &OrganisationId,
        settings: &fleet::Settings,
    ) -> Result<Counted, Failure> {
        let max = settings.max_concurrent_requests.as_u32();
        let mut core = self.0.borrow_mut();
        let count = core.in_flight.entry(organisation.clone()).or_default();
        if max <= *count {
            let detail = format!("{organisation} has {max} requests in flight, the most allowed");
            return Err(Failure::too_many(detail, CONCURRENCY_RETRY));
        }
        *count += 1;
        Ok(Counted { gate: self.clone(), organisation: organisation.clone() })
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
    ) -> Result<Place, Failure> {
        let counted = self.count(organisation, settings)?;
        let (decision, turn) = self.0.borrow_mut().arrive(organisation, settings, cost);
        let place = |ticket| Place { gate: self.clone(), ticket, _counted: counted };
        match decision {
            Decision::Run(ticket) => Ok(place(ticket)),
            Decision::Refuse(refusal) => Err(refused(refusal)),
            Decision::Wait(ticket) => {
                let place = place(ticket);
                match turn.recv_async().await {
                    Ok(Turn::Run) => Ok(place),
                    Ok(Turn::Refuse(refusal)) => Err(refused(refusal)),
                    Err(_) => Err(Failure::unavailable("the queue ended", TICK)),
                }
            }
        }
    }

    /// Sizes the capacity by this router's part of the engines, each of which runs `slots` requests
    /// at once, 0 if none has shown that it is full.
    ///
    /// Until one has, the capacity grows quickly with the requests under way.
    pub(super) fn size(&self, engines: usize, slots: u32, routers: usize) {
        if engines == 0 {
            return;
        }
        let part = engines as f64 / routers.max(1) as f64;
        let each = if slots == 0 { REQUESTS_PER_ENGINE } else { f64::from(slots) * HEADROOM };
        let requests = (part * each).ceil() as u32;
        let mut core = self.0.borrow_mut();
        let running = u32::try_from(core.admission.running()).unwrap_or(u32::MAX);
        if core.capacity.is_none() || (slots != 0) != core.slots_known {
            core.capacity = Some(CapacityEstimator::new(requests, CapacitySettings::default()));
            core.slots_known = slots != 0;
        }
        let Some(capacity) = &mut core.capacity else { return };
        let requests =
            if slots == 0 { capacity.probe(running) } else { capacity.set_min(requests) };
        core.set_capacity(requests);
    }

    /// Learns how long a first token took.
    pub(super) fn first_token(&self, took: Duration) {
        let mut core = self.0.borrow_mut();
        let now = core.clock.now();
        let running = u32::try_from(core.admission.running()).unwrap_or(u32::MAX);
        let Some(capacity) = &mut core.capacity else { return };
        let before = capacity.requests();
        let requests = capacity.record(now, took, running);
        if requests != before {
            core.set_capacity(requests);
        }
    }

    /// Refuses requests that can no longer be met in time, again and again.
    pub(super) async fn watch_deadlines(self) {
        loop {
            tokio::time::sleep(TICK).await;
            let mut core = self.0.borrow_mut();
            if core.admission.waiting() != 0 {
                let now = core.clock.now();
                let actions = core.admission.tick(now);
                core.carry_out(actions);
            }
        }
    }
}

impl Core {
    fn arrive(
        &mut self,
        organisation: &OrganisationId,
        settings: &fleet::Settings,
        cost: TokenCount,
    ) -> (Decision, flume::Receiver<Turn>) {
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
        let (tx, turn) = flume::bounded(1);
        if let Decision::Wait(ticket) = decision {
            self.waiting.insert(ticket, tx);
        }
        (decision, turn)
    }

    fn set_capacity(&mut self, requests: u32) {
        let now: MonotonicTime = self.clock.now();
        let actions = self.admission.set_capacity(now, requests);
        self.carry_out(actions);
    }

    /// Gives a place back, whether its request ran or waited.
    fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.admission.cancel(ticket);
        let now = self.clock.now();
        let actions = self.admission.release(now, ticket);
        self.carry_out(actions);
    }

    /// Tells waiting requests that their turn has come or won't.
    ///
    /// One that has gone meanwhile gives its place back by its guard.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, turn) = match action {
                Action::Run(ticket) => (ticket, Turn::Run),
                Action::Refuse(ticket, refusal) => (ticket, Turn::Refuse(refusal)),
            };
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(turn);
            }
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut core = self.gate.0.borrow_mut();
        let Some(count) = core.in_flight.get_mut(&self.organisation) else { return };
        *count -= 1;
        if *count == 0 {
            core.in_flight.remove(&self.organisation);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.0.borrow_mut().leave(self.ticket);
    }
}

fn refused(refusal: Refusal) -> Failure {
    let detail = format!("refused before it ran: {}", refusal.reason);
    Failure::too_many(detail, refusal.retry_after)
}
