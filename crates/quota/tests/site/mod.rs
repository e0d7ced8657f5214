//! Routers and leaders that exchange messages with fixed delays, in steps of 5 ms.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::{collections::VecDeque, ops::Range};

use base::MonotonicTime;
use quota::{Bounds, Cost, Decision, Demand, Gate, Ledger, OrganisationKey, Quota, Unit};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

pub const STEP_MS: u64 = 5;

/// Longest wait of the leader before it responds to a poll.
const POLL_WAIT_MS: u64 = 150;

/// Delay of a message in one direction.
const DELAY_MS: u64 = 10;

/// Time after which a router no longer waits for an answer.
const ASK_TIMEOUT_MS: u64 = 300;

/// Time after which a router no longer waits for a response to a poll.
const POLL_TIMEOUT_MS: u64 = 1_000;

/// The window of the bound, in milliseconds.
const WINDOW_MS: u64 = 8_000;

pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns a quota of tokens whose burst is its rate of a second.
pub fn tokens(rate: f64) -> Quota {
    Quota::new(rate, rate, Unit::Tokens, Cost::new(200)).unwrap()
}

/// A request that was admitted, or refused.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub at: u64,
    pub organisation: OrganisationKey,
    pub cost: u32,
    pub is_admitted: bool,
}

/// Requests of an organisation to random routers at a mean rate.
#[derive(Clone, Debug)]
pub struct Load {
    pub organisation: OrganisationKey,
    pub per_second: f64,
    pub cost: u32,
    pub during: Range<u64>,
}

struct Ask {
    sent: u64,
    demands: Vec<Demand>,
}

struct Poll {
    sent: u64,
    position: u64,
    term: u64,
    is_received: bool,
}

pub struct Router {
    pub gate: Gate,
    waiting: Vec<Demand>,
    ask: Option<Ask>,
    poll: Option<Poll>,
    view_term: u64,
    pub is_frozen: bool,
    pub is_cut: bool,
    pub knows_routers: bool,
}

pub struct Site {
    pub now: u64,
    pub ledger: Option<Ledger<usize>>,
    bounds: Bounds,
    term: u64,
    pub quotas: Vec<(OrganisationKey, Quota)>,
    pub routers: Vec<Router>,
    /// Routers whose answers are on their way, with the time at which they arrive.
    answers: VecDeque<(u64, usize, Ask, Vec<quota::Answer>)>,
    views: VecDeque<(u64, usize, Poll, quota::QuotaView)>,
    pub outcomes: Vec<Outcome>,
    rng: Pcg64Mcg,
}

impl Site {
    pub fn new(routers: usize, quotas: &[(OrganisationKey, Quota)]) -> Self {
        Self::with_bounds(routers, quotas, Bounds::default())
    }

    pub fn with_bounds(
        routers: usize,
        quotas: &[(OrganisationKey, Quota)],
        bounds: Bounds,
    ) -> Self {
        let router = |number| Router {
            gate: Gate::with_bounds(number, bounds),
            waiting: Vec::new(),
            ask: None,
            poll: None,
            view_term: 0,
            is_frozen: false,
            is_cut: false,
            knows_routers: true,
        };
        let mut site = Self {
            now: 0,
            ledger: None,
            bounds,
            term: 0,
            quotas: quotas.to_vec(),
            routers: (0..routers as u64).map(router).collect(),
            answers: VecDeque::new(),
            views: VecDeque::new(),
            outcomes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(7),
        };
        site.elect();
        site
    }

    /// Starts a new term with an empty ledger.
    pub fn elect(&mut self) {
        let mut ledger = Ledger::new(at(self.now));
        ledger.set_bounds(self.bounds);
        ledger.set_quotas(at(self.now), self.quotas.iter().copied());
        self.ledger = Some(ledger);
        self.term += 1;
    }

    pub fn set_quotas(&mut self, quotas: &[(OrganisationKey, Quota)]) {
        self.quotas = quotas.to_vec();
        let now = at(self.now);
        self.ledger.as_mut().unwrap().set_quotas(now, self.quotas.iter().copied());
    }

