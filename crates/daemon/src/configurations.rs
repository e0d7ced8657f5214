use std::{
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::Revision;
use fleet::Declaration;
use store::{Document, RealDisk};

pub(crate) use wire::peer::Configuration;

/// Name of the folder of the newest configuration in force, in the data folder.
const FOLDER_NAME: &str = "configuration";

/// The configuration in force; its revision only increases.
///
/// On a host with a data folder a configuration is written to disk before it is in force, so that a
/// restart doesn't return to an older one.
#[derive(Clone, Default)]
pub(crate) struct Configurations {
    state: Arc<Mutex<ConfigurationState>>,
    /// Locked before `state`, so that readers don't wait for the disk.
    stored: Arc<Mutex<Option<Document<RealDisk>>>>,
}

#[derive(Default)]
struct ConfigurationState {
    in_force: Option<Arc<InForce>>,
    subscribers: Vec<flume::Sender<Arc<InForce>>>,
}

/// A configuration with its parsed declaration.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    /// The configuration as received; `None` for the built-in one.
    pub configuration: Option<Configuration>,
    /// The parsed declaration.
    pub declaration: Declaration,
}

impl InForce {
    /// Returns the revision.
    pub(crate) fn revision(&self) -> Revision {
        self.configuration.as_ref().map_or(Revision::ZERO, |active| active.revision)
    }
}

impl Configurations {
    /// Applies the configuration stored in `data_dir`, and stores later ones there.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used or its content can't be decoded.
    pub(crate) fn open(data_dir: &Path) -> eyre::Result<Self> {
        let (document, content) = Document::open(&data_dir.join(FOLDER_NAME), RealDisk)?;
        let configurations = Self::default();
        if let Some(content) = content {
            configurations.apply_if_newer(Configuration::from_bytes(&content)?);
        }
        *configurations.lock_stored() = Some(document);
        Ok(configurations)
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it was.
    pub(crate) fn apply_if_newer(&self, configuration: Configuration) -> bool {
        if configuration.revision <= self.revision() {
            return false;
        }
        let declaration = match Declaration::from_toml(&configuration.declaration) {
            Ok(declaration) => declaration,
            Err(e) => {
                log::error!(
                    "configuration not parsed: revision={} error={e}",
                    configuration.revision
                );
                return false;
            }
        };
        let stored = self.lock_stored();
        if configuration.revision <= self.revision() {
            return false;
        }
        if let Some(Err(e)) = stored.as_ref().map(|stored| stored.write(&configuration.to_bytes()))
        {
            log::error!("configuration not stored: revision={} error={e}", configuration.revision);
        }
        let mut state = self.lock();
        log::info!("configuration in force: revision={}", configuration.revision);
        let in_force = Arc::new(InForce { configuration: Some(configuration), declaration });
        state.subscribers.retain(|tx| tx.send(Arc::clone(&in_force)).is_ok());
        state.in_force = Some(in_force);
        true
    }

    /// Returns the revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.lock().revision()
    }

    /// Returns the configuration in force.
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.lock().in_force.clone()
    }

    /// Returns a channel of all later configurations, first the one in force.
    pub(crate) fn subscribe(&self) -> flume::Receiver<Arc<InForce>> {
        let (tx, rx) = flume::unbounded();
        let mut state = self.lock();
        if let Some(in_force) = &state.in_force {
            let _ = tx.send(Arc::clone(in_force));
        }
        state.subscribers.push(tx);
        rx
    }

    fn lock(&self) -> MutexGuard<'_, ConfigurationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_stored(&self) -> MutexGuard<'_, Option<Document<RealDisk>>> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConfigurationState {
    fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(Revision::ZERO, |active| active.revision())
    }
}
