//! Requests forwarded by a table of routes, in the dialect of a deployment.
//!
//! One thread serves callers, the balancer's question for readiness, and the calls of operators and
//! endpoints, each where the settings name an address for it.

mod body;
mod control;
mod dialect;
mod exchange;
mod follow;
mod forward;
mod headers;
mod listen;
mod placement;
mod relay;
mod settings;
mod targets;
mod weights;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{IpAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use base::{DataCentreId, HostId, MonotonicTime, OrganisationId, ServiceId};
use member::Roster;
use prefix::{PartChain, Sent, Untold};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::{BudgetSettings, EngineSpeed, RetryBudget, Warm, WarmSettings};
use routes::{Organisation, Route, Table};
use telemetry::{Metrics, Recorder};

use crate::{
    clock::Clock,
    edge::{Control, EdgeEnd},
    leader_client::LeaderClient,
    replica::{ReplicaInput, ReplicaState},
    roster::{LatestRoster, RosterInput},
};

use follow::InForce;
use placement::{NoTarget, Wanted};
use targets::{Target, Targets};

pub use dialect::{
    AnswerHead, Arrival, AttemptHead, BadCall, ControlAnswer, ControlCall, Dialect, EngineHead,
    EngineReport, LoadCall, Prompt, Unreadable,
};
pub use settings::{FleetRetries, GatewaySettings};

/// Part of the fleet's retries that hosts spend, so that restarts don't exceed the whole.
const RETRY_SHARE: f64 = 0.8;

/// Part of the retries that are there at once which comes again over a window, where there are no
/// requests.
const REFILL_SHARE: f64 = 0.3;

/// Part of the saved retries that is left to requests that fail when streams leave engines that
/// load.
const RETRY_RESERVE: f64 = 0.36;

/// Age from which the view of the endpoints is not believed, as after a pause of the process.
const STALE_ROSTER: Duration = Duration::from_millis(1_500);

/// Time after the start in which configuration and endpoints become known.
const STARTING: Duration = Duration::from_millis(2_500);

/// When a refused caller may come again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Age of the proof of the newest configuration from which this host is not ready.
const STALE_PROOF: Duration = Duration::from_millis(2_500);

/// What joins the gateway's thread to the others.
pub(crate) struct GatewayRings {
    /// Newest view of the endpoints.
    pub rosters: flume::Receiver<Arc<Roster>>,
    /// The same, for those who look now and then.
    pub latest: LatestRoster,
    /// Takes announcements.
    pub roster: flume::Sender<RosterInput>,
    /// Orders to drain or to end.
    pub control: flume::Receiver<Control>,
    /// The way to the quorum's leader.
    pub leader: LeaderClient,
    /// The replica thread, on a host with a vote.
    pub replica: Option<flume::Sender<ReplicaInput>>,
    /// The replica thread's state.
    pub replica_state: ReplicaState,
    /// Counts what befalls requests.
    pub metrics: Arc<Metrics>,
}

/// The addresses that the gateway's thread listens on.
pub(crate) struct GatewayListeners {
    /// For callers.
    pub callers: Option<TcpListener>,
    /// For the balancer.
    pub readiness: Option<TcpListener>,
    /// For operators and endpoints.
    pub control: Option<TcpListener>,
}

/// Who the gateway is.
pub(crate) struct Identity {
    /// This host.
    pub host: HostId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// The address that connections to endpoints come from.
    pub source: IpAddr,
    /// Time from the signal to end to the end of accepting.
    pub drain_notice: Duration,
}

/// State of the gateway's thread, shared by its tasks.
struct Gateway<D: Dialect> {
    cfg: GatewaySettings,
    dialect: D,
    host: HostId,
    data_centre: DataCentreId,
    source: IpAddr,
    drain_notice: Duration,
    clock: Clock,
    started: MonotonicTime,
    published: RefCell<Option<Rc<InForce>>>,
    targets: RefCell<Targets>,
    /// Prompts sent that other hosts don't know of yet.
    untold: RefCell<Untold>,
    /// When the view of the endpoints was made.
    roster_at: Cell<MonotonicTime>,
    /// Hosts that share the fleet's retries.
    routers: Cell<u32>,
    budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    warm: RefCell<Warm>,
    rng: RefCell<Pcg64Mcg>,
    active: Rc<Cell<u64>>,
    connections: Cell<u64>,
    /// Whether answers ask callers to use other hosts.
    leaving: Cell<bool>,
    leader: LeaderClient,
    roster: flume::Sender<RosterInput>,
    latest: LatestRoster,
    replica: Option<flume::Sender<ReplicaInput>>,
    replica_state: ReplicaState,
    metrics: Arc<Metrics>,
}

/// Counts a request as under way; ends on drop.
struct ActiveRequest(Rc<Cell<u64>>);

impl ActiveRequest {
    fn begin<D: Dialect>(gateway: &Gateway<D>) -> Self {
        gateway.active.set(gateway.active.get() + 1);
        Self(Rc::clone(&gateway.active))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<D: Dialect> Gateway<D> {
    fn new(
        cfg: GatewaySettings,
        dialect: D,
        identity: Identity,
        clock: Clock,
        rings: &GatewayRings,
    ) -> Self {
        Self {
            cfg,
            dialect,
            host: identity.host,
            data_centre: identity.data_centre,
            source: identity.source,
            drain_notice: identity.drain_notice,
            clock,
            started: clock.now(),
            published: RefCell::new(None),
            targets: RefCell::default(),
            untold: RefCell::default(),
            roster_at: Cell::new(MonotonicTime::ZERO),
            routers: Cell::new(1),
            budgets: RefCell::default(),
            warm: RefCell::new(Warm::new(warm_settings())),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(rand::random())),
            active: Rc::default(),
            connections: Cell::new(0),
            leaving: Cell::new(false),
            leader: rings.leader.clone(),
            roster: rings.roster.clone(),
            latest: rings.latest.clone(),
            replica: rings.replica.clone(),
            replica_state: rings.replica_state.clone(),
            metrics: Arc::clone(&rings.metrics),
        }
    }

    fn choose(&self, wanted: &Wanted<'_>) -> Result<Rc<Target>, NoTarget> {
        let (mut warm, mut rng) = (self.warm.borrow_mut(), self.rng.borrow_mut());
        placement::choose(&self.targets.borrow(), wanted, &mut warm, &mut *rng)
    }

    /// Notes that an engine reads a prompt, here and soon at all other hosts.
    fn note_sent(&self, target: &Target, chain: &PartChain, saved: bool) {
        let (now, weights) = (self.clock.now(), target.version());
        target.reads(now, chain);
        if let Some(store) = self.targets.borrow().store_of(chain).filter(|_| saved) {
            store.holds(now, weights, chain);
        }
        let sent = Sent { engine: target.key.as_u32(), weights, chain: chain.clone(), saved };
        self.untold.borrow_mut().push(sent);
    }

    /// Gives the organisations of a configuration their own series.
    fn label_organisations(&self, table: &Table) {
        let ids: Vec<_> = table.organisations().filter_map(|named| metrics_id(named)).collect();
        self.metrics.label_organisations(&ids);
    }

    /// Returns the recorder of a caller's requests; strangers share one.
    fn recorder(&self, organisation: Option<&Organisation>) -> Recorder {
        match organisation.and_then(metrics_id) {
            Some(id) => self.metrics.recorder(&id),
            None => self.metrics.unknown_recorder(),
        }
    }

    /// Counts a request, which earns its part of a retry.
    fn count_request(&self, route: &Route) {
        self.with_budget(route, RetryBudget::earn);
    }

    /// Takes a retry from this host's part of the fleet's budget, if there is one.
    fn try_retry(&self, route: &Route) -> bool {
        self.with_budget(route, RetryBudget::try_spend)
    }

    /// Takes a retry for a stream that could stay, if enough are left for requests that fail.
    fn try_move(&self, route: &Route) -> bool {
        self.with_budget(route, |budget, now| budget.try_spend_beyond(now, RETRY_RESERVE))
    }

    fn with_budget<T>(
        &self,
        route: &Route,
        act: impl Fn(&mut RetryBudget, MonotonicTime) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let service = route.services.first().map(|entry| entry.service.clone());
        let service = service.expect("a route has a service");
        let settings = self.budget_settings();
        let budget = budgets.entry(service).or_insert_with(|| RetryBudget::new(now, settings));
        budget.set_settings(settings);
        act(budget, now)
    }

    fn budget_settings(&self) -> BudgetSettings {
        let retries = &self.cfg.retries;
        let routers = f64::from(self.routers.get().max(1));
        // A host that starts doesn't know yet how many share the extra retries.
        let extra = match self.is_starting() {
            true => 0.0,
            false => f64::from(retries.extra) * RETRY_SHARE / routers,
        };
        BudgetSettings {
            ratio: retries.ratio * RETRY_SHARE,
            min_rate: extra * REFILL_SHARE / retries.window.as_secs_f64(),
            burst: extra.max(1.0),
        }
    }

    /// Returns whether this process has just started and still hears of what it needs.
    fn is_starting(&self) -> bool {
        self.clock.now().saturating_since(self.started) < STARTING
    }

    /// Returns when a caller that is refused now may come again with a better chance.
    fn retry_after(&self) -> Duration {
        let up = self.clock.now().saturating_since(self.started);
        RETRY_AFTER.max(STARTING.saturating_sub(up))
    }

    /// Returns whether callers may be sent here.
    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let longest = STALE_PROOF.min(self.cfg.key_lease());
        let proved = self.in_force().is_some_and(|held| held.age(now) < longest);
        let sees = now.saturating_since(self.roster_at.get()) < STALE_ROSTER;
        proved && sees && !self.leaving.get() && !self.targets.borrow().is_empty()
    }
}

/// Returns an organisation's id in metrics; one whose name can't be an id has none.
fn metrics_id(organisation: &Organisation) -> Option<OrganisationId> {
    organisation.name.parse().ok()
}

/// Returns how engines are scored: each stream slows the others of its engine down.
fn warm_settings() -> WarmSettings {
    WarmSettings {
        prefill_rate: EngineSpeed::default().prefill_rate,
        request_time: Duration::from_millis(8),
        ..WarmSettings::default()
    }
}

/// Starts the gateway's thread on listeners that are already bound.
///
/// # Errors
///
/// Returns an error if the thread or its runtime can't be made.
pub(crate) fn spawn<D: Dialect>(
    cfg: GatewaySettings,
    dialect: D,
    identity: Identity,
    clock: Clock,
    listeners: GatewayListeners,
    rings: GatewayRings,
) -> io::Result<JoinHandle<EdgeEnd>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("gateway".into()).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async move {
            let gateway = Rc::new(Gateway::new(cfg, dialect, identity, clock, &rings));
            tokio::task::spawn_local(follow_rosters(Rc::clone(&gateway), rings.rosters));
            tokio::task::spawn_local(follow::run(Rc::clone(&gateway)));
            if gateway.replica.is_some() {
                tokio::task::spawn_local(weights::run(Rc::clone(&gateway)));
            }
            listen::run(gateway, listeners, rings.control).await
        })
    })
}

async fn follow_rosters<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    rosters: flume::Receiver<Arc<Roster>>,
) {
    while let Ok(roster) = rosters.recv_async().await {
        let changes = gateway.targets.borrow_mut().update(&roster);
        for endpoint in &changes.joined {
            log::debug!(endpoint:%; "endpoint may get requests");
        }
        for endpoint in &changes.left {
            log::debug!(endpoint:%; "endpoint gets no more requests");
        }
        gateway.roster_at.set(roster.at);
        let others = roster.peers.iter().filter(|peer| !peer.update.votes).count();
        let routers = u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
        gateway.routers.set(routers);
    }
}
