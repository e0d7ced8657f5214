//! Single messages that come twice, late or not at all, and limits at the ends of their ranges.

use std::time::Duration;

use base::{MonotonicTime, TokenCount};
use quota::{
    Admission, Answer, Bounds, Cost, Decision, Demand, Gate, Ledger, OrganisationKey, Quota,
    QuotaReport, QuotaView, ReportedCost, Unit,
};

const ORGANISATION: &str = "school";

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn key() -> OrganisationKey {
    OrganisationKey::of(ORGANISATION)
}

fn demand(cost: u32) -> Demand {
    Demand { organisation: key(), cost: Cost::new(cost) }
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota::new(rate, burst, Unit::Tokens, Cost::new(200)).unwrap()
}

/// Returns a ledger whose bucket has filled for some time, by one router.
fn filled(quota: Quota, seconds: u64) -> Ledger<u32> {
    let mut ledger = Ledger::new(at(0));
    ledger.set_quotas(at(0), [(key(), quota)]);
    for poll in 0..=seconds * 10 {
        ledger.record_poll(at(poll * 100), &1, 1);
    }
    ledger
}

fn report(number: u64, units: i64) -> QuotaReport {
    let costs = vec![ReportedCost { organisation: key(), units }];
    QuotaReport { routers: 1, process: 5, number, costs }
}

fn open_view() -> QuotaView {
    QuotaView { is_complete: true, opened: vec![key()], metered: Vec::new(), next: 2, routers: 4 }
}

fn decide(gate: &mut Gate, now: MonotonicTime, cost: u32) -> Decision {
    gate.admit(now, &demand(cost), &quota(100.0, 100.0), Some(4), 0.0)
}

#[test]
fn costs_follow_the_unit() {
    let of_tokens = quota(1.0, 1.0);
    assert_eq!(of_tokens.cost(Some(TokenCount::new(9_450))), Cost::new(9_450));
    assert_eq!(of_tokens.cost(None), Cost::new(200));
    assert_eq!(of_tokens.cost(Some(TokenCount::new(u64::MAX))), Cost::new(u32::MAX));
    let of_requests = Quota::new(1.0, 1.0, Unit::Requests, Cost::new(200)).unwrap();
    assert_eq!(of_requests.cost(Some(TokenCount::new(9_450))), Cost::ONE);
}

#[test]
fn impossible_quotas_are_refused() {
    for (rate, burst) in
        [(0.0, 1.0), (-1.0, 1.0), (f64::NAN, 1.0), (1.0, -1.0), (1.0, f64::INFINITY)]
    {
        assert_eq!(Quota::new(rate, burst, Unit::Tokens, Cost::ONE), None);
    }
}

/// Guards against a report that is charged twice because its response was lost.
#[test]
fn report_that_comes_twice_is_counted_once() {
    let mut ledger = filled(quota(100.0, 1_000.0), 10);
    ledger.record_report(at(10_000), &1, &report(1, 600));
    ledger.record_report(at(10_000), &1, &report(1, 600));
    assert_eq!(ledger.answer(at(10_000), &[demand(1)]), [Answer::Granted]);
    ledger.record_report(at(10_000), &1, &report(2, 600));
    let denied = ledger.answer(at(10_000), &[demand(1)]);
    let Answer::Denied { wait } = denied[0] else { panic!("in debt") };
    assert_eq!(wait.as_millis(), 2_010);
}

#[test]
fn report_of_a_restarted_router_is_counted() {
    let mut ledger = filled(quota(100.0, 1_000.0), 10);
    ledger.record_report(at(10_000), &1, &report(7, 600));
    let restarted = QuotaReport { process: 6, ..report(1, 600) };
    ledger.record_report(at(10_000), &1, &restarted);
    assert!(matches!(ledger.answer(at(10_000), &[demand(1)])[0], Answer::Denied { .. }));
}

#[test]
fn refund_is_returned_to_the_bucket() {
    let mut ledger = filled(quota(100.0, 100.0), 10);
    assert_eq!(ledger.answer(at(10_000), &[demand(500)]), [Answer::Granted]);
    ledger.record_report(at(10_000), &1, &report(1, -500));
    assert_eq!(ledger.answer(at(10_000), &[demand(1)]), [Answer::Granted]);
}

