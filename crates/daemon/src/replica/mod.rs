//! The thread that holds this host's part in the quorum and the replicated state.

mod driver;
mod followers;
mod reads;
mod voters;
mod waiting;
mod writer;

use std::{
    io,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{HostId, MonotonicTime};
use eyre::WrapErr as _;
use fleet::{EngineNews, WeightsAge};
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
};

use driver::{Driver, DriverEnd};

/// Folder of the log and the snapshots, under the data folder.
const LOG_FOLDER: &str = "quorum";

/// Time between tries to open a data folder that failed.
const REOPEN_PERIOD: Duration = Duration::from_millis(300);

/// What other threads tell the replica thread.
pub(crate) enum ReplicaInput {
    /// A message of the quorum.
    Quorum(QuorumCall),
    /// A request to the leader.
    Submit(SubmitCall),
    /// Hosts that may become voters, and so follow the log.
    Learners(Vec<HostId>),
    /// What the rollout of weights knows of engines beyond their announcements.
    EngineNews(Vec<EngineNews>),
    /// How long ago weights had been named at a time, as the leader tells.
    WeightAges {
        /// The time.
        at: MonotonicTime,
        /// The ages.
        ages: Vec<WeightsAge>,
    },
    /// The process is about to end; a leader hands over, and tells when it leads no more.
    HandOver(flume::Sender<()>),
}

/// What the thread needs.
#[derive(Clone)]
pub(crate) struct ReplicaConfig {
    /// This host.
    pub host: HostId,
    /// The hosts that found the log, the same list on each.
    pub founders: Vec<HostId>,
    /// The data folder.
    pub data_dir: PathBuf,
    /// How the replica mends itself; without it, operators change voters and restart hosts.
    pub healing: Option<HealingSettings>,
}

/// What joins the thread to the others.
#[derive(Clone)]
pub(crate) struct ReplicaRings {
    /// What others tell it.
    pub inputs: flume::Receiver<ReplicaInput>,
    /// Messages to other routers.
    pub outbox: flume::Sender<Envelope>,
    /// Where other routers listen.
    pub directory: Directory,
    /// Takes each configuration that is committed.
    pub configurations: Configurations,
    /// Shows the thread's state.
    pub state: ReplicaState,
}

/// The thread's state, as operators see it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaState(Arc<Mutex<Option<ReplicaView>>>);

/// A view of the thread's state.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaView {
    /// The node's state.
    pub node: quorum::Status,
    /// The folder that this host votes from.
    pub folder: quorum::FolderId,
    /// The latest changes of configuration, the oldest first.
    pub history: Vec<fleet::ChangeRecord>,
    /// Calls that are open or whose outcome is unknown.
    pub unsettled: usize,
    /// Until when no other host can lead, if this one leads.
    pub lease_until: Option<MonotonicTime>,
    /// What all routers have sent to endpoints, as far as they told this host.
    pub loads: Vec<SentLoad>,
    /// Why the thread acknowledges nothing any more, if so.
    pub failure: Option<String>,
}

impl ReplicaState {
    pub(crate) fn load(&self) -> Option<ReplicaView> {
        self.lock().clone()
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
/// Returns an error if the folder is damaged or in use, or the thread can't be made.
pub(crate) fn spawn(cfg: ReplicaConfig, clock: Clock, rings: ReplicaRings) -> eyre::Result<()> {
    let driver = open(&cfg, clock, &rings)?;
    spawn_thread(cfg, clock, rings, driver).wrap_err("could not start the replica thread")
}

fn open(cfg: &ReplicaConfig, clock: Clock, rings: &ReplicaRings) -> eyre::Result<Driver> {
    let folder = cfg.data_dir.join(LOG_FOLDER);
    let fresh = quorum::FolderId::new(rand::random());
    let (log, restored) =
        Log::open(&folder, RealDisk, fresh).wrap_err("the data folder can't be used")?;
    let rng = Pcg64Mcg::seed_from_u64(rand::random());
    Driver::new(cfg.clone(), clock, rng, log, restored, rings.clone())
}

fn spawn_thread(
    cfg: ReplicaConfig,
    clock: Clock,
    rings: ReplicaRings,
    mut driver: Driver,
) -> io::Result<()> {
    std::thread::Builder::new().name("replica".into()).spawn(move || {
        while driver.run() == DriverEnd::Failed {
            drop(driver);
            driver = reopen(&cfg, clock, &rings);
            log::info!("the data folder can be written again");
        }
    })?;
    Ok(())
}

/// Opens the data folder again until that succeeds; what arrived meanwhile is dropped.
fn reopen(cfg: &ReplicaConfig, clock: Clock, rings: &ReplicaRings) -> Driver {
    loop {
        std::thread::sleep(REOPEN_PERIOD);
        match open(cfg, clock, rings) {
            Ok(driver) => {
                rings.inputs.drain();
                return driver;
            }
            Err(e) => log::warn!(error:% = format!("{e:#}"); "the data folder still fails"),
        }
    }
}
