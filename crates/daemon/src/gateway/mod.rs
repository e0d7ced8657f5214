//! Reverse proxy that forwards requests by a routing table and speaks a deployment's dialect.
//!
//! One thread serves callers, the load balancer's readiness checks, and the control requests of
//! operators and endpoints, each on the address that the settings name for it.

mod announcements;
mod body;
mod caller_stream;
mod control;
mod crash_evidence;
mod dialect;
mod exchange;
mod explain;
mod follow;
mod forward;
mod full;
mod headers;
mod kv_stores;
mod listen;
mod liveness;
mod notices;
mod performance;
mod placement;
mod quotas;
mod relay;
mod segment;
mod settings;
mod speeds;
mod stop;
mod target;
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
use fleet::LeaderSighting;
use member::{HeldAnnouncements, IncarnationKey, Roster};
use prefix::{PartChain, SentPrompt, UnreportedPrompts};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{
    BudgetSettings, EngineSpeed, ResponseTimes, RetryBudget, Slowness, TokenShares, Warm,
    WarmSettings,
};
use routes::{Organisation, Table};
use telemetry::{Metrics, Recorder};

use crate::{
    buffers::BufferBudget,
    clock::Clock,
    departures::DepartureLog,
    edge::{AdminQuery, ServerCommand, ServerExit},
    leader_client::LeaderClient,
    replica::{ReplicaInput, ReplicaState},
    roster::{LatestRoster, RosterInput},
};

use crash_evidence::CrashEvidence;
use follow::ActiveConfiguration;
use placement::{NoTarget, Requirements};
use quotas::Quotas;
use stop::StopTime;
use target::Target;
use targets::Targets;

pub use dialect::{
    AttemptHead, CallerRequest, ControlRequest, ControlRequestError, ControlResponse, DecodeError,
    Dialect, EngineHead, EngineReport, LoadWeightsRequest, Prompt, ResponseHead,
};
pub use settings::{FleetRetries, GatewaySettings, OverloadSettings};

/// Share of the fleet's retry budget that hosts spend, so that restarts don't exceed the budget.
const HOST_RETRY_SHARE: f64 = 0.8;

/// Share of the retry burst that refills over a window while there are no requests.
const IDLE_REFILL_SHARE: f64 = 0.3;

/// Share of the saved retries that is reserved for failed requests while streams migrate away from
/// engines that load weights.
const RETRY_RESERVE_SHARE: f64 = 0.36;

/// Age from which the roster counts as stale, as after a pause of the process.
const MAX_ROSTER_AGE: Duration = Duration::from_millis(1_500);

/// Time after the start in which the configuration and the endpoints are discovered.
const STARTUP_PERIOD: Duration = Duration::from_millis(2_500);

/// Shortest `Retry-After` for a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Age of the last report that the configuration is the newest from which this host is not ready.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// Time for which a voter's word on who leads counts; longer than the pause between polls that fail.
const MAX_SIGHTING_AGE: Duration = Duration::from_secs(1);

/// Channels and shared state that connect the gateway's thread to the others.
pub(crate) struct GatewayChannels {
    /// New rosters.
    pub rosters: flume::Receiver<Arc<Roster>>,
    /// The latest roster, for readers that poll.
    pub latest: LatestRoster,
    /// Sends announcements to the roster thread.
    pub roster: flume::Sender<RosterInput>,
    /// Commands to drain or to stop.
    pub control: flume::Receiver<ServerCommand>,
    /// Queries of operators.
    pub admin_queries: flume::Receiver<AdminQuery>,
    /// Client of the quorum's leader.
    pub leader: LeaderClient,
    /// The replica thread, on a host with a vote.
    pub replica: Option<flume::Sender<ReplicaInput>>,
    /// The replica thread's state.
    pub replica_state: ReplicaState,
    /// Metrics of requests.
    pub metrics: Arc<Metrics>,
    /// Memory for bodies of requests and responses.
    pub buffer_budget: Arc<BufferBudget>,
}

/// The addresses that the gateway's thread listens on.
pub(crate) struct GatewayListeners {
    /// Requests of callers.
    pub callers: Option<TcpListener>,
    /// Readiness checks of the load balancer.
    pub readiness: Option<TcpListener>,
    /// Control requests of operators and endpoints.
    pub control: Option<TcpListener>,
}

