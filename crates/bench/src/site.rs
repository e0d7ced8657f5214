//! A site on one machine: daemons, fake endpoints, and proxies before daemons and endpoints.

use std::{net::SocketAddr, path::Path, time::Duration};

use base::{Digest, EndpointId, Incarnation, ModelId, OrganisationId, ServiceId, WeightsVersion};
use tempfile::TempDir;
use wire::{
    kv_transfer::KV_STORE_SERVICE,
    operator::{ENDPOINTS_PATH, EndpointState, Endpoints},
};

use crate::{
    Fault, Proxy,
    fake::{
        AnnouncedEndpoint, Announcer, Engine, EngineConfig, EngineCounts, KvStore, Service,
        ServiceCounts, SharedTally,
    },
    process::{Daemon, DaemonSpec, Program, wait_until},
};

/// Fleet key in tests and demonstrations.
pub const FLEET_KEY: &str = "fleet-key-for-tests-only";

/// Operator key in tests and demonstrations.
pub const OPERATOR_KEY: &str = "operator-key-for-tests-only";

/// Time limit for a site to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Most seed peers of a daemon.
const MAX_SEED_PEERS: usize = 3;

/// Time that a fake service takes to handle a call.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Capacity of the KV store, in blocks.
const KV_STORE_BLOCKS: usize = 200_000;

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// Data centre of each daemon.
    pub daemons: Vec<&'static str>,
    /// Number of voters; the first daemons are the voters.
    pub voters: usize,
    /// Data centre of each engine.
    pub engines: Vec<&'static str>,
    /// Data centre of each endpoint of the plain service.
    pub services: Vec<&'static str>,
    /// Data centre of the KV store, if there is one.
    pub kv_store: Option<&'static str>,
    /// The model that the engines serve.
    pub model: ModelId,
    /// The plain service.
    pub service: ServiceId,
    /// The calling organisations.
    pub organisations: Vec<OrganisationId>,
    /// Settings of every daemon, as flags and values.
    pub flags: Vec<(&'static str, String)>,
    /// Adjusts the settings of every engine.
    pub tune: fn(&mut EngineConfig),
    /// Seed of the proxies' packet loss.
    pub seed: u64,
}

/// A running site.
pub struct Site {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The proxy before the peer address of each daemon.
    pub peer_proxies: Vec<Proxy>,
    /// Temporary folder that contains the voters' data folders.
    pub data: TempDir,
    /// The engines.
    pub engines: Vec<EngineNode>,
    /// The endpoints of the plain service.
    pub services: Vec<ServiceNode>,
    /// The KV store.
    pub kv_store: Option<KvStoreNode>,
    /// Counts of all engines.
    pub tally: SharedTally,
    /// Number of runs of each order.
    pub orders: ServiceCounts,
    /// The site's configuration.
    pub spec: SiteSpec,
}

/// An engine, behind a proxy.
pub struct EngineNode {
    /// The engine.
    pub engine: Engine,
    /// The proxy before it.
    pub proxy: Proxy,
    /// Announces it to the routers.
    pub announcer: Announcer,
}

/// An endpoint of a plain service, behind a proxy.
pub struct ServiceNode {
    /// The service.
    pub service: Service,
    /// The proxy before it.
    pub proxy: Proxy,
    /// Announces it to the routers.
    pub announcer: Announcer,
}

/// A KV store, behind a proxy.
pub struct KvStoreNode {
    /// The KV store.
    pub store: KvStore,
    /// The proxy before it.
    pub proxy: Proxy,
    /// Announces it to the routers.
    pub announcer: Announcer,
}

/// Returns the API key of an organisation.
pub fn organisation_key(organisation: &OrganisationId) -> String {
    format!("key-of-{organisation}")
}

impl SiteSpec {
    /// Returns a small site of three data centres.
    pub fn small() -> Self {
        let id = |text: &str| text.parse().expect("a valid id");
        Self {
            daemons: vec!["a", "b", "c"],
            voters: 3,
            engines: vec!["a", "b", "c"],
            services: vec!["a", "b"],
            kv_store: None,
            model: model_id("diary-8b"),
            service: "orders".parse().expect("a valid id"),
            organisations: (1..=8).map(|n| id(&format!("school-{n}"))).collect(),
            flags: Vec::new(),
            tune: |_| {},
            seed: 1,
        }
    }
}

