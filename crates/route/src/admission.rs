use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use base::{MonotonicTime, OrganisationId, TokenCount};

use crate::{
    Action, Arrival, Decision, Priority, Refusal, RefusalReason, Ticket, fair_queue::FairQueue,
};

/// Bounds of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of requests in flight, until [`Admission::set_capacity`] changes it.
    pub capacity: u32,
    /// Maximum number of waiting requests of one organisation.
    pub max_waiting: usize,
    /// Weight of organisations without a configured weight.
    pub default_weight: u32,
    /// Assumed time that a request stays in flight, until the first one has ended.
    pub initial_hold_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            capacity: 64,
            max_waiting: 1_024,
            default_weight: 1,
            initial_hold_time: Duration::from_millis(100),
        }
    }
}

/// Divides the capacity among organisations by weight.
///
/// While there is capacity, every request runs at once. Beyond it requests wait, and the
/// organisation that was charged the least relative to its weight goes first (start-time fair
/// queueing), so that none is starved and no capacity is idle. Within an organisation the lower
/// priority number goes first, then the earlier arrival. A request that would wait beyond its
/// deadline is refused on arrival, or later if its organisation's share shrinks.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    fair_queue: FairQueue,
    waiting: HashMap<Ticket, Waiting>,
    running: HashMap<Ticket, Running>,
    deadlines: BTreeSet<(MonotonicTime, Ticket)>,
    next_number: u64,
    /// Capacity that is expected soon, while it is still growing.
    expected_capacity: u32,
    /// Moving average of the time that a request is in flight.
    hold_time: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Waiting {
    organisation: OrganisationId,
    priority: Priority,
    deadline: MonotonicTime,
    cost: TokenCount,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    since: MonotonicTime,
}

/// Divisor of the weight of one request in the moving average of the hold time.
const HOLD_TIME_WEIGHT_DIVISOR: u32 = 16;

/// Factor by which the estimated wait must exceed the time to the deadline before a request that
/// already waits is refused.
const LATE_REFUSAL_FACTOR: f64 = 1.5;

