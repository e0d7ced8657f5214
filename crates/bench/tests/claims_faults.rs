//! Calls that may not be repeated, with hosts that fail at each step of a claim.

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
const PATIENCE: Duration = Duration::from_secs(20);
const SHORT_WAIT: &str = "[defaults]\nclaim-wait = \"500ms\"\n";

/// How far a call got when a host fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Connected,
    Claimed,
    Sent,
    Answered,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Victim {
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

/// A site whose orders pass a gate, with a leader and a sender that is another host.
struct Scene {
    site: Site,
    gate: Gate,
    leader: usize,
    sender: usize,
}

impl Scene {
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

    fn third(&self) -> usize {
        (self.leader + 2) % self.site.daemons.len()
    }

    fn ip(&self, host: usize) -> IpAddr {
        self.site.daemons[host].spec().listen.ip()
    }

    /// Cuts what `from` sends to the others.
    fn hold_from(&self, from: usize, fault: &Fault) {
        for (to, proxy) in self.site.peer_proxies.iter().enumerate() {
            if to != from {
                proxy.set_for(self.ip(from), fault.clone());
            }
        }
    }

    /// Cuts `host` off from the others, both ways.
    fn cut_off(&self, host: usize) {
        self.hold_from(host, &Fault::partition());
        self.site.peer_proxies[host].set(Fault::partition());
    }

    fn heal(&self) {
        self.site.peer_proxies.iter().for_each(bench::Proxy::heal);
        self.gate.hold_responses(false);
    }

    fn runs(&self) -> u64 {
        self.site.orders.runs(KEY)
    }

    fn call(&self) -> CallKey {
        let organisation = self.site.spec.organisations[0].clone();
        CallKey { organisation, key: KEY.parse().unwrap() }
    }

    fn order(&self, host: usize) -> impl Future<Output = CallOutcome> + use<> {
        let key = organisation_key(&self.site.spec.organisations[0]);
        let router = self.site.daemons[host].spec().listen;
        async move {
            let path = "/services/orders/orders";
            caller::call(router, Method::POST, path, &key, Some(KEY), "{}").await
        }
    }

    /// Sends the order and checks that the answer is true.
    async fn checked_order(&self, host: usize) -> CallOutcome {
        let outcome = self.order(host).await;
        self.check(&outcome);
        outcome
    }

    fn check(&self, outcome: &CallOutcome) {
        let runs = self.runs();
        assert!(runs <= 1, "{runs} runs");
        match outcome.verdict() {
            Some(Verdict::Ran) => assert_eq!(runs, 1, "{outcome:?}"),
            Some(Verdict::NotRun) => assert_eq!(runs, 0, "{outcome:?}"),
            Some(Verdict::MayHaveRun) | None => {}
        }
    }

    async fn resend_until(&self, host: usize, done: impl Fn(&CallOutcome) -> bool) -> CallOutcome {
        let deadline = std::time::Instant::now() + PATIENCE;
        loop {
            let outcome = self.checked_order(host).await;
            if done(&outcome) {
                return outcome;
            }
            assert!(std::time::Instant::now() < deadline, "still {outcome:?}");
        }
    }

    async fn wait_claimed(&self) {
        let leader = &self.site.daemons[self.leader..=self.leader];
        let deadline = std::time::Instant::now() + PATIENCE;
        loop {
            let call = operator::read_call(leader, &self.call()).await.unwrap();
            if call.as_ref().is_some_and(|call| matches!(call.state, CallState::Claimed(_))) {
                return;
            }
            assert!(std::time::Instant::now() < deadline, "not claimed: {call:?}");
        }
    }

    async fn wait_passage(&self, wanted: GateEvent) {
        let events = self.gate.events();
        let seen = async { while events.recv_async().await != Ok(wanted) {} };
        tokio::time::timeout(PATIENCE, seen).await.expect("the call gets that far");
    }

    /// Sends the order and returns once it has got as far as `step`.
    async fn send_until(&self, step: Step) -> tokio::task::JoinHandle<CallOutcome> {
        match step {
            Step::Connected => {
                let held = Fault { hold_requests: true, ..Fault::default() };
                self.hold_from(self.sender, &held);
            }
            Step::Claimed => {
                let held = Fault { hold_responses: true, ..Fault::default() };
                self.site.peer_proxies[self.leader].set_for(self.ip(self.sender), held);
            }
            Step::Sent => self.gate.hold_responses(true),
            Step::Answered => {}
        }
        let order = tokio::task::spawn_local(self.order(self.sender));
        match step {
            Step::Connected => self.wait_passage(GateEvent::Connected).await,
            Step::Claimed => self.wait_claimed().await,
            Step::Sent => self.wait_passage(GateEvent::ResponseReceived).await,
            Step::Answered => {
                while !order.is_finished() {
                    tokio::task::yield_now().await;
                }
            }
        }
        order
    }
}

/// Kills a host at a step of a claim, resends elsewhere, restarts the host and resends there.
fn kill(step: Step, victim: Victim) {
    block_on(async {
        let mut scene = Scene::start().await;
        let killed = match victim {
            Victim::Sender => scene.sender,
            Victim::Leader => scene.leader,
        };
        let order = scene.send_until(step).await;
        scene.site.daemons[killed].kill().unwrap();
        scene.heal();
        let first = order.await.unwrap();
        scene.check(&first);
        let settled =
            |outcome: &CallOutcome| outcome.verdict().is_some_and(|v| v != Verdict::NotRun);
        scene.resend_until(scene.third(), settled).await;
        scene.site.daemons[killed].start_again().unwrap();
        scene.site.daemons[killed].wait_ready(PATIENCE).unwrap();
        scene.site.wait_endpoints().unwrap();
        let last = scene.resend_until(killed, settled).await;
        match step {
            Step::Sent | Step::Answered => assert_eq!(scene.runs(), 1, "{last:?}"),
            Step::Connected | Step::Claimed => assert!(scene.runs() <= 1, "{last:?}"),
        }
        if step == Step::Answered {
            assert_eq!(first, last);
        }
    });
}

#[yare::parameterized(
    sender_before_commit = { Step::Connected, Victim::Sender },
    sender_between_claim_and_send = { Step::Claimed, Victim::Sender },
    sender_after_send = { Step::Sent, Victim::Sender },
    sender_after_answer = { Step::Answered, Victim::Sender },
    leader_before_commit = { Step::Connected, Victim::Leader },
    leader_between_claim_and_send = { Step::Claimed, Victim::Leader },
    leader_after_send = { Step::Sent, Victim::Leader },
    leader_after_answer = { Step::Answered, Victim::Leader },
)]
fn killed_at_any_step_the_order_runs_at_most_once(step: Step, victim: Victim) {
    kill(step, victim);
}

