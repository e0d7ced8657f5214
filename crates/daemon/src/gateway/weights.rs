//! The leader's orders to engines to load the weights that operators named.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{EndpointId, Incarnation, MonotonicTime, Term};
use bytes::Bytes;
use fleet::{
    EngineLoad, EngineUpdate, EngineView, Leadership, LoadOrder, OrderGate, OrderOutcome,
    OrderPermission, Rollout, RolloutProgress, RolloutSettings,
};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, Response, header::HOST, http::response};
use member::{EndpointState, Roster};
use quorum::Role;
use route::{EndpointKey, SentLoad};

use crate::{
    net::{self, AbortOnDrop, FreshConnection},
    replica::{ReplicaInput, ReplicaView},
};

use super::{Dialect, EngineReport, Gateway, LoadCall, targets};

/// Time between looks at what is to be ordered.
const PERIOD: Duration = Duration::from_millis(50);

/// Time between questions to an engine that loads.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Shortest time from an order to the first question whether it is carried out.
const FIRST_REPORT: Duration = Duration::from_millis(500);

/// Longest wait for an engine's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between lines of the log on a rollout under way.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Part of the leader's lease that must be left to give an order.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Longest answer of an engine to an order or a question, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// The rollout in a term in which this host leads.
struct Office {
    term: Term,
    rollout: Rollout,
    /// Time that engines drain at most, which may pass before the first order.
    max_drain_time: Duration,
    asked: HashMap<EndpointId, MonotonicTime>,
    outcomes: flume::Receiver<Outcome>,
    report: flume::Sender<Outcome>,
    /// What the replica was told last, if anything.
    told: Option<Vec<EngineUpdate>>,
    /// When engines were found to lack the weights named, until all have them.
    behind_since: Option<MonotonicTime>,
    /// When it was last logged how far they have come.
    logged: MonotonicTime,
}

/// What came of a call to an engine.
enum Outcome {
    Ordered(LoadOrder, OrderOutcome),
    Reported { order: EndpointId, incarnation: Incarnation, report: EngineReport },
}

impl Office {
    fn begin(term: Term, unused_after: Duration) -> Self {
        let (report, outcomes) = flume::unbounded();
        let settings = RolloutSettings { unused_after, ..RolloutSettings::default() };
        let (rollout, max_drain_time) = (Rollout::new(settings), settings.max_drain_time);
        Self {
            term,
            rollout,
            max_drain_time,
            asked: HashMap::new(),
            outcomes,
            report,
            told: None,
            behind_since: None,
            logged: MonotonicTime::ZERO,
        }
    }
}

/// Gives orders while this host leads, until the thread ends.
pub(super) async fn run<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut office: Option<Office> = None;
    let mut tenure = OrderGate::new(gateway.cfg.order_wait());
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = gateway.clock.now();
        let Some(view) = gateway.replica_state.load() else { continue };
        let mandate = tenure.update(now, lead(&view, now));
        follow_tenure(&gateway, &mut office, tenure.term());
        if let Some(office) = office.as_mut().filter(|_| mandate != OrderPermission::Denied) {
            look(&gateway, office, &view, mandate, now);
        }
    }
}

/// Begins a rollout with each term, and ends it with the term.
fn follow_tenure<D: Dialect>(
    gateway: &Gateway<D>,
    office: &mut Option<Office>,
    held: Option<Term>,
) {
    if office.as_ref().map(|office| office.term) == held {
        return;
    }
    *office = held.map(|term| Office::begin(term, gateway.cfg.weights_age()));
    match held {
        Some(term) => {
            log::info!(term:%; "may give orders to engines after the earlier holder's lease");
        }
        None => log::info!("gives no more orders to engines"),
    }
}

fn lead(view: &ReplicaView, now: MonotonicTime) -> Option<Leadership> {
    let leads = view.node.role == Role::Leader;
    leads.then(|| Leadership { term: view.node.term, has_lease: has_lease(view, now) })
}

fn has_lease(view: &ReplicaView, now: MonotonicTime) -> bool {
    view.lease_until.is_some_and(|until| now + LEASE_MARGIN < until)
}