impl SiteSpec {
    /// Returns a site of one daemon and four engines, to measure the daemon's own cost.
    pub fn one_daemon(tune: fn(&mut EngineConfig)) -> Self {
        Self {
            daemons: vec!["a"],
            voters: 1,
            engines: vec!["a"; 4],
            services: Vec::new(),
            tune,
            ..Self::small()
        }
    }
}

fn model_id(text: &str) -> ModelId {
    text.parse().expect("a valid id")
}

impl Site {
    /// Starts a site and waits until every daemon reports every endpoint as ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or the site isn't ready in time.
    pub fn start(program: &Program, spec: SiteSpec) -> eyre::Result<Self> {
        let data = tempfile::tempdir()?;
        let specs: Vec<_> = spec
            .daemons
            .iter()
            .enumerate()
            .map(|(i, data_centre)| DaemonSpec::new(&host_id(i), data_centre))
            .collect();
        let peer_proxies: Vec<_> = specs
            .iter()
            .enumerate()
            .map(|(i, daemon)| Proxy::start(daemon.peer_listen, spec.seed.wrapping_add(i as u64)))
            .collect();
        let mut daemons = Vec::new();
        for (i, daemon) in specs.into_iter().enumerate() {
            let daemon = with_peers(daemon, i, &peer_proxies, &spec, data.path());
            daemons.push(Daemon::start(program, with_flags(daemon, &spec))?);
        }
        for daemon in &mut daemons {
            daemon.wait_ready(START_TIMEOUT)?;
        }
        let mut site = Self {
            daemons,
            peer_proxies,
            data,
            engines: Vec::new(),
            services: Vec::new(),
            kv_store: None,
            tally: SharedTally::default(),
            orders: ServiceCounts::default(),
            spec,
        };
        site.start_endpoints();
        site.wait_endpoints()?;
        Ok(site)
    }

    /// Returns the addresses at which callers connect.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.spec().listen).collect()
    }

    /// Waits until every daemon reports every endpoint as ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the count isn't reached in time.
    pub fn wait_endpoints(&self) -> eyre::Result<()> {
        let expected =
            self.engines.len() + self.services.len() + usize::from(self.kv_store.is_some());
        self.daemons.iter().try_for_each(|daemon| self.wait_endpoint_count(daemon, expected))
    }

    /// Waits until a daemon reports `expected` ready endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if the count isn't reached in time.
    pub fn wait_endpoint_count(&self, daemon: &Daemon, expected: usize) -> eyre::Result<()> {
        let what = format!("{} reports {expected} ready endpoints", daemon.spec().host);
        wait_until(&what, START_TIMEOUT, || self.ready_endpoint_count(daemon) == Some(expected))
    }

    /// Returns how many ready endpoints a daemon reports, or `None` if it doesn't respond.
    pub fn ready_endpoint_count(&self, daemon: &Daemon) -> Option<usize> {
        count_ready_endpoints(daemon.spec().admin_listen)
    }

    fn start_endpoints(&mut self) {
        self.kv_store = self.spec.kv_store.map(|data_centre| self.start_kv_store(data_centre));
        for (i, data_centre) in self.spec.engines.clone().into_iter().enumerate() {
            let node = self.start_engine(i, data_centre);
            self.engines.push(node);
        }
        for (i, data_centre) in self.spec.services.clone().into_iter().enumerate() {
            let node = self.start_service(i, data_centre);
            self.services.push(node);
        }
    }

    /// Kills an engine and starts it again, with an empty cache and a new incarnation.
    ///
    /// Cuts its streams and returns the counts of the killed engine.
    pub fn restart_engine(&mut self, i: usize, incarnation: Incarnation) -> EngineCounts {
        let engine = self.new_engine(i, incarnation);
        let node = &mut self.engines[i];
        let counts = node.engine.counts();
        node.proxy.set(Fault { refuse: true, ..Fault::default() });
        let proxy = Proxy::start(engine.address(), self.spec.seed.wrapping_add(i as u64) << 32);
        let id = engine_id(i);
        let announced = AnnouncedEndpoint {
            incarnation,
            ..announced_endpoint(id, self.spec.engines[i], &proxy)
        };
        let routers = self.daemons.iter().map(|daemon| daemon.spec().listen).collect();
        let announcer = Announcer::engine(announced, engine.describer(), routers, FLEET_KEY);
        *node = EngineNode { engine, proxy, announcer };
        counts
    }

    fn new_engine(&self, i: usize, incarnation: Incarnation) -> Engine {
        let weights: WeightsVersion = "v1".parse().expect("a valid id");
        let mut cfg = EngineConfig::new(engine_id(i), self.spec.model.clone(), weights);
        cfg.incarnation = incarnation;
        cfg.kv_store = self.kv_store.as_ref().map(|node| node.proxy.address());
        (self.spec.tune)(&mut cfg);
        Engine::start(cfg, self.tally.clone())
    }

    fn start_engine(&self, i: usize, data_centre: &str) -> EngineNode {
        let id = engine_id(i);
        let engine = self.new_engine(i, Incarnation::new(1));
        let proxy = Proxy::start(engine.address(), self.spec.seed.wrapping_add(i as u64) << 32);
        let announced = announced_endpoint(id, data_centre, &proxy);
        let announcer = Announcer::engine(announced, engine.describer(), self.routers(), FLEET_KEY);
        EngineNode { engine, proxy, announcer }
    }

    fn start_kv_store(&self, data_centre: &str) -> KvStoreNode {
        let id: EndpointId = format!("{KV_STORE_SERVICE}-1").parse().expect("a valid id");
        let store = KvStore::start(KV_STORE_BLOCKS);
        let proxy = Proxy::start(store.address(), self.spec.seed);
        let announced = announced_endpoint(id, data_centre, &proxy);
        let service = KV_STORE_SERVICE.parse().expect("a valid id");
        let announcer = Announcer::service(announced, service, self.routers(), FLEET_KEY);
        KvStoreNode { store, proxy, announcer }
    }

    fn start_service(&self, i: usize, data_centre: &str) -> ServiceNode {
        let id = format!("{}-{}", self.spec.service, i + 1).parse().expect("a valid id");
        let service = Service::start(SERVICE_TIME, self.orders.clone());
        let proxy = Proxy::start(service.address(), self.spec.seed);
        let announced = announced_endpoint(id, data_centre, &proxy);
        let routers = self.routers();
        let announcer =
            Announcer::service(announced, self.spec.service.clone(), routers, FLEET_KEY);
        ServiceNode { service, proxy, announcer }
    }
}