#[test]
fn sender_frozen_between_claim_and_send_does_not_send_once_woken() {
    block_on(async {
        let mut scene = Scene::start().await;
        let order = scene.send_until(Step::Claimed).await;
        let sender = scene.sender;
        scene.site.daemons[sender].freeze().unwrap();
        scene.heal();
        let elsewhere = scene.checked_order(scene.third()).await;
        assert_eq!(elsewhere.verdict(), Some(Verdict::MayHaveRun), "{elsewhere:?}");
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        scene.site.daemons[sender].thaw().unwrap();
        scene.check(&order.await.unwrap());
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        scene.resend_until(scene.third(), answered).await;
        assert_eq!(scene.runs(), 1);
    });
}

#[test]
fn leader_frozen_past_its_lease_answers_nothing_stale_once_woken() {
    block_on(async {
        let mut scene = Scene::start().await;
        let leader = scene.leader;
        scene.site.daemons[leader].freeze().unwrap();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        let first = scene.resend_until(scene.sender, answered).await;
        scene.site.daemons[leader].thaw().unwrap();
        let read = LeaderRequest::ReadCall(scene.call());
        match operator::send_request(&scene.site.daemons[leader], &read).await.unwrap() {
            daemon::PeerAnswer::Answered(wire::leader::LeaderAnswer::Call(call)) => {
                let state = call.map(|call| call.state);
                assert!(matches!(state, Some(CallState::Finished(..))), "stale: {state:?}");
            }
            daemon::PeerAnswer::Answered(other) => panic!("unexpected {other:?}"),
            _ => {}
        }
        let second = scene.resend_until(leader, answered).await;
        assert_eq!(first, second);
        assert_eq!(scene.runs(), 1);
    });
}