/// Guards against the share of a silent router that the others use as well.
#[test]
fn bucket_fills_at_the_share_of_live_routers() {
    let mut ledger = Ledger::new(at(0));
    ledger.set_quotas(at(0), [(key(), quota(100.0, 10_000.0))]);
    ledger.record_poll(at(0), &1, 4);
    // One of four routers: 25 units per second for the second in which it is live.
    let answers = ledger.answer(at(60_000), &[demand(24), demand(1), demand(1)]);
    assert_eq!(answers[..2], [Answer::Granted, Answer::Granted]);
    assert_eq!(answers[2], Answer::Denied { wait: Duration::from_millis(1) });
}

/// Guards against denials of a minute by a new leader, to which no router has reported yet.
#[test]
fn new_leader_states_waits_as_if_all_routers_were_live() {
    let mut ledger = Ledger::new(at(0));
    ledger.set_quotas(at(0), [(key(), quota(100.0, 100.0))]);
    let soon = Duration::from_millis(1);
    assert_eq!(ledger.answer(at(1), &[demand(9)]), [Answer::Denied { wait: soon }]);
    ledger.record_poll(at(1), &1, 90);
    let answers = ledger.answer(at(900), &[demand(101), demand(1)]);
    assert_eq!(answers[0], Answer::Granted);
    let Answer::Denied { wait } = answers[1] else { panic!("in debt") };
    assert!((900..1_100).contains(&wait.as_millis()), "{wait:?}");
}

#[test]
fn organisation_without_burst_is_served_at_its_rate() {
    let mut ledger = filled(quota(100.0, 0.0), 10);
    let answers = ledger.answer(at(10_000), &[demand(50), demand(50)]);
    assert_eq!(answers[0], Answer::Granted);
    assert_eq!(answers[1], Answer::Denied { wait: Duration::from_millis(500) });
    ledger.review(at(10_000));
    assert!(ledger.view(0).opened.is_empty());
}

#[test]
fn organisation_without_traffic_is_no_longer_listed() {
    let mut ledger = filled(quota(100.0, 100.0), 60);
    ledger.answer(at(60_000), &[demand(1)]);
    ledger.review(at(60_000));
    let first = ledger.view(0);
    assert_eq!(first.opened, [key()]);
    assert!(!ledger.take_metered());
    ledger.review(at(120_000));
    let next = ledger.view(first.next);
    assert_eq!((next.is_complete, next.opened, next.metered), (false, vec![], vec![key()]));
}

#[test]
fn organisation_below_half_of_its_burst_is_metered_at_once() {
    let mut ledger = filled(quota(100.0, 1_000.0), 60);
    ledger.record_report(at(60_000), &1, &report(1, 100));
    ledger.review(at(60_000));
    assert_eq!(ledger.view(0).opened, [key()]);
    ledger.record_report(at(60_000), &1, &report(2, 500));
    assert!(ledger.take_metered());
    assert!(ledger.view(0).opened.is_empty());
}

/// Guards against a leader that opens organisations to routers with positions of another term.
#[test]
fn unknown_position_gets_the_complete_view() {
    let mut ledger = filled(quota(100.0, 1_000.0), 60);
    ledger.answer(at(60_000), &[demand(1)]);
    ledger.review(at(60_000));
    let view = ledger.view(900);
    assert!(view.is_complete);
    assert_eq!(view.opened, [key()]);
}

#[test]
fn open_organisation_is_admitted_and_reported() {
    let mut gate = Gate::new(1);
    assert_eq!(decide(&mut gate, at(0), 7), Decision::Ask);
    gate.apply_view(at(100), Some(&open_view()));
    let admitted = Decision::Admitted(Admission::Reported);
    assert_eq!(decide(&mut gate, at(1_099), 7), admitted);
    assert_eq!(decide(&mut gate, at(1_100), 7), Decision::Ask, "the view is 1 s old");
    let report = gate.report(4);
    assert_eq!(report.costs, [ReportedCost { organisation: key(), units: 7 }]);
    assert_eq!(gate.report(4), report, "a report without a response is sent again");
    gate.apply_view(at(1_100), Some(&open_view()));
    assert!(gate.report(4).costs.is_empty());
}

