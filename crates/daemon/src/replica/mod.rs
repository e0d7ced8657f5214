//! The thread that runs this host's quorum node and the replicated state.

mod driver;
mod followers;
mod founders;
mod pending;
mod quotas;
mod reads;
mod voters;
mod writer;

use std::{
    collections::BTreeSet,
    io,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{HostId, MonotonicTime};
use eyre::WrapErr as _;
use fleet::{Departures, EngineUpdate, WeightsAge};
use quorum::HealingSettings;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::SentLoad;
use store::{Log, RealDisk};

use crate::{
    clock::Clock,
    configurations::Configurations,
    directory::Directory,
    peers::{Envelope, QuorumCall, SubmitCall},
    roster::RosterInput,
};

use driver::{Driver, DriverEnd};

pub(crate) use quotas::QuotaList;

/// Subfolder of the data folder for the log and the snapshots.
const LOG_FOLDER_NAME: &str = "quorum";

/// Time between attempts to reopen a data folder that failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(300);

/// Inputs of the replica thread.
pub(crate) enum ReplicaInput {
    /// A message of the quorum.
    Quorum(QuorumCall),
    /// A request to the leader.
    Submit(SubmitCall),
    /// Hosts that may become voters, and so receive the log.
    Learners(Vec<HostId>),
    /// Engines' states as recorded by the weights rollout, beyond their announcements.
    EngineUpdate(Vec<EngineUpdate>),
    /// Ages of desired weights at a time, as the leader published them.
    WeightAges {
        /// The time.
        at: MonotonicTime,
        /// The ages.
        ages: Vec<WeightsAge>,
    },
    /// The quotas of the configuration in force.
    Quotas(QuotaList, quota::Bounds),
    /// Requests a leadership transfer before shutdown; the sender is dropped once this host no
    /// longer leads.
    TransferLeadership(flume::Sender<()>),
}

/// Configuration of the replica thread.
#[derive(Clone)]
pub(crate) struct ReplicaConfig {
    /// This host.
    pub host: HostId,
    /// The founders of the log, the same list on each.
    pub founders: Vec<HostId>,
    /// The data folder.
    pub data_dir: PathBuf,
    /// Self-healing settings; without them, operators change voters and restart hosts.
    pub healing: Option<HealingSettings>,
}

/// Channels and shared state that connect the replica thread to the others.
#[derive(Clone)]
pub(crate) struct ReplicaChannels {
    /// Inputs from other threads.
    pub inputs: flume::Receiver<ReplicaInput>,
    /// Messages to other routers.
    pub outbox: flume::Sender<Envelope>,
    /// Addresses of other routers.
    pub directory: Directory,
    /// Receives each committed configuration.
    pub configurations: Configurations,
    /// Receives each committed departure of an endpoint.
    pub roster: flume::Sender<RosterInput>,
    /// Publishes the thread's state.
    pub state: ReplicaState,
}

/// The thread's latest published state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaState(Arc<Mutex<Option<ReplicaView>>>);

/// A snapshot of the thread's state.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaView {
    /// The node's state.
    pub node: quorum::Status,
    /// The id of the data folder that this host votes with.
    pub folder: quorum::FolderId,
    /// The voters that take no part, if this host leads.
    pub absent_voters: Arc<BTreeSet<HostId>>,
    /// The latest changes of the configuration, oldest first.
    pub history: Vec<fleet::ChangeRecord>,
    /// Calls that are open or whose outcome is unknown.
    pub unsettled: usize,
    /// Until when no other host can lead, if this one leads.
    pub lease_until: Option<MonotonicTime>,
    /// Load on endpoints, as routers reported it to this host.
    pub loads: Vec<SentLoad>,
    /// The endpoints that are committed to leave.
    pub departures: Arc<Departures>,
    /// The error after which the thread no longer acknowledges requests, if one occurred.
    pub failure: Option<String>,
}

impl ReplicaState {
    pub(crate) fn load(&self) -> Option<ReplicaView> {
        self.lock().clone()
    }

    /// Returns the endpoints that are committed to leave, as far as this host has applied the log.
    pub(crate) fn departures(&self) -> Arc<Departures> {
        self.lock().as_ref().map(|view| Arc::clone(&view.departures)).unwrap_or_default()
    }

    fn store(&self, view: ReplicaView) {
        *self.lock() = Some(view);
    }

    fn lock(&self) -> MutexGuard<'_, Option<ReplicaView>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens the data folder and starts the thread.
///
/// # Errors
///
/// Returns an error if the folder is damaged or in use, or the thread can't be created.
pub(crate) fn spawn(
    cfg: ReplicaConfig,
    clock: Clock,
    channels: ReplicaChannels,
) -> eyre::Result<()> {
    let driver = open(&cfg, clock, &channels)?;
    spawn_thread(cfg, clock, channels, driver).wrap_err("could not start the replica thread")
}

fn open(cfg: &ReplicaConfig, clock: Clock, channels: &ReplicaChannels) -> eyre::Result<Driver> {
    let cfg = ReplicaConfig { founders: founders::founders(cfg)?, ..cfg.clone() };
    let folder = cfg.data_dir.join(LOG_FOLDER_NAME);
    let new_folder = quorum::FolderId::new(rand::random());
    let (log, restored) =
        Log::open(&folder, RealDisk, new_folder).wrap_err("can't open the data folder")?;
    let rng = Pcg64Mcg::seed_from_u64(rand::random());
    Driver::new(cfg, clock, rng, log, restored, channels.clone())
}

fn spawn_thread(
    cfg: ReplicaConfig,
    clock: Clock,
    channels: ReplicaChannels,
    mut driver: Driver,
) -> io::Result<()> {
    std::thread::Builder::new().name("replica".into()).spawn(move || {
        while driver.run() == DriverEnd::Failed {
            drop(driver);
            driver = reopen(&cfg, clock, &channels);
            log::info!("data folder recovered");
        }
    })?;
    Ok(())
}

/// Retries to open the data folder until that succeeds; inputs that arrived meanwhile are dropped.
fn reopen(cfg: &ReplicaConfig, clock: Clock, channels: &ReplicaChannels) -> Driver {
    loop {
        std::thread::sleep(REOPEN_INTERVAL);
        match open(cfg, clock, channels) {
            Ok(driver) => {
                channels.inputs.drain();
                return driver;
            }
            Err(e) => log::warn!(error:% = format!("{e:#}"); "data folder reopen failed"),
        }
    }
}
