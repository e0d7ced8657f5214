//! Gossip between routers: bytes, processor time and propagation time.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use member::Budget;

use crate::usage::thread_cpu;

use super::{Slope, net::Net};

/// Numbers of routers, up to and beyond today's fleets, each with [`FEW_ENDPOINTS`].
const PEERS: [usize; 7] = [4, 8, 16, 32, 64, 128, 350];

/// Endpoints in today's fleets.
const FEW_ENDPOINTS: usize = 24;

/// Numbers of endpoints up to the design size, with [`SOME_PEERS`] routers.
const ENDPOINTS: [usize; 4] = [18, 180, 600, 1_800];

/// Routers in the measurements by endpoints.
const SOME_PEERS: usize = 64;

/// Numbers of routers with the largest number of endpoints.
const PEERS_OF_ALL: [usize; 4] = [16, 64, 128, 350];

/// Virtual time until a fleet reaches a steady state.
const WARM_UP: Duration = Duration::from_secs(25);

/// Virtual time of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// Virtual time after which waiting for an update to propagate is given up.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Percentage of the endpoints that a restarted router must know.
const KNOWN_PERCENT: usize = 99;

/// Number of fleets simulated in parallel.
const WORKERS: usize = 3;

/// Measurements of one fleet.
#[derive(Clone, Copy, Debug)]
struct FleetStats {
    peers: usize,
    endpoints: usize,
    mean_bytes: f64,
    highest_bytes: f64,
    calls: f64,
    cores: f64,
    leave_millis: f64,
    pull_bytes: f64,
    pull_millis: f64,
}

/// Measures fleets of different sizes.
pub(super) fn slopes() -> eyre::Result<Vec<Slope>> {
    let fleets = measure_all()?;
    let mut slopes = by_peers(&fleets);
    slopes.extend(by_endpoints(&fleets));
    slopes.push(lease_floor());
    Ok(slopes)
}

fn by_peers(fleets: &[FleetStats]) -> Vec<Slope> {
    let few = |y: fn(&FleetStats) -> f64| {
        PEERS.iter().map(|&n| [n as f64, y(find(fleets, n, FEW_ENDPOINTS))]).collect::<Vec<_>>()
    };
    let all = |y: fn(&FleetStats) -> f64| {
        let endpoints = ENDPOINTS[ENDPOINTS.len() - 1];
        PEERS_OF_ALL.iter().map(|&n| [n as f64, y(find(fleets, n, endpoints))]).collect::<Vec<_>>()
    };
    let fit = |name, unit_y, points| Slope::fit(name, "peers", unit_y, points);
    vec![
        fit("peers/gossip bytes, 24 endpoints", "bytes a node and second", few(|f| f.mean_bytes)),
        fit("peers/gossip calls, 24 endpoints", "calls a node and second", few(|f| f.calls)),
        fit("peers/gossip processor time, 24 endpoints", "cores a node", few(|f| f.cores)),
        fit("peers/leave spread, 24 endpoints", "ms", few(|f| f.leave_millis)),
        fit("peers/gossip bytes, 1800 endpoints", "bytes a node and second", all(|f| f.mean_bytes)),
        fit(
            "peers/highest gossip bytes, 1800 endpoints",
            "bytes a node and second",
            all(|f| f.highest_bytes),
        ),
        fit("peers/gossip calls, 1800 endpoints", "calls a node and second", all(|f| f.calls)),
        fit("peers/gossip processor time, 1800 endpoints", "cores a node", all(|f| f.cores)),
        fit("peers/leave spread, 1800 endpoints", "ms", all(|f| f.leave_millis)),
    ]
}

fn by_endpoints(fleets: &[FleetStats]) -> Vec<Slope> {
    let points = |y: fn(&FleetStats) -> f64| {
        ENDPOINTS.iter().map(|&n| [n as f64, y(find(fleets, SOME_PEERS, n))]).collect::<Vec<_>>()
    };
    let fit = |name, unit_y, points| Slope::fit(name, "endpoints", unit_y, points);
    vec![
        fit(
            "endpoints/gossip bytes, 64 peers",
            "bytes a node and second",
            points(|f| f.mean_bytes),
        ),
        fit("endpoints/gossip processor time, 64 peers", "cores a node", points(|f| f.cores)),
        fit("endpoints/leave spread, 64 peers", "ms", points(|f| f.leave_millis)),
        fit(
            "endpoints/bytes until a restarted router knows 99 in 100",
            "bytes",
            points(|f| f.pull_bytes),
        ),
        fit(
            "endpoints/time until a restarted router knows 99 in 100",
            "ms",
            points(|f| f.pull_millis),
        ),
    ]
}

