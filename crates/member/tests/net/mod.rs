//! A message loop with a virtual clock, in which messages are lost, delayed and doubled.
#![allow(dead_code)]

use std::{collections::BTreeMap, net::SocketAddr, ops::Range, time::Duration};

use base::{Incarnation, MonotonicTime, Revision, Sequence, ServiceId};
use member::{
    Announcement, Budget, EndpointKind, Gossip, Membership, PeerState, PeerUpdate, TICK_INTERVAL,
};
use rand::{Rng, RngExt};
use rand_pcg::{Pcg64, rand_core::SeedableRng};

pub struct Net {
    pub now: MonotonicTime,
    pub routers: Vec<Membership>,
    pub group: Vec<u8>,
    pub stopped: Vec<bool>,
    pub loss: f64,
    pub doubling: f64,
    pub delay: Range<u64>,
    pub bytes: Vec<u64>,
    rng: Pcg64,
    calls: BTreeMap<(MonotonicTime, u64), Call>,
    count: u64,
}

#[derive(Clone)]
struct Call {
    from: usize,
    to: usize,
    sent: MonotonicTime,
    is_answer: bool,
    message: Gossip,
}

pub fn address(port: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + port as u16).into()
}

pub fn peer(index: usize, incarnation: u64) -> PeerUpdate {
    PeerUpdate {
        host: format!("entry-host-{index}").parse().unwrap(),
        data_centre: format!("data-centre-{}", index % 3).parse().unwrap(),
        address: address(index),
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

pub fn service(id: usize, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        endpoint: format!("service-{id}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        sequence: Sequence::new(sequence),
        data_centre: "data-centre-0".parse().unwrap(),
        address: address(id),
        lease: Duration::from_secs(3),
        leaving: false,
        kind: EndpointKind::Service("rota".parse::<ServiceId>().unwrap()),
    }
}

impl Net {
    pub fn new(size: usize, seed: u64) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let mut net = Self {
            now,
            routers: Vec::new(),
            group: vec![0; size],
            stopped: vec![false; size],
            loss: 0.0,
            doubling: 0.0,
            delay: 3..6,
            bytes: vec![0; size],
            rng: Pcg64::seed_from_u64(seed),
            calls: BTreeMap::new(),
            count: 0,
        };
        net.routers = (0..size).map(|index| net.start(index, 1)).collect();
        net
    }

    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.routers[index] = self.start(index, incarnation);
        self.stopped[index] = false;
    }

    /// Runs for `millis`, calling `each` before every tick.
    pub fn run(&mut self, millis: u64, mut each: impl FnMut(&mut Self)) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            each(self);
            for index in 0..self.routers.len() {
                if self.stopped[index] {
                    continue;
                }
                let out = self.routers[index].tick(self.now, &mut self.rng);
                for outgoing in out {
                    self.call(index, outgoing.to, outgoing.message);
                }
            }
            let next = self.now + TICK_INTERVAL;
            self.deliver_until(next);
            self.now = next;
        }
    }

    pub fn settle(size: usize, seed: u64) -> Self {
        let mut net = Self::new(size, seed);
        net.run(30_000, |_| ());
        net
    }

    pub fn alive_at(&self, index: usize) -> usize {
        let peers = self.routers[index].peers().iter();
        peers.filter(|peer| peer.update.state == PeerState::Alive).count()
    }

    pub fn ready_at(&self, index: usize) -> usize {
        self.routers[index].ready().count()
    }

    /// Announces services, each to a random one of the routers that run.
    pub fn announce(&mut self, ids: Range<usize>, incarnation: u64, sequence: u64) {
        let running: Vec<_> =
            (0..self.routers.len()).filter(|&index| !self.stopped[index]).collect();
        for id in ids {
            let at = running[self.rng.random_range(0..running.len())];
            let _ = self.routers[at].announce(self.now, service(id, incarnation, sequence));
        }
    }

    /// Announces services as [`Net::announce`] does, if `period` milliseconds have passed again.
    pub fn announce_each(&mut self, period: u64, ids: Range<usize>) {
        let millis = self.now.since_origin().as_millis() as u64;
        if millis.is_multiple_of(period) {
            self.announce(ids, 1, millis);
        }
    }

    fn start(&self, index: usize, incarnation: u64) -> Membership {
        let seeds = vec![address(0), address(1)];
        Membership::new(self.now, peer(index, incarnation), seeds, Budget::default())
    }

    fn call(&mut self, from: usize, to: SocketAddr, message: Gossip) {
        let to = usize::from(to.port()) - 10_000;
        self.post(self.now, Call { from, to, sent: self.now, is_answer: false, message });
    }

    fn post(&mut self, at: MonotonicTime, call: Call) {
        let bytes = postcard::to_allocvec(&call.message).unwrap().len() as u64;
        self.bytes[call.from] += bytes;
        if self.group[call.from] != self.group[call.to] || self.rng.random_bool(self.loss) {
            return;
        }
        self.bytes[call.to] += bytes;
        let copies = if self.rng.random_bool(self.doubling) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(self.delay.clone()));
            self.count += 1;
            self.calls.insert((at + delay, self.count), call.clone());
        }
    }

    fn deliver_until(&mut self, end: MonotonicTime) {
        while let Some(((at, _), _)) = self.calls.first_key_value() {
            if end <= *at {
                return;
            }
            let ((at, _), call) = self.calls.pop_first().unwrap();
            if self.stopped[call.to] {
                continue;
            }
            let router = &mut self.routers[call.to];
            if call.is_answer {
                for outgoing in router.handle_response(at, call.sent, call.message) {
                    let to = usize::from(outgoing.to.port()) - 10_000;
                    let message = outgoing.message;
                    self.post(at, Call { from: call.to, to, sent: at, is_answer: false, message });
                }
                continue;
            }
            let message = router.handle_request(at, call.message);
            let (from, to) = (call.to, call.from);
            self.post(at, Call { from, to, sent: call.sent, is_answer: true, message });
        }
    }

    pub fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
