use std::time::Duration;

use base::TokenRate;
use rand::{Rng, RngExt as _};

use crate::{Candidate, Policy, Request};

/// What the score of [`Warm`] counts, and how much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmSettings {
    /// Rate at which an engine computes a prompt's tokens.
    pub prefill_rate: TokenRate,
    /// What a request under way adds to the time to first token of the next.
    pub request_time: Duration,
    /// Weight of the time to compute the tokens that are not warm.
    pub warmth: f64,
    /// Weight of the time that the request waits behind others.
    pub wait: f64,
    /// Weight of the time to compute tokens away from the prefix's homes, where later requests
    /// will not find them.
    pub away: f64,
    /// Age at which a load report counts half, and the mean of all reports the other half.
    pub report_half_life: Duration,
    /// Share by which a home's load may exceed the mean before the next by rank takes its place.
    pub load_slack: f64,
    /// Requests up to which a home's load never exceeds its bound.
    pub free_requests: u32,
    /// Candidates whose score is no further from the best are equals.
    pub margin: Duration,
}

impl Default for WarmSettings {
    fn default() -> Self {
        Self {
            prefill_rate: TokenRate::new(20_000),
            request_time: Duration::from_millis(2),
            warmth: 1.0,
            wait: 1.0,
            away: 0.5,
            report_half_life: Duration::from_millis(500),
            load_slack: 0.25,
            free_requests: 4,
            margin: Duration::from_millis(1),
        }
    }
}

/// Takes the least estimated time to first token, and a random one among equals.
///
/// The estimate adds, in seconds, the time to compute the tokens that are not warm, the wait behind
/// own and reported load, and the round trip. Reported load counts less the older it is, so that
/// routers that saw one low report do not all follow it. Where nothing is known to be warm the
/// prefix's home wins, unless its load exceeds its bound.
#[derive(Clone, Debug, Default)]
pub struct Warm {
    settings: WarmSettings,
    loads: Vec<Load>,
    scores: Vec<f64>,
}

/// The estimated load of a candidate.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    requests: f64,
    prefill_tokens: f64,
}

impl Warm {
    /// Creates the policy.
    pub fn new(settings: WarmSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Estimates the load of each candidate from own work and aged reports.
    fn estimate_loads(&mut self, candidates: &[Candidate]) {
        let half_life = self.settings.report_half_life.as_secs_f64();
        let count = candidates.len() as f64;
        let mut mean = Load::default();
        for reported in candidates.iter().map(Load::of_others) {
            mean.requests += reported.requests / count;
            mean.prefill_tokens += reported.prefill_tokens / count;
        }
        self.loads.clear();
        self.loads.extend(candidates.iter().map(|candidate| {
            let age = candidate.report_age.as_secs_f64();
            let freshness = half_life / (half_life + age).max(f64::MIN_POSITIVE);
            let others = Load::of_others(candidate).blend(mean, freshness);
            Load {
                requests: f64::from(candidate.in_flight) + others.requests,
                prefill_tokens: candidate.own_prefill_tokens.as_u64() as f64
                    + others.prefill_tokens,
            }
        }));
    }

    /// Returns the lowest rank that makes a candidate a home; one above its bound is none.
    fn lowest_home_rank(&self, req: &Request, candidates: &[Candidate]) -> u64 {
        let total: f64 = self.loads.iter().map(|load| load.requests).sum();
        let mean = total / candidates.len() as f64;
        let slack = 1.0 + self.settings.load_slack;
        let bound = (mean * slack + 1.0).max(self.settings.free_requests.into());
        let mut top = TopRanks::new(req.homes);
        for (candidate, load) in candidates.iter().zip(&self.loads) {
            if load.requests <= bound {
                top.add(candidate.rank);
            }
        }
        top.lowest()
    }

    /// Estimates the time to first token at a candidate, in weighted seconds.
    fn score(&self, req: &Request, candidate: &Candidate, load: Load, lowest_home: u64) -> f64 {
        let settings = &self.settings;
        let rate = (settings.prefill_rate.as_u64() as f64).max(1.0);
        let cold = req.prompt_tokens.as_u64().saturating_sub(candidate.warm_tokens.as_u64());
        let compute = cold as f64 / rate;
        let wait = load.prefill_tokens / rate + load.requests * settings.request_time.as_secs_f64();
        let away = if candidate.rank < lowest_home { settings.away } else { 0.0 };
        compute * (settings.warmth + away)
            + wait * settings.wait
            + candidate.round_trip.as_secs_f64()
    }
}

impl Policy for Warm {
    fn choose<R: Rng>(
        &mut self,
        req: &Request,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<usize> {
        self.estimate_loads(candidates);
        let lowest_home = self.lowest_home_rank(req, candidates);
        let mut scores = std::mem::take(&mut self.scores);
        scores.clear();
        let scored = candidates.iter().zip(&self.loads);
        scores.extend(scored.map(|(c, &load)| self.score(req, c, load, lowest_home)));
        self.scores = scores;
        choose_among_least(&self.scores, self.settings.margin, rng)
    }
}

impl Load {
    /// Returns the reported load without this router's part of it.
    fn of_others(candidate: &Candidate) -> Self {
        let requests = candidate.reported_requests.saturating_sub(candidate.in_flight);
        let reported = candidate.reported_prefill_tokens.as_u64();
        let tokens = reported.saturating_sub(candidate.own_prefill_tokens.as_u64());
        Self { requests: f64::from(requests), prefill_tokens: tokens as f64 }
    }

    /// Moves from `mean` towards `self` by `share`.
    fn blend(self, mean: Self, share: f64) -> Self {
        let between = |from: f64, to: f64| from + (to - from) * share;
        Self {
            requests: between(mean.requests, self.requests),
            prefill_tokens: between(mean.prefill_tokens, self.prefill_tokens),
        }
    }
}

/// Chooses at random among the positions whose score is within `margin` of the least.
fn choose_among_least<R: Rng>(scores: &[f64], margin: Duration, rng: &mut R) -> Option<usize> {
    let least = scores.iter().copied().min_by(f64::total_cmp)?;
    let bound = least + margin.as_secs_f64();
    let equals = || (0..scores.len()).filter(|&i| scores[i] <= bound);
    match equals().count() {
        0 => None,
        count => equals().nth(rng.random_range(0..count)),
    }
}

/// Most homes that a prefix can have.
const MAX_HOMES: usize = 16;

/// The highest ranks seen, in descending order.
struct TopRanks {
    ranks: [u64; MAX_HOMES],
    len: usize,
}

impl TopRanks {
    fn new(len: u32) -> Self {
        let len = (len as usize).clamp(1, MAX_HOMES);
        Self { ranks: [0; MAX_HOMES], len }
    }

    fn add(&mut self, rank: u64) {
        let last = self.len - 1;
        if rank <= self.ranks[last] {
            return;
        }
        let place = self.ranks[..last].partition_point(|&higher| rank <= higher);
        self.ranks[place..self.len].rotate_right(1);
        self.ranks[place] = rank;
    }

    fn lowest(&self) -> u64 {
        self.ranks[self.len - 1]
    }
}
