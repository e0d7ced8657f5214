//! In-memory simulation of gossiping routers, on a virtual clock and without loss.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::{BlockCount, EndpointId, Incarnation, MonotonicTime, Revision, Sequence, TokenCount};
use member::{
    Announcement, Budget, EndpointKind, Engine, Load, Membership, PeerState, PeerUpdate,
    ServedModel, TICK_INTERVAL,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use wire::peer::{gossip_from_bytes, gossip_to_bytes};

/// Number of models; each endpoint serves one of them.
pub(super) const MODELS: usize = 7;

/// Number of data centres of the routers and endpoints.
const DATA_CENTRES: usize = 16;

/// Range of a message's delay, in milliseconds.
const DELAY_MILLIS: std::ops::Range<u64> = 3..6;

/// Time between two announcements of one endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

const FIRST_PORT: u16 = 10_000;

/// Simulated routers and the messages in flight between them.
pub(super) struct Net {
    /// The virtual time.
    pub now: MonotonicTime,
    /// The routers.
    pub routers: Vec<Membership>,
    /// Bytes that each router sent and received.
    pub bytes: Vec<u64>,
    /// Requests that each router sent.
    pub calls: Vec<u64>,
    running: Vec<bool>,
    endpoints: usize,
    leaving: Option<usize>,
    rng: Pcg64,
    in_flight: BTreeMap<(MonotonicTime, u64), Message>,
    sent_count: u64,
}

struct Message {
    from: usize,
    to: usize,
    sent_at: MonotonicTime,
    is_response: bool,
    body: Vec<u8>,
}

impl Net {
    /// Starts routers with announcing endpoints; the number of running routers doubles every two
    /// seconds.
    pub(super) fn start(routers: usize, endpoints: usize) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let mut net = Self {
            now,
            routers: (0..routers).map(|i| router(now, i, 1)).collect(),
            bytes: vec![0; routers],
            calls: vec![0; routers],
            running: vec![false; routers],
            endpoints,
            leaving: None,
            rng: Pcg64::seed_from_u64(21),
            in_flight: BTreeMap::new(),
            sent_count: 0,
        };
        let mut running = 0;
        while running < routers {
            let more = routers.min((2 * running).max(1));
            (running..more).for_each(|i| net.restart(i, 1));
            running = more;
            net.run(Duration::from_secs(2));
        }
        net
    }

    /// Replaces a router by a new incarnation without state.
    pub(super) fn restart(&mut self, i: usize, incarnation: u64) {
        self.routers[i] = router(self.now, i, incarnation);
        self.running[i] = true;
    }

    /// Makes an endpoint announce to one router that it is leaving.
    pub(super) fn leave(&mut self, endpoint: usize) {
        self.leaving = Some(endpoint);
        self.announce(endpoint);
    }

    /// Returns whether any router would still send the endpoint new requests.
    pub(super) fn is_ready_anywhere(&self, endpoint: usize) -> bool {
        let id = endpoint_id(endpoint);
        self.routers.iter().any(|router| router.ready().any(|known| known.endpoint == id))
    }

    /// Advances the virtual time by `span`.
    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the virtual time by one tick.
    pub(super) fn step(&mut self) {
        let millis = self.now.since_origin().as_millis();
        if millis.is_multiple_of(ANNOUNCE_INTERVAL.as_millis()) {
            (0..self.endpoints).for_each(|endpoint| self.announce(endpoint));
        }
        for i in 0..self.routers.len() {
            if self.running[i] {
                self.tick(i);
            }
        }
        let next = self.now + TICK_INTERVAL;
        self.deliver_until(next);
        self.now = next;
    }

    fn tick(&mut self, i: usize) {
        for outgoing in self.routers[i].tick(self.now, &mut self.rng) {
            self.calls[i] += 1;
            let to = index(outgoing.to);
            let body = gossip_to_bytes(&outgoing.message);
            self.send(
                self.now,
                Message { from: i, to, sent_at: self.now, is_response: false, body },
            );
        }
    }

    /// Announces an endpoint to a random router.
    fn announce(&mut self, endpoint: usize) {
        let mut at = self.rng.random_range(0..self.routers.len());
        while !self.running[at] {
            at = self.rng.random_range(0..self.routers.len());
        }
        let millis = self.now.since_origin().as_millis() as u64;
        let mut announcement = announcement(endpoint, millis);
        if self.leaving == Some(endpoint) {
            announcement.leaving = true;
            announcement.sequence = Sequence::new(millis + 1);
        }
        let _ = self.routers[at].announce(self.now, announcement);
    }

    fn send(&mut self, at: MonotonicTime, message: Message) {
        self.bytes[message.from] += message.body.len() as u64;
        self.bytes[message.to] += message.body.len() as u64;
        let delay = Duration::from_millis(self.rng.random_range(DELAY_MILLIS));
        self.sent_count += 1;
        self.in_flight.insert((at + delay, self.sent_count), message);
    }

    fn deliver_until(&mut self, end: MonotonicTime) {
        while let Some(((at, _), _)) = self.in_flight.first_key_value() {
            if end <= *at {
                return;
            }
            let Some(((at, _), message)) = self.in_flight.pop_first() else { return };
            if self.running[message.to] {
                self.deliver(at, message);
            }
        }
    }

    fn deliver(&mut self, at: MonotonicTime, message: Message) {
        let Message { from, to, sent_at, is_response, body } = message;
        let gossip = gossip_from_bytes(&body).expect("decodes what was encoded");
        if !is_response {
            let body = gossip_to_bytes(&self.routers[to].handle_request(at, gossip));
            return self.send(at, Message { from: to, to: from, sent_at, is_response: true, body });
        }
        for outgoing in self.routers[to].handle_response(at, sent_at, gossip) {
            self.calls[to] += 1;
            let body = gossip_to_bytes(&outgoing.message);
            let from = to;
            let to = index(outgoing.to);
            self.send(at, Message { from, to, sent_at: at, is_response: false, body });
        }
    }
}

