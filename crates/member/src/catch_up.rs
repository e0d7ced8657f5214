use std::time::Duration;

use base::{HostId, MonotonicTime};
use rand::Rng;

use crate::{
    EndpointState, EndpointUpdate, Gossip, Membership, Outgoing, PeerState, PeerUpdate, Pull,
    checksum::{BUCKETS, bucket},
    message::{endpoint_bytes, peer_bytes},
};

/// Time after which a router no longer looks for a peer with the whole roster.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Time after which a router that still catches up helps others with what it has.
const HELP_ANYWAY: Duration = Duration::from_secs(5);

/// Time between two pulls of a router that still knows too few endpoints.
const REPEAT: Duration = Duration::from_secs(10);

/// Time after which an unanswered pull is tried at another peer.
const RETRY: Duration = Duration::from_secs(1);

/// The pull of the whole roster from one peer, a range of buckets a message.
#[derive(Debug)]
pub(crate) struct CatchUp {
    started: MonotonicTime,
    next: u16,
    known: u32,
    asked: Option<(HostId, MonotonicTime)>,
}

impl CatchUp {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { started: now, next: 0, known: 0, asked: None }
    }
}

/// Records that a message has room for.
#[derive(Debug, Default)]
pub(crate) struct Records {
    pub(crate) peers: Vec<PeerUpdate>,
    pub(crate) endpoints: Vec<EndpointUpdate>,
    bytes: usize,
}

