//! Non-idempotent calls with an idempotency key run at most once.

use std::{path::PathBuf, time::Duration};

use bench::{
    caller::{self, CallOutcome},
    process::Program,
    site::{Site, SiteSpec, organisation_key},
};
use hyper::Method;

const HOSTS: usize = 3;
const RESENDS: usize = 4;

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

/// Runs a future on a current-thread runtime with a set of local tasks.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

async fn send_order(site: &Site, host: usize, key: &str, body: &str) -> CallOutcome {
    let organisation = organisation_key(&site.spec.organisations[0]);
    let router = site.daemons[host].spec().listen;
    let path = "/services/orders/orders";
    caller::call(router, Method::POST, path, &organisation, Some(key), body).await
}

#[test]
fn concurrent_calls_with_one_key_run_once_and_get_the_same_response() {
    let site = Site::start(&program(), SiteSpec::small()).unwrap();
    block_on(async {
        let calls = (0..HOSTS * RESENDS).map(|i| send_order(&site, i % HOSTS, "order-1", "{}"));
        let outcomes = futures_util::future::join_all(calls).await;
        let answered =
            |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { status: 201, .. });
        assert!(outcomes.iter().all(answered), "{outcomes:?}");
        assert!(outcomes.windows(2).all(|pair| pair[0] == pair[1]), "{outcomes:?}");
    });
    assert_eq!(site.orders.runs("order-1"), 1);
}

#[test]
fn same_key_with_another_body_is_refused_as_not_run() {
    let site = Site::start(&program(), SiteSpec::small()).unwrap();
    block_on(async {
        let first = send_order(&site, 0, "order-2", "{}").await;
        let second = send_order(&site, 1, "order-2", "{\"copies\": 2}").await;
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        assert_eq!(second.verdict(), Some(base::Verdict::NotRun), "{second:?}");
    });
    assert_eq!(site.orders.runs("order-2"), 1);
}

#[test]
fn outcome_survives_a_restart_of_every_host() {
    let mut site = Site::start(&program(), SiteSpec::small()).unwrap();
    let first = block_on(send_order(&site, 0, "order-3", "{}"));
    for daemon in &mut site.daemons {
        daemon.kill().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.start_again().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.wait_ready(Duration::from_secs(10)).unwrap();
    }
    site.wait_endpoints().unwrap();
    let second = block_on(send_order(&site, 1, "order-3", "{}"));
    assert_eq!(site.orders.runs("order-3"), 1, "{first:?} then {second:?}");
    assert!(matches!(second.verdict(), Some(base::Verdict::Ran | base::Verdict::MayHaveRun)));
}
