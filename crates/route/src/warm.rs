use std::{mem, time::Duration};

use base::TokenRate;
use rand::{Rng, RngExt as _};

use crate::{Candidate, Policy, Request, TtftEstimate};

/// What the score of [`Warm`] counts, and how much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmSettings {
    /// Rate at which an engine computes a prompt's tokens.
    pub prefill_rate: TokenRate,
    /// What a request under way adds to the time to first token of the next.
    pub request_time: Duration,
    /// How long a request holds one of an endpoint's slots.
    pub hold_time: Duration,
    /// Weight of the time to compute the tokens that are not warm.
    pub compute_weight: f64,
    /// Weight of the time that the request waits behind others.
    pub wait_weight: f64,
    /// Weight of the time to compute tokens away from the prefix's homes, where later requests
    /// will not find them; it counts less for the candidates next by rank.
    pub away_weight: f64,
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
            hold_time: Duration::from_millis(500),
            compute_weight: 1.0,
            wait_weight: 0.8,
            away_weight: 2.0,
            report_half_life: Duration::from_millis(1_000),
            load_slack: 0.25,
            free_requests: 4,
            margin: Duration::from_millis(1),
        }
    }
}

impl WarmSettings {
    /// Returns settings that accept a longer wait for a higher hit rate.
    ///
    /// They suit long prompts whose recomputation delays everybody behind; the default suits
    /// callers that wait for each answer.
    pub fn favouring_hits() -> Self {
        Self { wait_weight: 0.4, away_weight: 3.0, ..Self::default() }
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

    /// Replaces the settings; the next choice follows the new ones.
    pub fn set_settings(&mut self, settings: WarmSettings) {
        self.settings = settings;
    }

    /// Returns the parts of each candidate's score, for an operator who asks why one was chosen.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::TokenCount;
    /// use route::{Candidate, Request, Warm};
    ///
    /// let req = Request { prompt_tokens: TokenCount::new(1_000), homes: 1 };
    /// let home = Candidate { rank: 9, ..Candidate::default() };
    /// let warm = Candidate { warm_tokens: TokenCount::new(900), ..Candidate::default() };
    /// let [home, warm] = Warm::default().explain(&req, &[home, warm])[..] else { panic!() };
    /// assert!(warm.total() < home.total());
    /// assert_eq!(
    ///     home.to_string(),
    ///     "50.0 ms (compute 50.0, away from home 0.0, wait 0.0, round trip 0.0)"
    /// );
    /// ```
    pub fn explain(&mut self, req: &Request, candidates: &[Candidate]) -> Vec<TtftEstimate> {
        self.estimate_loads(candidates);
        self.estimates(req, candidates).collect()
    }

    /// Estimates the load of each candidate from own work and aged reports.
    fn estimate_loads(&mut self, candidates: &[Candidate]) {
        let half_life = self.settings.report_half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = self.settings.prefill_rate;
        let mean = Load::mean_of_others(candidates, rate);
        self.loads.clear();
        self.loads.extend(candidates.iter().map(|candidate| {
            let freshness = half_life / (half_life + seconds(candidate.report_age));
            let others = Load::of_others(candidate, rate).blend(mean, freshness);
            Load {
                requests: f64::from(candidate.in_flight) + others.requests,
                prefill_tokens: candidate.own_prefill_tokens.as_u64() as f64
                    + others.prefill_tokens,
            }
        }));
    }

    /// Finds the homes; a candidate above its bound on load is none.
    fn find_homes(&self, req: &Request, candidates: &[Candidate]) -> Homes {
        let total: f64 = self.loads.iter().map(|load| load.requests).sum();
        let mean = total / candidates.len() as f64;
        let slack = 1.0 + self.settings.load_slack;
        let bound = (mean * slack + 1.0).max(self.settings.free_requests.into());
        let mut homes = Homes::new(req.homes);
        let within_bound = || {
            let loaded = candidates.iter().zip(&self.loads);
            loaded.filter(|(_, load)| load.requests <= bound).map(|(candidate, _)| candidate)
        };
        within_bound().for_each(|candidate| homes.add(candidate.rank));
        let fine_ranks = within_bound().filter(|candidate| homes.has(candidate.rank));
        homes.first = fine_ranks.map(|candidate| candidate.longer_prefix_rank).max().unwrap_or(0);
        homes
    }

    /// Estimates the time to first token at each candidate.
    fn estimates<'a>(
        &'a self,
        req: &Request,
        candidates: &'a [Candidate],
    ) -> impl Iterator<Item = TtftEstimate> + 'a {
        let settings = &self.settings;
        let homes = self.find_homes(req, candidates);
        let token_time = 1.0 / (settings.prefill_rate.as_u64() as f64).max(1.0);
        let request_time = settings.request_time.as_secs_f64();
        let hold_time = settings.hold_time.as_secs_f64();
        let prompt = req.prompt_tokens.as_u64();
        candidates.iter().zip(&self.loads).map(move |(candidate, load)| {
            let cold = prompt.saturating_sub(candidate.warm_tokens.as_u64()) as f64;
            let compute = cold * token_time;
            let wait = load.prefill_tokens * token_time
                + load.requests * request_time
                + load.beyond(candidate.slots) * hold_time;
            TtftEstimate {
                compute: compute * settings.compute_weight,
                away: compute * settings.away_weight * homes.distance(candidate),
                wait: wait * settings.wait_weight,
                round_trip: seconds(candidate.round_trip),
            }
        })
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
        let mut scores = mem::take(&mut self.scores);
        scores.clear();
        scores.extend(self.estimates(req, candidates).map(|estimate| estimate.total()));
        self.scores = scores;
        choose_among_least(&self.scores, self.settings.margin, rng)
    }
}