/// The host that the gateway runs on, with its source address and drain notice.
pub(crate) struct Identity {
    /// This host.
    pub host: HostId,
    /// The host's data centre.
    pub data_centre: DataCentreId,
    /// Source address of connections to endpoints.
    pub source: IpAddr,
    /// Time from the shutdown signal until the listeners close.
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
    active_configuration: RefCell<Option<Rc<ActiveConfiguration>>>,
    targets: RefCell<Targets>,
    held_announcements: RefCell<HeldAnnouncements>,
    /// Prompts sent to engines that were not reported to the leader yet.
    unreported_prompts: RefCell<UnreportedPrompts>,
    crash_evidence: RefCell<CrashEvidence>,
    /// Response times of endpoints that were not reported to the leader yet.
    response_times: RefCell<ResponseTimes<IncarnationKey>>,
    /// Timestamp of the latest roster.
    roster_updated_at: Cell<MonotonicTime>,
    /// Number of hosts that share the fleet's retry budget and the limits that endpoints state.
    router_count: Cell<u32>,
    budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// What organisations take of each service's tokens.
    token_shares: RefCell<HashMap<ServiceId, TokenShares>>,
    warm: RefCell<Warm>,
    rng: RefCell<Pcg64Mcg>,
    active_requests: Rc<Cell<u64>>,
    quotas: Rc<Quotas>,
    /// Memory for bodies of requests and responses.
    buffer_budget: Arc<BufferBudget>,
    connections: Cell<u64>,
    /// Whether responses close their connections, so that callers use other hosts.
    is_draining: Cell<bool>,
    stop_time: StopTime,
    leader: LeaderClient,
    departures: DepartureLog,
    roster_input: flume::Sender<RosterInput>,
    latest_roster: LatestRoster,
    replica: Option<flume::Sender<ReplicaInput>>,
    replica_state: ReplicaState,
    metrics: Arc<Metrics>,
}

/// Counts a request as in flight until it is dropped.
struct ActiveRequest(Rc<Cell<u64>>);

impl ActiveRequest {
    fn begin<D: Dialect>(gateway: &Gateway<D>) -> Self {
        gateway.active_requests.set(gateway.active_requests.get() + 1);
        Self(Rc::clone(&gateway.active_requests))
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
        channels: &GatewayChannels,
    ) -> Self {
        Self {
            quotas: Rc::new(Quotas::new(cfg.quota_bounds)),
            cfg,
            dialect,
            host: identity.host,
            data_centre: identity.data_centre,
            source: identity.source,
            drain_notice: identity.drain_notice,
            clock,
            started: clock.now(),
            active_configuration: RefCell::new(None),
            targets: RefCell::default(),
            held_announcements: RefCell::default(),
            unreported_prompts: RefCell::default(),
            crash_evidence: RefCell::default(),
            response_times: RefCell::default(),
            roster_updated_at: Cell::new(MonotonicTime::ZERO),
            router_count: Cell::new(1),
            budgets: RefCell::default(),
            token_shares: RefCell::default(),
            warm: RefCell::new(Warm::new(warm_settings())),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(rand::random())),
            active_requests: Rc::default(),
            buffer_budget: Arc::clone(&channels.buffer_budget),
            connections: Cell::new(0),
            is_draining: Cell::new(false),
            stop_time: StopTime::default(),
            leader: channels.leader.clone(),
            departures: DepartureLog::new(
                clock,
                channels.leader.clone(),
                channels.replica_state.clone(),
            ),
            roster_input: channels.roster.clone(),
            latest_roster: channels.latest.clone(),
            replica: channels.replica.clone(),
            replica_state: channels.replica_state.clone(),
            metrics: Arc::clone(&channels.metrics),
        }
    }

    fn choose(&self, requirements: &Requirements<'_>) -> Result<Rc<Target>, NoTarget> {
        let (mut warm, mut rng) = (self.warm.borrow_mut(), self.rng.borrow_mut());
        placement::choose(&self.targets.borrow(), requirements, &mut warm, &mut *rng)
    }

    /// Returns a random number from 0 to 1.
    fn random_share(&self) -> f64 {
        draw_share(&mut self.rng.borrow_mut())
    }

    /// Records that an engine prefills a prompt, and queues the record for the other hosts.
    fn record_sent(&self, target: &Target, chain: &PartChain, saved: bool) {
        let (now, weights) = (self.clock.now(), target.version());
        target.record_prompt(now, chain);
        if let Some(store) = self.targets.borrow().store_of(chain).filter(|_| saved) {
            store.record_saved(now, weights, chain);
        }
        let sent = SentPrompt { engine: target.key.as_u32(), weights, chain: chain.clone(), saved };
        self.unreported_prompts.borrow_mut().push(sent);
    }

    /// Creates a metric series for each organisation of a configuration.
    fn label_organisations(&self, table: &Table) {
        let ids: Vec<_> =
            table.organisations().filter_map(|organisation| metrics_id(organisation)).collect();
        self.metrics.label_organisations(&ids);
    }

    /// Returns the recorder of a caller's requests; callers without an organisation share one.
    fn recorder(&self, organisation: Option<&Organisation>) -> Recorder {
        match organisation.and_then(metrics_id) {
            Some(id) => self.metrics.recorder(&id),
            None => self.metrics.unknown_recorder(),
        }
    }

    /// Credits a service's retry budget for a request.
    fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Spends a retry at a service from this host's share of the fleet's budget, if one is left.
    fn try_retry(&self, service: &ServiceId) -> bool {
        self.with_budget(service, RetryBudget::try_spend)
    }

    /// Spends a retry to migrate a healthy stream, if the reserve for failed requests is left.
    fn try_migration_retry(&self, service: &ServiceId) -> bool {
        self.with_budget(service, |budget, now| {
            budget.try_spend_above_reserve(now, RETRY_RESERVE_SHARE)
        })
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        update: impl Fn(&mut RetryBudget, MonotonicTime) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let settings = self.budget_settings();
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(now, settings));
        budget.set_settings(settings);
        update(budget, now)
    }

    fn budget_settings(&self) -> BudgetSettings {
        let retries = &self.cfg.retries;
        let router_count = f64::from(self.router_count.get().max(1));
        // A starting host doesn't know yet how many hosts share the extra retries.
        let extra = match self.is_starting() {
            true => 0.0,
            false => f64::from(retries.extra) * HOST_RETRY_SHARE / router_count,
        };
        BudgetSettings {
            ratio: retries.ratio * HOST_RETRY_SHARE,
            min_rate: extra * IDLE_REFILL_SHARE / retries.window.as_secs_f64(),
            burst: extra.max(1.0),
        }
    }

    /// Returns whether the process is still in its startup period.
    fn is_starting(&self) -> bool {
        self.clock.now().saturating_since(self.started) < STARTUP_PERIOD
    }

    /// Returns the `Retry-After` for a caller that is rejected now; it covers the startup period.
    fn retry_after(&self) -> Duration {
        let uptime = self.clock.now().saturating_since(self.started);
        MIN_RETRY_AFTER.max(STARTUP_PERIOD.saturating_sub(uptime))
    }

    /// Returns whether this host may go by a configuration, as the leader confirmed it lately.
    fn may_use(&self, active: &ActiveConfiguration) -> bool {
        let leader = match self.leader.is_leader_named(MAX_SIGHTING_AGE) {
            true => LeaderSighting::Named,
            false => LeaderSighting::Unknown,
        };
        self.cfg.configuration_lease.is_valid(active.age(self.clock.now()), leader)
    }

    /// Returns whether the load balancer may send callers to this host.
    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let max_age = MAX_CONFIRMATION_AGE.min(self.cfg.key_lease());
        let is_confirmed = self
            .active_configuration()
            .is_some_and(|active| active.age(now) < max_age && self.may_use(&active));
        let has_recent_roster = now.saturating_since(self.roster_updated_at.get()) < MAX_ROSTER_AGE;
        is_confirmed
            && has_recent_roster
            && !self.is_draining.get()
            && !self.targets.borrow().is_empty()
    }
}

