//! Resident memory of state that grows with peers, endpoints, calls and organisations.
//!
//! This runs first and frees nothing in between, so that the growth of the process's resident
//! memory is that of the copies made.

use std::hint::black_box;

use base::{LogIndex, MonotonicTime};
use fleet::{Declaration, Fleet};
use member::{EndpointUpdate, Gossip};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use wire::peer::{gossip_from_bytes, gossip_to_bytes};

use crate::usage::resident_bytes;

use super::{Slope, claims, net, organisations};

const PEERS: [usize; 4] = [32, 64, 128, 350];
const ENDPOINTS: [usize; 4] = [180, 600, 1_200, 1_800];
const CALLS: [usize; 4] = [4_096, 16_384, 32_768, 65_536];
const ORGANISATIONS: [usize; 4] = [100, 800, 1_600, 3_100];

/// Copies of a router's state made at each size.
const ROUTER_COPIES: usize = 48;

/// Copies of a ledger made at each size.
const LEDGER_COPIES: usize = 2;

/// Copies of a declaration made at each size.
const DECLARATION_COPIES: usize = 12;

const KIB: f64 = 1_024.0;

/// Measures the memory of each kind of state.
pub(super) fn slopes() -> eyre::Result<Vec<Slope>> {
    Ok(vec![
        slope("peers/memory", "peers", &PEERS, ROUTER_COPIES, router_with_peers)?,
        slope("endpoints/memory", "endpoints", &ENDPOINTS, ROUTER_COPIES, router_with_endpoints)?,
        slope("calls/ledger memory", "calls kept", &CALLS, LEDGER_COPIES, ledger)?,
        slope(
            "organisations/memory",
            "organisations",
            &ORGANISATIONS,
            DECLARATION_COPIES,
            |organisations| {
                let text = organisations::declaration(organisations);
                Declaration::from_toml(&text).expect("the declaration is valid")
            },
        )?,
    ])
}

fn slope<T>(
    name: &'static str,
    unit_x: &'static str,
    sizes: &[usize],
    copies: usize,
    make: impl Fn(usize) -> T,
) -> eyre::Result<Slope> {
    let mut all_copies = Vec::with_capacity(sizes.len() * copies);
    let mut points = Vec::new();
    for &size in sizes {
        let before = resident_bytes()?;
        all_copies.extend((0..copies).map(|_| make(size)));
        let growth = (resident_bytes()? - before) / copies as f64;
        points.push([size as f64, growth / KIB]);
    }
    black_box(&all_copies);
    // Freed memory would be reused by the next measurement and hide its growth.
    std::mem::forget(all_copies);
    Ok(Slope::fit(name, unit_x, "KiB", points))
}

fn router_with_peers(peers: usize) -> member::Membership {
    let gossip =
        Gossip { peers: (2..peers + 2).map(|i| net::peer(i, 1)).collect(), ..first_message() };
    router_after(gossip)
}

fn router_with_endpoints(endpoints: usize) -> member::Membership {
    let update = |endpoint| EndpointUpdate {
        announcement: net::announcement(endpoint, 1).into(),
        age: std::time::Duration::ZERO,
    };
    router_after(Gossip { endpoints: (0..endpoints).map(update).collect(), ..first_message() })
}

/// Returns a router that received a message decoded from the wire format.
fn router_after(gossip: Gossip) -> member::Membership {
    let now = MonotonicTime::from_millis(1_000);
    let mut router = net::router(now, 0, 1);
    let gossip = gossip_from_bytes(&gossip_to_bytes(&gossip)).expect("decodes what was encoded");
    router.handle_request(now, gossip);
    router
}

fn first_message() -> Gossip {
    let now = MonotonicTime::from_millis(1_000);
    let mut router = net::router(now, 1, 1);
    let mut messages = router.tick(now, &mut Pcg64::seed_from_u64(1));
    messages.remove(0).message
}

fn ledger(calls: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for call in 0..calls as u64 {
        fleet.apply(LogIndex::new(2 * call + 1), &claims::claim(call));
        fleet.apply(LogIndex::new(2 * call + 2), &claims::finish(call));
    }
    fleet
}