fn engine_id(i: usize) -> EndpointId {
    format!("engine-{}", i + 1).parse().expect("a valid id")
}

fn announced_endpoint(id: EndpointId, data_centre: &str, proxy: &Proxy) -> AnnouncedEndpoint {
    AnnouncedEndpoint {
        id,
        incarnation: Incarnation::new(1),
        data_centre: data_centre.parse().expect("a valid id"),
        address: proxy.address(),
    }
}

fn host_id(i: usize) -> String {
    format!("host-{}", i + 1)
}

/// Adds the seed peers of the daemon at index `i` and, if it is a voter, its quorum settings.
fn with_peers(
    mut daemon: DaemonSpec,
    i: usize,
    peer_proxies: &[Proxy],
    spec: &SiteSpec,
    data: &Path,
) -> DaemonSpec {
    daemon = daemon.flag("--peer-advertise", peer_proxies[i].address());
    let seeds = peer_proxies.iter().enumerate().filter(|(seed, _)| *seed != i).take(MAX_SEED_PEERS);
    for (_, proxy) in seeds {
        daemon = daemon.flag("--seed", proxy.address());
    }
    if spec.voters <= i {
        return daemon;
    }
    daemon = daemon.flag("--data-dir", data.join(host_id(i)).display()).switch("--voter");
    (0..spec.voters).fold(daemon, |daemon, founder| daemon.flag("--founder", host_id(founder)))
}

fn with_flags(mut daemon: DaemonSpec, spec: &SiteSpec) -> DaemonSpec {
    let operator = Digest::of(OPERATOR_KEY.as_bytes());
    daemon = daemon.flag("--fleet-key", FLEET_KEY).flag("--operator-key", operator);
    for organisation in &spec.organisations {
        let digest = Digest::of(organisation_key(organisation).as_bytes());
        daemon = daemon.flag("--organisation-key", format!("{organisation}={digest}"));
    }
    for (name, value) in &spec.flags {
        daemon = daemon.flag(name, value);
    }
    daemon
}

fn count_ready_endpoints(admin: SocketAddr) -> Option<usize> {
    let url = format!("http://{admin}{ENDPOINTS_PATH}");
    let request = attohttpc::get(url).bearer_auth(OPERATOR_KEY).timeout(Duration::from_millis(500));
    let page: Endpoints = serde_json::from_str(&request.send().ok()?.text().ok()?).ok()?;
    Some(page.endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Ready).count())
}