impl Membership {
    /// Starts or goes on with the pull at a random peer, unless an answer is awaited.
    pub(crate) fn pull_from_random(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Option<Outgoing> {
        let pull = self.catch_up.as_ref()?;
        if GIVE_UP <= now.saturating_since(pull.started) {
            self.catch_up = None;
            return None;
        }
        let asked = pull.asked.as_ref();
        if asked.is_some_and(|(_, at)| now.saturating_since(*at) < RETRY) {
            return None;
        }
        let host = self.peers.sample(1, rng).pop()?;
        let known = self.record_count();
        if let Some(pull) = self.catch_up.as_mut().filter(|pull| pull.next == 0) {
            pull.known = known;
        }
        self.pull_from(now, &host)
    }

    /// Starts another pull if a peer knows clearly more endpoints than this router.
    pub(crate) fn pull_again(&mut self, now: MonotonicTime) {
        const MISSING_ONE_IN: usize = 32;
        let count = self.heard_count as usize;
        let missing = count.saturating_sub(self.endpoints.live_count());
        let is_due = REPEAT <= now.saturating_since(self.pulled_at);
        if self.catch_up.is_some() || !is_due || missing <= count / MISSING_ONE_IN {
            return;
        }
        self.pulled_at = now;
        self.catch_up = Some(CatchUp::new(now));
    }

    /// Goes on with the pull at the peer whose answer says that there is more.
    pub(crate) fn pull_on(
        &mut self,
        now: MonotonicTime,
        host: &HostId,
        next: u16,
    ) -> Option<Outgoing> {
        let pull = self.catch_up.as_mut()?;
        if pull.asked.as_ref().is_none_or(|(asked, _)| asked != host) {
            return None;
        }
        if BUCKETS <= next {
            self.catch_up = None;
            return None;
        }
        if next <= pull.next {
            pull.asked = None;
            return None;
        }
        pull.next = next;
        self.pull_from(now, host)
    }

    /// Answers a pull, and returns where to go on: at the same bucket if this router can't help.
    ///
    /// A router that still catches up helps only one that knows far less.
    pub(crate) fn pulled(&self, now: MonotonicTime, pull: Pull, room: usize) -> (Records, u16) {
        const FAR_MORE: u32 = 2;
        let first = pull.first;
        let smallest = self.budget.catch_up_message.as_u64() as usize / 2;
        let knows_more = pull.known.saturating_mul(FAR_MORE) < self.record_count();
        let is_settled = self
            .catch_up
            .as_ref()
            .is_none_or(|own| HELP_ANYWAY <= now.saturating_since(own.started));
        if !(is_settled || knows_more) || room < smallest {
            return (self.some_peers(), first);
        }
        let mut all = Records::default();
        let buckets = self.by_bucket(now, |bucket| first <= bucket);
        for (next, records) in buckets.into_iter().enumerate().skip(first.into()) {
            if !all.is_empty() && room < all.bytes + records.bytes {
                return (all, next as u16);
            }
            all.append(records, room);
        }
        (all, BUCKETS)
    }

    /// Returns the records of `buckets`, as far as there is room.
    pub(crate) fn records(&self, now: MonotonicTime, buckets: &[u16], room: usize) -> Records {
        let mut all = Records::default();
        for records in self.by_bucket(now, |bucket| buckets.contains(&bucket)) {
            all.append(records, room);
        }
        all
    }

    /// Returns a few routers, others each time, where a pull may be tried instead.
    fn some_peers(&self) -> Records {
        const SOME: usize = 8;
        let mut records = Records::default();
        let count = self.peers.live().count().max(1);
        let start = self.peers.me().heartbeat.as_u64() as usize * SOME % count;
        let turned = self.peers.live().skip(start).chain(self.peers.live().take(start));
        for peer in turned.filter(|peer| peer.update.state == PeerState::Alive).take(SOME) {
            records.add_peer(peer.update.clone());
        }
        records
    }

    fn pull_from(&mut self, now: MonotonicTime, host: &HostId) -> Option<Outgoing> {
        let pull = self.catch_up.as_mut()?;
        pull.asked = Some((host.clone(), now));
        let first = pull.next;
        let known = pull.known;
        self.send(now, host, |message| message.pull = Some(Pull { first, known }))
    }

    fn record_count(&self) -> u32 {
        let count = self.peers.live().count() + self.endpoints.live_count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn by_bucket(&self, now: MonotonicTime, is_wanted: impl Fn(u16) -> bool) -> Vec<Records> {
        let mut buckets: Vec<_> = (0..BUCKETS).map(|_| Records::default()).collect();
        let peers = self.peers.iter().map(|peer| &peer.update);
        let alive = peers.filter(|update| update.state == PeerState::Alive);
        for update in alive.chain([self.peers.me()]) {
            let bucket = bucket(update.host.as_str());
            if is_wanted(bucket) {
                buckets[usize::from(bucket)].add_peer(update.clone());
            }
        }
        for known in self.endpoints.iter().filter(|k| k.state != EndpointState::Expired) {
            let announcement = known.announcement.clone();
            let bucket = bucket(announcement.endpoint.as_str());
            if is_wanted(bucket) {
                let update = EndpointUpdate { announcement, age: known.age(now) };
                buckets[usize::from(bucket)].add_endpoint(update);
            }
        }
        buckets
    }
}

impl Records {
    /// Returns the bound on the records' encoded length.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Moves all records into the lists of `message`.
    pub(crate) fn move_into(self, message: &mut Gossip) {
        message.peers.extend(self.peers);
        message.endpoints.extend(self.endpoints);
    }

    fn is_empty(&self) -> bool {
        self.peers.is_empty() && self.endpoints.is_empty()
    }

    fn append(&mut self, other: Self, room: usize) {
        for update in other.peers {
            if self.bytes + peer_bytes(&update) <= room {
                self.add_peer(update);
            }
        }
        for update in other.endpoints {
            if self.bytes + endpoint_bytes(&update.announcement) <= room {
                self.add_endpoint(update);
            }
        }
    }

    fn add_peer(&mut self, update: PeerUpdate) {
        self.bytes += peer_bytes(&update);
        self.peers.push(update);
    }

    fn add_endpoint(&mut self, update: EndpointUpdate) {
        self.bytes += endpoint_bytes(&update.announcement);
        self.endpoints.push(update);
    }
}
