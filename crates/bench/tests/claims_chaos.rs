//! Orders run at most once while hosts are killed, frozen and isolated in turn.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::Verdict;
use bench::{
    Fault, Proxy,
    caller::{self, CallOutcome},
    fake::ServiceCounts,
    operator,
    process::Program,
    site::{Site, SiteSpec, organisation_key},
};
use hyper::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const SENDERS: u64 = 6;
const ROUNDS: usize = 2;
/// Time after which an order without an outcome counts as in doubt.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(6);
/// Duration of each fault: longer than a lease and an election.
const FAULT_DURATION: Duration = Duration::from_millis(900);
const SHORT_WAIT: &str = "[defaults]\nclaim-wait = \"500ms\"\n";

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// A client that sends orders and checks how often they ran.
#[derive(Clone)]
struct OrderClient {
    routers: Vec<SocketAddr>,
    key: String,
    counts: ServiceCounts,
    stopped: Arc<AtomicBool>,
}

/// Outcomes of a sender's orders.
#[derive(Clone, Copy, Debug, Default)]
struct OrderCounts {
    answered: u64,
    in_doubt: u64,
}

impl OrderClient {
    /// Sends orders one after another, each to random hosts until its outcome is known.
    async fn send_orders(self, seed: u64) -> OrderCounts {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut outcomes = OrderCounts::default();
        let mut number = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            number += 1;
            match self.send_until_settled(&format!("order-{seed}-{number}"), &mut rng).await {
                Verdict::Ran => outcomes.answered += 1,
                _ => outcomes.in_doubt += 1,
            }
        }
        outcomes
    }

    async fn send_until_settled(&self, key: &str, rng: &mut Pcg64Mcg) -> Verdict {
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        loop {
            let router = self.routers[rng.random_range(0..self.routers.len())];
            let path = "/services/orders/orders";
            let sent = caller::call(router, Method::POST, path, &self.key, Some(key), "{}");
            let outcome = sent.await;
            let runs = self.counts.runs(key);
            assert!(runs <= 1, "{key}: {runs} runs");
            match (&outcome, outcome.verdict()) {
                (CallOutcome::Answered { .. }, _) | (_, Some(Verdict::Ran)) => {
                    assert_eq!(runs, 1, "{key}: {outcome:?}");
                    return Verdict::Ran;
                }
                (_, Some(Verdict::NotRun)) => assert_eq!(runs, 0, "{key}: {outcome:?}"),
                _ => {}
            }
            if deadline < Instant::now() {
                return Verdict::MayHaveRun;
            }
        }
    }
}

fn isolate(site: &Site, host: usize) {
    let ip = site.daemons[host].spec().listen.ip();
    for (other, proxy) in site.peer_proxies.iter().enumerate() {
        if other == host {
            proxy.set(Fault::partition());
        } else {
            proxy.set_for(ip, Fault::partition());
        }
    }
}

fn inject_faults(site: &mut Site) {
    let hosts = site.daemons.len();
    for host in (0..ROUNDS * hosts).map(|turn| turn % hosts) {
        site.daemons[host].restart().unwrap();
        site.daemons[host].wait_ready(READY_TIMEOUT).unwrap();
        let frozen = (host + 1) % hosts;
        site.daemons[frozen].freeze().unwrap();
        std::thread::sleep(FAULT_DURATION);
        site.daemons[frozen].thaw().unwrap();
        isolate(site, (host + 2) % hosts);
        std::thread::sleep(FAULT_DURATION);
        site.peer_proxies.iter().for_each(Proxy::heal);
    }
}

#[test]
fn orders_run_at_most_once_while_hosts_fail_in_turn() {
    let spec = SiteSpec { engines: vec![], ..SiteSpec::small() };
    let mut site = Site::start(&program(), spec).unwrap();
    block_on(operator::submit_change(&site.daemons, operator::change("c", 0, SHORT_WAIT))).unwrap();
    let client = OrderClient {
        routers: site.routers(),
        key: organisation_key(&site.spec.organisations[0]),
        counts: site.orders.clone(),
        stopped: Arc::default(),
    };
    let stopped = Arc::clone(&client.stopped);
    let senders = std::thread::spawn(move || {
        let sending = (0..SENDERS).map(|seed| client.clone().send_orders(seed));
        block_on(futures_util::future::join_all(sending))
    });
    inject_faults(&mut site);
    stopped.store(true, Ordering::Relaxed);
    let outcomes = senders.join().expect("no sender saw a wrong outcome");
    assert_eq!(site.orders.repeated_orders(), 0);
    let answered: u64 = outcomes.iter().map(|outcomes| outcomes.answered).sum();
    let in_doubt: u64 = outcomes.iter().map(|outcomes| outcomes.in_doubt).sum();
    println!("answered {answered}, in doubt {in_doubt}");
    assert!(in_doubt < answered, "{outcomes:?}");
}