fn look<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    office: &mut Office,
    view: &ReplicaView,
    mandate: OrderPermission,
    now: MonotonicTime,
) {
    while let Ok(outcome) = office.outcomes.try_recv() {
        match outcome {
            Outcome::Ordered(order, outcome) => office.rollout.record_outcome(now, &order, outcome),
            Outcome::Reported { order, incarnation, report } => {
                for weights in &report.weights {
                    office.rollout.record_version(&order, incarnation, weights.version);
                }
            }
        }
    }
    let Some(roster) = gateway.latest.load() else { return };
    if let Some(in_force) = gateway.in_force() {
        office.rollout.set_desired_weights(in_force.weights.clone());
    }
    office.rollout.set_engines(&engines(&roster));
    for target in gateway.targets.borrow().iter() {
        office.rollout.record_version(&target.endpoint, target.incarnation, target.version());
    }
    office.rollout.set_loads(|endpoint| load_of(&view.loads, endpoint));
    match mandate {
        OrderPermission::Granted => {
            for order in office.rollout.orders(now) {
                give(gateway, office, &roster, order);
            }
            ask_loading(gateway, office, &roster, now);
        }
        OrderPermission::After(left) if left <= office.max_drain_time => office.rollout.drain(now),
        OrderPermission::After(_) | OrderPermission::Denied => {}
    }
    log_progress(office, now);
    tell_routers(gateway, office);
}

/// Logs how far the weights named have come, at the beginning, each second, and at the end.
fn log_progress(office: &mut Office, now: MonotonicTime) {
    let RolloutProgress { total: known, behind, draining, loading, backing_off } =
        office.rollout.progress(now);
    if behind == 0 {
        if let Some(since) = office.behind_since.take() {
            let took_ms = now.saturating_since(since).as_millis() as u64;
            log::info!(engines = known, took_ms; "all engines have the weights named");
        }
        return;
    }
    let since = *office.behind_since.get_or_insert(now);
    if since != now && now.saturating_since(office.logged) < LOG_PERIOD {
        return;
    }
    office.logged = now;
    let for_ms = now.saturating_since(since).as_millis() as u64;
    log::info!(engines = known, behind, draining, loading, backing_off, for_ms;
        "engines lack the weights named");
}

fn load_of(loads: &[SentLoad], endpoint: &EndpointId) -> EngineLoad {
    let key = EndpointKey::of(endpoint);
    let sent = loads.iter().find(|load| load.endpoint == key).copied().unwrap_or_default();
    EngineLoad { requests: sent.requests, prefill_tokens: sent.prefill_tokens }
}

/// Returns the engines that take requests.
fn engines(roster: &Roster) -> Vec<EngineView> {
    let known = roster.endpoints.iter().filter(|known| known.state == EndpointState::Ready);
    known
        .filter_map(|known| {
            let (model, version) = targets::served(&known.announcement)?;
            Some(EngineView {
                endpoint: known.announcement.endpoint.clone(),
                incarnation: known.announcement.incarnation,
                model,
                version,
                announced_at: known.written,
                is_stale: roster.stale_after <= roster.at.saturating_since(known.written),
            })
        })
        .collect()
}

fn tell_routers<D: Dialect>(gateway: &Gateway<D>, office: &mut Office) {
    let news = office.rollout.engine_updates();
    let is_told = office.told.as_ref() == Some(&news);
    let Some(replica) = gateway.replica.as_ref().filter(|_| !is_told) else { return };
    if replica.try_send(ReplicaInput::EngineUpdate(news.clone())).is_ok() {
        office.told = Some(news);
    }
}

