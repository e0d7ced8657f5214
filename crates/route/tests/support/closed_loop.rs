//! Routers that choose endpoints by the load that they know and the factors that are published.

use std::time::Duration;

use base::MonotonicTime;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{ResponseTimes, ServiceKey, Slowness, SlownessEstimator, expected_call_time};

const ENDPOINTS: usize = 6;
const REQUESTS_PER_S: f64 = 150.0;
const BASE_TIME_MS: f64 = 100.0;

/// Requests in flight from which the first endpoint is slow: half of its six slots.
const SLOW_FROM: u32 = 4;
const SLOW_FACTOR: f64 = 5.0;

/// Response time from which a response is late.
const OBJECTIVE_MS: u64 = 200;

/// Age of the loads and factors that routers know.
const POLL_MS: u64 = 150;

/// Outcome of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Responses that took longer than the objective.
    pub late: u32,
    /// Requests sent to the endpoint that slows down under load.
    pub sent_to_first: u32,
}

/// A closed loop of routers, endpoints and the estimator, in steps of one millisecond.
pub struct ClosedLoop {
    uses_factors: bool,
    rng: Pcg64Mcg,
    in_flight: Vec<InFlight>,
    known_loads: [u32; ENDPOINTS],
    factors: [Slowness; ENDPOINTS],
    times: ResponseTimes<usize>,
    estimator: SlownessEstimator<usize>,
    outcome: Outcome,
}

struct InFlight {
    endpoint: usize,
    sent_ms: u64,
    expected: Duration,
    /// Work left, in milliseconds at the base speed.
    left: f64,
}

impl ClosedLoop {
    pub fn new(uses_factors: bool) -> Self {
        Self {
            uses_factors,
            rng: Pcg64Mcg::seed_from_u64(3),
            in_flight: Vec::new(),
            known_loads: [0; ENDPOINTS],
            factors: [Slowness::NOMINAL; ENDPOINTS],
            times: ResponseTimes::default(),
            estimator: SlownessEstimator::default(),
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self, span: Duration) -> Outcome {
        for now_ms in 0..span.as_millis() as u64 {
            self.work(now_ms);
            if self.rng.random_bool(REQUESTS_PER_S / 1_000.0) {
                self.send(now_ms);
            }
            if now_ms % POLL_MS == 0 {
                self.poll(MonotonicTime::from_millis(now_ms));
            }
        }
        self.outcome
    }

    fn load(&self, endpoint: usize) -> u32 {
        self.in_flight.iter().filter(|request| request.endpoint == endpoint).count() as u32
    }

    fn send(&mut self, now_ms: u64) {
        let load =
            |endpoint: &usize| self.factors[*endpoint].weighted_load(self.known_loads[*endpoint]);
        let least = (0..ENDPOINTS).map(|endpoint| load(&endpoint)).min().unwrap();
        let tied: Vec<_> = (0..ENDPOINTS).filter(|endpoint| load(endpoint) == least).collect();
        let endpoint = tied[self.rng.random_range(0..tied.len())];
        let expected = expected_call_time(self.known_loads[endpoint]);
        let left = BASE_TIME_MS * self.rng.random_range(0.6..1.4);
        self.in_flight.push(InFlight { endpoint, sent_ms: now_ms, expected, left });
        self.outcome.sent_to_first += u32::from(endpoint == 0);
    }

    fn work(&mut self, now_ms: u64) {
        let slow = SLOW_FROM <= self.load(0);
        for request in &mut self.in_flight {
            let is_slow = slow && request.endpoint == 0;
            request.left -= if is_slow { 1.0 / SLOW_FACTOR } else { 1.0 };
        }
        for done in self.in_flight.extract_if(.., |request| request.left <= 0.0) {
            let took_ms = now_ms - done.sent_ms;
            let service = ServiceKey::of(&"chat".parse().unwrap());
            self.times.record(
                done.endpoint,
                service,
                done.expected,
                Duration::from_millis(took_ms),
            );
            self.outcome.late += u32::from(OBJECTIVE_MS < took_ms);
        }
    }

    fn poll(&mut self, now: MonotonicTime) {
        self.known_loads = std::array::from_fn(|endpoint| self.load(endpoint));
        self.estimator.record(now, &self.times.take());
        self.estimator.update(now);
        self.factors = [Slowness::NOMINAL; ENDPOINTS];
        if !self.uses_factors {
            return;
        }
        for published in self.estimator.published() {
            self.factors[published.endpoint] = published.slowness;
        }
    }
}
