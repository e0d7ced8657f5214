use std::{collections::BTreeMap, error, fmt, sync::Arc, time::Duration};

use base::{EndpointId, HostId, MonotonicTime, Sequence};

use crate::{Announcement, EndpointKind, IncarnationKey, Load};

/// Time for which the end of a life is remembered.
pub const TOMBSTONE_TIME: Duration = Duration::from_secs(3600);

/// Number of ended lives that are remembered; the oldest go first.
pub const MAX_TOMBSTONES: usize = 4096;

/// Number of endpoints that may be known at once, ended lives aside.
pub const MAX_ENDPOINTS: usize = 8192;

/// Tracks which endpoints may get new work.
#[derive(Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<EndpointId, EndpointRecord>,
    lives: BTreeMap<IncarnationKey, EndpointId>,
    lease_floor: Duration,
    live: usize,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its newest announcement.
    pub announcement: Arc<Announcement>,
    /// When the endpoint wrote the announcement, as far as its age was measured.
    pub written: MonotonicTime,
    /// The router that relayed the news; none if the endpoint itself spoke.
    pub relayed_by: Option<HostId>,
    /// Whether it may get new work.
    pub state: EndpointState,
    /// How long the announcement counts here: its lease, or the floor that the fleet's size sets.
    pub lease: Duration,
    ended: MonotonicTime,
}

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It holds a lease and wants work.
    Ready,
    /// It said that it wants no new work; its lease still runs.
    Leaving,
    /// It left, and its lease ended.
    Left,
    /// Its lease ended without a word.
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

/// How an announcement or the passing of time changed what may get new work.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
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

impl EndpointRecord {
    /// Returns when the lease ends.
    pub fn expires(&self) -> MonotonicTime {
        self.written + self.lease
    }