/// Returns the peer state of a router that has just started.
pub(super) fn peer(i: usize, incarnation: u64) -> PeerUpdate {
    PeerUpdate {
        host: format!("entry-host-{i}").parse().expect("a valid id"),
        data_centre: format!("data-centre-{}", i % DATA_CENTRES).parse().expect("a valid id"),
        address: address(i),
        incarnation: Incarnation::new(incarnation),
        sequence: Sequence::ZERO,
        heartbeat: Sequence::ZERO,
        revision: Revision::ZERO,
        leader: None,
        votes: false,
        draining: false,
        state: PeerState::Alive,
    }
}

/// Returns a router that has just started.
pub(super) fn router(now: MonotonicTime, i: usize, incarnation: u64) -> Membership {
    Membership::new(now, peer(i, incarnation), vec![address(0), address(1)], Budget::default())
}

/// Returns an announcement of an engine that serves one of the models.
pub(super) fn announcement(endpoint: usize, sequence: u64) -> Announcement {
    let model = ServedModel {
        model: format!("model-{}", endpoint % MODELS).parse().expect("a valid id"),
        weights: "2026-11-01".parse().expect("a valid id"),
        adapters: Vec::new(),
    };
    let load = Load {
        running: 180,
        waiting: sequence as u32 % 7,
        prefill_tokens: TokenCount::new(40_000 + sequence % 1_000),
        cached_blocks: BlockCount::new(100_000),
    };
    Announcement {
        endpoint: endpoint_id(endpoint),
        incarnation: Incarnation::new(1),
        sequence: Sequence::new(sequence),
        data_centre: format!("data-centre-{}", endpoint % DATA_CENTRES).parse().expect("valid"),
        address: address(endpoint),
        lease: 3 * ANNOUNCE_INTERVAL,
        leaving: false,
        kind: EndpointKind::Engine(Engine {
            service: None,
            models: vec![model],
            checks_fencing: true,
            block_tokens: TokenCount::new(16),
            load,
        }),
    }
}

fn endpoint_id(endpoint: usize) -> EndpointId {
    format!("engine-{endpoint}").parse().expect("a valid id")
}

fn address(i: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + i as u16).into()
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}
