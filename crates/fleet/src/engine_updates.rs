//! Distribution of the leader's [`EngineUpdate`]s to the routers.
//!
//! The engines that are paused are sent with each response, a loaded version once to each router.

use std::collections::BTreeMap;

use base::{EndpointId, Incarnation};

use crate::EngineUpdate;

/// The leader's updates, each with the change of the published state that it came with.
#[derive(Clone, Debug, Default)]
pub struct EngineUpdateLog {
    by_engine: BTreeMap<EndpointId, LoggedUpdate>,
}

#[derive(Clone, Debug)]
struct LoggedUpdate {
    update: EngineUpdate,
    /// The change of the published state in which it last differed.
    changed_at: u64,
}

impl EngineUpdateLog {
    /// Replaces the updates; those that differ are part of `change`.
    ///
    /// Returns whether any differs.
    pub fn set(&mut self, change: u64, updates: Vec<EngineUpdate>) -> bool {
        let previous = std::mem::take(&mut self.by_engine);
        let mut has_changed = previous.len() != updates.len();
        for update in updates {
            let changed_at = match previous.get(&update.endpoint) {
                Some(known) if known.update == update => known.changed_at,
                _ => {
                    has_changed = true;
                    change
                }
            };
            self.by_engine.insert(update.endpoint.clone(), LoggedUpdate { update, changed_at });
        }
        has_changed
    }

    /// Removes all updates.
    pub fn clear(&mut self) {
        self.by_engine.clear();
    }

    /// Returns the updates for a router that has seen the changes up to `seen`, if any.
    pub fn since(&self, seen: Option<u64>) -> Vec<EngineUpdate> {
        let is_due = |logged: &&LoggedUpdate| {
            logged.update.paused || seen.is_none_or(|seen| seen < logged.changed_at)
        };
        self.by_engine.values().filter(is_due).map(|logged| logged.update.clone()).collect()
    }
}

/// What a router has received of the leader's updates.
#[derive(Clone, Debug, Default)]
pub struct ReceivedEngineUpdates {
    by_engine: BTreeMap<EndpointId, EngineUpdate>,
}

impl ReceivedEngineUpdates {
    /// Applies the updates of a response: engines that it doesn't name are no longer paused, and
    /// keep their versions.
    pub fn apply(&mut self, updates: &[EngineUpdate]) {
        for known in self.by_engine.values_mut() {
            known.paused = false;
        }
        for update in updates {
            let known =
                self.by_engine.entry(update.endpoint.clone()).or_insert_with(|| update.clone());
            let version = match known.incarnation == update.incarnation {
                true => known.version.max(update.version),
                false => update.version,
            };
            *known = EngineUpdate { version, ..update.clone() };
        }
    }

    /// Returns the update on an engine's incarnation.
    pub fn find(&self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<&EngineUpdate> {
        self.by_engine.get(endpoint).filter(|update| update.incarnation == incarnation)
    }

    /// Forgets an engine that is gone.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.by_engine.remove(endpoint);
    }
}