    /// Returns the age of the news at `now`.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.written)
    }

    /// Returns what is left of the lease at `now`.
    pub fn lease_left(&self, now: MonotonicTime) -> Duration {
        self.expires().saturating_since(now)
    }

    /// Returns an engine's last reported load and the report's age at `now`.
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
    /// Returns [`Stale`] if a newer announcement of the endpoint is known, if its incarnation has
    /// left, or if its lease ran out on the way.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: Announcement,
        age: Duration,
    ) -> Result<EndpointChange, Stale> {
        self.apply(now, Arc::new(announcement), age, None)
    }

    /// Applies an announcement relayed by `router` that was `age` old when it arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] as [`announce`](Self::announce) does.
    pub fn relayed(
        &mut self,
        now: MonotonicTime,
        announcement: Arc<Announcement>,
        age: Duration,
        router: HostId,
    ) -> Result<EndpointChange, Stale> {
        self.apply(now, announcement, age, Some(router))
    }

    /// Renews the lease of a known life by relayed news of a higher sequence number.
    ///
    /// Returns nothing if the life is unknown.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] if the life has left, the news is not new, or its lease ran out.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        renewal: &RenewedLife,
    ) -> Option<Result<EndpointChange, Stale>> {
        let known = self.known.get(self.lives.get(&renewal.life)?)?;
        let mut announcement = Announcement::clone(&known.announcement);
        announcement.sequence = renewal.sequence;
        announcement.leaving = false;
        if let (EndpointKind::Engine(engine), Some(load)) = (&mut announcement.kind, renewal.load) {
            engine.load = load;
        }
        let router = renewal.relayed_by.clone();
        Some(self.apply(now, Arc::new(announcement), renewal.age, Some(router)))
    }

    /// Sets the shortest lease that counts, so that renewals need not outrun the traffic budget.
    pub fn set_lease_floor(&mut self, floor: Duration) {
        if self.lease_floor == floor {
            return;
        }
        self.lease_floor = floor;
        for known in self.known.values_mut() {
            known.lease = known.announcement.lease.max(floor);
        }
    }

    /// Expires leases that ended at or before `now`, and forgets old ends of lives.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for (endpoint, known) in &mut self.known {
            if known.state.has_ended() || now < known.expires() {
                continue;
            }
            let left = known.state.has_left();
            known.state = if left { EndpointState::Left } else { EndpointState::Expired };
            known.ended = now;
            self.live -= 1;
            changes.push(EndpointChange::Expired(endpoint.clone()));
        }
        self.forget_old(now);
        changes
    }

    /// Returns the endpoints that may get new work.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        self.iter().filter(|k| k.state == EndpointState::Ready).map(|k| k.announcement.as_ref())
    }

    /// Returns all that is known, ended lives included.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values()
    }

    /// Returns what is known of `endpoint`.
    pub fn find(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.known.get(endpoint)
    }

    /// Returns what is known of the life that `key` names, if it is the endpoint's newest.
    pub fn find_life(&self, key: &IncarnationKey) -> Option<&EndpointRecord> {
        self.known.get(self.lives.get(key)?)
    }

    /// Returns the number of endpoints whose lease runs.
    pub fn live_count(&self) -> usize {
        self.live
    }

    fn apply(
        &mut self,
        now: MonotonicTime,
        announcement: Arc<Announcement>,
        age: Duration,
        relayed_by: Option<HostId>,
    ) -> Result<EndpointChange, Stale> {
        let endpoint = announcement.endpoint.clone();
        let known = self.known.get(&endpoint);
        let Some(change) = self.judge(known, &announcement, age) else {
            return Err(Stale { endpoint });
        };
        let state = match change {
            EndpointChange::Leaving(_) => EndpointState::Leaving,
            _ => EndpointState::Ready,
        };
        let written = now.saturating_sub(age);
        let announcement = keep_newest_sequence(known, announcement);
        let was_live = known.is_some_and(|known| !known.state.has_ended());
        let replaced = known.filter(|k| k.announcement.incarnation != announcement.incarnation);
        if let Some(known) = replaced {
            self.lives.remove(&IncarnationKey::of(&known.announcement));
        }
        self.live += usize::from(!was_live);
        self.lives.insert(IncarnationKey::of(&announcement), endpoint.clone());
        let lease = announcement.lease.max(self.lease_floor);
        let known = EndpointRecord { announcement, written, relayed_by, state, lease, ended: now };
        self.known.insert(endpoint, known);
        Ok(change)
    }

    fn judge(
        &self,
        known: Option<&EndpointRecord>,
        new: &Announcement,
        age: Duration,
    ) -> Option<EndpointChange> {
        let endpoint = new.endpoint.clone();
        let spent = new.lease.max(self.lease_floor) <= age;
        let Some(known) = known else {
            let full = MAX_ENDPOINTS + MAX_TOMBSTONES <= self.known.len();
            return match new.leaving {
                _ if full => None,
                true => Some(EndpointChange::Leaving(endpoint)),
                false if spent => None,
                false => Some(EndpointChange::Joined(endpoint)),
            };
        };
        let old = &known.announcement;
        if new.incarnation < old.incarnation {
            return None;
        }
        let same_life = new.incarnation == old.incarnation;
        let newer = !same_life || old.sequence < new.sequence;
        match (new.leaving, same_life) {
            (true, true) if known.state.has_left() && (!newer || spent) => None,
            (true, _) => Some(EndpointChange::Leaving(endpoint)),
            (false, _) if spent || !newer => None,
            (false, true) if known.state.has_left() => None,
            (false, true) => Some(EndpointChange::Renewed(endpoint)),
            (false, false) => Some(EndpointChange::Joined(endpoint)),
        }
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        if self.known.len() == self.live {
            return;
        }
        let ended = self.iter().filter(|known| known.state.has_ended());
        let mut ended: Vec<_> =
            ended.map(|known| (known.ended, known.announcement.endpoint.clone())).collect();
        ended.sort_unstable();
        let excess = ended.len().saturating_sub(MAX_TOMBSTONES);
        let is_old = |at: MonotonicTime| TOMBSTONE_TIME <= now.saturating_since(at);
        for (index, (at, endpoint)) in ended.into_iter().enumerate() {
            if excess <= index && !is_old(at) {
                return;
            }
            let Some(known) = self.known.remove(&endpoint) else { continue };
            self.lives.remove(&IncarnationKey::of(&known.announcement));
        }
    }
}

/// A renewal as a relay reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewedLife {
    /// The life.
    pub life: IncarnationKey,
    /// The position of the newest announcement.
    pub sequence: Sequence,
    /// The announcement's age on arrival.
    pub age: Duration,
    /// The engine's load, if reported.
    pub load: Option<Load>,
    /// The router that relayed it.
    pub relayed_by: HostId,
}

/// Keeps a life's sequence number from going back when an older word that it leaves arrives.
fn keep_newest_sequence(
    known: Option<&EndpointRecord>,
    mut new: Arc<Announcement>,
) -> Arc<Announcement> {
    let Some(old) = known.map(|known| &known.announcement) else { return new };
    if old.incarnation == new.incarnation && new.sequence < old.sequence {
        Arc::make_mut(&mut new).sequence = old.sequence;
    }
    new
}
