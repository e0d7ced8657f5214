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
    detector::{Detector, Overdue},
    spread::Spread,
};

/// Time between two rounds of probes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a dead router is remembered, and now and then probed.
pub const DEAD_TIME: Duration = Duration::from_secs(3600);

/// Number of routers that may be known at once; the longest dead go first.
pub const MAX_PEERS: usize = 2048;

/// Number of routers that probe on another's behalf before it suspects.
const INDIRECT_PROBES: usize = 3;

/// Tracks which routers are alive.
#[derive(Debug)]
pub struct Peers {
    me: PeerUpdate,
    known: BTreeMap<HostId, Peer>,
    detector: Detector,
    round: Vec<HostId>,
    last_heard: MonotonicTime,
    pub(crate) spread: Spread<HostId>,
}

/// What is known of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The newest news of it.
    pub update: PeerUpdate,
    /// When it last spoke itself, if it did.
    pub last_contact: Option<MonotonicTime>,
    /// When its state last changed.
    pub state_changed_at: MonotonicTime,
    /// The router that told its state.
    pub told_by: HostId,
}

/// A request to probe on this router's behalf.
#[derive(Debug)]
pub(crate) struct IndirectProbe {
    /// The router to ask.
    pub(crate) helper: HostId,
    /// The router to be probed.
    pub(crate) subject: HostId,
}

impl Peers {
    pub(crate) fn new(now: MonotonicTime, me: PeerUpdate) -> Self {
        Self {
            me,
            known: BTreeMap::new(),
            detector: Detector::default(),
            round: Vec::new(),
            last_heard: now,
            spread: Spread::default(),
        }
    }

    /// Returns what this router says of itself.
    pub fn me(&self) -> &PeerUpdate {
        &self.me
    }

