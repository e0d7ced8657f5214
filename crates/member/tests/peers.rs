//! Discovery, failure detection and recovery of routers.

mod net;

use base::Revision;
use member::{MAX_PEERS, PeerState};
use net::Net;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

macro_rules! sizes {
    ($($name:ident: $size:literal,)*) => {$(
        #[test]
        fn $name() {
            let net = Net::settled($size, 1);
            for index in 0..$size {
                assert_eq!(net.alive_at(index), $size - 1, "router {index}");
            }
        }
    )*};
}

sizes! {
    two_routers_discover_each_other: 2,
    eight_routers_discover_each_other: 8,
    thirty_two_routers_discover_each_other: 32,
}

#[test]
fn stopped_router_is_detected_by_all() {
    let mut net = Net::settled(8, 2);
    net.stopped[5] = true;
    net.run(25_000, |_| ());
    for index in (0..8).filter(|&index| index != 5) {
        assert_eq!(net.alive_at(index), 6, "router {index}");
    }
}

#[test]
fn loss_and_jitter_cause_no_false_deaths() {
    let mut net = Net::settled(8, 3);
    net.loss = 0.3;
    net.delay = 1..150;
    net.duplication = 0.1;
    let mut dead = 0;
    net.run(120_000, |net| {
        dead += net
            .routers
            .iter()
            .map(|r| r.peers().iter().count() - r.peers().live().count())
            .sum::<usize>();
    });
    assert_eq!(dead, 0);
}

#[test]
fn router_paused_for_ten_seconds_recovers_without_false_suspicions() {
    let mut net = Net::settled(8, 4);
    net.stopped[3] = true;
    net.run(10_000, |_| ());
    net.stopped[3] = false;
    let mut suspected = 0;
    net.run(10_000, |net| {
        let others = net.routers.iter().flat_map(|router| router.peers().iter());
        let suspicions = others.filter(|peer| peer.update.state != PeerState::Alive);
        suspected += suspicions.filter(|peer| peer.update.host.as_str() != "entry-host-3").count();
    });
    assert_eq!(suspected, 0);
    for index in 0..8 {
        assert_eq!(net.alive_at(index), 7, "router {index}");
    }
}

#[test]
fn isolated_router_suspects_no_other() {
    let mut net = Net::settled(8, 5);
    net.partition[2] = 1;
    net.run(60_000, |_| ());
    assert!(net.routers[2].peers().is_isolated(net.now));
    assert_eq!(net.routers[2].peers().live().count(), 7);
    net.partition[2] = 0;
    net.run(15_000, |_| ());
    for index in 0..8 {
        assert_eq!(net.alive_at(index), 7, "router {index}");
    }
}

#[test]
fn partition_heals() {
    let mut net = Net::settled(12, 6);
    (0..6).for_each(|index| net.partition[index] = 1);
    net.run(60_000, |_| ());
    assert_eq!(net.alive_at(0), 5);
    assert_eq!(net.alive_at(11), 5);
    net.partition.fill(0);
    net.run(30_000, |_| ());
    for index in 0..12 {
        assert_eq!(net.alive_at(index), 11, "router {index}");
    }
}

#[test]
fn restarted_router_has_the_roster_within_two_seconds() {
    let mut net = Net::settled(32, 7);
    net.run(5_000, |net| net.announce(0..20, 1, net.now.since_origin().as_millis() as u64));
    net.restart(9, 2);
    net.run(2_000, |net| net.announce(0..20, 1, net.now.since_origin().as_millis() as u64));
    assert_eq!(net.alive_at(9), 31);
    assert_eq!(net.ready_at(9), 20);
}

#[test]
fn restart_with_a_lower_incarnation_raises_it() {
    let mut net = Net::settled(8, 8);
    net.restart(4, 0);
    net.run(10_000, |_| ());
    let me = net.routers[4].peers().me().clone();
    for index in (0..8).filter(|&index| index != 4) {
        let peer = net.routers[index].peers().find(&me.host).unwrap();
        assert_eq!(peer.update.incarnation, me.incarnation, "router {index}");
    }
}

#[test]
fn newest_revision_reaches_all_routers_within_two_seconds() {
    let mut net = Net::settled(32, 9);
    net.routers[17].set_revision(Revision::new(5));
    net.run(2_000, |_| ());
    for router in &net.routers {
        assert_eq!(router.newest_revision().revision, Revision::new(5));
    }
}

#[test]
fn draining_reaches_all_routers_within_three_seconds() {
    let mut net = Net::settled(32, 10);
    net.routers[6].set_draining(true);
    let host = net.routers[6].peers().me().host.clone();
    net.run(3_000, |_| ());
    for router in net.routers.iter().filter(|router| router.peers().me().host != host) {
        assert!(router.peers().find(&host).unwrap().update.draining);
    }
}

#[test]
fn number_of_peers_is_bounded() {
    let mut net = Net::new(1, 11);
    for index in 1..MAX_PEERS + 100 {
        let mut other = Net::new(1, 12).routers.remove(0).tick(net.now, &mut rng());
        let Some(outgoing) = other.pop() else { panic!("no seed is probed") };
        let mut message = outgoing.message;
        message.from = net::peer(index, 1);
        net.routers[0].handle_request(net.now, message);
    }
    assert_eq!(net.routers[0].peers().iter().count(), MAX_PEERS);
}

fn rng() -> Pcg64 {
    Pcg64::seed_from_u64(1)
}
