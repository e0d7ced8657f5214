use std::time::Duration;

use base::{ModelId, MonotonicTime};
use serde::{Deserialize, Serialize};

/// Versions that are remembered; older ones have long been out of bounds.
const MAX_NAMED: usize = 16;

/// A version of a model's weights with the time since it was named, as one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsAge {
    /// The model.
    pub model: ModelId,
    /// The version, from 1.
    pub version: u32,
    /// Time since it was named, at least.
    pub age: Duration,
}

/// The versions of a model's weights that were named, and how long ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsHistory {
    /// By version.
    named: Vec<NamedVersion>,
}

/// A version that was `age` old at `noted`; it may be older than the process and so its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NamedVersion {
    version: u32,
    noted: MonotonicTime,
    age: Duration,
}

impl NamedVersion {
    fn age_at(&self, now: MonotonicTime) -> Duration {
        self.age + now.saturating_since(self.noted)
    }
}

impl WeightsHistory {
    /// Creates a history without versions.
    pub const fn new() -> Self {
        Self { named: Vec::new() }
    }

    /// Returns the newest version, 0 if none was named.
    pub fn version(&self) -> u32 {
        self.named.last().map_or(0, |named| named.version)
    }

    /// Notes that a version had been named for `age` at `now`; the highest age that is told counts.
    pub fn record(&mut self, now: MonotonicTime, version: u32, age: Duration) {
        let told = NamedVersion { version, noted: now, age };
        match self.named.binary_search_by_key(&version, |named| named.version) {
            Ok(i) if self.named[i].age_at(now) < age => self.named[i] = told,
            Ok(_) => {}
            Err(i) => self.named.insert(i, told),
        }
        let excess = self.named.len().saturating_sub(MAX_NAMED);
        self.named.drain(..excess);
    }

    /// Returns for how long `version` has not been the newest.
    pub fn outdated_for(&self, version: u32, now: MonotonicTime) -> Duration {
        let newer = self.named.iter().filter(|named| version < named.version);
        newer.map(|named| named.age_at(now)).max().unwrap_or_default()
    }

    /// Returns the versions with their ages at `now`, the oldest version first.
    pub fn ages<'a>(
        &'a self,
        model: &'a ModelId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = WeightsAge> + 'a {
        self.named.iter().map(move |named| WeightsAge {
            model: model.clone(),
            version: named.version,
            age: named.age_at(now),
        })
    }
}