/// Returns a random number from 0 to 1.
fn draw_share(rng: &mut Pcg64Mcg) -> f64 {
    rng.random_range(0.0..1.0)
}

/// Returns an organisation's id in metrics, or `None` if its name isn't a valid id.
fn metrics_id(organisation: &Organisation) -> Option<OrganisationId> {
    organisation.name.parse().ok()
}

/// Returns the parameters of engine scores; each stream slows down the others on its engine.
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
/// Returns an error if the thread or its runtime can't be created.
pub(crate) fn spawn<D: Dialect>(
    cfg: GatewaySettings,
    dialect: D,
    identity: Identity,
    clock: Clock,
    listeners: GatewayListeners,
    channels: GatewayChannels,
) -> io::Result<JoinHandle<ServerExit>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("gateway".into()).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async move {
            let gateway = Rc::new(Gateway::new(cfg, dialect, identity, clock, &channels));
            tokio::task::spawn_local(follow_rosters(Rc::clone(&gateway), channels.rosters));
            tokio::task::spawn_local(follow::run(Rc::clone(&gateway)));
            tokio::task::spawn_local(explain::run(Rc::clone(&gateway), channels.admin_queries));
            if gateway.replica.is_some() {
                tokio::task::spawn_local(weights::run(Rc::clone(&gateway)));
            }
            listen::run(gateway, listeners, channels.control).await
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
            log::debug!(endpoint:%; "endpoint added to routing");
        }
        for endpoint in &changes.left {
            log::debug!(endpoint:%; "endpoint removed from routing");
        }
        for endpoint in &changes.left_with_slowness {
            gateway.metrics.set_endpoint_slowness(endpoint, Slowness::NOMINAL.factor());
        }
        gateway.roster_updated_at.set(roster.at);
        let others = roster.peers.iter().filter(|peer| !peer.update.votes).count();
        let router_count = u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
        gateway.router_count.set(router_count);
    }
}
