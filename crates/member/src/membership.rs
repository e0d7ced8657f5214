use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{EndpointId, HostId, Incarnation, MonotonicTime, Revision};
use rand::{Rng, seq::IndexedRandom};

use crate::{
    Announcement, AnnouncementRequest, Budget, EndpointChange, EndpointRecord, Endpoints, Gossip,
    IncarnationKey, MAX_ENDPOINTS, NewestRevision, PROBE_INTERVAL, Peer, PeerUpdate, Peers,
    StaleAnnouncement, budget::RateLimiter, catch_up::CatchUp, checksum::BucketChecksums,
    transmit_queue::TransmitQueue,
};

/// Interval between calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two ticks from which this process counts as suspended; its overdue probes then make
/// no other router suspect.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// Number of probe intervals over which an endpoint count reported by a peer decays.
const COUNT_DECAY_INTERVALS: u32 = 30;

/// Largest number of announcement requests in a message.
const MAX_REQUESTS_PER_MESSAGE: usize = 16;

/// A router's gossip state: the other routers, the endpoints and the newest known revision.
#[derive(Debug)]
pub struct Membership {
    pub(crate) peers: Peers,
    pub(crate) endpoints: Endpoints,
    pub(crate) newest: NewestRevision,
    pub(crate) budget: Budget,
    pub(crate) steady_limiter: RateLimiter,
    pub(crate) reserve_limiter: RateLimiter,
    pub(crate) queues: TransmitQueues,
    pub(crate) pending_requests: BTreeSet<IncarnationKey>,
    pub(crate) proxy_probes: BTreeMap<HostId, ProxyProbe>,
    pub(crate) changes: Vec<EndpointChange>,
    pub(crate) checksums: Option<BucketChecksums>,
    pub(crate) next_checksum_range: u16,
    pub(crate) catch_up: Option<CatchUp>,
    pub(crate) last_pull_at: MonotonicTime,
    pub(crate) reported_endpoint_count: u32,
    relayed_at: BTreeMap<IncarnationKey, MonotonicTime>,
    seeds: Vec<SocketAddr>,
    last_tick: MonotonicTime,
    next_probe_round: MonotonicTime,
}

/// Updates queued for gossip.
#[derive(Debug, Default)]
pub(crate) struct TransmitQueues {
    pub(crate) leaving: TransmitQueue<EndpointId>,
    pub(crate) joined: TransmitQueue<EndpointId>,
    pub(crate) renewed: TransmitQueue<IncarnationKey>,
    /// Remaining rounds in which the newest revision causes messages of its own.
    pub(crate) revision_rounds: u32,
}

/// A probe requested by other routers.
#[derive(Debug, Default)]
pub(crate) struct ProxyProbe {
    pub(crate) requesters: Vec<HostId>,
    probed_at: Option<MonotonicTime>,
}

/// A message to send; its response goes to [`Membership::handle_response`].
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The address to send it to.
    pub to: SocketAddr,
    /// The response timeout, after which the driver abandons the call.
    pub timeout: Duration,
    /// The message.
    pub message: Gossip,
}

/// A snapshot of the membership, for routing and for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// When it was taken.
    pub at: MonotonicTime,
    /// The router that took it.
    pub me: PeerUpdate,
    /// Whether the router receives no messages and therefore suspects no other.
    pub isolated: bool,
    /// The other routers.
    pub peers: Vec<Peer>,
    /// The endpoints, tombstones included.
    pub endpoints: Vec<EndpointRecord>,
    /// Age from which an announcement suggests that its endpoint is down.
    pub stale_after: Duration,
    /// The newest known revision of the configuration.
    pub newest: NewestRevision,
}

