//! Routers that gossip in memory, on a virtual clock and without loss.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::{BlockCount, EndpointId, Incarnation, MonotonicTime, Revision, Sequence, TokenCount};
use member::{
    Announcement, Budget, EndpointKind, Engine, Load, Membership, PeerState, PeerUpdate,
    ServedModel, TICK_INTERVAL,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use wire::peer::{gossip_from_bytes, gossip_to_bytes};

/// Models that the endpoints serve, one each.
pub(super) const MODELS: usize = 7;

/// Data centres that the routers and endpoints stand in.
const DATA_CENTRES: usize = 16;

/// Delay of a message, in milliseconds.
const DELAY_MILLIS: std::ops::Range<u64> = 3..6;

/// Time between two announcements of one endpoint.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

const FIRST_PORT: u16 = 10_000;

/// Routers and the messages between them.
pub(super) struct Net {
    /// The virtual time.
    pub now: MonotonicTime,
    /// The routers.
    pub routers: Vec<Membership>,
    /// Bytes that each router sent and received.
    pub bytes: Vec<u64>,
    /// Calls that each router made.
    pub calls: Vec<u64>,
    running: Vec<bool>,
    endpoints: usize,
    leaving: Option<usize>,
    rng: Pcg64,
    under_way: BTreeMap<(MonotonicTime, u64), Message>,
    sent: u64,
}

struct Message {
    from: usize,
    to: usize,
    sent: MonotonicTime,
    is_answer: bool,
    body: Vec<u8>,
}

impl Net {
    /// Starts routers, the running ones doubling each two seconds, before announced endpoints.
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
            under_way: BTreeMap::new(),
            sent: 0,
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

    /// Replaces a router's process by a new one that knows nothing.
    pub(super) fn restart(&mut self, i: usize, incarnation: u64) {
        self.routers[i] = router(self.now, i, incarnation);
        self.running[i] = true;
    }

    /// Lets an endpoint announce to one router that it leaves.
    pub(super) fn leave(&mut self, endpoint: usize) {
        self.leaving = Some(endpoint);
        self.announce(endpoint);
    }

    /// Returns whether any router would still give the endpoint new work.
    pub(super) fn is_ready_anywhere(&self, endpoint: usize) -> bool {
        let id = endpoint_id(endpoint);
        self.routers.iter().any(|router| router.ready().any(|known| known.endpoint == id))
    }

    /// Lets virtual time pass.
    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one tick pass.
    pub(super) fn step(&mut self) {
        let millis = self.now.since_origin().as_millis();
        if millis.is_multiple_of(ANNOUNCE_PERIOD.as_millis()) {
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
            self.post(self.now, Message { from: i, to, sent: self.now, is_answer: false, body });
        }
    }

    /// Announces an endpoint to a random router.
    fn announce(&mut self, endpoint: usize) {
        let mut at = self.rng.random_range(0..self.routers.len());
        while !self.running[at] {
            at = self.rng.random_range(0..self.routers.len());
        }
        let millis = self.now.since_origin().as_millis() as u64;
        let mut news = announcement(endpoint, millis);
        if self.leaving == Some(endpoint) {
            news.leaving = true;
            news.sequence = Sequence::new(millis + 1);
        }
        let _ = self.routers[at].announce(self.now, news);
    }

    fn post(&mut self, at: MonotonicTime, message: Message) {
        self.bytes[message.from] += message.body.len() as u64;
        self.bytes[message.to] += message.body.len() as u64;
        let delay = Duration::from_millis(self.rng.random_range(DELAY_MILLIS));
        self.sent += 1;
        self.under_way.insert((at + delay, self.sent), message);
    }

    fn deliver_until(&mut self, end: MonotonicTime) {
        while let Some(((at, _), _)) = self.under_way.first_key_value() {
            if end <= *at {
                return;
            }
            let Some(((at, _), message)) = self.under_way.pop_first() else { return };
            if self.running[message.to] {
                self.deliver(at, message);
            }
        }
    }

    fn deliver(&mut self, at: MonotonicTime, message: Message) {
        let Message { from, to, sent, is_answer, body } = message;
        let gossip = gossip_from_bytes(&body).expect("own bytes can be read");
        if !is_answer {
            let body = gossip_to_bytes(&self.routers[to].handle_request(at, gossip));
            return self.post(at, Message { from: to, to: from, sent, is_answer: true, body });
        }
        for outgoing in self.routers[to].handle_response(at, sent, gossip) {
            self.calls[to] += 1;
            let body = gossip_to_bytes(&outgoing.message);
            let from = to;
            let to = index(outgoing.to);
            self.post(at, Message { from, to, sent: at, is_answer: false, body });
        }
    }
}

/// Returns the state of a router that has just started.
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

/// Returns the announcement of an engine that serves one of the models.
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
        lease: 3 * ANNOUNCE_PERIOD,
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
