//! A simulated network with a virtual clock that loses, delays and duplicates messages.
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
    pub partition: Vec<u8>,
    pub stopped: Vec<bool>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: Range<u64>,
    pub bytes: Vec<u64>,
    rng: Pcg64,
    in_flight: BTreeMap<(MonotonicTime, u64), Envelope>,
    count: u64,
}

#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    sent: MonotonicTime,
    is_response: bool,
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
            partition: vec![0; size],
            stopped: vec![false; size],
            loss: 0.0,
            duplication: 0.0,
            delay: 3..6,
            bytes: vec![0; size],
            rng: Pcg64::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            count: 0,
        };
        net.routers = (0..size).map(|index| net.start(index, 1)).collect();
        net
    }

    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.routers[index] = self.start(index, incarnation);
        self.stopped[index] = false;
    }

    /// Runs for `millis` milliseconds, calling `before_tick` before every tick.
    pub fn run(&mut self, millis: u64, mut before_tick: impl FnMut(&mut Self)) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            before_tick(self);
            for index in 0..self.routers.len() {
                if self.stopped[index] {
                    continue;
                }
                let out = self.routers[index].tick(self.now, &mut self.rng);
                for outgoing in out {
                    self.send(index, outgoing.to, outgoing.message);
                }
            }
            let next = self.now + TICK_INTERVAL;
            self.deliver_until(next);
            self.now = next;
        }
    }

    pub fn settled(size: usize, seed: u64) -> Self {
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

    /// Announces services, each at a random running router.
    pub fn announce(&mut self, ids: Range<usize>, incarnation: u64, sequence: u64) {
        let running: Vec<_> =
            (0..self.routers.len()).filter(|&index| !self.stopped[index]).collect();
        for id in ids {
            let at = running[self.rng.random_range(0..running.len())];
            let _ = self.routers[at].announce(self.now, service(id, incarnation, sequence));
        }
    }

    /// Announces services as [`Net::announce`] does, once every `period` milliseconds.
    pub fn announce_every(&mut self, period: u64, ids: Range<usize>) {
        let millis = self.now.since_origin().as_millis() as u64;
        if millis.is_multiple_of(period) {
            self.announce(ids, 1, millis);
        }
    }

    fn start(&self, index: usize, incarnation: u64) -> Membership {
        let seeds = vec![address(0), address(1)];
        Membership::new(self.now, peer(index, incarnation), seeds, Budget::default())
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Gossip) {
        let to = usize::from(to.port()) - 10_000;
        self.transmit(self.now, Envelope { from, to, sent: self.now, is_response: false, message });
    }

    fn transmit(&mut self, at: MonotonicTime, envelope: Envelope) {
        let bytes = postcard::to_allocvec(&envelope.message).unwrap().len() as u64;
        self.bytes[envelope.from] += bytes;
        if self.partition[envelope.from] != self.partition[envelope.to]
            || self.rng.random_bool(self.loss)
        {
            return;
        }
        self.bytes[envelope.to] += bytes;
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(self.delay.clone()));
            self.count += 1;
            self.in_flight.insert((at + delay, self.count), envelope.clone());
        }
    }

    fn deliver_until(&mut self, end: MonotonicTime) {
        while let Some(((at, _), _)) = self.in_flight.first_key_value() {
            if end <= *at {
                return;
            }
            let ((at, _), envelope) = self.in_flight.pop_first().unwrap();
            if self.stopped[envelope.to] {
                continue;
            }
            let router = &mut self.routers[envelope.to];
            if envelope.is_response {
                for outgoing in router.handle_response(at, envelope.sent, envelope.message) {
                    let to = usize::from(outgoing.to.port()) - 10_000;
                    let message = outgoing.message;
                    self.transmit(
                        at,
                        Envelope { from: envelope.to, to, sent: at, is_response: false, message },
                    );
                }
                continue;
            }
            let message = router.handle_request(at, envelope.message);
            let (from, to) = (envelope.to, envelope.from);
            self.transmit(
                at,
                Envelope { from, to, sent: envelope.sent, is_response: true, message },
            );
        }
    }

    pub fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