#[test]
fn denial_holds_until_its_time() {
    let mut gate = Gate::new(1);
    let wait = Duration::from_millis(400);
    let decisions = gate.apply_answers(at(20), at(0), &[demand(1)], &[Answer::Denied { wait }]);
    assert_eq!(decisions, [Decision::Denied { wait }]);
    let left = Duration::from_millis(1);
    assert_eq!(decide(&mut gate, at(419), 1), Decision::Denied { wait: left });
    assert_eq!(decide(&mut gate, at(420), 1), Decision::Ask);
}

/// Guards against grants that a frozen router uses long after they were charged.
#[test]
fn late_grants_are_returned() {
    let mut gate = Gate::new(1);
    let decisions = gate.apply_answers(at(3_000), at(0), &[demand(9)], &[Answer::Granted]);
    assert_eq!(decisions, [Decision::Ask]);
    assert_eq!(gate.report(4).costs, [ReportedCost { organisation: key(), units: -9 }]);
}

#[test]
fn local_share_is_used_without_an_answer() {
    let mut gate = Gate::new(1);
    gate.record_unanswered(at(0));
    // A quarter of 100 units per second.
    let admitted = Decision::Admitted(Admission::Local);
    assert_eq!(decide(&mut gate, at(40), 26), admitted);
    let wait = Duration::from_secs(1);
    assert_eq!(decide(&mut gate, at(40), 1), Decision::Denied { wait });
    gate.refund(&demand(26), Admission::Local);
    assert_eq!(decide(&mut gate, at(40), 1), admitted);
    assert!(gate.report(4).costs.is_empty());
    gate.apply_view(at(50), Some(&open_view()));
    assert_eq!(decide(&mut gate, at(60), 1), Decision::Admitted(Admission::Reported));
}

/// Guards against a partitioned router that takes the shares of those that left its roster.
#[test]
fn local_share_counts_the_routers_of_the_last_view() {
    let mut gate = Gate::new(1);
    gate.apply_view(at(0), Some(&QuotaView { routers: 50, ..open_view() }));
    gate.record_failed_poll(at(1_000));
    let limit = quota(100.0, 100.0);
    assert!(matches!(
        gate.admit(at(1_500), &demand(4), &limit, Some(1), 0.0),
        Decision::Admitted(Admission::Local)
    ));
    assert!(matches!(
        gate.admit(at(1_999), &demand(4), &limit, Some(1), 0.0),
        Decision::Denied { .. }
    ));
}

#[test]
fn nothing_is_admitted_while_the_routers_are_unknown() {
    let mut gate = Gate::new(1);
    gate.record_unanswered(at(0));
    let decision = gate.admit(at(900), &demand(1), &quota(100.0, 100.0), None, 0.0);
    assert_eq!(decision, Decision::Denied { wait: Duration::from_secs(1) });
}

fn bounds(overage: f64, slack: f64) -> Bounds {
    Bounds::new(Duration::from_secs(8), overage, slack).unwrap()
}

#[test]
fn impossible_bounds_are_refused() {
    let window = Duration::from_secs(8);
    for (window, overage, slack) in [
        (Duration::ZERO, 0.1, 0.0),
        (window, -0.1, 0.0),
        (window, f64::NAN, 0.0),
        (window, 0.1, -1.0),
        (window, 0.1, f64::INFINITY),
    ] {
        assert_eq!(Bounds::new(window, overage, slack), None);
    }
}