impl Load {
    /// Returns the mean of what others cause at the candidates.
    fn mean_of_others(candidates: &[Candidate], rate: TokenRate) -> Self {
        let (mut requests, mut prefill_tokens) = (0_u64, 0_u64);
        for candidate in candidates {
            let (of_candidate, tokens) = reported_by_others(candidate, rate);
            requests = requests.saturating_add(of_candidate.into());
            prefill_tokens = prefill_tokens.saturating_add(tokens);
        }
        let count = candidates.len() as f64;
        Self { requests: requests as f64 / count, prefill_tokens: prefill_tokens as f64 / count }
    }

    /// Returns the reported load without this router's part of it.
    fn of_others(candidate: &Candidate, rate: TokenRate) -> Self {
        let (requests, tokens) = reported_by_others(candidate, rate);
        Self { requests: f64::from(requests), prefill_tokens: tokens as f64 }
    }

    /// Returns how many rounds of `slots` requests go before a new one.
    ///
    /// The load is known only to about its square root, so a nearly full endpoint counts too.
    fn beyond(self, slots: u32) -> f64 {
        if slots == 0 {
            return 0.0;
        }
        let slots = f64::from(slots);
        let excess = self.requests + 1.0 - slots;
        let variance = self.requests.max(1.0);
        (excess + (excess * excess + variance).sqrt()) / 2.0 / slots
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

/// Returns the reported requests and tokens that this router did not send.
fn reported_by_others(candidate: &Candidate, rate: TokenRate) -> (u32, u64) {
    let own = candidate.own_prefill_tokens.as_u64();
    let tokens = prefill_left(candidate, rate).saturating_sub(own);
    (candidate.reported_requests.saturating_sub(candidate.in_flight), tokens)
}

/// Returns the reported tokens that wait for prefill, less those computed since the report where
/// no queue stands behind them.
fn prefill_left(candidate: &Candidate, rate: TokenRate) -> u64 {
    let reported = candidate.reported_prefill_tokens.as_u64();
    if candidate.slots != 0 && candidate.slots <= candidate.reported_requests {
        return reported;
    }
    let computed = seconds(candidate.report_age) * rate.as_u64() as f64;
    reported.saturating_sub(computed as u64)
}

/// Returns a span in seconds; unlike `as_secs_f64` it does not divide.
fn seconds(span: Duration) -> f64 {
    const NANOSECOND: f64 = 1e-9;
    span.as_secs() as f64 + f64::from(span.subsec_nanos()) * NANOSECOND
}

/// Chooses at random among the positions whose score is within `margin` of the least.
fn choose_among_least<R: Rng>(scores: &[f64], margin: Duration, rng: &mut R) -> Option<usize> {
    let least = scores.iter().copied().fold(f64::INFINITY, f64::min);
    let bound = least + margin.as_secs_f64();
    let equals = || (0..scores.len()).filter(|&i| scores[i] <= bound);
    match equals().count() {
        0 => None,
        1 => equals().next(),
        count => equals().nth(rng.random_range(0..count)),
    }
}

/// Most homes that a prefix can have.
const MAX_HOMES: usize = 16;

/// Candidates next by rank after the homes, which take their place first.
const NEXT_HOMES: usize = 2;

/// The highest ranks, in descending order.
#[derive(Clone, Copy, Debug)]
struct Homes {
    ranks: [u64; MAX_HOMES + NEXT_HOMES],
    homes: usize,
    /// The highest fine rank of a home.
    first: u64,
}

impl Homes {
    fn new(homes: u32) -> Self {
        let homes = (homes as usize).clamp(1, MAX_HOMES);
        Self { ranks: [0; MAX_HOMES + NEXT_HOMES], homes, first: 0 }
    }

    fn add(&mut self, rank: u64) {
        let last = self.homes + NEXT_HOMES - 1;
        if rank <= self.ranks[last] {
            return;
        }
        let place = self.ranks[..last].partition_point(|&higher| rank <= higher);
        self.ranks[place..=last].rotate_right(1);
        self.ranks[place] = rank;
    }

    fn has(&self, rank: u64) -> bool {
        self.ranks[self.homes - 1] <= rank
    }

    /// Returns how far a candidate is from being the first home: 0 for it, 1 for one far down by
    /// rank.
    fn distance(&self, candidate: &Candidate) -> f64 {
        let step = 1.0 / (NEXT_HOMES + 1) as f64;
        if self.has(candidate.rank) {
            return if self.first <= candidate.longer_prefix_rank { 0.0 } else { step };
        }
        let next = &self.ranks[self.homes..self.homes + NEXT_HOMES];
        let higher = next.iter().filter(|&&higher| candidate.rank < higher).count();
        (higher + 1) as f64 * step
    }
}
