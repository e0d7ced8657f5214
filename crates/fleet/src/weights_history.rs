use std::time::Duration;

use base::{ModelId, MonotonicTime};
use serde::{Deserialize, Serialize};

/// Maximum number of versions stored; older ones are far beyond any allowed age.
const MAX_VERSIONS: usize = 16;

/// A version of a model's weights and the time since it became the desired one, as sent between
/// hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsAge {
    /// The model.
    pub model: ModelId,
    /// The version, from 1.
    pub version: u32,
    /// Lower bound of the time since it became the desired version.
    pub age: Duration,
}

/// The versions of a model's weights that were the desired ones, with their ages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsHistory {
    /// Sorted by version.
    versions: Vec<VersionAge>,
}

/// A version that was `age` old at `recorded_at`.
///
/// The age is stored apart because it may exceed that of the process and thus of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VersionAge {
    version: u32,
    recorded_at: MonotonicTime,
    age: Duration,
}

impl VersionAge {
    fn age_at(&self, now: MonotonicTime) -> Duration {
        self.age + now.saturating_since(self.recorded_at)
    }
}

impl WeightsHistory {
    /// Creates an empty history.
    pub const fn new() -> Self {
        Self { versions: Vec::new() }
    }

    /// Returns the newest version, 0 if there is none.
    pub fn version(&self) -> u32 {
        self.versions.last().map_or(0, |entry| entry.version)
    }

    /// Records that a version was `age` old at `now`; the highest recorded age counts.
    pub fn record(&mut self, now: MonotonicTime, version: u32, age: Duration) {
        let recorded = VersionAge { version, recorded_at: now, age };
        match self.versions.binary_search_by_key(&version, |entry| entry.version) {
            Ok(i) if self.versions[i].age_at(now) < age => self.versions[i] = recorded,
            Ok(_) => {}
            Err(i) => self.versions.insert(i, recorded),
        }
        let excess = self.versions.len().saturating_sub(MAX_VERSIONS);
        self.versions.drain(..excess);
    }

    /// Returns how long ago the first version newer than `version` became the desired one, or zero
    /// if there is none.
    pub fn outdated_for(&self, version: u32, now: MonotonicTime) -> Duration {
        let newer = self.versions.iter().filter(|entry| version < entry.version);
        newer.map(|entry| entry.age_at(now)).max().unwrap_or_default()
    }

    /// Returns the versions with their ages at `now`, oldest version first.
    pub fn ages<'a>(
        &'a self,
        model: &'a ModelId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = WeightsAge> + 'a {
        self.versions.iter().map(move |entry| WeightsAge {
            model: model.clone(),
            version: entry.version,
            age: entry.age_at(now),
        })
    }
}
