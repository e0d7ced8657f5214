use std::{collections::BTreeMap, error, fmt, sync::Arc, time::Duration};

use base::{EndpointId, HostId, Incarnation, MonotonicTime, Sequence};

use crate::{Announcement, EndpointKind, IncarnationKey, LeavingSet, Load};

/// Time for which the record of an ended incarnation is kept as a tombstone.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3600);

/// Largest number of tombstones; the oldest are removed first.
pub const MAX_TOMBSTONES: usize = 4096;

/// Largest number of endpoints, not counting tombstones.
pub const MAX_ENDPOINTS: usize = 8192;

/// The leases of endpoints, which determine the endpoints that may get new requests.
#[derive(Debug, Default)]
pub struct Endpoints {
    records: BTreeMap<EndpointId, EndpointRecord>,
    incarnations: BTreeMap<IncarnationKey, EndpointId>,
    lease_floor: Duration,
    live_count: usize,
    /// Incarnations that left according to other sources than announcements.
    departed: LeavingSet,
}

/// An endpoint's newest announcement and the state of its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The newest announcement.
    pub announcement: Arc<Announcement>,
    /// When the endpoint wrote the announcement, computed from the age on arrival.
    pub written: MonotonicTime,
    /// The router that relayed the announcement; none if the endpoint sent it here.
    pub relayed_by: Option<HostId>,
    /// Whether the endpoint may get new requests.
    pub state: EndpointState,
    /// The effective lease: the announced one, or the lease floor if that is longer.
    pub lease: Duration,
    /// When the lease ended, if it has.
    ended_at: MonotonicTime,
}

/// Whether an endpoint may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It holds a lease and accepts new requests.
    Ready,
    /// It announced that it leaves; its lease is still valid.
    Leaving,
    /// It announced that it leaves, and its lease expired.
    Left,
    /// Its lease expired without an announcement that it leaves.
    Expired,
}

impl EndpointState {
    fn has_left(self) -> bool {
        matches!(self, Self::Leaving | Self::Left)
    }

    fn has_ended(self) -> bool {
        matches!(self, Self::Left | Self::Expired)
    }
}

/// A change of an endpoint's lease, by an announcement or by expiry.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The endpoint or its incarnation is new.
    Joined(EndpointId),
    /// The endpoint renewed its lease.
    Renewed(EndpointId),
    /// The endpoint leaves and accepts no new requests.
    Leaving(EndpointId),
    /// The endpoint's lease expired.
    Expired(EndpointId),
}

/// Rejection of an announcement that is older than the one already applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
}

impl fmt::Display for StaleAnnouncement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a newer announcement of {} is known", self.endpoint)
    }
}

impl error::Error for StaleAnnouncement {}

impl EndpointRecord {
    /// Returns when the lease expires.
    pub fn expires(&self) -> MonotonicTime {
        self.written + self.lease
    }

    /// Returns the age of the announcement at `now`.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.written)
    }

    /// Returns the remaining time of the lease at `now`.
    pub fn lease_left(&self, now: MonotonicTime) -> Duration {
        self.expires().saturating_since(now)
    }

    /// Returns an engine's last reported load and the age of the report at `now`.
    pub fn load(&self, now: MonotonicTime) -> Option<(Load, Duration)> {
        let EndpointKind::Engine(engine) = &self.announcement.kind else { return None };
        Some((engine.load, self.age(now)))
    }
}