/// Returns the shortest lease that a fleet of the design size accepts.
fn lease_floor() -> Slope {
    let peers = PEERS[PEERS.len() - 1];
    let points = ENDPOINTS.iter().map(|&endpoints| {
        [endpoints as f64, Budget::default().lease_floor(peers, endpoints).as_secs_f64()]
    });
    Slope::fit("endpoints/shortest lease, 350 peers", "endpoints", "s", points.collect())
}

fn find(fleets: &[FleetStats], peers: usize, endpoints: usize) -> &FleetStats {
    fleets
        .iter()
        .find(|fleet| (fleet.peers, fleet.endpoints) == (peers, endpoints))
        .expect("every size listed is measured")
}

/// Measures every fleet, a few in parallel, largest first.
fn measure_all() -> eyre::Result<Vec<FleetStats>> {
    let mut sizes: Vec<_> = PEERS.iter().map(|&peers| (peers, FEW_ENDPOINTS)).collect();
    sizes.extend(ENDPOINTS.iter().map(|&endpoints| (SOME_PEERS, endpoints)));
    sizes.extend(PEERS_OF_ALL.iter().map(|&peers| (peers, ENDPOINTS[ENDPOINTS.len() - 1])));
    sizes.sort_unstable_by_key(|(peers, endpoints)| peers * (endpoints + 500));
    sizes.dedup();
    let remaining = Mutex::new(sizes);
    let worker = || {
        let mut fleets = Vec::new();
        loop {
            let size = remaining.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let Some((peers, endpoints)) = size else { return Ok(fleets) };
            fleets.push(measure(peers, endpoints)?);
            eprintln!("  {peers} routers with {endpoints} endpoints");
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS).map(|_| scope.spawn(worker)).collect();
        let mut fleets = Vec::new();
        for worker in workers {
            let measured: eyre::Result<Vec<FleetStats>> = worker.join().expect("no worker panics");
            fleets.extend(measured?);
        }
        Ok(fleets)
    })
}

fn measure(peers: usize, endpoints: usize) -> eyre::Result<FleetStats> {
    let mut net = Net::start(peers, endpoints);
    net.run(WARM_UP);
    net.bytes.fill(0);
    net.calls.fill(0);
    let before = thread_cpu()?;
    net.run(MEASUREMENT_TIME);
    let cpu = thread_cpu()? - before;
    let node_seconds = peers as f64 * MEASUREMENT_TIME.as_secs_f64();
    let mean_bytes = net.bytes.iter().sum::<u64>() as f64 / node_seconds;
    let highest = net.bytes.iter().max().copied().unwrap_or(0);
    let calls = net.calls.iter().sum::<u64>() as f64 / node_seconds;
    let (pull_bytes, pull_millis) = match peers {
        SOME_PEERS => measure_restart(&mut net, peers - 1, endpoints),
        _ => (0.0, 0.0),
    };
    Ok(FleetStats {
        peers,
        endpoints,
        mean_bytes,
        highest_bytes: highest as f64 / MEASUREMENT_TIME.as_secs_f64(),
        calls,
        cores: cpu.as_secs_f64() / node_seconds,
        leave_millis: measure_leave(&mut net),
        pull_bytes,
        pull_millis,
    })
}

/// Returns bytes and time until a restarted router knows [`KNOWN_PERCENT`] of the endpoints.
fn measure_restart(net: &mut Net, router: usize, endpoints: usize) -> (f64, f64) {
    net.bytes.fill(0);
    net.restart(router, 2);
    let begun = net.now;
    while net.routers[router].ready().count() < endpoints * KNOWN_PERCENT / 100
        && net.now.saturating_since(begun) < PROPAGATION_TIMEOUT
    {
        net.step();
    }
    (net.bytes[router] as f64, millis(net.now.saturating_since(begun)))
}

/// Returns the time until no router sends new requests to a leaving endpoint.
fn measure_leave(net: &mut Net) -> f64 {
    let begun = net.now;
    net.leave(0);
    while net.is_ready_anywhere(0) && net.now.saturating_since(begun) < PROPAGATION_TIMEOUT {
        net.step();
    }
    millis(net.now.saturating_since(begun))
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