#[test]
fn host_cut_off_from_the_quorum_never_calls_an_order_that_ran_not_run() {
    block_on(async {
        let scene = Scene::start().await;
        let first = scene.checked_order(scene.sender).await;
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        scene.cut_off(scene.leader);
        scene.checked_order(scene.leader).await;
        scene.heal();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        assert_eq!(scene.resend_until(scene.leader, answered).await, first);
    });
}

#[test]
fn outcome_is_told_after_a_cut() {
    block_on(async {
        let scene = Scene::start().await;
        let order = scene.send_until(Step::Sent).await;
        scene.cut_off(scene.sender);
        scene.gate.hold_responses(false);
        let first = order.await.unwrap();
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        let elsewhere = scene.checked_order(scene.third()).await;
        assert_eq!(elsewhere.verdict(), Some(Verdict::MayHaveRun), "{elsewhere:?}");
        scene.heal();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        assert_eq!(scene.resend_until(scene.third(), answered).await, first);
        assert_eq!(scene.runs(), 1);
    });
}

#[test]
fn delayed_and_lossy_links_neither_lose_nor_double_an_order() {
    block_on(async {
        let scene = Rc::new(Scene::start().await);
        let lossy = Fault { loss: 0.05, ..Fault::delay(Duration::from_millis(5)) };
        scene.site.peer_proxies.iter().for_each(|proxy| proxy.set(lossy.clone()));
        let one_way = Fault { hold_requests: true, ..lossy.clone() };
        scene.site.peer_proxies[scene.leader].set_for(scene.ip(scene.sender), one_way);
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        let first = scene.resend_until(scene.third(), answered).await;
        let second = scene.resend_until(scene.leader, answered).await;
        scene.heal();
        let last = scene.resend_until(scene.sender, answered).await;
        assert_eq!((&first, &first), (&second, &last));
        assert_eq!(scene.runs(), 1);
    });
}

#[test]
fn request_cut_short_by_its_timeout_leaves_no_claim_behind() {
    block_on(async {
        let scene = Scene::start().await;
        let short = "[defaults]\nclaim-wait = \"500ms\"\nrequest-timeout = \"700ms\"\n";
        let changed = operator::submit_change(&scene.site.daemons, operator::change("d", 1, short));
        assert!(matches!(changed.await.unwrap(), ChangeReply::Changed(_)));
        for daemon in &scene.site.daemons {
            let in_force = async {
                let newer = Revision::new(1);
                let client = operator::connect(daemon).await.unwrap();
                while client.configuration(newer).await.unwrap().is_none() {}
            };
            tokio::time::timeout(PATIENCE, in_force).await.expect("the change is in force");
        }
        let order = scene.send_until(Step::Claimed).await;
        scene.check(&order.await.unwrap());
        scene.heal();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        scene.resend_until(scene.third(), answered).await;
        assert_eq!(scene.runs(), 1);
    });
}

#[test]
fn host_that_is_told_to_end_leaves_the_outcome_behind() {
    block_on(async {
        let mut scene = Scene::start().await;
        let order = scene.send_until(Step::Sent).await;
        let sender = scene.sender;
        scene.site.daemons[sender].terminate().unwrap();
        scene.gate.hold_responses(false);
        let first = order.await.unwrap();
        assert!(matches!(first, CallOutcome::Answered { .. }), "{first:?}");
        let status = scene.site.daemons[sender].wait_exit(PATIENCE).unwrap();
        assert_eq!(status.code(), Some(0));
        assert_eq!(scene.checked_order(scene.third()).await, first);
    });
}

#[test]
fn all_voters_restarting_at_once_keep_the_answer() {
    block_on(async {
        let mut scene = Scene::start().await;
        let first = scene.checked_order(scene.sender).await;
        for daemon in &mut scene.site.daemons {
            daemon.kill().unwrap();
        }
        for daemon in &mut scene.site.daemons {
            daemon.start_again().unwrap();
        }
        wait_until("all are ready", PATIENCE, || {
            scene.site.daemons.iter_mut().all(|daemon| daemon.wait_ready(PATIENCE).is_ok())
        })
        .unwrap();
        let answered = |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answered { .. });
        for host in 0..3 {
            assert_eq!(scene.resend_until(host, answered).await, first);
        }
        assert_eq!(scene.runs(), 1);
    });
}
