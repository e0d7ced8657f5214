use std::{collections::BTreeMap, time::Duration};

use base::MonotonicTime;

use crate::Suspect;

/// Time for which routers are asked about a suspect before it may be quarantined.
const HEARING_TIME: Duration = Duration::from_millis(600);

/// Largest number of parts that routers are asked about, and of requests.
const MAX_SUSPECTS: usize = 64;

/// The suspects that routers are asked about, and since when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hearings {
    since: BTreeMap<Suspect, MonotonicTime>,
}

impl Hearings {
    /// Asks about a suspect from `now` on if there is room.
    pub(crate) fn open(&mut self, now: MonotonicTime, suspect: Suspect) {
        if self.since.contains_key(&suspect) {
            return;
        }
        let is_alike = |other: &&Suspect| other.is_request() == suspect.is_request();
        if self.since.keys().filter(is_alike).count() < MAX_SUSPECTS {
            self.since.insert(suspect, now);
        }
    }

    /// Asks about the first of these suspects and no others.
    pub(crate) fn replace(
        &mut self,
        now: MonotonicTime,
        suspects: impl IntoIterator<Item = Suspect>,
    ) {
        let earlier = std::mem::take(&mut self.since);
        for suspect in suspects {
            let since = earlier.get(&suspect).copied();
            self.open(since.unwrap_or(now), suspect);
        }
    }

    /// Stops asking about a suspect.
    pub(crate) fn close(&mut self, suspect: Suspect) {
        self.since.remove(&suspect);
    }

    /// Returns when routers will have been asked about a suspect, since its first crash, for long
    /// enough; nothing if they aren't asked about it.
    pub(crate) fn end(
        &self,
        suspect: Suspect,
        first_crash: MonotonicTime,
    ) -> Option<MonotonicTime> {
        self.since.get(&suspect).map(|since| first_crash.max(*since) + HEARING_TIME)
    }

    /// Returns whether routers are asked about a suspect.
    pub(crate) fn is_open(&self, suspect: Suspect) -> bool {
        self.since.contains_key(&suspect)
    }

    /// Returns all suspects.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.since.keys().copied()
    }
}
