use std::time::Duration;

use base::Verdict;
use bench::{
    Fault,
    caller::{self, CallOutcome},
    process::wait_until,
    site::{Site, organisation_key},
};
use hyper::Method;
use wire::operator::{Call, CallState, UnsettledCalls};

use crate::tool::{run, site};

const KEY: &str = "order/7";
const TIMEOUT: Duration = Duration::from_secs(10);
const SHOW: [&str; 6] = ["calls", "show", KEY, "-o", "school-1", "--json"];

fn send_order(site: &Site) -> CallOutcome {
    let organisation = organisation_key(&site.spec.organisations[0]);
    let router = site.daemons[0].spec().listen;
    let path = "/services/orders/orders";
    let call = caller::call(router, Method::POST, path, &organisation, Some(KEY), "{}");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, call)
}

/// Sends an order that runs, and cuts its connection before the response.
fn send_order_in_doubt(site: &Site) {
    let set = |fault: Fault| site.services.iter().for_each(|node| node.proxy.set(fault.clone()));
    set(Fault { hold_responses: true, ..Fault::default() });
    let outcome = std::thread::scope(|scope| {
        let ordering = scope.spawn(|| send_order(site));
        let runs = || site.orders.runs(KEY) == 1;
        wait_until("the order runs", TIMEOUT, runs).unwrap();
        set(Fault { refuse: true, ..Fault::default() });
        ordering.join().unwrap()
    });
    assert_eq!(outcome.verdict(), Some(Verdict::MayHaveRun), "{outcome:?}");
}

fn resolve(site: &Site, outcome: &str) -> crate::tool::ToolOutput {
    let args = ["calls", "resolve", KEY, "-o", "school-1", outcome, "--json"];
    run(site, &[&args[..], &["--reason", "the order desk has it"]].concat())
}

#[test]
fn answered_call_is_shown_with_its_status() {
    let site = site();
    send_order(&site);
    let shown = || run(&site, &SHOW).json::<Call>();
    // The caller gets the response before it is recorded.
    wait_until("the response is recorded", TIMEOUT, || shown().state != CallState::Open).unwrap();
    let call = shown();
    assert_eq!((call.state, call.verdict), (CallState::Answered, Verdict::Ran));
    assert_eq!(call.status, Some(201));
    assert!(call.owner.is_some_and(|owner| owner.as_str() == "host-1"));
}

#[test]
fn call_in_doubt_is_listed_and_resolved_once() {
    let site = site();
    send_order_in_doubt(&site);
    let listed = || run(&site, &["calls", "list", "--json"]).json::<UnsettledCalls>();
    let failed = || listed().calls.iter().all(|call| call.state == CallState::Failed);
    wait_until("the failure is recorded", TIMEOUT, failed).unwrap();
    assert_eq!(listed().calls.len(), 1, "{:?}", listed());
    let resolved: Call = resolve(&site, "--ran").json();
    assert_eq!((resolved.state, resolved.verdict), (CallState::Resolved, Verdict::Ran));
    let again: Call = resolve(&site, "--ran").json();
    assert_eq!(again, resolved);
    assert_eq!(resolve(&site, "--not-run").code, Some(1));
    assert_eq!(run(&site, &SHOW).json::<Call>(), resolved);
    assert_eq!(listed(), UnsettledCalls::default());
}

#[test]
fn unknown_call_is_refused() {
    let site = site();
    let shown = run(&site, &SHOW);
    assert_eq!(shown.code, Some(1), "{shown:?}");
    assert_eq!(resolve(&site, "--ran").code, Some(1));
}
