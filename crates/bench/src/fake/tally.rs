//! What all fake engines of a site count together, and whose salts they see.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::EngineConfig;

/// Start of the prompt's line that names the organisation.
const ORGANISATION_LINE: &[u8] = b"organisation ";

/// What all fake engines of a site count together.
#[derive(Debug, Default)]
pub struct Tally {
    /// Every block computed so far.
    pub computed: HashSet<u64>,
    /// The owner of each cache salt.
    pub salts: HashMap<String, String>,
    /// Requests whose salt was missing or belonged to another owner.
    pub wrong_salts: u64,
    /// Fetched blocks whose name was not that of the request.
    pub wrong_transfers: u64,
    /// Time from a request's arrival to its first token, by request id.
    pub first_tokens: HashMap<String, Duration>,
}

impl Tally {
    /// Counts a salt that is missing, or that another owner uses.
    ///
    /// The owner is the organisation that the prompt names, with the weights version.
    pub(super) fn check_salt(&mut self, cfg: &EngineConfig, salt: &str, prompt: &[u8]) {
        let mut lines = prompt.split(|&byte| byte == b'\n');
        let named = lines.find(|line| line.starts_with(ORGANISATION_LINE)).unwrap_or_default();
        let owner = format!("{} {} {}", String::from_utf8_lossy(named), cfg.model, cfg.weights);
        let known = self.salts.entry(salt.to_owned()).or_insert_with(|| owner.clone());
        if salt.is_empty() || *known != owner {
            self.wrong_salts += 1;
        }
    }
}

/// A tally that engines and the load generator share.
#[derive(Clone, Debug, Default)]
pub struct SharedTally(Arc<Mutex<Tally>>);

impl SharedTally {
    /// Locks the tally.
    pub fn lock(&self) -> MutexGuard<'_, Tally> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