impl Endpoints {
    /// Applies an announcement that was `age` old when it arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`StaleAnnouncement`] if a newer announcement of the endpoint is known, if its
    /// incarnation has left, or if its lease expired in transit.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: Announcement,
        age: Duration,
    ) -> Result<EndpointChange, StaleAnnouncement> {
        self.apply(now, Arc::new(announcement), age, None)
    }

    /// Applies an announcement relayed by `router` that was `age` old when it arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`StaleAnnouncement`] as [`announce`](Self::announce) does.
    pub fn announce_relayed(
        &mut self,
        now: MonotonicTime,
        announcement: Arc<Announcement>,
        age: Duration,
        router: HostId,
    ) -> Result<EndpointChange, StaleAnnouncement> {
        self.apply(now, announcement, age, Some(router))
    }

    /// Renews the lease of a known incarnation by a relayed renewal with a higher sequence number.
    ///
    /// Returns nothing if the incarnation is unknown.
    ///
    /// # Errors
    ///
    /// Returns [`StaleAnnouncement`] if the incarnation has left, or if the renewal is not newer or
    /// has expired.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        renewal: &RelayedRenewal,
    ) -> Option<Result<EndpointChange, StaleAnnouncement>> {
        let record = self.records.get(self.incarnations.get(&renewal.key)?)?;
        let mut announcement = Announcement::clone(&record.announcement);
        announcement.sequence = renewal.sequence;
        announcement.leaving = false;
        if let (EndpointKind::Engine(engine), Some(load)) = (&mut announcement.kind, renewal.load) {
            engine.load = load;
        }
        let router = renewal.relayed_by.clone();
        Some(self.apply(now, Arc::new(announcement), renewal.age, Some(router)))
    }

    /// Records that an incarnation of an endpoint leaves, whether or not it is known yet.
    ///
    /// Returns the change, if it was ready.
    pub fn depart(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<EndpointChange> {
        let key = IncarnationKey::new(endpoint, incarnation);
        self.departed.record_leaving(now, &[key]);
        let record = self.find_incarnation(&key)?;
        if record.state != EndpointState::Ready {
            return None;
        }
        let mut announcement = Announcement::clone(&record.announcement);
        announcement.sequence = announcement.sequence.next();
        announcement.leaving = true;
        let (age, relayed_by) = (record.age(now), record.relayed_by.clone());
        self.apply(now, Arc::new(announcement), age, relayed_by).ok()
    }

    /// Sets the lease floor, which keeps the rate of renewals within the traffic budget.
    pub fn set_lease_floor(&mut self, floor: Duration) {
        if self.lease_floor == floor {
            return;
        }
        self.lease_floor = floor;
        for record in self.records.values_mut() {
            record.lease = record.announcement.lease.max(floor);
        }
    }

    /// Expires leases that end at or before `now`, and removes old tombstones.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for (endpoint, record) in &mut self.records {
            if record.state.has_ended() || now < record.expires() {
                continue;
            }
            let has_left = record.state.has_left();
            record.state = if has_left { EndpointState::Left } else { EndpointState::Expired };
            record.ended_at = now;
            self.live_count -= 1;
            changes.push(EndpointChange::Expired(endpoint.clone()));
        }
        self.remove_old_tombstones(now);
        changes
    }

    /// Returns the endpoints that may get new requests.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        self.iter()
            .filter(|record| record.state == EndpointState::Ready)
            .map(|record| record.announcement.as_ref())
    }

    /// Returns all records, tombstones included.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// Returns the record of `endpoint`.
    pub fn find(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.records.get(endpoint)
    }

    /// Returns the record of the incarnation `key`, if it is the newest of its endpoint.
    pub fn find_incarnation(&self, key: &IncarnationKey) -> Option<&EndpointRecord> {
        self.records.get(self.incarnations.get(key)?)
    }

    /// Returns the number of endpoints with a valid lease.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    fn apply(
        &mut self,
        now: MonotonicTime,
        mut announcement: Arc<Announcement>,
        age: Duration,
        relayed_by: Option<HostId>,
    ) -> Result<EndpointChange, StaleAnnouncement> {
        if self.departed.contains(&announcement.endpoint, announcement.incarnation) {
            Arc::make_mut(&mut announcement).leaving = true;
        }
        let endpoint = announcement.endpoint.clone();
        let record = self.records.get(&endpoint);
        let Some(change) = self.classify(record, &announcement, age) else {
            return Err(StaleAnnouncement { endpoint });
        };
        let state = match change {
            EndpointChange::Leaving(_) => EndpointState::Leaving,
            _ => EndpointState::Ready,
        };
        let written = now.saturating_sub(age);
        let announcement = keep_newest_sequence(record, announcement);
        let was_live = record.is_some_and(|record| !record.state.has_ended());
        let replaced =
            record.filter(|record| record.announcement.incarnation != announcement.incarnation);
        if let Some(record) = replaced {
            self.incarnations.remove(&IncarnationKey::of(&record.announcement));
        }
        self.live_count += usize::from(!was_live);
        self.incarnations.insert(IncarnationKey::of(&announcement), endpoint.clone());
        let lease = announcement.lease.max(self.lease_floor);
        let record =
            EndpointRecord { announcement, written, relayed_by, state, lease, ended_at: now };
        self.records.insert(endpoint, record);
        Ok(change)
    }

    fn classify(
        &self,
        record: Option<&EndpointRecord>,
        new: &Announcement,
        age: Duration,
    ) -> Option<EndpointChange> {
        let endpoint = new.endpoint.clone();
        let is_expired = new.lease.max(self.lease_floor) <= age;
        let Some(record) = record else {
            let is_full = MAX_ENDPOINTS + MAX_TOMBSTONES <= self.records.len();
            return match new.leaving {
                _ if is_full => None,
                true => Some(EndpointChange::Leaving(endpoint)),
                false if is_expired => None,
                false => Some(EndpointChange::Joined(endpoint)),
            };
        };
        let old = &record.announcement;
        if new.incarnation < old.incarnation {
            return None;
        }
        let same_incarnation = new.incarnation == old.incarnation;
        let newer = !same_incarnation || old.sequence < new.sequence;
        match (new.leaving, same_incarnation) {
            (true, true) if record.state.has_left() && (!newer || is_expired) => None,
            (true, _) => Some(EndpointChange::Leaving(endpoint)),
            (false, _) if is_expired || !newer => None,
            (false, true) if record.state.has_left() => None,
            (false, true) => Some(EndpointChange::Renewed(endpoint)),
            (false, false) => Some(EndpointChange::Joined(endpoint)),
        }
    }

    fn remove_old_tombstones(&mut self, now: MonotonicTime) {
        if self.records.len() == self.live_count {
            return;
        }
        let ended = self.iter().filter(|record| record.state.has_ended());
        let mut ended: Vec<_> =
            ended.map(|record| (record.ended_at, record.announcement.endpoint.clone())).collect();
        ended.sort_unstable();
        let excess = ended.len().saturating_sub(MAX_TOMBSTONES);
        let is_old = |at: MonotonicTime| TOMBSTONE_RETENTION <= now.saturating_since(at);
        for (index, (at, endpoint)) in ended.into_iter().enumerate() {
            if excess <= index && !is_old(at) {
                return;
            }
            let Some(record) = self.records.remove(&endpoint) else { continue };
            self.incarnations.remove(&IncarnationKey::of(&record.announcement));
        }
    }
}

/// A renewal received from another router.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedRenewal {
    /// The incarnation.
    pub key: IncarnationKey,
    /// The sequence number of the newest announcement.
    pub sequence: Sequence,
    /// The announcement's age on arrival.
    pub age: Duration,
    /// The engine's load, if reported.
    pub load: Option<Load>,
    /// The router that relayed it.
    pub relayed_by: HostId,
}

/// Keeps an incarnation's sequence number from decreasing when an older announcement that it leaves
/// arrives.
fn keep_newest_sequence(
    record: Option<&EndpointRecord>,
    mut new: Arc<Announcement>,
) -> Arc<Announcement> {
    let Some(old) = record.map(|record| &record.announcement) else { return new };
    if old.incarnation == new.incarnation && new.sequence < old.sequence {
        Arc::make_mut(&mut new).sequence = old.sequence;
    }
    new
}