impl Admission {
    /// Creates an admission queue without any requests.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            fair_queue: FairQueue::new(settings.default_weight),
            waiting: HashMap::new(),
            running: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_number: 0,
            expected_capacity: 0,
            hold_time: None,
        }
    }

    /// Sets an organisation's weight, at least 1.
    pub fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.fair_queue.set_weight(organisation, weight);
    }

    /// Sets the maximum number of requests in flight, and starts waiting requests that now fit.
    pub fn set_capacity(&mut self, now: MonotonicTime, capacity: u32) -> Vec<Action> {
        self.settings.capacity = capacity;
        self.start_waiting(now)
    }

    /// Sets the capacity that is expected soon, 0 if it doesn't grow; no request is refused for a wait
    /// that is shorter with it.
    pub fn set_expected_capacity(&mut self, capacity: u32) {
        self.expected_capacity = capacity;
    }

    /// Admits, queues or refuses a request that arrives at `now`.
    pub fn admit(&mut self, now: MonotonicTime, arrival: Arrival) -> Decision {
        if arrival.deadline <= now {
            return Decision::Refuse(self.refusal(RefusalReason::DeadlinePassed, Duration::ZERO));
        }
        if self.has_capacity() && self.waiting.is_empty() {
            let ticket = self.next_ticket();
            self.fair_queue.charge(&arrival.organisation, arrival.cost);
            self.running.insert(ticket, Running { since: now });
            return Decision::Run(ticket);
        }
        match self.check_queue(now, &arrival) {
            Ok(()) => Decision::Wait(self.enqueue(arrival)),
            Err(refusal) => Decision::Refuse(refusal),
        }
    }

    /// Ends a running request, and starts waiting requests that now fit.
    pub fn release(&mut self, now: MonotonicTime, ticket: Ticket) -> Vec<Action> {
        let Some(running) = self.running.remove(&ticket) else { return Vec::new() };
        let hold_time = now.saturating_since(running.since);
        let average = self.hold_time.unwrap_or(hold_time);
        let divisor = HOLD_TIME_WEIGHT_DIVISOR;
        self.hold_time = Some((average * (divisor - 1) + hold_time) / divisor);
        let actions = self.start_waiting(now);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.fair_queue.reset();
        }
        actions
    }

    /// Removes a waiting request, as when its caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.dequeue(ticket);
    }

    /// Refuses waiting requests whose deadline passed or can no longer be met, and starts those
    /// that fit.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            let retry_after = self.wait_if_first(ticket);
            self.dequeue(ticket);
            let refusal = self.refusal(RefusalReason::DeadlinePassed, retry_after);
            actions.push(Action::Refuse(ticket, refusal));
        }
        for organisation in self.fair_queue.queued_organisations() {
            self.refuse_late(now, &organisation, &mut actions);
        }
        self.fair_queue.remove_idle();
        actions.extend(self.start_waiting(now));
        actions
    }

    /// Returns the earliest deadline of a waiting request, when [`tick`](Self::tick) is due.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_capacity(&self) -> bool {
        self.running.len() < self.settings.capacity as usize
    }

    fn next_ticket(&mut self) -> Ticket {
        self.next_number += 1;
        Ticket(self.next_number)
    }

    /// Checks that the queue has space for a request and that it would start before its deadline.
    fn check_queue(&self, now: MonotonicTime, arrival: &Arrival) -> Result<(), Refusal> {
        let organisation = &arrival.organisation;
        let requests_ahead = self.fair_queue.requests_ahead(organisation, arrival.priority);
        let wait = self.estimate_wait(organisation, requests_ahead);
        let time_left = arrival.deadline.saturating_since(now);
        if self.settings.max_waiting <= self.fair_queue.queued(organisation) {
            return Err(self.refusal(RefusalReason::QueueFull, wait));
        }
        if time_left < wait {
            return Err(self.refusal(RefusalReason::Overloaded, wait - time_left));
        }
        Ok(())
    }

    /// Refuses the organisation's last requests while they would wait far beyond their deadlines.
    fn refuse_late(
        &mut self,
        now: MonotonicTime,
        organisation: &OrganisationId,
        actions: &mut Vec<Action>,
    ) {
        while let Some(ticket) = self.fair_queue.last_of(organisation)
            && let Some(waiting) = self.waiting.get(&ticket)
        {
            let time_left = waiting.deadline.saturating_since(now);
            let wait = self.estimate_wait(organisation, self.fair_queue.queued(organisation) - 1);
            if wait.as_secs_f64() <= time_left.as_secs_f64() * LATE_REFUSAL_FACTOR {
                return;
            }
            self.dequeue(ticket);
            let refusal = self.refusal(RefusalReason::Overloaded, wait.saturating_sub(time_left));
            actions.push(Action::Refuse(ticket, refusal));
        }
    }

    /// Estimates the wait of a request with `requests_ahead` others of its organisation before it.
    ///
    /// The organisation's first request waits for the organisations that were charged less; each
    /// further one waits for a round of all organisations.
    fn estimate_wait(&self, organisation: &OrganisationId, requests_ahead: usize) -> Duration {
        let capacity = f64::from(self.settings.capacity.max(self.expected_capacity).max(1));
        let first = (self.fair_queue.organisations_ahead(organisation) + 1) as f64;
        let further = requests_ahead as f64 / self.fair_queue.capacity_share(organisation);
        let wait = self.hold_time().as_secs_f64() * (first + further) / capacity;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn hold_time(&self) -> Duration {
        self.hold_time.unwrap_or(self.settings.initial_hold_time)
    }

    fn wait_if_first(&self, ticket: Ticket) -> Duration {
        let Some(waiting) = self.waiting.get(&ticket) else { return Duration::ZERO };
        self.estimate_wait(&waiting.organisation, 0)
    }

    fn refusal(&self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        let least = self.hold_time() / self.settings.capacity.max(1);
        Refusal { reason, retry_after: retry_after.max(least) }
    }

    fn enqueue(&mut self, arrival: Arrival) -> Ticket {
        let ticket = self.next_ticket();
        let Arrival { organisation, priority, deadline, cost } = arrival;
        self.fair_queue.push(&organisation, priority, ticket);
        self.deadlines.insert((deadline, ticket));
        self.waiting.insert(ticket, Waiting { organisation, priority, deadline, cost });
        ticket
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(waiting.deadline, ticket));
        self.fair_queue.remove(&waiting.organisation, waiting.priority, ticket);
        Some(waiting)
    }

    fn start_waiting(&mut self, now: MonotonicTime) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_capacity() {
            let Some(ticket) = self.fair_queue.first() else { break };
            let Some(waiting) = self.dequeue(ticket) else { break };
            if waiting.deadline <= now {
                let refusal = self.refusal(RefusalReason::DeadlinePassed, Duration::ZERO);
                actions.push(Action::Refuse(ticket, refusal));
                continue;
            }
            self.fair_queue.charge(&waiting.organisation, waiting.cost);
            self.running.insert(ticket, Running { since: now });
            actions.push(Action::Run(ticket));
        }
        actions
    }
}
