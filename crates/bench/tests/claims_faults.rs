//! Calls that run at most once, with hosts that fail at each step of a claim.

use std::{net::IpAddr, path::PathBuf, rc::Rc, time::Duration};

use base::{Revision, Verdict};
use bench::{
    Fault,
    caller::{self, CallOutcome},
    gate::{Gate, GateEvent},
    operator,
    process::{Program, wait_until},
    site::{Site, SiteSpec, organisation_key},
};
use fleet::{CallKey, CallState, ChangeReply};
use hyper::Method;
use wire::leader::LeaderRequest;

const KEY: &str = "order-1";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_WAIT: &str = "[defaults]\nclaim-wait = \"500ms\"\n";

/// Step of a call at which a host fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Connected,
    Claimed,
    Sent,
    Answered,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum FailedHost {
    Sender,
    Leader,
}

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// A site whose orders pass through a gate; the leader and the sender are different hosts.
struct Fixture {
    site: Site,
    gate: Gate,
    leader: usize,
    sender: usize,
}

impl Fixture {
    async fn start() -> Self {
        let spec = SiteSpec { engines: vec![], ..SiteSpec::small() };
        let site = Site::start(&program(), spec).unwrap();
        let gate = Gate::start(site.services[0].service.address());
        site.services.iter().for_each(|node| node.proxy.retarget(gate.address()));
        let changed = operator::submit_change(&site.daemons, operator::change("c", 0, SHORT_WAIT));
        assert!(matches!(changed.await.unwrap(), ChangeReply::Changed(_)));
        let leader = operator::leader(&site.daemons).await.unwrap();
        let sender = (leader + 1) % site.daemons.len();
        Self { site, gate, leader, sender }
    }

    fn third_host(&self) -> usize {
        (self.leader + 2) % self.site.daemons.len()
    }

    fn ip(&self, host: usize) -> IpAddr {
        self.site.daemons[host].spec().listen.ip()
    }

    /// Injects a fault into the connections from `from` to the other hosts.
    fn inject_fault_from(&self, from: usize, fault: &Fault) {
        for (to, proxy) in self.site.peer_proxies.iter().enumerate() {
            if to != from {
                proxy.set_for(self.ip(from), fault.clone());
            }
        }
    }

    /// Partitions `host` from the others in both directions.
    fn isolate(&self, host: usize) {
        self.inject_fault_from(host, &Fault::partition());
        self.site.peer_proxies[host].set(Fault::partition());
    }

    fn heal(&self) {
        self.site.peer_proxies.iter().for_each(bench::Proxy::heal);
        self.gate.hold_responses(false);
    }

    fn runs(&self) -> u64 {
        self.site.orders.runs(KEY)
    }

    fn call_key(&self) -> CallKey {
        let organisation = self.site.spec.organisations[0].clone();
        CallKey { organisation, key: KEY.parse().unwrap() }
    }

    fn send_order(&self, host: usize) -> impl Future<Output = CallOutcome> + use<> {
        let key = organisation_key(&self.site.spec.organisations[0]);
        let router = self.site.daemons[host].spec().listen;
        async move {
            let path = "/services/orders/orders";
            caller::call(router, Method::POST, path, &key, Some(KEY), "{}").await
        }
    }

    /// Sends the order and checks that its verdict matches the number of runs.
    async fn send_checked_order(&self, host: usize) -> CallOutcome {
        let outcome = self.send_order(host).await;
        self.check_outcome(&outcome);
        outcome
    }

    fn check_outcome(&self, outcome: &CallOutcome) {
        let runs = self.runs();
        assert!(runs <= 1, "{runs} runs");
        match outcome.verdict() {
            Some(Verdict::Ran) => assert_eq!(runs, 1, "{outcome:?}"),
            Some(Verdict::NotRun) => assert_eq!(runs, 0, "{outcome:?}"),
            Some(Verdict::MayHaveRun) | None => {}
        }
    }

