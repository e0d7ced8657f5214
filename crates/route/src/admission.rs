use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use base::{MonotonicTime, OrganisationId, TokenCount};

use crate::{Action, Arrival, Decision, Priority, Refusal, RefusalReason, Ticket, share::Shares};

/// Bounds of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests under way at once, until [`Admission::set_capacity`] changes it.
    pub capacity: u32,
    /// Most requests of one organisation that wait.
    pub max_waiting: usize,
    /// Weight of an organisation that was given none.
    pub default_weight: u32,
    /// How long a request is taken to hold its place until one has ended.
    pub first_hold_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            capacity: 64,
            max_waiting: 1_024,
            default_weight: 1,
            first_hold_time: Duration::from_millis(100),
        }
    }
}

/// Shares the capacity among organisations by weight.
///
/// While there is room every request runs at once. Beyond it requests wait, and the organisation
/// that was charged the least for its weight goes first (start-time fair queueing), so that none
/// is starved and no capacity lies idle. Within an organisation the lower priority number goes
/// first, then the earlier arrival. A request that would wait beyond its deadline is refused on
/// arrival, or later once its organisation's share has shrunk.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    shares: Shares,
    waiting: HashMap<Ticket, Waiting>,
    running: HashMap<Ticket, Running>,
    deadlines: BTreeSet<(MonotonicTime, Ticket)>,
    next: u64,
    /// Average time that a request holds its place.
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

/// Part of the average that one request makes up.
const HOLD_TIME_PARTS: u32 = 16;

/// Factor by which the estimated wait exceeds the time to the deadline before a request that
/// already waits is refused.
const HOPELESS_FACTOR: f64 = 1.5;

impl Admission {
    /// Creates an admission with nothing under way.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            shares: Shares::new(settings.default_weight),
            waiting: HashMap::new(),
            running: HashMap::new(),
            deadlines: BTreeSet::new(),
            next: 0,
            hold_time: None,
        }
    }

    /// Sets an organisation's weight, at least 1.
    pub fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.shares.set_weight(organisation, weight);
    }

    /// Sets how many requests may be under way and starts those for which there is room now.
    pub fn set_capacity(&mut self, now: MonotonicTime, capacity: u32) -> Vec<Action> {
        self.settings.capacity = capacity;
        self.start_waiting(now)
    }

    /// Decides about a request that arrives at `now`.
    pub fn admit(&mut self, now: MonotonicTime, arrival: Arrival) -> Decision {
        if arrival.deadline <= now {
            return Decision::Refuse(self.refusal(RefusalReason::DeadlinePassed, Duration::ZERO));
        }
        if self.has_room() && self.waiting.is_empty() {
            let ticket = self.next_ticket();
            self.shares.charge(&arrival.organisation, arrival.cost);
            self.running.insert(ticket, Running { since: now });
            return Decision::Run(ticket);
        }
        match self.check_queue(now, &arrival) {
            Ok(()) => Decision::Wait(self.enqueue(arrival)),
            Err(refusal) => Decision::Refuse(refusal),
        }
    }

    /// Ends a request that ran, and starts those for which there is room now.
    pub fn release(&mut self, now: MonotonicTime, ticket: Ticket) -> Vec<Action> {
        let Some(running) = self.running.remove(&ticket) else { return Vec::new() };
        let held = now.saturating_since(running.since);
        let average = self.hold_time.unwrap_or(held);
        let parts = HOLD_TIME_PARTS;
        self.hold_time = Some((average * (parts - 1) + held) / parts);
        let actions = self.start_waiting(now);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.shares.reset();
        }
        actions
    }

    /// Forgets a request that waits, as when its caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.dequeue(ticket);
    }

    /// Refuses requests whose deadline passed or can no longer be met, and starts those for which
    /// there is room.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            let retry_after = self.wait_of(ticket);
            self.dequeue(ticket);
            let refusal = self.refusal(RefusalReason::DeadlinePassed, retry_after);
            actions.push(Action::Refuse(ticket, refusal));
        }
        for organisation in self.shares.queued_organisations() {
            self.refuse_hopeless(now, &organisation, &mut actions);
        }
        self.shares.forget_idle();
        actions.extend(self.start_waiting(now));
        actions
    }

    /// Returns the time at which [`tick`](Self::tick) has something to do.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Returns the number of requests under way.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.settings.capacity as usize
    }

    fn next_ticket(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    /// Checks that a request can wait and would start before its deadline.
    fn check_queue(&self, now: MonotonicTime, arrival: &Arrival) -> Result<(), Refusal> {
        let organisation = &arrival.organisation;
        let ahead = self.shares.ahead(organisation, arrival.priority);
        let wait = self.estimate_wait(organisation, ahead);
        let patience = arrival.deadline.saturating_since(now);
        if self.settings.max_waiting <= self.shares.queued(organisation) {
            return Err(self.refusal(RefusalReason::QueueFull, wait));
        }
        if patience < wait {
            return Err(self.refusal(RefusalReason::Overloaded, wait - patience));
        }
        Ok(())
    }

    /// Refuses the organisation's last requests while they would wait far beyond their deadline.
    fn refuse_hopeless(
        &mut self,
        now: MonotonicTime,
        organisation: &OrganisationId,
        actions: &mut Vec<Action>,
    ) {
        while let Some(ticket) = self.shares.last_of(organisation)
            && let Some(waiting) = self.waiting.get(&ticket)
        {
            let patience = waiting.deadline.saturating_since(now);
            let wait = self.estimate_wait(organisation, self.shares.queued(organisation) - 1);
            if wait.as_secs_f64() <= patience.as_secs_f64() * HOPELESS_FACTOR {
                return;
            }
            self.dequeue(ticket);
            let refusal = self.refusal(RefusalReason::Overloaded, wait.saturating_sub(patience));
            actions.push(Action::Refuse(ticket, refusal));
        }
    }

    /// Estimates how long a request with `ahead` others of its organisation before it waits.
    ///
    /// The organisation's first waits for those charged less; each further one for a round of all.
    fn estimate_wait(&self, organisation: &OrganisationId, ahead: usize) -> Duration {
        let capacity = f64::from(self.settings.capacity.max(1));
        let first = (self.shares.before(organisation) + 1) as f64;
        let further = ahead as f64 / self.shares.share_of(organisation);
        let wait = self.hold_time().as_secs_f64() * (first + further) / capacity;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn hold_time(&self) -> Duration {
        self.hold_time.unwrap_or(self.settings.first_hold_time)
    }

    fn wait_of(&self, ticket: Ticket) -> Duration {
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
        self.shares.push(&organisation, priority, ticket);
        self.deadlines.insert((deadline, ticket));
        self.waiting.insert(ticket, Waiting { organisation, priority, deadline, cost });
        ticket
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(waiting.deadline, ticket));
        self.shares.remove(&waiting.organisation, waiting.priority, ticket);
        Some(waiting)
    }

    fn start_waiting(&mut self, now: MonotonicTime) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_room() {
            let Some(ticket) = self.shares.first() else { break };
            let Some(waiting) = self.dequeue(ticket) else { break };
            if waiting.deadline <= now {
                let refusal = self.refusal(RefusalReason::DeadlinePassed, Duration::ZERO);
                actions.push(Action::Refuse(ticket, refusal));
                continue;
            }
            self.shares.charge(&waiting.organisation, waiting.cost);
            self.running.insert(ticket, Running { since: now });
            actions.push(Action::Run(ticket));
        }
        actions
    }
}
