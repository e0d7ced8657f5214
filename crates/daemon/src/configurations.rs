use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Revision;
use fleet::Declaration;

pub(crate) use wire::peer::Configuration;

/// The configuration in force; its revision only rises.
#[derive(Clone, Default)]
pub(crate) struct Configurations(Arc<Mutex<Held>>);

#[derive(Default)]
struct Held {
    in_force: Option<Arc<InForce>>,
    subscribers: Vec<flume::Sender<Arc<InForce>>>,
}

/// A configuration with its declaration read.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    /// As it came; none for the built-in one.
    pub configuration: Option<Configuration>,
    /// What it declares.
    pub declaration: Declaration,
}

impl InForce {
    /// Returns the revision.
    pub(crate) fn revision(&self) -> Revision {
        self.configuration.as_ref().map_or(Revision::ZERO, |held| held.revision)
    }
}

impl Configurations {
    /// Takes a configuration, unless one as new is in force; returns whether it was taken.
    pub(crate) fn offer(&self, configuration: Configuration) -> bool {
        if configuration.revision <= self.revision() {
            return false;
        }
        let declaration = match Declaration::from_toml(&configuration.declaration) {
            Ok(declaration) => declaration,
            Err(e) => {
                log::error!("revision={} can't be read: {e}", configuration.revision);
                return false;
            }
        };
        let mut held = self.lock();
        if configuration.revision <= held.revision() {
            return false;
        }
        log::info!("revision={} in force", configuration.revision);
        let in_force = Arc::new(InForce { configuration: Some(configuration), declaration });
        held.subscribers.retain(|tx| tx.send(Arc::clone(&in_force)).is_ok());
        held.in_force = Some(in_force);
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

    /// Returns a ring that gets each configuration from now on, first the one in force.
    pub(crate) fn subscribe(&self) -> flume::Receiver<Arc<InForce>> {
        let (tx, rx) = flume::unbounded();
        let mut held = self.lock();
        if let Some(in_force) = &held.in_force {
            let _ = tx.send(Arc::clone(in_force));
        }
        held.subscribers.push(tx);
        rx
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(Revision::ZERO, |held| held.revision())
    }
}