    async fn resend_until(&self, host: usize, done: impl Fn(&CallOutcome) -> bool) -> CallOutcome {
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let outcome = self.send_checked_order(host).await;
            if done(&outcome) {
                return outcome;
            }
            assert!(std::time::Instant::now() < deadline, "still {outcome:?}");
        }
    }

    async fn wait_claimed(&self) {
        let leader = &self.site.daemons[self.leader..=self.leader];
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let call = operator::read_call(leader, &self.call_key()).await.unwrap();
            if call.as_ref().is_some_and(|call| matches!(call.state, CallState::Claimed(_))) {
                return;
            }
            assert!(std::time::Instant::now() < deadline, "not claimed: {call:?}");
        }
    }

    async fn wait_gate_event(&self, wanted: GateEvent) {
        let events = self.gate.events();
        let seen = async { while events.recv_async().await != Ok(wanted) {} };
        tokio::time::timeout(WAIT_TIMEOUT, seen).await.expect("the call reaches the gate in time");
    }

    /// Sends the order and returns once it has reached `step`.
    async fn send_until(&self, step: Step) -> tokio::task::JoinHandle<CallOutcome> {
        match step {
            Step::Connected => {
                let held = Fault { hold_requests: true, ..Fault::default() };
                self.inject_fault_from(self.sender, &held);
            }
            Step::Claimed => {
                let held = Fault { hold_responses: true, ..Fault::default() };
                self.site.peer_proxies[self.leader].set_for(self.ip(self.sender), held);
            }
            Step::Sent => self.gate.hold_responses(true),
            Step::Answered => {}
        }
        let order = tokio::task::spawn_local(self.send_order(self.sender));
        match step {
            Step::Connected => self.wait_gate_event(GateEvent::Connected).await,
            Step::Claimed => self.wait_claimed().await,
            Step::Sent => self.wait_gate_event(GateEvent::ResponseReceived).await,
            Step::Answered => {
                while !order.is_finished() {
                    tokio::task::yield_now().await;
                }
            }
        }
        order
    }
}

/// Kills a host at a step of a claim, resends to another, restarts the host and resends to it.
fn kill_at_step(step: Step, failed_host: FailedHost) {
    block_on(async {
        let mut fixture = Fixture::start().await;
        let killed = match failed_host {
            FailedHost::Sender => fixture.sender,
            FailedHost::Leader => fixture.leader,
        };
        let order = fixture.send_until(step).await;
        fixture.site.daemons[killed].kill().unwrap();
        fixture.heal();
        let first = order.await.unwrap();
        fixture.check_outcome(&first);
        let settled = |outcome: &CallOutcome| match step {
            // The quorum may be lost for a while after the kill; the response was recorded before.
            Step::Answered => matches!(outcome, CallOutcome::Answered { .. }),
            Step::Connected | Step::Claimed | Step::Sent => {
                outcome.verdict().is_some_and(|v| v != Verdict::NotRun)
            }
        };
        fixture.resend_until(fixture.third_host(), settled).await;
        fixture.site.daemons[killed].start_again().unwrap();
        fixture.site.daemons[killed].wait_ready(WAIT_TIMEOUT).unwrap();
        fixture.site.wait_endpoints().unwrap();
        let last = fixture.resend_until(killed, settled).await;
        match step {
            Step::Sent | Step::Answered => assert_eq!(fixture.runs(), 1, "{last:?}"),
            Step::Connected | Step::Claimed => assert!(fixture.runs() <= 1, "{last:?}"),
        }
        if step == Step::Answered {
            assert_eq!(first, last);
        }
    });
}

#[yare::parameterized(
    sender_before_commit = { Step::Connected, FailedHost::Sender },
    sender_between_claim_and_send = { Step::Claimed, FailedHost::Sender },
    sender_after_send = { Step::Sent, FailedHost::Sender },
    sender_after_answer = { Step::Answered, FailedHost::Sender },
    leader_before_commit = { Step::Connected, FailedHost::Leader },
    leader_between_claim_and_send = { Step::Claimed, FailedHost::Leader },
    leader_after_send = { Step::Sent, FailedHost::Leader },
    leader_after_answer = { Step::Answered, FailedHost::Leader },
)]
fn order_runs_at_most_once_if_a_host_is_killed_at_any_step(step: Step, failed_host: FailedHost) {
    kill_at_step(step, failed_host);
}

#[test]
fn sender_frozen_between_claim_and_send_does_not_send_after_thawing() {
    block_on(async {
        let mut fixture = Fixture::start().await;
        let order = fixture.send_until(Step::Claimed).await;
        let sender = fixture.sender;
        fixture.site.daemons[sender].freeze().unwrap();
        fixture.heal();
        let elsewhere = fixture.send_checked_order(fixture.third_host()).await;
        assert_eq!(elsewhere.verdict(), Some(Verdict::MayHaveRun), "{elsewhere:?}");
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        fixture.site.daemons[sender].thaw().unwrap();
        fixture.check_outcome(&order.await.unwrap());
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        fixture.resend_until(fixture.third_host(), answered).await;
        assert_eq!(fixture.runs(), 1);
    });
}

#[test]
fn leader_frozen_past_its_lease_returns_no_stale_state_after_thawing() {
    block_on(async {
        let mut fixture = Fixture::start().await;
        let leader = fixture.leader;
        fixture.site.daemons[leader].freeze().unwrap();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        let first = fixture.resend_until(fixture.sender, answered).await;
        fixture.site.daemons[leader].thaw().unwrap();
        let read = LeaderRequest::ReadCall(fixture.call_key());
        match operator::send_request(&fixture.site.daemons[leader], &read).await.unwrap() {
            daemon::PeerResponse::Answered(wire::leader::LeaderResponse::Call(call)) => {
                let state = call.map(|call| call.state);
                assert!(matches!(state, Some(CallState::Finished(..))), "stale: {state:?}");
            }
            daemon::PeerResponse::Answered(other) => panic!("unexpected {other:?}"),
            _ => {}
        }
        let second = fixture.resend_until(leader, answered).await;
        assert_eq!(first, second);
        assert_eq!(fixture.runs(), 1);
    });
}

