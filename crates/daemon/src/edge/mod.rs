mod active;
mod admin_queries;
mod admission;
mod announce;
mod auth;
mod body;
mod buffered_response;
mod claims;
mod completions;
mod drains;
mod idempotent;
mod listen;
mod policies;
mod prefix_tracker;
mod relay;
mod retries;
mod round_trips;
mod router;
mod services;
mod targets;
mod tracked;
mod upstream;

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use base::{EndpointId, Incarnation, MonotonicTime};
use fleet::{Owner, Scope};
use member::Roster;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::Outcome;
use telemetry::{Metrics, Tracer};

use crate::{
    Settings,
    buffers::BufferBudget,
    clock::Clock,
    configurations::{Configurations, InForce},
    departures::DepartureLog,
    leader_client::LeaderClient,
    replica::ReplicaState,
    roster::RosterInput,
};

use active::{ActiveRequest, ActiveRequests};
use admission::AdmissionController;
use auth::AuthKeys;
use retries::Retries;
use router::{NoEndpoint, Router};
use targets::InFlight;

pub(crate) use admin_queries::{AdminQuery, Load, RouteQueryError};

/// Longest wait of a request for the first endpoints, such as right after the start.
const FIRST_ROSTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Age from which a roster is stale, such as after a pause of the whole process.
const MAX_ROSTER_AGE: Duration = Duration::from_millis(1_500);

/// Time between checks for the first endpoints.
const ROSTER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Channels between the edge thread and the other threads.
pub(crate) struct EdgeChannels {
    /// Rosters of the known endpoints and routers.
    pub rosters: flume::Receiver<Arc<Roster>>,
    /// Announcements that endpoints posted to this host.
    pub announcements: flume::Sender<RosterInput>,
    /// Commands to drain or to stop.
    pub control: flume::Receiver<ServerCommand>,
    /// Queries of the admin interface.
    pub admin_queries: flume::Receiver<AdminQuery>,
    /// The configuration in force.
    pub configurations: Configurations,
    /// Client of the quorum's leader.
    pub leader: LeaderClient,
    /// The replica thread's state.
    pub replica_state: ReplicaState,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The process's metrics.
    pub metrics: Arc<Metrics>,
    /// Memory for bodies of requests and responses.
    pub buffer_budget: Arc<BufferBudget>,
    /// Starts spans.
    pub tracer: Tracer,
}

/// A command to the edge or gateway thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerCommand {
    /// Serve new requests, and ask callers to use other hosts.
    Leave,
    /// Accept no new connections, and stop once all requests have ended.
    Drain,
    /// Stop now.
    Abort,
}

/// How the edge or gateway thread stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerExit {
    /// Requests still in flight when the thread stopped.
    pub cut: u64,
}

/// State of the edge thread, shared by its tasks.
struct Edge {
    cfg: Arc<Settings>,
    keys: AuthKeys,
    router: RefCell<Router>,
    /// When the router's roster was made.
    roster_at: Cell<MonotonicTime>,
    admission: AdmissionController,
    retries: Retries,
    active: RefCell<ActiveRequests>,
    /// Open connections from callers.
    connections: Cell<u64>,
    /// Whether responses ask callers to use other hosts.
    leaving: Cell<bool>,
    next_request: Cell<u64>,
    announcements: flume::Sender<RosterInput>,
    configurations: Configurations,
    in_force: RefCell<Arc<InForce>>,
    leader: LeaderClient,
    departures: DepartureLog,
    /// Memory for bodies of requests and responses.
    buffer_budget: Arc<BufferBudget>,
    owner: Owner,
    clock: Clock,
    metrics: Arc<Metrics>,
    tracer: Tracer,
}

impl Edge {
    fn new(cfg: Arc<Settings>, clock: Clock, channels: &EdgeChannels) -> Self {
        let seed = rand::random();
        let owner = Owner { host: cfg.host.clone(), incarnation: channels.incarnation };
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let router = Router::new(cfg.listen.ip(), cfg.data_centre.clone(), rng);
        Self {
            keys: AuthKeys::new(&cfg, channels.configurations.clone()),
            router: RefCell::new(router),
            roster_at: Cell::new(MonotonicTime::ZERO),
            admission: AdmissionController::new(clock, cfg.limits.organisation_requests),
            retries: Retries::new(clock, seed),
            cfg,
            active: RefCell::default(),
            connections: Cell::new(0),
            leaving: Cell::new(false),
            next_request: Cell::new(seed),
            announcements: channels.announcements.clone(),
            configurations: channels.configurations.clone(),
            in_force: RefCell::new(channels.configurations.in_force().unwrap_or_default()),
            leader: channels.leader.clone(),
            departures: DepartureLog::new(
                clock,
                channels.leader.clone(),
                channels.replica_state.clone(),
            ),
            buffer_budget: Arc::clone(&channels.buffer_budget),
            owner,
            clock,
            metrics: Arc::clone(&channels.metrics),
            tracer: channels.tracer.clone(),
        }
    }

