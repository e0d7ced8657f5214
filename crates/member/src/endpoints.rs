use std::{collections::BTreeMap, error, fmt, time::Duration};

use base::{EndpointId, MonotonicTime};

use crate::Announcement;

/// Tracks which endpoints may get new work.
#[derive(Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<EndpointId, Known>,
}

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    expires: MonotonicTime,
}

/// How an announcement or the passing of time changed what may get new work.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The endpoint is new, or a new incarnation of it.
    Joined(EndpointId),
    /// The endpoint renewed its lease.
    Renewed(EndpointId),
    /// The endpoint wants no new work.
    Leaving(EndpointId),
    /// The endpoint's lease ended.
    Expired(EndpointId),
}

/// An announcement older than one already applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The endpoint.
    pub endpoint: EndpointId,
}

impl fmt::Display for Stale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a newer announcement of {} is known", self.endpoint)
    }
}

impl error::Error for Stale {}

impl Endpoints {
    /// Applies an announcement that was `age` old when it arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] if a newer announcement of the endpoint is known.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: Announcement,
        age: Duration,
    ) -> Result<Change, Stale> {
        let endpoint = announcement.endpoint.clone();
        let known = self.known.get(&endpoint);
        if known.is_some_and(|known| !is_newer(&announcement, &known.announcement)) {
            return Err(Stale { endpoint });
        }
        let same_life =
            known.is_some_and(|known| known.announcement.incarnation == announcement.incarnation);
        let change = match (announcement.leaving, same_life) {
            (true, _) => Change::Leaving(endpoint.clone()),
            (false, true) => Change::Renewed(endpoint.clone()),
            (false, false) => Change::Joined(endpoint.clone()),
        };
        let expires = now + announcement.lease.saturating_sub(age);
        self.known.insert(endpoint, Known { announcement, expires });
        Ok(change)
    }

    /// Expires leases that ended at or before `now`.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Change> {
        let (ended, live) = std::mem::take(&mut self.known)
            .into_iter()
            .partition(|(_, known)| known.expires <= now);
        self.known = live;
        let ended: BTreeMap<EndpointId, Known> = ended;
        ended.into_keys().map(Change::Expired).collect()
    }

    /// Returns the endpoints that may get new work.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        self.known.values().map(|known| &known.announcement).filter(|a| !a.leaving)
    }
}

fn is_newer(new: &Announcement, known: &Announcement) -> bool {
    (known.incarnation, known.sequence) < (new.incarnation, new.sequence)
}