#[test]
fn isolated_host_never_returns_not_run_for_an_order_that_ran() {
    block_on(async {
        let fixture = Fixture::start().await;
        let first = fixture.send_checked_order(fixture.sender).await;
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        fixture.isolate(fixture.leader);
        fixture.send_checked_order(fixture.leader).await;
        fixture.heal();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        assert_eq!(fixture.resend_until(fixture.leader, answered).await, first);
    });
}

#[test]
fn outcome_is_recorded_after_a_partition() {
    block_on(async {
        let fixture = Fixture::start().await;
        let order = fixture.send_until(Step::Sent).await;
        fixture.isolate(fixture.sender);
        fixture.gate.hold_responses(false);
        let first = order.await.unwrap();
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        let elsewhere = fixture.send_checked_order(fixture.third_host()).await;
        assert_eq!(elsewhere.verdict(), Some(Verdict::MayHaveRun), "{elsewhere:?}");
        fixture.heal();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        assert_eq!(fixture.resend_until(fixture.third_host(), answered).await, first);
        assert_eq!(fixture.runs(), 1);
    });
}

#[test]
fn order_runs_once_over_delayed_and_lossy_links() {
    block_on(async {
        let fixture = Rc::new(Fixture::start().await);
        let lossy = Fault { loss: 0.05, ..Fault::delay(Duration::from_millis(5)) };
        fixture.site.peer_proxies.iter().for_each(|proxy| proxy.set(lossy.clone()));
        let one_way = Fault { hold_requests: true, ..lossy.clone() };
        fixture.site.peer_proxies[fixture.leader].set_for(fixture.ip(fixture.sender), one_way);
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        let first = fixture.resend_until(fixture.third_host(), answered).await;
        let second = fixture.resend_until(fixture.leader, answered).await;
        fixture.heal();
        let last = fixture.resend_until(fixture.sender, answered).await;
        assert_eq!((&first, &first), (&second, &last));
        assert_eq!(fixture.runs(), 1);
    });
}

#[test]
fn request_timeout_leaves_no_claim_behind() {
    block_on(async {
        let fixture = Fixture::start().await;
        let short = "[defaults]\nclaim-wait = \"500ms\"\nrequest-timeout = \"700ms\"\n";
        let changed =
            operator::submit_change(&fixture.site.daemons, operator::change("d", 1, short));
        assert!(matches!(changed.await.unwrap(), ChangeReply::Changed(_)));
        for daemon in &fixture.site.daemons {
            let in_force = async {
                let newer = Revision::new(1);
                let client = operator::connect(daemon).await.unwrap();
                while client.configuration(newer).await.unwrap().is_none() {}
            };
            tokio::time::timeout(WAIT_TIMEOUT, in_force).await.expect("the change is in force");
        }
        let order = fixture.send_until(Step::Claimed).await;
        fixture.check_outcome(&order.await.unwrap());
        fixture.heal();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        fixture.resend_until(fixture.third_host(), answered).await;
        assert_eq!(fixture.runs(), 1);
    });
}

#[test]
fn terminated_host_records_the_outcome_before_it_exits() {
    block_on(async {
        let mut fixture = Fixture::start().await;
        let order = fixture.send_until(Step::Sent).await;
        let sender = fixture.sender;
        fixture.site.daemons[sender].terminate().unwrap();
        fixture.gate.hold_responses(false);
        let first = order.await.unwrap();
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        let status = fixture.site.daemons[sender].wait_exit(WAIT_TIMEOUT).unwrap();
        assert_eq!(status.code(), Some(0));
        assert_eq!(fixture.send_checked_order(fixture.third_host()).await, first);
    });
}

#[test]
fn response_survives_a_simultaneous_restart_of_all_voters() {
    block_on(async {
        let mut fixture = Fixture::start().await;
        let first = fixture.send_checked_order(fixture.sender).await;
        for daemon in &mut fixture.site.daemons {
            daemon.kill().unwrap();
        }
        for daemon in &mut fixture.site.daemons {
            daemon.start_again().unwrap();
        }
        wait_until("all are ready", WAIT_TIMEOUT, || {
            fixture.site.daemons.iter_mut().all(|daemon| daemon.wait_ready(WAIT_TIMEOUT).is_ok())
        })
        .unwrap();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        for host in 0..3 {
            assert_eq!(fixture.resend_until(host, answered).await, first);
        }
        assert_eq!(fixture.runs(), 1);
    });
}
