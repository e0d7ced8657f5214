use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{EndpointId, HostId, MonotonicTime, Revision};
use rand::{Rng, seq::IndexedRandom};

use crate::{
    Announcement, Budget, EndpointChange, EndpointRecord, Endpoints, Gossip, IncarnationKey,
    MAX_ENDPOINTS, PROBE_PERIOD, Peer, PeerUpdate, Peers, Rumour, Stale, Want, budget::Allowance,
    catch_up::CatchUp, checksum::Sums, spread::Spread,
};

/// Time between two calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// A pause between two ticks after which this process was frozen and judges nobody by it.
const FREEZE: Duration = Duration::from_secs(3);

/// Number of periods over which a count heard from a peer fades.
const COUNT_MEMORY_PERIODS: u32 = 30;

/// Number of lives that a message asks for.
const MAX_WANTED: usize = 16;

/// A router's share in the gossip: its peers, the endpoints and the newest configuration's rumour.
#[derive(Debug)]
pub struct Membership {
    pub(crate) peers: Peers,
    pub(crate) endpoints: Endpoints,
    pub(crate) newest: Rumour,
    pub(crate) budget: Budget,
    pub(crate) steady: Allowance,
    pub(crate) reserve: Allowance,
    pub(crate) queues: Queues,
    pub(crate) wanted: BTreeSet<IncarnationKey>,
    pub(crate) vouching: BTreeMap<HostId, Vouching>,
    pub(crate) changes: Vec<EndpointChange>,
    pub(crate) sums: Option<Sums>,
    pub(crate) next_sums: u16,
    pub(crate) catch_up: Option<CatchUp>,
    pub(crate) pulled_at: MonotonicTime,
    pub(crate) heard_count: u32,
    relayed: BTreeMap<IncarnationKey, MonotonicTime>,
    seeds: Vec<SocketAddr>,
    ticked: MonotonicTime,
    next_period: MonotonicTime,
}

/// News that waits to be sent.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    pub(crate) leaving: Spread<EndpointId>,
    pub(crate) joined: Spread<EndpointId>,
    pub(crate) renewed: Spread<IncarnationKey>,
    /// Rounds in which the newest revision is still worth a message of its own.
    pub(crate) rumour_rounds: u32,
}

/// A probe on behalf of others.
#[derive(Debug, Default)]
pub(crate) struct Vouching {
    pub(crate) askers: Vec<HostId>,
    probed: Option<MonotonicTime>,
}

/// A message to be sent; its answer goes to [`Membership::handle_response`].
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Where to send it.
    pub to: SocketAddr,
    /// How long the answer may take before the driver gives the call up.
    pub timeout: Duration,
    /// The message.
    pub message: Gossip,
}

/// A copy of all that is known, for routing and for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// When it was copied.
    pub at: MonotonicTime,
    /// The router that made it.
    pub me: PeerUpdate,
    /// Whether the router hears from no other and judges none.
    pub isolated: bool,
    /// The other routers.
    pub peers: Vec<Peer>,
    /// The endpoints, ended lives included.
    pub endpoints: Vec<EndpointRecord>,
    /// Age of an announcement from which its endpoint may be gone.
    pub stale_after: Duration,
    /// The newest revision of the configuration, and who has it.
    pub newest: Rumour,
}

