use std::time::Duration;

use base::{HostId, MonotonicTime};
use rand::Rng;

use crate::{
    EndpointState, EndpointUpdate, Gossip, Membership, Outgoing, PeerState, PeerUpdate, Pull,
    checksum::{BUCKET_COUNT, bucket},
    message::{endpoint_bytes, peer_bytes},
};

/// Time after which a router gives up pulling the whole roster.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a router that still catches up serves pulls from the records it has.
const SERVE_INCOMPLETE_AFTER: Duration = Duration::from_secs(5);

/// Time between two pulls of a router that has too few endpoints.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which an unanswered pull is retried at another peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// A pull of the whole roster, one range of buckets in each message.
#[derive(Debug)]
pub(crate) struct CatchUp {
    started: MonotonicTime,
    next_bucket: u16,
    initial_record_count: u32,
    in_flight: Option<(HostId, MonotonicTime)>,
}

impl CatchUp {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { started: now, next_bucket: 0, initial_record_count: 0, in_flight: None }
    }
}

/// Records for a message, with a bound on their encoded length.
#[derive(Debug, Default)]
pub(crate) struct Records {
    pub(crate) peers: Vec<PeerUpdate>,
    pub(crate) endpoints: Vec<EndpointUpdate>,
    bytes: usize,
}

