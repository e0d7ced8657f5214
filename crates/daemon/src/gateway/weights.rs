//! The leader's rollout of desired weights: orders to engines to load them.

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

use super::{Dialect, EngineReport, Gateway, LoadWeightsRequest, target, targets::Targets};

/// Time between steps of the rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between state requests to an engine that loads weights.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time from an order to the first state request that checks on it.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Longest wait for an engine's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between log lines on the progress of a rollout.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the leader's lease that must be left to send an order.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Largest response of an engine to an order or a state request, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The rollout of a term in which this host leads.
struct ActiveRollout {
    term: Term,
    rollout: Rollout,
    /// Longest time for which engines drain; they may start to before the first order is allowed.
    max_drain_time: Duration,
    next_polls: HashMap<EndpointId, MonotonicTime>,
    responses: flume::Receiver<EngineResponse>,
    response_tx: flume::Sender<EngineResponse>,
    /// The updates of engines that were last sent to the replica.
    published_updates: Option<Vec<EngineUpdate>>,
    /// Since when engines lack the desired weights, if any do.
    behind_since: Option<MonotonicTime>,
    /// When the progress was last logged.
    last_logged: MonotonicTime,
}

/// The outcome of a request to an engine.
enum EngineResponse {
    Ordered(LoadOrder, OrderOutcome),
    Reported { endpoint: EndpointId, incarnation: Incarnation, report: EngineReport },
}

impl ActiveRollout {
    fn new(term: Term, unused_after: Duration) -> Self {
        let (response_tx, responses) = flume::unbounded();
        let settings = RolloutSettings { unused_after, ..RolloutSettings::default() };
        let (rollout, max_drain_time) = (Rollout::new(settings), settings.max_drain_time);
        Self {
            term,
            rollout,
            max_drain_time,
            next_polls: HashMap::new(),
            responses,
            response_tx,
            published_updates: None,
            behind_since: None,
            last_logged: MonotonicTime::ZERO,
        }
    }
}

/// Runs the rollout while this host leads, until the thread ends.
pub(super) async fn run<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut active: Option<ActiveRollout> = None;
    let mut order_gate = OrderGate::new(gateway.cfg.first_order_delay());
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = gateway.clock.now();
        let Some(view) = gateway.replica_state.load() else { continue };
        let permission = order_gate.update(now, leadership(&view, now));
        sync_term(&gateway, &mut active, order_gate.term());
        if let Some(active) = active.as_mut().filter(|_| permission != OrderPermission::Denied) {
            advance(&gateway, active, &view, permission, now);
        }
    }
}

/// Starts a rollout at the start of a term, and drops it at the term's end.
fn sync_term<D: Dialect>(
    gateway: &Gateway<D>,
    active: &mut Option<ActiveRollout>,
    leading: Option<Term>,
) {
    if active.as_ref().map(|active| active.term) == leading {
        return;
    }
    *active = leading.map(|term| ActiveRollout::new(term, gateway.cfg.max_outdated_at_send()));
    match leading {
        Some(term) => {
            log::info!(term:%; "weights rollout started, orders delayed by order lease");
        }
        None => log::info!("weights rollout stopped"),
    }
}

fn leadership(view: &ReplicaView, now: MonotonicTime) -> Option<Leadership> {
    let leads = view.node.role == Role::Leader;
    leads.then(|| Leadership { term: view.node.term, has_lease: has_lease(view, now) })
}

fn has_lease(view: &ReplicaView, now: MonotonicTime) -> bool {
    view.lease_until.is_some_and(|until| now + LEASE_MARGIN < until)
}

