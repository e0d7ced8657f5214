//! Capacity of engines that have not reported how many requests they run at once.

use std::{collections::VecDeque, time::Duration};

use base::{MonotonicTime, OrganisationId, TokenCount};
use route::{
    Action, Admission, AdmissionSettings, Arrival, CapacityEstimator, CapacitySettings, Decision,
    Priority, Ticket,
};
use yare::parameterized;

const ENGINES: usize = 2;

/// Time that an engine, which runs one request at a time, takes for each.
const REQUEST_MILLIS: u64 = 100;

const QUEUE_DEADLINE: u64 = 2_000;

/// One doubling of the start of four, and one by the additive increase. With a deeper queue no first
/// token is early enough to prove more.
const MAX_AT_ENGINE: usize = 9;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000 + millis)
}

fn organisation(number: usize) -> OrganisationId {
    format!("organisation-{number}").parse().unwrap()
}

/// A router before engines that run one request at a time, in steps of 1 ms.
struct Model {
    admission: Admission,
    capacity: CapacityEstimator,
    /// The requests at each engine with the time that is left of the first.
    engines: Vec<(VecDeque<Ticket>, u64)>,
    most_at_engine: usize,
    /// Tickets of the small organisation, and when they had their first token.
    others: Vec<(Ticket, Option<u64>)>,
    sent: Vec<(Ticket, u64)>,
    refused: Vec<Ticket>,
    reported: bool,
}

impl Model {
    fn new(initial: u32) -> Self {
        let mut admission = Admission::new(AdmissionSettings::default());
        let capacity = CapacityEstimator::new(initial, CapacitySettings::default());
        admission.set_capacity(at(0), capacity.requests());
        admission.set_expected_capacity(32);
        Self {
            admission,
            capacity,
            engines: vec![(VecDeque::new(), REQUEST_MILLIS); ENGINES],
            most_at_engine: 0,
            others: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
            reported: false,
        }
    }

    fn arrive(&mut self, millis: u64, number: usize) -> Decision {
        let decision = self.admission.admit(
            at(millis),
            Arrival {
                organisation: organisation(number),
                priority: Priority::new(0),
                deadline: at(millis + QUEUE_DEADLINE),
                cost: TokenCount::new(200),
            },
        );
        if let Decision::Run(ticket) = decision {
            self.send(millis, ticket);
        }
        decision
    }

    fn send(&mut self, millis: u64, ticket: Ticket) {
        let (queue, _) = self.engines.iter_mut().min_by_key(|(queue, _)| queue.len()).unwrap();
        queue.push_back(ticket);
        self.most_at_engine = self.most_at_engine.max(queue.len());
        self.sent.push((ticket, millis));
    }

    fn apply(&mut self, millis: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(ticket) => self.send(millis, ticket),
                Action::Refuse(ticket, _) => self.refused.push(ticket),
            }
        }
    }

    /// Applies the engines' report that each runs one request while others wait.
    fn report_slots(&mut self, millis: u64) {
        self.reported = true;
        self.admission.set_expected_capacity(0);
        self.capacity = CapacityEstimator::new(3, CapacitySettings::default());
        let actions = self.admission.set_capacity(at(millis), self.capacity.requests());
        self.apply(millis, actions);
    }

    fn step(&mut self, millis: u64) {
        let mut done = Vec::new();
        for (queue, left) in &mut self.engines {
            if queue.is_empty() {
                continue;
            }
            *left -= 1;
            if *left == 0 {
                *left = REQUEST_MILLIS;
                done.extend(queue.pop_front());
            }
        }
        for ticket in done {
            self.complete(millis, ticket);
        }
        let actions = self.admission.tick(at(millis));
        self.apply(millis, actions);
    }

    /// Ends a request, whose first token counts as its last.
    fn complete(&mut self, millis: u64, ticket: Ticket) {
        if let Some((_, first)) = self.others.iter_mut().find(|(other, _)| *other == ticket) {
            *first = Some(millis);
        }
        let sent = self.sent.iter().find(|(other, _)| *other == ticket).unwrap().1;
        let (ttft, running) =
            (Duration::from_millis(millis - sent), self.admission.running() as u32);
        self.capacity.record(at(millis), ttft, running);
        if !self.reported {
            self.capacity.record_proof(ttft, running);
        }
        let actions = self.admission.release(at(millis), ticket);
        self.apply(millis, actions);
        let actions = self.admission.set_capacity(at(millis), self.capacity.requests());
        self.apply(millis, actions);
    }
}

/// The load: 200 requests of one organisation at once, six of another 300 ms later, engines that run
/// one request of 100 ms at a time and report it late. Guards against refused or late requests of the
/// small organisation behind those that fill the engines before their capacity is known.
#[parameterized(
    reported_soon = { 100 },
    reported_with_the_next_announcement = { 600 },
    reported_late = { 1_200 },
)]
fn flood_of_one_organisation_leaves_another_in_time(reported: u64) {
    let mut model = Model::new(8);
    (0..200).for_each(|_| _ = model.arrive(0, 0));
    for millis in 1..4_000 {
        model.step(millis);
        if millis == 300 {
            for _ in 0..6 {
                match model.arrive(millis, 1) {
                    Decision::Run(ticket) | Decision::Wait(ticket) => {
                        model.others.push((ticket, None));
                    }
                    Decision::Refuse(refusal) => panic!("refused: {refusal:?}"),
                }
            }
        }
        if millis == reported {
            model.report_slots(millis);
        }
    }
    assert!(model.most_at_engine <= MAX_AT_ENGINE, "{} at one engine", model.most_at_engine);
    let latest = 300 + QUEUE_DEADLINE;
    let in_time = |first: Option<u64>| first.is_some_and(|first| first <= latest);
    assert!(model.others.iter().all(|(_, first)| in_time(*first)), "{:?}", model.others);
    assert!(!model.refused.is_empty(), "nothing was refused: the flood is below capacity");
}

/// Streams that go on have no second first token, so only those admitted by the last doubling can
/// prove it. Guards against growth that waits until streams end.
#[test]
fn estimate_doubles_with_the_first_tokens_of_each_round() {
    let mut capacity = CapacityEstimator::new(8, CapacitySettings::default());
    let mut running = 0;
    for _ in 0..5 {
        let admitted = capacity.requests() - running;
        running = capacity.requests();
        (0..admitted).for_each(|_| _ = capacity.record_proof(Duration::from_millis(100), running));
    }
    assert_eq!(capacity.requests(), 256);
}

#[parameterized(
    slow_responses_prove_nothing = { 500, 4 },
    unused_capacity_is_not_proven = { 100, 1 },
)]
fn estimate_stays(ttft_millis: u64, running: u32) {
    let mut capacity = CapacityEstimator::new(4, CapacitySettings::default());
    (0..100).for_each(|_| {
        capacity.record_proof(Duration::from_millis(ttft_millis), running);
    });
    assert_eq!(capacity.requests(), 4);
}

#[test]
fn proofs_do_not_grow_an_estimate_that_was_reduced() {
    let mut capacity = CapacityEstimator::new(40, CapacitySettings::default());
    (0..20).for_each(|_| _ = capacity.record(at(10), Duration::from_secs(2), 40));
    let reduced = capacity.requests();
    (0..200).for_each(|_| _ = capacity.record_proof(Duration::from_millis(100), 40));
    assert_eq!(capacity.requests(), reduced);
}