impl Membership {
    /// Starts or continues the pull at a random peer, unless a pull is in flight.
    pub(crate) fn pull_from_random(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Option<Outgoing> {
        let pull = self.catch_up.as_ref()?;
        if CATCH_UP_TIMEOUT <= now.saturating_since(pull.started) {
            self.catch_up = None;
            return None;
        }
        let in_flight = pull.in_flight.as_ref();
        if in_flight.is_some_and(|(_, at)| now.saturating_since(*at) < PULL_TIMEOUT) {
            return None;
        }
        let host = self.peers.sample(1, rng).pop()?;
        let record_count = self.record_count();
        if let Some(pull) = self.catch_up.as_mut().filter(|pull| pull.next_bucket == 0) {
            pull.initial_record_count = record_count;
        }
        self.pull_from(now, &host)
    }

    /// Starts another pull if a peer reported clearly more endpoints than this router has.
    pub(crate) fn repeat_pull_if_incomplete(&mut self, now: MonotonicTime) {
        const MAX_MISSING_DIVISOR: usize = 32;
        let count = self.reported_endpoint_count as usize;
        let missing = count.saturating_sub(self.endpoints.live_count());
        let is_due = REPEAT_INTERVAL <= now.saturating_since(self.last_pull_at);
        if self.catch_up.is_some() || !is_due || missing <= count / MAX_MISSING_DIVISOR {
            return;
        }
        self.last_pull_at = now;
        self.catch_up = Some(CatchUp::new(now));
    }

    /// Continues the pull at the peer whose response says that there is more.
    pub(crate) fn continue_pull(
        &mut self,
        now: MonotonicTime,
        host: &HostId,
        next: u16,
    ) -> Option<Outgoing> {
        let pull = self.catch_up.as_mut()?;
        if pull.in_flight.as_ref().is_none_or(|(peer, _)| peer != host) {
            return None;
        }
        if BUCKET_COUNT <= next {
            self.catch_up = None;
            return None;
        }
        if next <= pull.next_bucket {
            pull.in_flight = None;
            return None;
        }
        pull.next_bucket = next;
        self.pull_from(now, host)
    }

    /// Returns the records for a pull and the bucket to continue at, which is the requested one if
    /// this router can't serve the pull.
    ///
    /// A router that still catches up at first serves only routers with far fewer records.
    pub(crate) fn serve_pull(
        &self,
        now: MonotonicTime,
        pull: Pull,
        max_bytes: usize,
    ) -> (Records, u16) {
        const FAR_MORE_FACTOR: u32 = 2;
        let first = pull.first;
        let min_bytes = self.budget.max_catch_up_message.as_u64() as usize / 2;
        let has_far_more = pull.record_count.saturating_mul(FAR_MORE_FACTOR) < self.record_count();
        let may_serve = self
            .catch_up
            .as_ref()
            .is_none_or(|own| SERVE_INCOMPLETE_AFTER <= now.saturating_since(own.started));
        if !(may_serve || has_far_more) || max_bytes < min_bytes {
            return (self.alternative_peers(), first);
        }
        let mut all = Records::default();
        let buckets = self.records_by_bucket(now, |bucket| first <= bucket);
        for (next, records) in buckets.into_iter().enumerate().skip(first.into()) {
            if !all.is_empty() && max_bytes < all.bytes + records.bytes {
                return (all, next as u16);
            }
            all.append(records, max_bytes);
        }
        (all, BUCKET_COUNT)
    }

    /// Returns the records of `buckets` that fit into `max_bytes`.
    pub(crate) fn records(&self, now: MonotonicTime, buckets: &[u16], max_bytes: usize) -> Records {
        let mut all = Records::default();
        for records in self.records_by_bucket(now, |bucket| buckets.contains(&bucket)) {
            all.append(records, max_bytes);
        }
        all
    }

    /// Returns a few live routers, different ones each time, at which to retry a pull.
    fn alternative_peers(&self) -> Records {
        const ALTERNATIVE_PEER_COUNT: usize = 8;
        let mut records = Records::default();
        let count = self.peers.live().count().max(1);
        let offset = self.peers.me().heartbeat.as_u64() as usize * ALTERNATIVE_PEER_COUNT % count;
        let rotated = self.peers.live().skip(offset).chain(self.peers.live().take(offset));
        for peer in rotated
            .filter(|peer| peer.update.state == PeerState::Alive)
            .take(ALTERNATIVE_PEER_COUNT)
        {
            records.add_peer(peer.update.clone());
        }
        records
    }

    fn pull_from(&mut self, now: MonotonicTime, host: &HostId) -> Option<Outgoing> {
        let pull = self.catch_up.as_mut()?;
        pull.in_flight = Some((host.clone(), now));
        let first = pull.next_bucket;
        let record_count = pull.initial_record_count;
        self.send(now, host, |message| message.pull = Some(Pull { first, record_count }))
    }

    fn record_count(&self) -> u32 {
        let count = self.peers.live().count() + self.endpoints.live_count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn records_by_bucket(
        &self,
        now: MonotonicTime,
        is_selected: impl Fn(u16) -> bool,
    ) -> Vec<Records> {
        let mut buckets: Vec<_> = (0..BUCKET_COUNT).map(|_| Records::default()).collect();
        let peers = self.peers.iter().map(|peer| &peer.update);
        let alive = peers.filter(|update| update.state == PeerState::Alive);
        for update in alive.chain([self.peers.me()]) {
            let bucket = bucket(update.host.as_str());
            if is_selected(bucket) {
                buckets[usize::from(bucket)].add_peer(update.clone());
            }
        }
        for record in self.endpoints.iter().filter(|record| record.state != EndpointState::Expired)
        {
            let announcement = record.announcement.clone();
            let bucket = bucket(announcement.endpoint.as_str());
            if is_selected(bucket) {
                let update = EndpointUpdate { announcement, age: record.age(now) };
                buckets[usize::from(bucket)].add_endpoint(update);
            }
        }
        buckets
    }
}

impl Records {
    /// Returns an upper bound on the encoded length of the records.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Moves all records into `message`.
    pub(crate) fn move_into(self, message: &mut Gossip) {
        message.peers.extend(self.peers);
        message.endpoints.extend(self.endpoints);
    }

    fn is_empty(&self) -> bool {
        self.peers.is_empty() && self.endpoints.is_empty()
    }

    fn append(&mut self, other: Self, max_bytes: usize) {
        for update in other.peers {
            if self.bytes + peer_bytes(&update) <= max_bytes {
                self.add_peer(update);
            }
        }
        for update in other.endpoints {
            if self.bytes + endpoint_bytes(&update.announcement) <= max_bytes {
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