fn advance<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    active: &mut ActiveRollout,
    view: &ReplicaView,
    permission: OrderPermission,
    now: MonotonicTime,
) {
    while let Ok(outcome) = active.responses.try_recv() {
        match outcome {
            EngineResponse::Ordered(order, outcome) => {
                active.rollout.record_outcome(now, &order, outcome)
            }
            EngineResponse::Reported { endpoint, incarnation, report } => {
                for weights in &report.weights {
                    active.rollout.record_version(&endpoint, incarnation, weights.version);
                }
            }
        }
    }
    let Some(roster) = gateway.latest_roster.load() else { return };
    if let Some(active_configuration) = gateway.active_configuration() {
        active.rollout.set_desired_weights(active_configuration.weights.clone());
    }
    let targets = gateway.targets.borrow();
    active.rollout.set_engines(&engines(&roster, &targets));
    for target in targets.iter() {
        active.rollout.record_version(&target.endpoint, target.incarnation, target.version());
    }
    active.rollout.set_loads(|endpoint| load_of(&view.loads, endpoint));
    match permission {
        OrderPermission::Granted => {
            for order in active.rollout.orders(now) {
                issue_order(gateway, active, &roster, order);
            }
            poll_loading_engines(gateway, active, &roster, now);
        }
        OrderPermission::After(left) if left <= active.max_drain_time => active.rollout.drain(now),
        OrderPermission::After(_) | OrderPermission::Denied => {}
    }
    log_progress(active, now);
    publish_engine_updates(gateway, active);
}

/// Logs the progress of a rollout at its start, each second, and at its end.
fn log_progress(active: &mut ActiveRollout, now: MonotonicTime) {
    let RolloutProgress { total: known, behind, draining, loading, backing_off } =
        active.rollout.progress(now);
    if behind == 0 {
        if let Some(since) = active.behind_since.take() {
            let took_ms = now.saturating_since(since).as_millis() as u64;
            log::info!(engines = known, took_ms; "weights rollout complete");
        }
        return;
    }
    let since = *active.behind_since.get_or_insert(now);
    if since != now && now.saturating_since(active.last_logged) < LOG_INTERVAL {
        return;
    }
    active.last_logged = now;
    let for_ms = now.saturating_since(since).as_millis() as u64;
    log::info!(engines = known, behind, draining, loading, backing_off, for_ms;
        "weights rollout in progress");
}

fn load_of(loads: &[SentLoad], endpoint: &EndpointId) -> EngineLoad {
    let key = EndpointKey::of(endpoint);
    let sent = loads.iter().find(|load| load.endpoint == key).copied().unwrap_or_default();
    EngineLoad { requests: sent.requests, prefill_tokens: sent.prefill_tokens }
}

/// Returns the engines that accept requests.
fn engines(roster: &Roster, targets: &Targets) -> Vec<EngineView> {
    let ready = roster.endpoints.iter().filter(|record| record.state == EndpointState::Ready);
    ready
        .filter(|record| !targets.is_leaving(&record.announcement))
        .filter_map(|record| {
            let (model, version) = target::served_model(&record.announcement)?;
            Some(EngineView {
                endpoint: record.announcement.endpoint.clone(),
                incarnation: record.announcement.incarnation,
                model,
                version,
                announced_at: record.written,
                is_stale: roster.stale_after <= roster.at.saturating_since(record.written),
            })
        })
        .collect()
}

fn publish_engine_updates<D: Dialect>(gateway: &Gateway<D>, active: &mut ActiveRollout) {
    let updates = active.rollout.engine_updates();
    let is_published = active.published_updates.as_ref() == Some(&updates);
    let Some(replica) = gateway.replica.as_ref().filter(|_| !is_published) else { return };
    if replica.try_send(ReplicaInput::EngineUpdate(updates.clone())).is_ok() {
        active.published_updates = Some(updates);
    }
}

/// Requests the engine's order count, and then sends it the order.
fn issue_order<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    active: &ActiveRollout,
    roster: &Roster,
    order: LoadOrder,
) {
    let Some(address) = address(roster, &order.endpoint) else { return };
    if gateway.is_waited_for(&order.endpoint) {
        let refused = EngineResponse::Ordered(order, OrderOutcome::Refused);
        let _ = active.response_tx.try_send(refused);
        return;
    }
    let (gateway, response_tx, term) =
        (Rc::clone(gateway), active.response_tx.clone(), active.term);
    tokio::task::spawn_local(async move {
        let outcome = match query_report(&gateway, &order.endpoint, address).await {
            Some(state) if has_weights(&state, &order) => OrderOutcome::AlreadyLoaded,
            Some(state) if state.busy => OrderOutcome::Busy,
            Some(state) => send_order(&gateway, address, &order, term, state.orders).await,
            None => OrderOutcome::Refused,
        };
        log::info!(endpoint:% = order.endpoint, version = order.weights.version, term:%,
            outcome:? = outcome; "order to load weights");
        let _ = response_tx.try_send(EngineResponse::Ordered(order, outcome));
    });
}