impl Membership {
    /// Starts a router that knows only itself and the addresses of some others.
    ///
    /// `me` holds an incarnation higher than any that the host used before; if it does not, the
    /// router raises it as soon as a peer tells.
    pub fn new(now: MonotonicTime, me: PeerUpdate, seeds: Vec<SocketAddr>, budget: Budget) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        Self {
            newest: Rumour { revision: me.revision, host: me.host.clone() },
            peers: Peers::new(now, me),
            endpoints: Endpoints::default(),
            budget,
            steady: Allowance::new(now, budget.send, budget.catch_up_message),
            reserve: Allowance::new(now, budget.reserve_refill, budget.reserve),
            queues: Queues::default(),
            wanted: BTreeSet::new(),
            vouching: BTreeMap::new(),
            changes: Vec::new(),
            sums: None,
            next_sums: 0,
            catch_up: Some(CatchUp::new(now)),
            pulled_at: now,
            heard_count: 0,
            relayed: BTreeMap::new(),
            seeds,
            ticked: now,
            next_period: now,
        }
    }

    /// Applies an announcement that the endpoint itself made, and relays it as far as others need
    /// it.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] as [`Endpoints::announce`] does.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: Announcement,
    ) -> Result<EndpointChange, Stale> {
        let old = self.endpoints.find(&announcement.endpoint).cloned();
        let change = self.endpoints.announce(now, announcement, Duration::ZERO)?;
        self.relay(old.as_ref(), &change);
        self.changes.push(change.clone());
        Ok(change)
    }

    /// Lets time pass, and returns the messages to send now.
    ///
    /// The driver calls it each [`TICK_INTERVAL`]; a call that comes late does no harm.
    pub fn tick(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        if FREEZE <= now.saturating_since(self.ticked) {
            self.peers.resume(now);
            self.catch_up = Some(CatchUp::new(now));
        }
        self.ticked = now;
        self.expire(now);
        let mut out = self.ask_for_probes(now, rng);
        out.extend(self.vouch_probes(now));
        if self.next_period <= now {
            self.next_period = now + PROBE_PERIOD;
            self.heard_count -= self.heard_count.div_ceil(COUNT_MEMORY_PERIODS);
            self.pull_again(now);
            out.extend(self.probe_due(now, rng));
        }
        out.extend(self.pull_from_random(now, rng));
        out.extend(self.spread_news(now, rng));
        out
    }

    /// Returns how endpoints changed since the last call.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        std::mem::take(&mut self.changes)
    }

    /// Notes the revision of the configuration in force here.
    pub fn set_revision(&mut self, revision: Revision) {
        self.peers.set_revision(revision);
        let host = self.peers.me().host.clone();
        self.hear_rumour(&Rumour { revision, host });
    }

    /// Notes the leader known here, which peers learn with the next message.
    pub fn set_leader(&mut self, leader: Option<HostId>) {
        self.peers.set_leader(leader);
    }

    /// Notes whether this router votes, which spreads to all.
    pub fn set_votes(&mut self, votes: bool) {
        self.peers.set_votes(votes);
    }

    /// Replaces the addresses at which other routers can be found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.peers.me().address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != me).collect();
    }

    /// Notes whether this router drains, which spreads to all.
    pub fn set_draining(&mut self, draining: bool) {
        self.peers.set_draining(draining);
    }

    /// Returns the highest revision of the configuration known, and a router that has it.
    pub fn newest_revision(&self) -> &Rumour {
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

    /// Returns the endpoints that may get new work.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        self.endpoints.ready()
    }

    /// Copies all that is known; announcements are shared, not copied.
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

    /// Returns the number of endpoints that the fleet is thought to have, so that a router that
    /// knows few yet does not end leases sooner than the others renew them.
    pub(crate) fn endpoint_count(&self) -> usize {
        const STEP: usize = 64;
        let count = self.endpoints.live_count().max(self.heard_count as usize);
        if STEP < count { count.next_multiple_of(STEP) } else { count }
    }

    pub(crate) fn hear_count(&mut self, now: MonotonicTime, count: u32) {
        let most = u32::try_from(MAX_ENDPOINTS).unwrap_or(u32::MAX);
        if count.min(most) <= self.heard_count {
            return;
        }
        self.heard_count = count.min(most);
        self.refresh_lease_floor(now);
    }

    pub(crate) fn hear_rumour(&mut self, rumour: &Rumour) {
        if rumour.revision <= self.newest.revision {
            return;
        }
        self.newest = rumour.clone();
        self.queues.rumour_rounds = self.copies_to_all();
    }

    /// Returns how often news is sent so that it reaches all with a high chance.
    pub(crate) fn copies_to_all(&self) -> u32 {
        const MARGIN: u32 = 3;
        MARGIN + (self.peers.iter().count() + 1).ilog2()
    }

    /// Queues what changed about an endpoint, given what was known before.
    pub(crate) fn relay(&mut self, old: Option<&EndpointRecord>, change: &EndpointChange) {
        let (EndpointChange::Joined(endpoint)
        | EndpointChange::Renewed(endpoint)
        | EndpointChange::Leaving(endpoint)
        | EndpointChange::Expired(endpoint)) = change;
        let Some(known) = self.endpoints.find(endpoint).cloned() else { return };
        let life = IncarnationKey::of(&known.announcement);
        match change {
            EndpointChange::Leaving(_) if old.is_some_and(|old| is_same_leave(old, &known)) => {}
            EndpointChange::Leaving(_) => {
                self.queues.joined.remove(endpoint);
                self.queues.renewed.remove(&life);
                self.queues.leaving.push(endpoint.clone());
                self.sums = None;
            }
            EndpointChange::Renewed(_) if old.is_some_and(|old| says_the_same(old, &known)) => {
                self.relay_renewal(&known, life);
            }
            EndpointChange::Joined(_) | EndpointChange::Renewed(_) => {
                self.relayed.insert(life, known.written);
                self.queues.joined.push(endpoint.clone());
                self.sums = None;
            }
            EndpointChange::Expired(_) => {}
        }
    }

    /// Queues a renewal; one that the endpoint made here only if others had none for a while.
    fn relay_renewal(&mut self, known: &EndpointRecord, life: IncarnationKey) {
        let spacing = self.budget.renewal_spacing(self.endpoint_count()) * 3 / 4;
        let last = self.relayed.get(&life);
        let is_early = last.is_some_and(|&last| known.written.saturating_since(last) < spacing);
        if is_early && known.relayed_by.is_none() {
            return;
        }
        self.relayed.insert(life, known.written);
        self.queues.renewed.push(life);
    }

    fn live_routers(&self) -> usize {
        self.peers.live().count() + 1
    }

    /// Sets the shortest lease; a router that hears from nobody stretches none.
    fn refresh_lease_floor(&mut self, now: MonotonicTime) {
        let routers = self.live_routers();
        let floor = match self.peers.hears_nobody(now) {
            true => Duration::ZERO,
            false => self.budget.lease_floor(routers, self.endpoint_count()),
        };
        self.endpoints.set_lease_floor(floor);
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.refresh_lease_floor(now);
        let ended = self.endpoints.tick(now);
        if ended.is_empty() {
            return;
        }
        self.sums = None;
        self.changes.extend(ended);
        let endpoints = &self.endpoints;
        self.relayed.retain(|life, _| endpoints.find_life(life).is_some());
    }

    fn ask_for_probes(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        let live = self.peers.live().count();
        let probes = self.peers.judge(now, rng);
        if live != self.peers.live().count() {
            self.sums = None;
        }
        let mut out = Vec::new();
        for probe in probes {
            let subject = vec![probe.subject];
            out.extend(self.send(now, &probe.helper, |message| message.probe = subject));
        }
        out
    }

    fn vouch_probes(&mut self, now: MonotonicTime) -> Vec<Outgoing> {
        const GIVE_UP: Duration = Duration::from_secs(3);
        let mut fresh = Vec::new();
        self.vouching.retain(|host, vouching| {
            let probed = *vouching.probed.get_or_insert_with(|| {
                fresh.push(host.clone());
                now
            });
            now.saturating_since(probed) < GIVE_UP
        });
        fresh.iter().filter_map(|host| self.send(now, host, |_| ())).collect()
    }

    fn probe_due(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        self.want_low_leases(now);
        let mut out: Vec<_> =
            self.peers.due(rng).into_iter().filter_map(|host| self.probe(now, &host)).collect();
        out.extend(self.probe_seed(now, rng));
        out
    }

    fn probe(&mut self, now: MonotonicTime, host: &HostId) -> Option<Outgoing> {
        let sums = self.next_checksums();
        let wanted = self.take_wanted();
        self.send(now, host, |message| {
            message.checksums = Some(sums);
            message.wanted = wanted;
        })
    }

    /// Asks a seed that belongs to no live router known, so that cut-off parts find each other.
    fn probe_seed(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Option<Outgoing> {
        let is_known =
            |seed: &&SocketAddr| self.peers.live().any(|peer| peer.update.address == **seed);
        let unknown: Vec<SocketAddr> =
            self.seeds.iter().filter(|seed| !is_known(seed)).copied().collect();
        let to = *unknown.choose(rng)?;
        let message = self.compose(now, None, |_| ());
        Some(Outgoing { to, timeout: PROBE_PERIOD, message })
    }

    fn spread_news(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<Outgoing> {
        const FANOUT: usize = 3;
        const FANOUT_OF_RENEWALS: usize = 1;
        let urgent = !self.peers.spread.is_empty()
            || !self.queues.leaving.is_empty()
            || !self.queues.joined.is_empty()
            || 0 < self.queues.rumour_rounds;
        if !urgent && self.queues.renewed.is_empty() {
            return Vec::new();
        }
        self.queues.rumour_rounds = self.queues.rumour_rounds.saturating_sub(1);
        let fanout = if urgent { FANOUT } else { FANOUT_OF_RENEWALS };
        let mut out = Vec::new();
        for host in self.peers.sample(fanout, rng) {
            if !self.may_spread(now) {
                break;
            }
            out.extend(self.send(now, &host, |_| ()));
        }
        out
    }

    fn want_low_leases(&mut self, now: MonotonicTime) {
        const LOW_PART: u32 = 4;
        let low = self.endpoints.iter().filter(|known| {
            let left = known.lease_left(now);
            !left.is_zero() && left < known.lease / LOW_PART
        });
        let lives = low.map(|known| IncarnationKey::of(&known.announcement));
        let wanted: Vec<_> = lives.take(MAX_WANTED).collect();
        self.wanted.extend(wanted);
    }

    fn take_wanted(&mut self) -> Vec<Want> {
        let lives = std::mem::take(&mut self.wanted).into_iter().take(MAX_WANTED);
        let endpoints = &self.endpoints;
        lives
            .map(|life| {
                let known = endpoints.find_life(&life);
                let sequence = known.map(|known| known.announcement.sequence).unwrap_or_default();
                Want { life, sequence }
            })
            .collect()
    }
}

fn is_same_leave(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    old.announcement.leaving && old.announcement.incarnation == new.announcement.incarnation
}

/// Returns whether two announcements differ in nothing but sequence and load.
fn says_the_same(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    let (old, new) = (&old.announcement, &new.announcement);
    old.incarnation == new.incarnation
        && old.data_centre == new.data_centre
        && old.address == new.address
        && old.lease == new.lease
        && old.kind.is_same_service(&new.kind)
}