    /// Sends loads until `until`.
    pub fn run(&mut self, loads: &[Load], until: u64) {
        while self.now < until {
            self.step(loads);
        }
    }

    fn step(&mut self, loads: &[Load]) {
        self.now += STEP_MS;
        self.deliver();
        for router in 0..self.routers.len() {
            self.exchange(router);
        }
        if let Some(ledger) = &mut self.ledger {
            ledger.review(at(self.now));
        }
        let now = self.now;
        for load in loads.iter().filter(|load| load.during.contains(&now)) {
            let mean = load.per_second * STEP_MS as f64 / 1_000.0;
            let whole = mean.floor();
            let count = whole as u64 + u64::from(self.rng.random_range(0.0..1.0) < mean - whole);
            for _ in 0..count {
                let router = self.rng.random_range(0..self.routers.len());
                let cost = Cost::new(load.cost);
                self.request(router, Demand { organisation: load.organisation, cost });
            }
        }
    }

    /// Decides about a request at a router.
    pub fn request(&mut self, router: usize, demand: Demand) {
        let draw = self.rng.random_range(0.0..1.0);
        let count = u32::try_from(self.routers.len()).unwrap();
        let quota = self.quotas.iter().find(|(key, _)| *key == demand.organisation);
        let Some((_, quota)) = quota else { return self.record(&demand, true) };
        let state = &mut self.routers[router];
        if state.is_frozen {
            return;
        }
        let count = state.knows_routers.then_some(count);
        match state.gate.admit(at(self.now), &demand, quota, count, draw) {
            Decision::Admitted(_) => self.record(&demand, true),
            Decision::Denied { .. } => self.record(&demand, false),
            Decision::Ask => state.waiting.push(demand),
        }
    }

    fn record(&mut self, demand: &Demand, is_admitted: bool) {
        let Demand { organisation, cost } = *demand;
        let outcome = Outcome { at: self.now, organisation, cost: cost.as_u32(), is_admitted };
        self.outcomes.push(outcome);
    }

    /// Delivers responses of the leader; those to routers that are cut or frozen are lost or wait.
    fn deliver(&mut self) {
        for (due, router, poll, view) in std::mem::take(&mut self.views) {
            let state = &mut self.routers[router];
            if self.now < due || state.is_frozen {
                self.views.push_back((due, router, poll, view));
            } else if !state.is_cut && state.poll.as_ref().is_some_and(|p| p.sent == poll.sent) {
                state.gate.apply_view(at(poll.sent), Some(&view));
                state.view_term = poll.term;
                state.poll = None;
            }
        }
        for (due, router, ask, answers) in std::mem::take(&mut self.answers) {
            let state = &mut self.routers[router];
            if self.now < due || state.is_frozen {
                self.answers.push_back((due, router, ask, answers));
            } else if !state.is_cut && state.ask.as_ref().is_some_and(|a| a.sent == ask.sent) {
                state.ask = None;
                let (now, asked) = (at(self.now), at(ask.sent));
                let decisions = state.gate.apply_answers(now, asked, &ask.demands, &answers);
                for (demand, decision) in ask.demands.iter().zip(decisions) {
                    match decision {
                        Decision::Admitted(_) => self.record(demand, true),
                        Decision::Denied { .. } => self.record(demand, false),
                        Decision::Ask => self.routers[router].waiting.push(*demand),
                    }
                }
            }
        }
    }