    /// Returns every other router known, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.known.values()
    }

    /// Returns the other routers that are not dead.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.iter().filter(|peer| peer.update.state != PeerState::Dead)
    }

    /// Returns what is known of `host`.
    pub fn find(&self, host: &HostId) -> Option<&Peer> {
        self.known.get(host)
    }

    /// Returns how long an answer from each data centre may take, learnt from round trips.
    pub fn timeouts(&self) -> impl Iterator<Item = (&DataCentreId, Duration)> {
        self.detector.timeouts()
    }

    /// Returns whether this router has heard from no other for so long that it judges none of them.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        const SILENCE: Duration = Duration::from_secs(3);
        SILENCE <= now.saturating_since(self.last_heard) && 2 <= self.live().count()
    }

    /// Returns whether this router has heard from no other for so long that it may have missed that
    /// endpoints left.
    pub(crate) fn hears_nobody(&self, now: MonotonicTime) -> bool {
        const SILENCE: Duration = Duration::from_secs(2);
        SILENCE <= now.saturating_since(self.last_heard)
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

    /// Counts a message sent.
    pub(crate) fn beat(&mut self) {
        self.me.heartbeat = self.me.heartbeat.next();
    }

    /// Returns the news of `host`, this router included.
    pub(crate) fn news_of(&self, host: &HostId) -> Option<&PeerUpdate> {
        if *host == self.me.host {
            return Some(&self.me);
        }
        self.known.get(host).map(|peer| &peer.update)
    }

    /// Returns what `host` should refute: doubt of it, or news from a later life than it speaks of.
    pub(crate) fn doubt(&self, host: &HostId, spoken: Option<&PeerUpdate>) -> Option<&PeerUpdate> {
        let update = &self.known.get(host)?.update;
        let ahead = spoken.is_some_and(|spoken| version(spoken) < version(update));
        (ahead || update.state != PeerState::Alive).then_some(update)
    }

    /// Answers doubt about this router by a raised version of its state.
    pub(crate) fn refute(&mut self, told: &[PeerUpdate]) -> bool {
        let doubts = told.iter().filter(|update| update.host == self.me.host);
        let Some(doubt) = doubts.max_by_key(|update| (version(update), update.state)) else {
            return false;
        };
        if self.me.incarnation < doubt.incarnation {
            self.me.incarnation = doubt.incarnation.next();
            self.raise_sequence(Sequence::ZERO);
            return true;
        }
        let equal_doubt = version(doubt) == version(&self.me) && doubt.state != PeerState::Alive;
        if !equal_doubt && version(doubt) <= version(&self.me) {
            return false;
        }
        self.raise_sequence(doubt.sequence);
        true
    }

    /// Applies what a router said of itself.
    pub(crate) fn heard(&mut self, now: MonotonicTime, from: PeerUpdate) -> bool {
        self.last_heard = now;
        let host = from.host.clone();
        let news = self.merge(now, from, &host);
        if let Some(peer) = self.known.get_mut(&host) {
            peer.last_contact = Some(now);
        }
        news
    }

    /// Applies what `teller` said of a router, and returns whether its state changed.
    ///
    /// Another's word that a router is dead only starts suspicion here, so that a router that was
    /// cut off can't bury the others when it comes back.
    pub(crate) fn merge(
        &mut self,
        now: MonotonicTime,
        mut new: PeerUpdate,
        teller: &HostId,
    ) -> bool {
        if new.host == self.me.host {
            return false;
        }
        if new.state == PeerState::Dead {
            new.state = PeerState::Suspect;
        }
        if !self.has_room() && !self.known.contains_key(&new.host) {
            return false;
        }
        self.detector.alive(&new);
        match self.known.entry(new.host.clone()) {
            Entry::Vacant(_) if new.state != PeerState::Alive => return false,
            Entry::Vacant(entry) => {
                let told_by = teller.clone();
                entry.insert(Peer {
                    update: new.clone(),
                    last_contact: None,
                    state_changed_at: now,
                    told_by,
                });
            }
            Entry::Occupied(mut entry) => {
                let peer = entry.get_mut();
                if !supersedes(&new, &peer.update) {
                    refresh(&mut peer.update, &new);
                    return false;
                }
                let changed = is_change(&peer.update, &new);
                peer.update = new.clone();
                peer.told_by = teller.clone();
                if !changed {
                    return false;
                }
                peer.state_changed_at = now;
            }
        }
        self.spread.push(new.host);
        true
    }

    /// Forgets what a pause of this process made look overdue.
    pub(crate) fn resume(&mut self, now: MonotonicTime) {
        self.last_heard = now;
        self.detector.clear();
        let suspects = self.known.values_mut();
        for peer in suspects.filter(|peer| peer.update.state == PeerState::Suspect) {
            peer.state_changed_at = now;
        }
    }

    /// Notes that `host` was sent a message at `now`, and returns how long the answer may take.
    pub(crate) fn probed(&mut self, now: MonotonicTime, host: &HostId) -> Duration {
        let Some(peer) = self.known.get(host) else { return PROBE_PERIOD };
        self.detector.probed(now, &peer.update)
    }

    /// Notes that `host` answered a message sent at `sent`.
    pub(crate) fn answered(&mut self, now: MonotonicTime, sent: MonotonicTime, from: &PeerUpdate) {
        self.detector.answered(now.saturating_since(sent), from);
    }

    /// Turns overdue probes into indirect ones, then into suspicion, and suspicion into death.
    pub(crate) fn judge(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<IndirectProbe> {
        let mut probes = Vec::new();
        for (subject, overdue) in self.detector.overdue(now) {
            match overdue {
                Overdue::Direct => probes.extend(self.ask_others(&subject, rng)),
                Overdue::Indirect => self.suspect(now, &subject),
            }
        }
        self.bury(now);
        probes
    }

    /// Returns the routers to probe in this period: the next in turn, one suspect, and now and
    /// then a dead one, so that a partition heals.
    pub(crate) fn due(&mut self, rng: &mut impl Rng) -> Vec<HostId> {
        const DEAD_PROBE_ONE_IN: u32 = 3;
        let mut due: Vec<_> = self.next_in_round(rng).into_iter().collect();
        let (dead, live): (Vec<_>, Vec<_>) =
            self.iter().partition(|peer| peer.update.state == PeerState::Dead);
        let suspects: Vec<_> =
            live.iter().filter(|peer| peer.update.state == PeerState::Suspect).collect();
        due.extend(suspects.choose(rng).map(|peer| peer.update.host.clone()));
        if live.is_empty() || rng.next_u32().is_multiple_of(DEAD_PROBE_ONE_IN) {
            due.extend(dead.choose(rng).map(|peer| peer.update.host.clone()));
        }
        due.sort();
        due.dedup();
        due
    }

    /// Returns up to `count` random routers that are thought alive.
    pub(crate) fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<HostId> {
        let alive: Vec<_> =
            self.iter().filter(|peer| peer.update.state == PeerState::Alive).collect();
        alive.sample(rng, count).map(|peer| peer.update.host.clone()).collect()
    }

    fn raise_sequence(&mut self, above: Sequence) {
        self.me.sequence = self.me.sequence.max(above).next();
        self.spread.push(self.me.host.clone());
    }

    fn has_room(&self) -> bool {
        self.known.len() < MAX_PEERS
    }

    fn next_in_round(&mut self, rng: &mut impl Rng) -> Option<HostId> {
        if self.round.is_empty() {
            self.round = self.live().map(|peer| peer.update.host.clone()).collect();
            self.round.shuffle(rng);
        }
        while let Some(host) = self.round.pop() {
            let peer = self.known.get(&host);
            if peer.is_some_and(|peer| peer.update.state != PeerState::Dead) {
                return Some(host);
            }
        }
        None
    }

    fn ask_others(&self, subject: &HostId, rng: &mut impl Rng) -> Vec<IndirectProbe> {
        let helpers = self.sample(INDIRECT_PROBES + 1, rng).into_iter();
        helpers
            .filter(|helper| helper != subject)
            .take(INDIRECT_PROBES)
            .map(|helper| IndirectProbe { helper, subject: subject.clone() })
            .collect()
    }

    fn suspect(&mut self, now: MonotonicTime, host: &HostId) {
        if self.is_isolated(now) {
            return;
        }
        let Some(peer) = self.known.get_mut(host) else { return };
        if peer.update.state != PeerState::Alive {
            return;
        }
        peer.update.state = PeerState::Suspect;
        peer.state_changed_at = now;
        peer.told_by = self.me.host.clone();
        self.spread.push(host.clone());
    }

    fn bury(&mut self, now: MonotonicTime) {
        if self.is_isolated(now) {
            return;
        }
        let fleet = self.known.len() + 1;
        let mut dead = Vec::new();
        for (host, peer) in &mut self.known {
            let patience = self.detector.suspicion_time(&peer.update.data_centre, fleet);
            let silent = now.saturating_since(peer.state_changed_at);
            if peer.update.state != PeerState::Suspect || silent < patience {
                continue;
            }
            peer.update.state = PeerState::Dead;
            peer.state_changed_at = now;
            dead.push(host.clone());
        }
        for host in dead {
            self.spread.push(host);
        }
        self.forget(now);
    }

    fn forget(&mut self, now: MonotonicTime) {
        let is_dead = |peer: &Peer| peer.update.state == PeerState::Dead;
        self.known.retain(|_, peer| {
            !is_dead(peer) || now.saturating_since(peer.state_changed_at) < DEAD_TIME
        });
        if self.has_room() {
            return;
        }
        let dead = self.iter().filter(|peer| is_dead(peer));
        let oldest =
            dead.min_by_key(|peer| peer.state_changed_at).map(|peer| peer.update.host.clone());
        if let Some(host) = oldest {
            self.known.remove(&host);
        }
    }
}

fn version(update: &PeerUpdate) -> (Incarnation, Sequence) {
    (update.incarnation, update.sequence)
}

fn supersedes(new: &PeerUpdate, old: &PeerUpdate) -> bool {
    (version(old), old.state) < (version(new), new.state)
}

fn is_change(old: &PeerUpdate, new: &PeerUpdate) -> bool {
    let visible = |update: &PeerUpdate| {
        (update.incarnation, update.state, update.address, update.votes, update.draining)
    };
    visible(old) != visible(new)
}

/// Takes over what needs no order beyond the heartbeat.
fn refresh(old: &mut PeerUpdate, new: &PeerUpdate) {
    if old.incarnation != new.incarnation || new.heartbeat <= old.heartbeat {
        return;
    }
    old.heartbeat = new.heartbeat;
    old.revision = new.revision;
    old.leader.clone_from(&new.leader);
}