/// Asks the engine for the number of its orders, and then gives it the order.
fn give<D: Dialect>(gateway: &Rc<Gateway<D>>, office: &Office, roster: &Roster, order: LoadOrder) {
    let Some(address) = address(roster, &order.endpoint) else { return };
    let (gateway, report, term) = (Rc::clone(gateway), office.report.clone(), office.term);
    tokio::task::spawn_local(async move {
        let outcome = match ask(&gateway, address).await {
            Some(state) if holds(&state, &order) => OrderOutcome::AlreadyLoaded,
            Some(state) if state.busy => OrderOutcome::Busy,
            Some(state) => send(&gateway, address, &order, term, state.orders).await,
            None => OrderOutcome::Refused,
        };
        log::info!(endpoint:% = order.endpoint, version = order.weights.version, term:%,
            outcome:? = outcome; "order to load weights");
        let _ = report.try_send(Outcome::Ordered(order, outcome));
    });
}

fn holds(state: &EngineReport, order: &LoadOrder) -> bool {
    state
        .weights
        .iter()
        .any(|held| held.model == order.weights.model && order.weights.version <= held.version)
}

async fn send<D: Dialect>(
    gateway: &Gateway<D>,
    address: SocketAddr,
    order: &LoadOrder,
    term: Term,
    expected_orders: u64,
) -> OrderOutcome {
    let holder = &gateway.host;
    let call = LoadCall { order, holder, fencing: term, expected_orders };
    let Some(connection) = connect(gateway, address).await else { return OrderOutcome::Refused };
    // The lead may have been lost since the order was decided, also while it was connected.
    let leads_still = gateway
        .replica_state
        .load()
        .is_some_and(|view| view.node.term == term && has_lease(&view, gateway.clock.now()));
    if !leads_still {
        return OrderOutcome::Refused;
    }
    match exchange(connection, address, gateway.dialect.load_call(&call)).await {
        Some((head, _)) => gateway.dialect.load_answer(&head),
        None => OrderOutcome::Unknown,
    }
}

/// Asks the engines that load whether they have finished.
fn ask_loading<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    office: &mut Office,
    roster: &Roster,
    now: MonotonicTime,
) {
    let loading: Vec<_> =
        office.rollout.loading().map(|(id, incarnation)| (id.clone(), incarnation)).collect();
    office.asked.retain(|id, _| loading.iter().any(|(loading, _)| loading == id));
    for (id, incarnation) in loading {
        let next = office.asked.entry(id.clone()).or_insert(now + FIRST_REPORT);
        if now < *next {
            continue;
        }
        *next = now + REPORT_PERIOD;
        let Some(address) = address(roster, &id) else { continue };
        let (gateway, outcomes) = (Rc::clone(gateway), office.report.clone());
        tokio::task::spawn_local(async move {
            if let Some(report) = ask(&gateway, address).await {
                let _ = outcomes.try_send(Outcome::Reported { order: id, incarnation, report });
            }
        });
    }
}

fn address(roster: &Roster, endpoint: &EndpointId) -> Option<SocketAddr> {
    let known = roster.endpoints.iter().find(|known| known.announcement.endpoint == *endpoint)?;
    Some(known.announcement.address)
}

async fn ask<D: Dialect>(gateway: &Gateway<D>, address: SocketAddr) -> Option<EngineReport> {
    let connection = connect(gateway, address).await?;
    let (head, body) = exchange(connection, address, gateway.dialect.report_call()).await?;
    match gateway.dialect.report(head.status, &body) {
        Ok(report) => Some(report),
        Err(e) => {
            log::warn!(address:%, error:% = e; "an engine's report can't be read");
            None
        }
    }
}

async fn connect<D: Dialect>(gateway: &Gateway<D>, address: SocketAddr) -> Option<FreshConnection> {
    net::connect_http(gateway.source, address, ANSWER_TIMEOUT).await.ok()
}

/// Sends a call to an engine; without an answer in time it may have been carried out.
async fn exchange(
    connection: FreshConnection,
    address: SocketAddr,
    call: Request<Bytes>,
) -> Option<(response::Parts, Bytes)> {
    let _driver = AbortOnDrop(connection.driver);
    let mut sender = connection.sender;
    let mut call = call.map(Full::new);
    call.headers_mut().insert(HOST, net::host_value(address));
    let answering = async {
        let response: Response<_> = sender.send_request(call).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await.ok()?;
        Some((head, body.to_bytes()))
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answering).await.ok()?
}