    /// Returns the settings in force for `scope`.
    fn settings(&self, scope: &Scope) -> fleet::Settings {
        self.in_force.borrow().declaration.effective(scope, self.clock.wall())
    }

    /// Waits until a fresh roster lists an endpoint, for at most [`FIRST_ROSTER_TIMEOUT`].
    ///
    /// A router that has just restarted thus serves its first requests, and one that was paused
    /// sends none to endpoints whose leases have expired meanwhile.
    async fn wait_for_endpoints(&self) {
        let until = self.clock.now() + FIRST_ROSTER_TIMEOUT;
        while !self.has_fresh_endpoints() && self.clock.now() < until {
            tokio::time::sleep(ROSTER_POLL_INTERVAL).await;
        }
    }

    fn has_fresh_endpoints(&self) -> bool {
        let age = self.clock.now().saturating_since(self.roster_at.get());
        age < MAX_ROSTER_AGE && !self.router.borrow().is_empty()
    }

    /// Chooses an endpoint for a call to a plain service that isn't among `tried`.
    fn choose_service_endpoint(
        &self,
        call: &services::ServiceCall,
        tried: &[EndpointId],
    ) -> Result<(EndpointId, InFlight), NoEndpoint> {
        self.router.borrow_mut().choose_service_endpoint(self.clock.now(), &call.service, tried)
    }

    /// Records the outcome of a call at an endpoint of a plain service.
    fn record_service_outcome(&self, endpoint: &EndpointId, outcome: Outcome) {
        self.router.borrow_mut().record_service_outcome(self.clock.now(), endpoint, outcome);
    }

    /// Counts a report to the ledger as an active request, so that a drain waits for it.
    fn begin_report(self: &Rc<Self>) -> ActiveRequest {
        ActiveRequest::begin(self, "report")
    }

    fn new_request_id(&self) -> base::RequestId {
        let number = self.next_request.get();
        self.next_request.set(number.wrapping_add(1));
        let text = format!("{}-{number:016x}", self.cfg.host);
        text.parse().expect("a host's id and a number make a request id")
    }
}

/// Starts the edge thread on a bound listener, and waits until it runs.
///
/// # Errors
///
/// Returns an error if the thread or its runtime can't be created.
pub(crate) fn spawn(
    cfg: Arc<Settings>,
    clock: Clock,
    listener: std::net::TcpListener,
    channels: EdgeChannels,
) -> io::Result<JoinHandle<ServerExit>> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (started_tx, started_rx) = flume::bounded(1);
    let thread = std::thread::Builder::new().name("edge".into()).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async move {
            let edge = Rc::new(Edge::new(cfg, clock, &channels));
            let _ = started_tx.send(());
            tokio::task::spawn_local(apply_rosters(Rc::clone(&edge), channels.rosters));
            tokio::task::spawn_local(apply_configurations(Rc::clone(&edge)));
            tokio::task::spawn_local(edge.admission.clone().watch_deadlines());
            tokio::task::spawn_local(admin_queries::handle_all(
                Rc::clone(&edge),
                channels.admin_queries,
            ));
            tokio::task::spawn_local(claims::report_earlier_incarnations_ended(Rc::clone(&edge)));
            listen::run(edge, listener, channels.control).await
        })
    })?;
    let _ = started_rx.recv();
    Ok(thread)
}

async fn apply_rosters(edge: Rc<Edge>, rosters: flume::Receiver<Arc<Roster>>) {
    while let Ok(roster) = rosters.recv_async().await {
        let in_force = Arc::clone(&edge.in_force.borrow());
        let is_drained = drains::is_drained(&in_force.declaration, edge.clock.wall());
        let mut router = edge.router.borrow_mut();
        router.update(edge.clock.now(), &roster, is_drained);
        edge.roster_at.set(roster.at);
        edge.admission.resize(router.engine_count(), router.max_slots(), router.router_count());
    }
}

async fn apply_configurations(edge: Rc<Edge>) {
    let configurations = edge.configurations.subscribe();
    let configured = edge.cfg.organisation_keys.iter().map(|key| &key.organisation);
    edge.metrics.label_organisations(configured);
    while let Ok(in_force) = configurations.recv_async().await {
        let is_drained = drains::is_drained(&in_force.declaration, edge.clock.wall());
        edge.router.borrow().update_drained(is_drained);
        edge.in_force.replace(Arc::clone(&in_force));
        let declared = in_force.declaration.contents().organisations.iter();
        edge.metrics.label_organisations(declared.map(|organisation| &organisation.id));
    }
}
