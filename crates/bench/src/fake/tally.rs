//! Counters shared by all fake engines of a site, and a check of their cache salts.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::EngineConfig;

/// Prefix of the prompt's line that names the organisation.
const ORGANISATION_LINE_PREFIX: &[u8] = b"organisation ";

/// Counters shared by all fake engines of a site.
#[derive(Debug, Default)]
pub struct Tally {
    /// Hashes of every block computed so far.
    pub computed: HashSet<u64>,
    /// The owner of each cache salt.
    pub salts: HashMap<String, String>,
    /// Requests whose salt was missing or belonged to another owner.
    pub wrong_salts: u64,
    /// Fetches whose blocks belong to another namespace than the request's.
    pub wrong_transfers: u64,
    /// Time from a request's arrival to its first token, by request id.
    pub first_tokens: HashMap<String, Duration>,
}

impl Tally {
    /// Counts a salt that is missing or that another owner uses.
    ///
    /// The owner is the organisation named in the prompt, with the model and weights version.
    pub(super) fn check_salt(&mut self, cfg: &EngineConfig, salt: &str, prompt: &[u8]) {
        let mut lines = prompt.split(|&byte| byte == b'\n');
        let organisation =
            lines.find(|line| line.starts_with(ORGANISATION_LINE_PREFIX)).unwrap_or_default();
        let owner =
            format!("{} {} {}", String::from_utf8_lossy(organisation), cfg.model, cfg.weights);
        let salt_owner = self.salts.entry(salt.to_owned()).or_insert_with(|| owner.clone());
        if salt.is_empty() || *salt_owner != owner {
            self.wrong_salts += 1;
        }
    }
}

/// Handle to a tally that engines and the load generator share.
#[derive(Clone, Debug, Default)]
pub struct SharedTally(Arc<Mutex<Tally>>);

impl SharedTally {
    /// Locks the tally.
    pub fn lock(&self) -> MutexGuard<'_, Tally> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