/// Guards against a router that relies on a view for longer than the bound allows, as with a slack
/// below the default.
#[test]
fn age_of_views_follows_the_bounds() {
    // A tenth of 8 s and of the burst: 0.9 s of the rate.
    let quota = quota(100.0, 100.0);
    for (bounds, millis) in [
        (Bounds::default(), 1_000),
        (bounds(0.1, 0.0), 900),
        (bounds(0.0, 25.0), 250),
        (bounds(0.0, 0.0), 0),
    ] {
        assert_eq!(bounds.max_report_delay(&quota), Duration::from_millis(millis));
        let mut gate = Gate::with_bounds(1, bounds);
        gate.apply_view(at(0), Some(&open_view()));
        assert_eq!(decide(&mut gate, at(millis), 7), Decision::Ask);
        if let Some(before) = millis.checked_sub(1) {
            let admitted = Decision::Admitted(Admission::Reported);
            assert_eq!(decide(&mut gate, at(before), 7), admitted);
        }
    }
}

/// Guards against a request whose cost alone exceeds the bound, and against the wait for it that
/// cheaper requests share.
#[test]
fn demand_beyond_the_allowed_debt_is_denied_alone() {
    let mut ledger = filled(quota(100.0, 100.0), 10);
    ledger.set_bounds(bounds(0.0, 50.0));
    let demands = [demand(u32::MAX), demand(151), demand(120), demand(31), demand(30)];
    let answers = ledger.answer(at(10_000), &demands);
    assert_eq!(answers[0], Answer::TooLarge { wait: Duration::from_secs(60) });
    assert_eq!(answers[1], Answer::TooLarge { wait: Duration::from_secs(60) });
    assert_eq!(answers[2], Answer::Granted);
    // The level is 20 below zero.
    let wait = Duration::from_millis(200);
    assert_eq!(answers[3..], [Answer::Denied { wait }, Answer::Denied { wait }]);
    let answers = ledger.answer(at(10_400), &[demand(100), demand(60)]);
    assert_eq!(answers, [Answer::TooLarge { wait: Duration::from_millis(300) }, Answer::Granted]);

    let mut gate = Gate::with_bounds(1, bounds(0.0, 50.0));
    let decisions = gate.apply_answers(at(20), at(0), &[demand(100)], &answers[..1]);
    assert!(matches!(decisions[0], Decision::Denied { .. }));
    assert_eq!(decide(&mut gate, at(20), 1), Decision::Ask);
}

/// Guards against a request that never runs, and leaves its organisation a debt of its cost.
#[test]
fn request_beyond_the_local_share_leaves_no_debt() {
    let mut gate = Gate::new(1);
    gate.record_unanswered(at(0));
    let limit = quota(1_000.0, 1_000.0);
    let mut admit = |cost| gate.admit(at(4_000), &demand(cost), &limit, Some(4), 0.9);
    assert_eq!(admit(u32::MAX), Decision::Denied { wait: Duration::from_secs(60) });
    assert_eq!(admit(100), Decision::Admitted(Admission::Local));
}

/// Guards against local shares that together exceed a bound with little slack, and against waits that
/// can't be stated.
#[test]
fn local_share_follows_the_bounds() {
    let limit = quota(1_000.0, 1_000.0);
    let ran = |bounds: Bounds, cost: u32| {
        let mut gate = Gate::with_bounds(1, bounds);
        gate.record_unanswered(at(0));
        let admit = |millis| gate.admit(at(millis), &demand(cost), &limit, Some(16), 0.0);
        let decisions: Vec<_> = (0..80_000).step_by(10).map(admit).collect();
        let denied = decisions.iter().filter_map(|decision| match decision {
            Decision::Denied { wait } => Some(*wait),
            _ => None,
        });
        assert!(denied.max().unwrap() <= Duration::from_secs(60));
        decisions.iter().filter(|decision| matches!(decision, Decision::Admitted(_))).count()
    };
    // A sixteenth of 80,000 units, 15.6 requests, and up to one request ahead.
    assert!((15..=17).contains(&ran(Bounds::default(), 320)));
    // A deviation of 3 x 320 x 2 units, of which 320 are covered: 0.8 of the rate, 12.5 requests.
    assert!((12..=14).contains(&ran(bounds(0.0, 320.0), 320)));
    // That of 3 x 4,000 x 1.4 units exceeds the rate of a window by more than the slack.
    assert_eq!(ran(bounds(0.0, 4_000.0), 4_000), 0);
}
