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

    /// Returns whether routers have been asked about a suspect, since its first crash, for long
    /// enough.
    pub(crate) fn is_over(
        &self,
        now: MonotonicTime,
        suspect: Suspect,
        first_crash: MonotonicTime,
    ) -> bool {
        let since = self.since.get(&suspect);
        since.is_some_and(|since| HEARING_TIME <= now.saturating_since(first_crash.max(*since)))
    }

    /// Returns all suspects.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.since.keys().copied()
    }
}
