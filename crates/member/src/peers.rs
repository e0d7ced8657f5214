use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use base::{DataCentreId, HostId, Incarnation, MonotonicTime, Revision, Sequence};
use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};

use crate::{
    PeerState, PeerUpdate,
    detector::{FailureDetector, Overdue},
    transmit_queue::TransmitQueue,
};

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a dead router is kept and occasionally probed.
pub const DEAD_PEER_RETENTION: Duration = Duration::from_secs(3600);

/// Largest number of known routers; those dead for longest are removed first.
pub const MAX_PEERS: usize = 2048;

/// Number of indirect probes requested before a router becomes suspect.
const INDIRECT_PROBE_COUNT: usize = 3;

/// The other routers and their liveness.
#[derive(Debug)]
pub struct Peers {
    me: PeerUpdate,
    peers: BTreeMap<HostId, Peer>,
    detector: FailureDetector,
    probe_order: Vec<HostId>,
    last_message_at: MonotonicTime,
    pub(crate) queue: TransmitQueue<HostId>,
}

/// A router's newest known state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The newest update of it.
    pub update: PeerUpdate,
    /// When it last sent a message to this router, if ever.
    pub last_contact: Option<MonotonicTime>,
    /// When its state last changed.
    pub state_changed_at: MonotonicTime,
    /// The router that reported its state.
    pub reported_by: HostId,
}

/// A request for an indirect probe.
#[derive(Debug)]
pub(crate) struct IndirectProbe {
    /// The router that should send the probe.
    pub(crate) helper: HostId,
    /// The router to probe.
    pub(crate) subject: HostId,
}

