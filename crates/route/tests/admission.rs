//! Admission by fair shares, priorities and deadlines, and the capacity estimator.

use std::{collections::HashMap, time::Duration};

use base::{MonotonicTime, OrganisationId, TokenCount};
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use route::{
    Action, Admission, AdmissionSettings, Arrival, CapacityEstimator, CapacitySettings, Decision,
    Priority, RefusalReason, Ticket,
};

fn org(n: u64) -> OrganisationId {
    format!("org-{n}").parse().unwrap()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn arrival(organisation: u64, deadline: u64) -> Arrival {
    let (priority, cost) = (Priority::default(), TokenCount::new(100));
    Arrival { organisation: org(organisation), priority, deadline: at(deadline), cost }
}

fn urgent(organisation: u64) -> Arrival {
    Arrival { priority: Priority::new(-1), ..arrival(organisation, 60_000) }
}

fn admission(capacity: u32) -> Admission {
    let initial_hold_time = Duration::ZERO;
    Admission::new(AdmissionSettings {
        capacity,
        initial_hold_time,
        ..AdmissionSettings::default()
    })
}

fn run(decision: Decision) -> Ticket {
    let Decision::Run(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

fn wait(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

fn reason(decision: Decision) -> RefusalReason {
    let Decision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    refusal.reason
}

/// The load of several organisations on a capacity of eight; each request runs for 80 ms, so that
/// 100 requests per second can run.
struct Load {
    admission: Admission,
    /// Requests per second of each organisation.
    rates: Vec<u64>,
    owners: HashMap<Ticket, usize>,
    ends: Vec<(u64, Ticket)>,
    ran: Vec<u64>,
    /// Requests refused after waiting until their deadline.
    late: u64,
    max_running: usize,
}

impl Load {
    fn new(rates: &[u64]) -> Self {
        let ran = vec![0; rates.len()];
        let (owners, ends) = (HashMap::new(), Vec::new());
        Self {
            admission: admission(8),
            rates: rates.to_vec(),
            owners,
            ends,
            ran,
            late: 0,
            max_running: 0,
        }
    }

    /// Simulates `seconds` and returns the number of requests that ran, for each organisation.
    fn run(mut self, seconds: u64) -> Vec<u64> {
        for now in 0..seconds * 1_000 {
            let (ended, running) = self.ends.iter().partition(|&&(end, _)| end <= now);
            self.ends = running;
            let ended: Vec<(u64, Ticket)> = ended;
            for (_, ticket) in ended {
                let actions = self.admission.release(at(now), ticket);
                self.apply(now, actions);
            }
            let actions = self.admission.tick(at(now));
            self.apply(now, actions);
            self.arrive(now);
            self.max_running = self.max_running.max(self.admission.running());
        }
        assert!(self.max_running <= 8);
        assert!(self.late * 50 <= self.ran.iter().sum(), "{} refused late", self.late);
        self.ran
    }

    fn arrive(&mut self, now: u64) {
        for owner in 0..self.rates.len() {
            let rate = self.rates[owner];
            for _ in (now * rate / 1_000)..((now + 1) * rate / 1_000) {
                match self.admission.admit(at(now), arrival(owner as u64, now + 2_000)) {
                    Decision::Run(ticket) => self.start(now, owner, ticket),
                    Decision::Wait(ticket) => {
                        self.owners.insert(ticket, owner);
                    }
                    Decision::Refuse(_) => {}
                }
            }
        }
    }

    fn apply(&mut self, now: u64, actions: Vec<Action>) {
        for action in actions {
            let ticket = match action {
                Action::Run(ticket) => ticket,
                Action::Refuse(_, refusal) => {
                    self.late += u64::from(refusal.reason == RefusalReason::DeadlinePassed);
                    continue;
                }
            };
            let owner = self.owners.remove(&ticket).unwrap();
            self.start(now, owner, ticket);
        }
    }

    fn start(&mut self, now: u64, owner: usize, ticket: Ticket) {
        self.ran[owner] += 1;
        self.ends.push((now + 80, ticket));
    }
}

#[test]
fn flood_of_one_organisation_does_not_limit_others() {
    let mut rates = vec![5; 8];
    rates[0] = 2_000;
    let ran = Load::new(&rates).run(10);
    assert!(ran[1..].iter().all(|&ran| 48 <= ran), "{ran:?}");
    assert!(980 <= ran.iter().sum::<u64>(), "not work-conserving: {ran:?}");
}

#[test]
fn overloaded_organisations_get_equal_shares() {
    let mut rates = vec![40; 8];
    rates[0] = 2_000;
    let ran = Load::new(&rates).run(10);
    let fair = 1_000 / 8;
    assert!(ran.iter().all(|&ran| fair * 8 / 10 <= ran && ran <= fair * 12 / 10), "{ran:?}");
}

#[test]
fn shares_follow_weights() {
    let mut load = Load::new(&[500, 500]);
    load.admission.set_weight(org(0), 3);
    let ran = load.run(10);
    assert!(700 <= ran[0] && ran[0] <= 800, "{ran:?}");
}

#[test]
fn single_organisation_gets_all_capacity() {
    assert!(990 <= Load::new(&[500, 0]).run(10)[0]);
}

#[test]
fn urgent_request_runs_first_within_its_organisation() {
    let mut admission = admission(1);
    let first = run(admission.admit(at(0), arrival(0, 60_000)));
    let plain = wait(admission.admit(at(0), arrival(0, 60_000)));
    let urgent = wait(admission.admit(at(0), urgent(0)));
    assert_eq!(admission.release(at(1), first), [Action::Run(urgent)]);
    assert_eq!(admission.release(at(2), urgent), [Action::Run(plain)]);
}

#[test]
fn urgent_request_does_not_overtake_other_organisations() {
    let mut admission = admission(1);
    let first = run(admission.admit(at(0), arrival(0, 60_000)));
    let other = wait(admission.admit(at(0), arrival(1, 60_000)));
    wait(admission.admit(at(0), urgent(0)));
    assert_eq!(admission.release(at(1), first), [Action::Run(other)]);
}

#[test]
fn request_past_its_deadline_is_refused() {
    let mut admission = admission(1);
    assert_eq!(reason(admission.admit(at(5), arrival(0, 5))), RefusalReason::DeadlinePassed);
    run(admission.admit(at(5), arrival(0, 10)));
    let late = wait(admission.admit(at(5), arrival(0, 10)));
    assert_eq!(admission.next_deadline(), Some(at(10)));
    assert_eq!(admission.tick(at(9)), []);
    let [Action::Refuse(ticket, refusal)] = admission.tick(at(10))[..] else { panic!() };
    assert_eq!((ticket, refusal.reason), (late, RefusalReason::DeadlinePassed));
}

#[test]
fn release_at_the_deadline_refuses_instead_of_running() {
    let mut admission = admission(1);
    let first = run(admission.admit(at(0), arrival(0, 10)));
    let late = wait(admission.admit(at(0), arrival(0, 10)));
    let actions = admission.release(at(10), first);
    assert!(matches!(actions[..], [Action::Refuse(ticket, _)] if ticket == late));
}

#[test]
fn request_that_would_wait_beyond_its_deadline_is_refused_on_arrival() {
    let mut admission = admission(1);
    let first = run(admission.admit(at(0), arrival(0, 60_000)));
    admission.release(at(1_000), first);
    run(admission.admit(at(1_000), arrival(0, 60_000)));
    wait(admission.admit(at(1_000), arrival(0, 3_000)));
    let decision = admission.admit(at(1_000), arrival(0, 2_500));
    let Decision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert!(Duration::from_millis(500) <= refusal.retry_after);
}

#[test]
fn request_without_a_deadline_waits() {
    let mut admission = admission(1);
    run(admission.admit(at(0), arrival(0, 60_000)));
    let deadline = MonotonicTime::new(Duration::MAX);
    wait(admission.admit(at(0), Arrival { deadline, ..arrival(0, 0) }));
    assert_eq!(admission.tick(at(1)), []);
}

#[test]
fn queue_of_an_organisation_is_bounded() {
    let settings =
        AdmissionSettings { capacity: 1, max_waiting: 1, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    run(admission.admit(at(0), arrival(0, 60_000)));
    wait(admission.admit(at(0), arrival(0, 60_000)));
    assert_eq!(reason(admission.admit(at(0), arrival(0, 60_000))), RefusalReason::QueueFull);
    wait(admission.admit(at(0), arrival(1, 60_000)));
}

#[test]
fn cancelled_request_leaves_the_queue() {
    let mut admission = admission(1);
    let first = run(admission.admit(at(0), arrival(0, 60_000)));
    let gone = wait(admission.admit(at(0), arrival(0, 60_000)));
    admission.cancel(gone);
    assert_eq!(admission.release(at(1), first), []);
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn increased_capacity_starts_waiting_requests() {
    let mut admission = admission(1);
    run(admission.admit(at(0), arrival(0, 60_000)));
    let next = wait(admission.admit(at(0), arrival(0, 60_000)));
    assert_eq!(admission.set_capacity(at(1), 2), [Action::Run(next)]);
}

#[test]
fn capacity_grows_while_the_target_is_met_and_falls_when_missed() {
    let mut capacity = CapacityEstimator::new(10, CapacitySettings::default());
    (0..400).for_each(|n| {
        capacity.record(at(n), Duration::from_millis(100), 30);
    });
    let grown = capacity.requests();
    assert!((25..32).contains(&grown), "{grown}");
    (0..10).for_each(|n| {
        capacity.record(at(2_000 + n), Duration::from_secs(2), 30);
    });
    assert_eq!(capacity.requests(), (f64::from(grown) * 0.9) as u32);
}

#[test]
fn tolerated_share_of_late_requests_does_not_reduce_capacity() {
    let mut capacity = CapacityEstimator::new(10, CapacitySettings::default());
    (0..2_000).for_each(|n| {
        let took = if n % 25 == 24 { 2_000 } else { 100 };
        capacity.record(at(n * 10), Duration::from_millis(took), 1);
    });
    assert_eq!(capacity.requests(), 10);
}

#[test]
fn capacity_does_not_grow_while_unused() {
    let mut capacity = CapacityEstimator::new(10, CapacitySettings::default());
    (0..400).for_each(|n| {
        capacity.record(at(n), Duration::from_millis(100), 1);
    });
    assert_eq!(capacity.requests(), 10);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_ticket_ends_once(steps in proptest::collection::vec(any::<(u8, u8, u16)>(), 0..300)) {
        let mut admission = admission(3);
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (op, n, span) in steps {
            now += u64::from(n % 8);
            let mut actions = Vec::new();
            match op % 6 {
                0 if !running.is_empty() => {
                    let ticket = running.swap_remove(usize::from(n) % running.len());
                    actions = admission.release(at(now), ticket);
                }
                1 => actions = admission.tick(at(now)),
                2 if !waiting.is_empty() => {
                    admission.cancel(waiting.swap_remove(usize::from(n) % waiting.len()));
                }
                _ => match admission.admit(at(now), arrival(u64::from(n % 4), now + u64::from(span % 500))) {
                    Decision::Run(ticket) => running.push(ticket),
                    Decision::Wait(ticket) => waiting.push(ticket),
                    Decision::Refuse(_) => {}
                },
            }
            for action in actions {
                let (Action::Run(ticket) | Action::Refuse(ticket, _)) = action;
                let position = waiting.iter().position(|&t| t == ticket);
                prop_assert!(position.is_some());
                waiting.swap_remove(position.unwrap());
                if matches!(action, Action::Run(_)) {
                    running.push(ticket);
                }
            }
            prop_assert_eq!((running.len(), waiting.len()), (admission.running(), admission.waiting()));
            prop_assert!(running.len() <= 3 && (waiting.is_empty() || running.len() == 3));
        }
    }
}