impl Membership {
    /// Creates the state of a router that has no records but its own, and some seed addresses.
    ///
    /// `me` should have a higher incarnation than any that the host used before; otherwise the
    /// router raises it once a peer reports the higher one.
    pub fn new(now: MonotonicTime, me: PeerUpdate, seeds: Vec<SocketAddr>, budget: Budget) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        Self {
            newest: NewestRevision { revision: me.revision, host: me.host.clone() },
            peers: Peers::new(now, me),
            endpoints: Endpoints::default(),
            budget,
            steady_limiter: RateLimiter::new(now, budget.send_rate, budget.max_catch_up_message),
            reserve_limiter: RateLimiter::new(now, budget.reserve_refill_rate, budget.reserve),
            queues: TransmitQueues::default(),
            pending_requests: BTreeSet::new(),
            proxy_probes: BTreeMap::new(),
            changes: Vec::new(),
            checksums: None,
            next_checksum_range: 0,
            catch_up: Some(CatchUp::new(now)),
            last_pull_at: now,
            reported_endpoint_count: 0,
            relayed_at: BTreeMap::new(),
            seeds,
            last_tick: now,
            next_probe_round: now,
        }
    }

    /// Applies an announcement received from the endpoint itself, and queues it for gossip where
    /// other routers need it.
    ///
    /// # Errors
    ///
    /// Returns [`StaleAnnouncement`] as [`Endpoints::announce`] does.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: Announcement,
    ) -> Result<EndpointChange, StaleAnnouncement> {
        let old = self.endpoints.find(&announcement.endpoint).cloned();
        let change = self.endpoints.announce(now, announcement, Duration::ZERO)?;
        self.enqueue_change(old.as_ref(), &change);
        self.changes.push(change.clone());
        Ok(change)
    }

    /// Records that an incarnation of an endpoint leaves, as the replicated log says, and queues the
    /// change for gossip.
    pub fn depart(&mut self, now: MonotonicTime, endpoint: &EndpointId, incarnation: Incarnation) {
        let old = self.endpoints.find(endpoint).cloned();
        let Some(change) = self.endpoints.depart(now, endpoint, incarnation) else { return };
        self.enqueue_change(old.as_ref(), &change);
        self.changes.push(change);
    }

    /// Advances timers to `now` and returns the messages to send.
    ///
    /// The driver calls it every [`TICK_INTERVAL`]; late calls are harmless.
    pub fn tick(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        if PAUSE_THRESHOLD <= now.saturating_since(self.last_tick) {
            self.peers.reset_timers(now);
            self.catch_up = Some(CatchUp::new(now));
        }
        self.last_tick = now;
        self.expire_leases(now);
        let mut out = self.request_indirect_probes(now, rng);
        out.extend(self.start_proxy_probes(now));
        if self.next_probe_round <= now {
            self.next_probe_round = now + PROBE_INTERVAL;
            self.reported_endpoint_count -=
                self.reported_endpoint_count.div_ceil(COUNT_DECAY_INTERVALS);
            self.repeat_pull_if_incomplete(now);
            out.extend(self.send_probes(now, rng));
        }
        out.extend(self.pull_from_random(now, rng));
        out.extend(self.gossip_round(now, rng));
        out
    }

    /// Returns the changes of endpoints since the last call.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sets the revision of the configuration in force at this router.
    pub fn set_revision(&mut self, revision: Revision) {
        self.peers.set_revision(revision);
        let host = self.peers.me().host.clone();
        self.record_revision(&NewestRevision { revision, host });
    }

    /// Sets the leader known to this router, which is sent with the next messages.
    pub fn set_leader(&mut self, leader: Option<HostId>) {
        self.peers.set_leader(leader);
    }

    /// Sets whether this router is a voter, and queues the change for gossip.
    pub fn set_votes(&mut self, votes: bool) {
        self.peers.set_votes(votes);
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.peers.me().address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != me).collect();
    }

    /// Sets whether this router drains, and queues the change for gossip.
    pub fn set_draining(&mut self, draining: bool) {
        self.peers.set_draining(draining);
    }

    /// Returns the newest known revision of the configuration, and a router that has it.
    pub fn newest_revision(&self) -> &NewestRevision {
        &self.newest
    }

    /// Returns the routers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Returns the endpoints that may get new requests.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        self.endpoints.ready()
    }

    /// Takes a snapshot; announcements are shared, not copied.
    pub fn roster(&self, now: MonotonicTime) -> Arc<Roster> {
        Arc::new(Roster {
            at: now,
            me: self.peers.me().clone(),
            isolated: self.peers.is_isolated(now),
            peers: self.peers.iter().cloned().collect(),
            endpoints: self.endpoints.iter().cloned().collect(),
            stale_after: self.budget.stale_after(self.live_routers(), self.endpoint_count()),
            newest: self.newest.clone(),
        })
    }

    /// Returns the estimated number of endpoints in the fleet, so that a router with few records
    /// does not expire leases sooner than the others renew them.
    pub(crate) fn endpoint_count(&self) -> usize {
        const COUNT_ROUNDING_STEP: usize = 64;
        let count = self.endpoints.live_count().max(self.reported_endpoint_count as usize);
        if COUNT_ROUNDING_STEP < count {
            count.next_multiple_of(COUNT_ROUNDING_STEP)
        } else {
            count
        }
    }

    pub(crate) fn record_endpoint_count(&mut self, now: MonotonicTime, count: u32) {
        let max_count = u32::try_from(MAX_ENDPOINTS).unwrap_or(u32::MAX);
        if count.min(max_count) <= self.reported_endpoint_count {
            return;
        }
        self.reported_endpoint_count = count.min(max_count);
        self.refresh_lease_floor(now);
    }

    pub(crate) fn record_revision(&mut self, newest: &NewestRevision) {
        if newest.revision <= self.newest.revision {
            return;
        }
        self.newest = newest.clone();
        self.queues.revision_rounds = self.transmit_limit();
    }

    /// Returns how often an update is transmitted, so that it reaches all routers with high
    /// probability.
    pub(crate) fn transmit_limit(&self) -> u32 {
        const EXTRA_TRANSMISSIONS: u32 = 3;
        EXTRA_TRANSMISSIONS + (self.peers.iter().count() + 1).ilog2()
    }

    /// Queues a change of an endpoint for gossip, given its previous record.
    pub(crate) fn enqueue_change(&mut self, old: Option<&EndpointRecord>, change: &EndpointChange) {
        let (EndpointChange::Joined(endpoint)
        | EndpointChange::Renewed(endpoint)
        | EndpointChange::Leaving(endpoint)
        | EndpointChange::Expired(endpoint)) = change;
        let Some(record) = self.endpoints.find(endpoint).cloned() else { return };
        let key = IncarnationKey::of(&record.announcement);
        match change {
            EndpointChange::Leaving(_)
                if old.is_some_and(|old| is_repeated_leave(old, &record)) => {}
            EndpointChange::Leaving(_) => {
                self.queues.joined.remove(endpoint);
                self.queues.renewed.remove(&key);
                self.queues.leaving.push(endpoint.clone());
                self.checksums = None;
            }
            EndpointChange::Renewed(_) if old.is_some_and(|old| is_renewal(old, &record)) => {
                self.enqueue_renewal(&record, key);
            }
            EndpointChange::Joined(_) | EndpointChange::Renewed(_) => {
                self.relayed_at.insert(key, record.written);
                self.queues.joined.push(endpoint.clone());
                self.checksums = None;
            }
            EndpointChange::Expired(_) => {}
        }
    }

    /// Queues a renewal; one received from the endpoint itself only if none was relayed recently.
    fn enqueue_renewal(&mut self, record: &EndpointRecord, key: IncarnationKey) {
        let spacing = self.budget.renewal_spacing(self.endpoint_count()) * 3 / 4;
        let relayed_at = self.relayed_at.get(&key);
        let is_early = relayed_at
            .is_some_and(|&relayed_at| record.written.saturating_since(relayed_at) < spacing);
        if is_early && record.relayed_by.is_none() {
            return;
        }
        self.relayed_at.insert(key, record.written);
        self.queues.renewed.push(key);
    }

    fn live_routers(&self) -> usize {
        self.peers.live().count() + 1
    }

    /// Updates the lease floor; without messages from other routers there is none.
    fn refresh_lease_floor(&mut self, now: MonotonicTime) {
        let routers = self.live_routers();
        let floor = match self.peers.may_have_missed_leaves(now) {
            true => Duration::ZERO,
            false => self.budget.lease_floor(routers, self.endpoint_count()),
        };
        self.endpoints.set_lease_floor(floor);
    }

    fn expire_leases(&mut self, now: MonotonicTime) {
        self.refresh_lease_floor(now);
        let expired = self.endpoints.tick(now);
        if expired.is_empty() {
            return;
        }
        self.checksums = None;
        self.changes.extend(expired);
        let endpoints = &self.endpoints;
        self.relayed_at.retain(|key, _| endpoints.find_incarnation(key).is_some());
    }

    fn request_indirect_probes(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        let live = self.peers.live().count();
        let probes = self.peers.check_probes(now, rng);
        if live != self.peers.live().count() {
            self.checksums = None;
        }
        let mut out = Vec::new();
        for probe in probes {
            let subject = vec![probe.subject];
            out.extend(self.send(now, &probe.helper, |message| message.probe_requests = subject));
        }
        out
    }

    fn start_proxy_probes(&mut self, now: MonotonicTime) -> Vec<Outgoing> {
        const PROXY_PROBE_TIMEOUT: Duration = Duration::from_secs(3);
        let mut unsent = Vec::new();
        self.proxy_probes.retain(|host, probe| {
            let probed_at = *probe.probed_at.get_or_insert_with(|| {
                unsent.push(host.clone());
                now
            });
            now.saturating_since(probed_at) < PROXY_PROBE_TIMEOUT
        });
        unsent.iter().filter_map(|host| self.send(now, host, |_| ())).collect()
    }

    fn send_probes(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        self.request_expiring_leases(now);
        let mut out: Vec<_> = self
            .peers
            .probe_targets(rng)
            .into_iter()
            .filter_map(|host| self.probe(now, &host))
            .collect();
        out.extend(self.probe_seed(now, rng));
        out
    }

    fn probe(&mut self, now: MonotonicTime, host: &HostId) -> Option<Outgoing> {
        let checksums = self.next_checksums();
        let requests = self.take_requests();
        self.send(now, host, |message| {
            message.checksums = Some(checksums);
            message.announcement_requests = requests;
        })
    }

    /// Probes a seed address that belongs to no live router, so that partitions can merge.
    fn probe_seed(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Option<Outgoing> {
        let is_known =
            |seed: &&SocketAddr| self.peers.live().any(|peer| peer.update.address == **seed);
        let unknown: Vec<SocketAddr> =
            self.seeds.iter().filter(|seed| !is_known(seed)).copied().collect();
        let to = *unknown.choose(rng)?;
        let message = self.compose(now, None, |_| ());
        Some(Outgoing { to, timeout: PROBE_INTERVAL, message })
    }

    fn gossip_round(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        const FANOUT: usize = 3;
        const RENEWAL_FANOUT: usize = 1;
        let has_updates = !self.peers.queue.is_empty()
            || !self.queues.leaving.is_empty()
            || !self.queues.joined.is_empty()
            || 0 < self.queues.revision_rounds;
        if !has_updates && self.queues.renewed.is_empty() {
            return Vec::new();
        }
        self.queues.revision_rounds = self.queues.revision_rounds.saturating_sub(1);
        let fanout = if has_updates { FANOUT } else { RENEWAL_FANOUT };
        let mut out = Vec::new();
        for host in self.peers.sample(fanout, rng) {
            if !self.may_gossip(now) {
                break;
            }
            out.extend(self.send(now, &host, |_| ()));
        }
        out
    }

    fn request_expiring_leases(&mut self, now: MonotonicTime) {
        const LOW_LEASE_DIVISOR: u32 = 4;
        let low = self.endpoints.iter().filter(|record| {
            let remaining = record.lease_left(now);
            !remaining.is_zero() && remaining < record.lease / LOW_LEASE_DIVISOR
        });
        let keys = low.map(|record| IncarnationKey::of(&record.announcement));
        let requests: Vec<_> = keys.take(MAX_REQUESTS_PER_MESSAGE).collect();
        self.pending_requests.extend(requests);
    }

    fn take_requests(&mut self) -> Vec<AnnouncementRequest> {
        let keys =
            std::mem::take(&mut self.pending_requests).into_iter().take(MAX_REQUESTS_PER_MESSAGE);
        let endpoints = &self.endpoints;
        keys.map(|key| {
            let record = endpoints.find_incarnation(&key);
            let sequence = record.map(|record| record.announcement.sequence).unwrap_or_default();
            AnnouncementRequest { key, sequence }
        })
        .collect()
    }
}

fn is_repeated_leave(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    old.announcement.leaving && old.announcement.incarnation == new.announcement.incarnation
}

/// Returns whether two announcements differ only in sequence and load.
fn is_renewal(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    let (old, new) = (&old.announcement, &new.announcement);
    old.incarnation == new.incarnation
        && old.data_centre == new.data_centre
        && old.address == new.address
        && old.lease == new.lease
        && old.kind.is_same_service(&new.kind)
}