impl Peers {
    pub(crate) fn new(now: MonotonicTime, me: PeerUpdate) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            detector: FailureDetector::default(),
            probe_order: Vec::new(),
            last_message_at: now,
            queue: TransmitQueue::default(),
        }
    }

    /// Returns this router's own state.
    pub fn me(&self) -> &PeerUpdate {
        &self.me
    }

    /// Returns all other known routers, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the other routers that are not dead.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.iter().filter(|peer| peer.update.state != PeerState::Dead)
    }

    /// Returns the state of `host`.
    pub fn find(&self, host: &HostId) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Returns the response timeout of each data centre, computed from round trips.
    pub fn timeouts(&self) -> impl Iterator<Item = (&DataCentreId, Duration)> {
        self.detector.timeouts()
    }

    /// Returns whether this router has received no message for so long that it suspects none of the
    /// others.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        const ISOLATED_AFTER: Duration = Duration::from_secs(3);
        ISOLATED_AFTER <= now.saturating_since(self.last_message_at) && 2 <= self.live().count()
    }

    /// Returns whether this router has received no message for so long that it may have missed that
    /// endpoints left.
    pub(crate) fn may_have_missed_leaves(&self, now: MonotonicTime) -> bool {
        const MISSED_LEAVES_AFTER: Duration = Duration::from_secs(2);
        MISSED_LEAVES_AFTER <= now.saturating_since(self.last_message_at)
    }

    pub(crate) fn set_revision(&mut self, revision: Revision) {
        self.me.revision = self.me.revision.max(revision);
    }

    pub(crate) fn set_leader(&mut self, leader: Option<HostId>) {
        self.me.leader = leader;
    }

    pub(crate) fn set_draining(&mut self, draining: bool) {
        if self.me.draining == draining {
            return;
        }
        self.me.draining = draining;
        self.raise_sequence(self.me.sequence);
    }

    pub(crate) fn set_votes(&mut self, votes: bool) {
        if self.me.votes == votes {
            return;
        }
        self.me.votes = votes;
        self.raise_sequence(self.me.sequence);
    }

    /// Increments the heartbeat, once for each message sent.
    pub(crate) fn increment_heartbeat(&mut self) {
        self.me.heartbeat = self.me.heartbeat.next();
    }

    /// Returns the newest update of `host`, which may be this router.
    pub(crate) fn update_of(&self, host: &HostId) -> Option<&PeerUpdate> {
        if *host == self.me.host {
            return Some(&self.me);
        }
        self.peers.get(host).map(|peer| &peer.update)
    }

    /// Returns the update that `host` should refute: one that suspects it, or one of a later
    /// version than it sent.
    pub(crate) fn refutable_update(
        &self,
        host: &HostId,
        sent: Option<&PeerUpdate>,
    ) -> Option<&PeerUpdate> {
        let update = &self.peers.get(host)?.update;
        let is_newer = sent.is_some_and(|sent| version(sent) < version(update));
        (is_newer || update.state != PeerState::Alive).then_some(update)
    }

    /// Refutes suspicions of this router by raising its version; returns whether there were any.
    pub(crate) fn refute(&mut self, updates: &[PeerUpdate]) -> bool {
        let suspicions = updates.iter().filter(|update| update.host == self.me.host);
        let Some(suspicion) = suspicions.max_by_key(|update| (version(update), update.state))
        else {
            return false;
        };
        if self.me.incarnation < suspicion.incarnation {
            self.me.incarnation = suspicion.incarnation.next();
            self.raise_sequence(Sequence::ZERO);
            return true;
        }
        let is_suspected =
            version(suspicion) == version(&self.me) && suspicion.state != PeerState::Alive;
        if !is_suspected && version(suspicion) <= version(&self.me) {
            return false;
        }
        self.raise_sequence(suspicion.sequence);
        true
    }

    /// Applies the sender's own state, and returns whether it changed.
    pub(crate) fn apply_sender(&mut self, now: MonotonicTime, from: PeerUpdate) -> bool {
        self.last_message_at = now;
        let host = from.host.clone();
        let is_changed = self.merge(now, from, &host);
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.last_contact = Some(now);
        }
        is_changed
    }

    /// Applies the update of a router from `reporter`, and returns whether its state changed.
    ///
    /// A reported death only makes the router suspect here, so that a router that was partitioned
    /// can't declare the others dead when it comes back.
    pub(crate) fn merge(
        &mut self,
        now: MonotonicTime,
        mut new: PeerUpdate,
        reporter: &HostId,
    ) -> bool {
        if new.host == self.me.host {
            return false;
        }
        if new.state == PeerState::Dead {
            new.state = PeerState::Suspect;
        }
        if !self.has_capacity() && !self.peers.contains_key(&new.host) {
            return false;
        }
        self.detector.record_update(&new);
        match self.peers.entry(new.host.clone()) {
            Entry::Vacant(_) if new.state != PeerState::Alive => return false,
            Entry::Vacant(entry) => {
                let reported_by = reporter.clone();
                entry.insert(Peer {
                    update: new.clone(),
                    last_contact: None,
                    state_changed_at: now,
                    reported_by,
                });
            }
            Entry::Occupied(mut entry) => {
                let peer = entry.get_mut();
                if !supersedes(&new, &peer.update) {
                    merge_heartbeat(&mut peer.update, &new);
                    return false;
                }
                let changed = is_visible_change(&peer.update, &new);
                peer.update = new.clone();
                peer.reported_by = reporter.clone();
                if !changed {
                    return false;
                }
                peer.state_changed_at = now;
            }
        }
        self.queue.push(new.host);
        true
    }

    /// Restarts the timers of probes and suspicions after a pause of this process.
    pub(crate) fn reset_timers(&mut self, now: MonotonicTime) {
        self.last_message_at = now;
        self.detector.clear();
        let suspects = self.peers.values_mut();
        for peer in suspects.filter(|peer| peer.update.state == PeerState::Suspect) {
            peer.state_changed_at = now;
        }
    }

    /// Records that a message was sent to `host` at `now`, and returns the response timeout.
    pub(crate) fn start_probe(&mut self, now: MonotonicTime, host: &HostId) -> Duration {
        let Some(peer) = self.peers.get(host) else { return PROBE_INTERVAL };
        self.detector.start_probe(now, &peer.update)
    }

    /// Records a response to a message sent at `sent`.
    pub(crate) fn record_response(
        &mut self,
        now: MonotonicTime,
        sent: MonotonicTime,
        from: &PeerUpdate,
    ) {
        self.detector.record_response(now.saturating_since(sent), from);
    }

    /// Handles expired deadlines: starts indirect probes, suspects routers and declares suspects
    /// dead.
    pub(crate) fn check_probes(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Vec<IndirectProbe> {
        let mut probes = Vec::new();
        for (subject, overdue) in self.detector.take_overdue(now) {
            match overdue {
                Overdue::Direct => probes.extend(self.indirect_probes(&subject, rng)),
                Overdue::Indirect => self.suspect(now, &subject),
            }
        }
        self.expire_suspects(now);
        probes
    }

    /// Returns the routers to probe in this interval: the next in order, one suspect, and
    /// occasionally a dead one, so that a partition heals.
    pub(crate) fn probe_targets(&mut self, rng: &mut impl Rng) -> Vec<HostId> {
        /// Mean number of intervals between probes of dead routers.
        const INTERVALS_PER_DEAD_PROBE: u32 = 3;
        let mut targets: Vec<_> = self.next_in_order(rng).into_iter().collect();
        let (dead, live): (Vec<_>, Vec<_>) =
            self.iter().partition(|peer| peer.update.state == PeerState::Dead);
        let suspects: Vec<_> =
            live.iter().filter(|peer| peer.update.state == PeerState::Suspect).collect();
        targets.extend(suspects.choose(rng).map(|peer| peer.update.host.clone()));
        if live.is_empty() || rng.next_u32().is_multiple_of(INTERVALS_PER_DEAD_PROBE) {
            targets.extend(dead.choose(rng).map(|peer| peer.update.host.clone()));
        }
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns up to `count` random routers that are alive.
    pub(crate) fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<HostId> {
        let alive: Vec<_> =
            self.iter().filter(|peer| peer.update.state == PeerState::Alive).collect();
        alive.sample(rng, count).map(|peer| peer.update.host.clone()).collect()
    }

    fn raise_sequence(&mut self, above: Sequence) {
        self.me.sequence = self.me.sequence.max(above).next();
        self.queue.push(self.me.host.clone());
    }

    fn has_capacity(&self) -> bool {
        self.peers.len() < MAX_PEERS
    }

    fn next_in_order(&mut self, rng: &mut impl Rng) -> Option<HostId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.live().map(|peer| peer.update.host.clone()).collect();
            self.probe_order.shuffle(rng);
        }
        while let Some(host) = self.probe_order.pop() {
            let peer = self.peers.get(&host);
            if peer.is_some_and(|peer| peer.update.state != PeerState::Dead) {
                return Some(host);
            }
        }
        None
    }

    fn indirect_probes(&self, subject: &HostId, rng: &mut impl Rng) -> Vec<IndirectProbe> {
        let helpers = self.sample(INDIRECT_PROBE_COUNT + 1, rng).into_iter();
        helpers
            .filter(|helper| helper != subject)
            .take(INDIRECT_PROBE_COUNT)
            .map(|helper| IndirectProbe { helper, subject: subject.clone() })
            .collect()
    }

    fn suspect(&mut self, now: MonotonicTime, host: &HostId) {
        if self.is_isolated(now) {
            return;
        }
        let Some(peer) = self.peers.get_mut(host) else { return };
        if peer.update.state != PeerState::Alive {
            return;
        }
        peer.update.state = PeerState::Suspect;
        peer.state_changed_at = now;
        peer.reported_by = self.me.host.clone();
        self.queue.push(host.clone());
    }

    fn expire_suspects(&mut self, now: MonotonicTime) {
        if self.is_isolated(now) {
            return;
        }
        let routers = self.peers.len() + 1;
        let mut dead = Vec::new();
        for (host, peer) in &mut self.peers {
            let timeout = self.detector.suspicion_timeout(&peer.update.data_centre, routers);
            let suspected_for = now.saturating_since(peer.state_changed_at);
            if peer.update.state != PeerState::Suspect || suspected_for < timeout {
                continue;
            }
            peer.update.state = PeerState::Dead;
            peer.state_changed_at = now;
            dead.push(host.clone());
        }
        for host in dead {
            self.queue.push(host);
        }
        self.remove_dead(now);
    }

    fn remove_dead(&mut self, now: MonotonicTime) {
        let is_dead = |peer: &Peer| peer.update.state == PeerState::Dead;
        self.peers.retain(|_, peer| {
            !is_dead(peer) || now.saturating_since(peer.state_changed_at) < DEAD_PEER_RETENTION
        });
        if self.has_capacity() {
            return;
        }
        let dead = self.iter().filter(|peer| is_dead(peer));
        let oldest =
            dead.min_by_key(|peer| peer.state_changed_at).map(|peer| peer.update.host.clone());
        if let Some(host) = oldest {
            self.peers.remove(&host);
        }
    }
}

fn version(update: &PeerUpdate) -> (Incarnation, Sequence) {
    (update.incarnation, update.sequence)
}

fn supersedes(new: &PeerUpdate, old: &PeerUpdate) -> bool {
    (version(old), old.state) < (version(new), new.state)
}

fn is_visible_change(old: &PeerUpdate, new: &PeerUpdate) -> bool {
    let visible = |update: &PeerUpdate| {
        (update.incarnation, update.state, update.address, update.votes, update.draining)
    };
    visible(old) != visible(new)
}

/// Merges the fields that are ordered by the heartbeat alone.
fn merge_heartbeat(old: &mut PeerUpdate, new: &PeerUpdate) {
    if old.incarnation != new.incarnation || new.heartbeat <= old.heartbeat {
        return;
    }
    old.heartbeat = new.heartbeat;
    old.revision = new.revision;
    old.leader.clone_from(&new.leader);
}