    /// Sends what a router has to send, and lets the leader receive and answer it.
    fn exchange(&mut self, router: usize) {
        if self.routers[router].is_frozen {
            return;
        }
        self.time_out(router);
        let (now, count) = (self.now, u32::try_from(self.routers.len()).unwrap());
        let term = self.term;
        let state = &mut self.routers[router];
        if state.poll.is_none() {
            let position = if state.view_term == term { state.gate.position() } else { 0 };
            state.poll = Some(Poll { sent: now, position, term, is_received: false });
        }
        if state.ask.is_none() && !state.waiting.is_empty() {
            let demands = std::mem::take(&mut state.waiting);
            state.ask = Some(Ask { sent: now, demands });
        }
        let Some(ledger) = self.ledger.as_mut().filter(|_| !state.is_cut) else { return };
        if let Some(poll) = &mut state.poll {
            if !poll.is_received && poll.sent + DELAY_MS <= now {
                poll.is_received = true;
                ledger.record_report(at(now), &router, &state.gate.report(count));
            }
            let metered = ledger.view(poll.position).metered;
            let is_due = poll.sent + DELAY_MS + POLL_WAIT_MS <= now || !metered.is_empty();
            let is_answered =
                self.views.iter().any(|(_, to, p, _)| *to == router && p.sent == poll.sent);
            if poll.is_received && is_due && !is_answered {
                let position = if poll.term == term { poll.position } else { 0 };
                let answered = Poll { term, ..*poll };
                self.views.push_back((now + DELAY_MS, router, answered, ledger.view(position)));
            }
        }
        if let Some(ask) = state.ask.as_ref().filter(|ask| ask.sent + DELAY_MS == now) {
            let answers = ledger.answer(at(now), &ask.demands);
            let ask = Ask { sent: ask.sent, demands: ask.demands.clone() };
            self.answers.push_back((now + DELAY_MS, router, ask, answers));
        }
    }

    fn time_out(&mut self, router: usize) {
        let now = self.now;
        let state = &mut self.routers[router];
        if state.poll.as_ref().is_some_and(|poll| poll.sent + POLL_TIMEOUT_MS < now) {
            state.poll = None;
            state.gate.record_failed_poll(at(now));
        }
        if state.ask.as_ref().is_some_and(|ask| ask.sent + ASK_TIMEOUT_MS < now) {
            state.gate.record_unanswered(at(now));
            let ask = state.ask.take().unwrap();
            let again = ask.demands.into_iter().chain(std::mem::take(&mut state.waiting));
            again.collect::<Vec<_>>().into_iter().for_each(|demand| self.request(router, demand));
        }
    }

    /// Returns the share of an organisation's requests that were refused, among those that match.
    pub fn refused_share(
        &self,
        organisation: OrganisationKey,
        matches: impl Fn(&Outcome) -> bool,
    ) -> f64 {
        let of_it = |outcome: &&Outcome| outcome.organisation == organisation && matches(outcome);
        let all: Vec<_> = self.outcomes.iter().filter(of_it).collect();
        assert!(!all.is_empty());
        all.iter().filter(|outcome| !outcome.is_admitted).count() as f64 / all.len() as f64
    }

    /// Returns the units of an organisation that were admitted at these times.
    pub fn admitted(&self, organisation: OrganisationKey, during: Range<u64>) -> f64 {
        let admitted = self.outcomes.iter().filter(|outcome| {
            outcome.organisation == organisation
                && outcome.is_admitted
                && during.contains(&outcome.at)
        });
        admitted.map(|outcome| f64::from(outcome.cost)).sum()
    }

    /// Returns the largest consumption in any window of 8 s that starts at `from` or later.
    pub fn peak(&self, organisation: OrganisationKey, from: u64) -> f64 {
        let ran: Vec<_> = self
            .outcomes
            .iter()
            .filter(|o| o.organisation == organisation && o.is_admitted && from <= o.at)
            .map(|o| (o.at, f64::from(o.cost)))
            .collect();
        let (mut sum, mut first, mut peak) = (0.0, 0, 0.0f64);
        for (time, cost) in &ran {
            sum += cost;
            while ran[first].0 + WINDOW_MS <= *time {
                sum -= ran[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak
    }

    /// Checks the bound of every window of 8 s.
    pub fn assert_bounded(&self, organisation: OrganisationKey, quota: &Quota, from: u64) {
        let bound = quota.rate() * 8.0 + quota.burst() + self.bounds.allowance(quota);
        let peak = self.peak(organisation, from);
        assert!(peak <= bound, "{peak} units in 8 s, allowed {bound}");
    }
}