fn has_weights(state: &EngineReport, order: &LoadOrder) -> bool {
    state.weights.iter().any(|loaded| {
        loaded.model == order.weights.model && order.weights.version <= loaded.version
    })
}

async fn send_order<D: Dialect>(
    gateway: &Gateway<D>,
    address: SocketAddr,
    order: &LoadOrder,
    term: Term,
    expected_orders: u64,
) -> OrderOutcome {
    let holder = &gateway.host;
    let request = LoadWeightsRequest { order, holder, fencing_token: term, expected_orders };
    let Some(connection) = connect(gateway, address).await else { return OrderOutcome::Refused };
    // The leadership may have been lost since the order was decided, also during the connect.
    let still_leads = gateway
        .replica_state
        .load()
        .is_some_and(|view| view.node.term == term && has_lease(&view, gateway.clock.now()));
    if !still_leads {
        return OrderOutcome::Refused;
    }
    let request = gateway.dialect.load_weights_request(&request);
    let Some((head, _)) = send_request(connection, address, request).await else {
        return OrderOutcome::Unknown;
    };
    gateway.record_call_wait(&order.endpoint, &head);
    gateway.dialect.load_weights_outcome(&head)
}

/// Requests the state of the engines that load weights.
fn poll_loading_engines<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    active: &mut ActiveRollout,
    roster: &Roster,
    now: MonotonicTime,
) {
    let loading: Vec<_> =
        active.rollout.loading().map(|(id, incarnation)| (id.clone(), incarnation)).collect();
    active.next_polls.retain(|id, _| loading.iter().any(|(loading, _)| loading == id));
    for (id, incarnation) in loading {
        let next = active.next_polls.entry(id.clone()).or_insert(now + FIRST_REPORT_DELAY);
        if now < *next {
            continue;
        }
        *next = now + REPORT_POLL_INTERVAL;
        let Some(address) = address(roster, &id).filter(|_| !gateway.is_waited_for(&id)) else {
            continue;
        };
        let (gateway, response_tx) = (Rc::clone(gateway), active.response_tx.clone());
        tokio::task::spawn_local(async move {
            if let Some(report) = query_report(&gateway, &id, address).await {
                let _ = response_tx.try_send(EngineResponse::Reported {
                    endpoint: id,
                    incarnation,
                    report,
                });
            }
        });
    }
}

fn address(roster: &Roster, endpoint: &EndpointId) -> Option<SocketAddr> {
    let record =
        roster.endpoints.iter().find(|record| record.announcement.endpoint == *endpoint)?;
    Some(record.announcement.address)
}

async fn query_report<D: Dialect>(
    gateway: &Gateway<D>,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Option<EngineReport> {
    let connection = connect(gateway, address).await?;
    let (head, body) = send_request(connection, address, gateway.dialect.report_request()).await?;
    gateway.record_call_wait(endpoint, &head);
    match gateway.dialect.report(head.status, &body) {
        Ok(report) => Some(report),
        Err(e) => {
            log::warn!(address:%, error:% = e; "invalid engine report");
            None
        }
    }
}

async fn connect<D: Dialect>(gateway: &Gateway<D>, address: SocketAddr) -> Option<FreshConnection> {
    net::connect_http(gateway.source, address, RESPONSE_TIMEOUT).await.ok()
}

/// Sends a request to an engine; without a response in time it may have been carried out.
async fn send_request(
    connection: FreshConnection,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Option<(response::Parts, Bytes)> {
    let _driver = AbortOnDrop(connection.driver);
    let mut sender = connection.sender;
    let mut request = request.map(Full::new);
    request.headers_mut().insert(HOST, net::host_value(address));
    let response = async {
        let response: Response<_> = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?;
        Some((head, body.to_bytes()))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, response).await.ok()?
}
