use std::{mem, time::Duration};

use base::TokenRate;
use rand::{Rng, RngExt as _};

use crate::{Candidate, EngineSpeed, Policy, Request, Slowness, TtftEstimate};

/// Parameters of the score of [`Warm`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmSettings {
    /// Rate at which an engine computes a prompt's tokens.
    pub prefill_rate: TokenRate,
    /// Time to the first token of a prompt that is warm completely; only its difference between
    /// endpoints of different speed counts.
    pub cached_ttft: Duration,
    /// Delay that a request in flight adds to the time to first token of the next.
    pub request_time: Duration,
    /// Time that a request occupies one of an endpoint's slots.
    pub hold_time: Duration,
    /// Weight of the time to compute the tokens that are not warm.
    pub compute_weight: f64,
    /// Weight of the queueing time behind other requests.
    pub wait_weight: f64,
    /// Weight of the time to compute tokens away from the prefix's homes, where later requests
    /// will not find them; it is reduced for the candidates ranked next after the homes.
    pub away_weight: f64,
    /// Age at which a load report has half the weight, and the mean of all reports the other half.
    pub report_half_life: Duration,
    /// Share by which a home's load may exceed the mean before the next candidate by rank replaces
    /// it.
    pub load_slack: f64,
    /// Minimum bound on a home's load, in requests.
    pub min_load_bound: u32,
    /// Candidates whose score is within this margin of the best are tied.
    pub tie_margin: Duration,
}

impl Default for WarmSettings {
    fn default() -> Self {
        Self {
            prefill_rate: TokenRate::new(20_000),
            cached_ttft: EngineSpeed::default().cached_ttft,
            request_time: Duration::from_millis(2),
            hold_time: Duration::from_millis(500),
            compute_weight: 1.0,
            wait_weight: 0.8,
            away_weight: 2.0,
            report_half_life: Duration::from_millis(1_000),
            load_slack: 0.25,
            min_load_bound: 4,
            tie_margin: Duration::from_millis(1),
        }
    }
}

impl WarmSettings {
    /// Returns settings that accept a longer wait for a higher hit rate.
    ///
    /// They suit long prompts, whose recomputation delays all requests queued behind them; the
    /// default suits interactive callers, which wait for each response.
    pub fn favouring_hits() -> Self {
        Self { wait_weight: 0.4, away_weight: 3.0, ..Self::default() }
    }
}

/// Chooses the least estimated time to first token; ties are broken at random.
///
/// The estimate is the sum, in seconds, of the time to compute the tokens that are not warm, the
/// queueing time behind this router's and reported load, and the round-trip time; the queueing time is
/// scaled for candidates that are fast. If the least estimate is that of a slow candidate, the
/// candidates are compared again by the whole time that slowness costs, and by the delay to others of
/// prefilling more elsewhere: a slow endpoint loses load rather than prompts that it has cached.
/// Reported load has less weight the older it is, so that routers do not all converge on an endpoint with one low
/// report. If no endpoint is known to be warm, the prefix's home is chosen unless its load exceeds
/// the bound.
#[derive(Clone, Debug, Default)]
pub struct Warm {
    settings: WarmSettings,
    loads: Vec<Load>,
    estimates: Vec<TtftEstimate>,
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

    /// Replaces the settings, from the next choice on.
    pub fn set_settings(&mut self, settings: WarmSettings) {
        self.settings = settings;
    }

    /// Sets the time that a request occupies one of an endpoint's slots, from the next choice on.
    pub fn set_hold_time(&mut self, hold_time: Duration) {
        self.settings.hold_time = hold_time;
    }

    /// Returns the components of each candidate's score, to explain a choice to an operator.
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
        let mut estimates: Vec<_> = self.estimates(req, candidates).collect();
        let least = (0..estimates.len())
            .min_by(|&i, &j| estimates[i].total().total_cmp(&estimates[j].total()));
        if let Some(first) = least {
            self.weigh_slowness(first, candidates, &mut estimates);
        }
        estimates
    }

    /// Estimates the load of each candidate from this router's requests and reports weighted by
    /// age.
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

    /// Finds the homes, skipping candidates whose load exceeds the bound.
    fn find_homes(&self, req: &Request, candidates: &[Candidate]) -> Homes {
        let total: f64 = self.loads.iter().map(|load| load.requests).sum();
        let mean = total / candidates.len() as f64;
        let slack = 1.0 + self.settings.load_slack;
        let bound = (mean * slack + 1.0).max(self.settings.min_load_bound.into());
        let mut homes = Homes::new(req.homes);
        let within_bound = || {
            let loaded = candidates.iter().zip(&self.loads);
            loaded.filter(|(_, load)| load.requests <= bound).map(|(candidate, _)| candidate)
        };
        within_bound().for_each(|candidate| homes.add(candidate.rank));
        let longer_prefix_ranks =
            within_bound().filter(|candidate| homes.contains_rank(candidate.rank));
        homes.max_longer_prefix_rank =
            longer_prefix_ranks.map(|candidate| candidate.longer_prefix_rank).max().unwrap_or(0);
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
                + load.queue_rounds(candidate.slots) * hold_time;
            // The time that slowness adds is weighed separately, against the delay to others.
            let factor = candidate.slowness.min(Slowness::NOMINAL).factor();
            TtftEstimate {
                compute: compute * settings.compute_weight,
                away: compute * settings.away_weight * homes.distance(candidate),
                wait: wait * settings.wait_weight * factor,
                round_trip: seconds(candidate.round_trip),
                slowness: 0.0,
            }
        })
    }

    /// Adds to the estimates what decides whether a prompt leaves `first`, the best candidate without
    /// it, if that is slow: the time that slowness costs at each candidate, and the delay to other
    /// requests there by the tokens that `first` need not prefill.
    fn weigh_slowness(
        &self,
        first: usize,
        candidates: &[Candidate],
        estimates: &mut [TtftEstimate],
    ) {
        if candidates[first].slowness <= Slowness::NOMINAL {
            return;
        }
        let cached_ttft = self.settings.cached_ttft.as_secs_f64();
        let compute_at_first = estimates[first].compute;
        for ((candidate, load), estimate) in candidates.iter().zip(&self.loads).zip(estimates) {
            let change = candidate.slowness.factor() - 1.0;
            let additional = (estimate.compute - compute_at_first).max(0.0);
            estimate.slowness =
                (estimate.compute + cached_ttft) * change + additional * load.requests.min(1.0);
            estimate.slowness += estimate.wait * change.max(0.0);
        }
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
        let mut estimates = mem::take(&mut self.estimates);
        estimates.clear();
        estimates.extend(self.estimates(req, candidates));
        let tie_margin = self.settings.tie_margin;
        let mut chosen = choose_among_ties(&estimates, tie_margin, rng);
        if let Some(first) = chosen.filter(|&first| Slowness::NOMINAL < candidates[first].slowness)
        {
            self.weigh_slowness(first, candidates, &mut estimates);
            chosen = choose_among_ties(&estimates, tie_margin, rng);
        }
        self.estimates = estimates;
        chosen
    }
}

impl Load {
    /// Returns the mean load that other routers cause at the candidates.
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

    /// Returns the reported load without this router's share of it.
    fn of_others(candidate: &Candidate, rate: TokenRate) -> Self {
        let (requests, tokens) = reported_by_others(candidate, rate);
        Self { requests: f64::from(requests), prefill_tokens: tokens as f64 }
    }

    /// Returns the expected number of rounds of `slots` requests that run before a new one.
    ///
    /// The load estimate has an error of about its square root, so the result is positive for a
    /// nearly full endpoint too.
    fn queue_rounds(self, slots: u32) -> f64 {
        if slots == 0 {
            return 0.0;
        }
        let slots = f64::from(slots);
        let excess = self.requests + 1.0 - slots;
        let variance = self.requests.max(1.0);
        (excess + (excess * excess + variance).sqrt()) / 2.0 / slots
    }

    /// Interpolates from `mean` (`share` 0) to `self` (`share` 1).
    fn blend(self, mean: Self, share: f64) -> Self {
        let between = |from: f64, to: f64| from + (to - from) * share;
        Self {
            requests: between(mean.requests, self.requests),
            prefill_tokens: between(mean.prefill_tokens, self.prefill_tokens),
        }
    }
}

/// Returns the reported requests and tokens that other routers sent.
fn reported_by_others(candidate: &Candidate, rate: TokenRate) -> (u32, u64) {
    let own = candidate.own_prefill_tokens.as_u64();
    let tokens = prefill_left(candidate, rate).saturating_sub(own);
    (candidate.reported_requests.saturating_sub(candidate.in_flight), tokens)
}

/// Returns the reported tokens that wait for prefill, minus those computed since the report unless
/// requests are queued because all slots are taken.
fn prefill_left(candidate: &Candidate, rate: TokenRate) -> u64 {
    let reported = candidate.reported_prefill_tokens.as_u64();
    if candidate.slots != 0 && candidate.slots <= candidate.reported_requests {
        return reported;
    }
    let computed = seconds(candidate.report_age) * rate.as_u64() as f64;
    reported.saturating_sub(computed as u64)
}

/// Returns a duration in seconds; unlike `as_secs_f64` it does not divide.
fn seconds(duration: Duration) -> f64 {
    const NANOSECOND: f64 = 1e-9;
    duration.as_secs() as f64 + f64::from(duration.subsec_nanos()) * NANOSECOND
}

/// Chooses at random among the indices whose total is within `tie_margin` of the least.
fn choose_among_ties<R: Rng>(
    estimates: &[TtftEstimate],
    tie_margin: Duration,
    rng: &mut R,
) -> Option<usize> {
    let least = estimates.iter().map(TtftEstimate::total).fold(f64::INFINITY, f64::min);
    let bound = least + tie_margin.as_secs_f64();
    let tied = || (0..estimates.len()).filter(|&i| estimates[i].total() <= bound);
    match tied().count() {
        0 => None,
        1 => tied().next(),
        count => tied().nth(rng.random_range(0..count)),
    }
}

/// Maximum number of homes of a prefix.
const MAX_HOMES: usize = 16;

/// Number of ranks kept after those of the homes; their candidates are the first to replace a home.
const NEXT_RANKS: usize = 2;

/// The highest ranks, in descending order.
#[derive(Clone, Copy, Debug)]
struct Homes {
    ranks: [u64; MAX_HOMES + NEXT_RANKS],
    home_count: usize,
    /// The highest longer-prefix rank of a home.
    max_longer_prefix_rank: u64,
}

impl Homes {
    fn new(homes: u32) -> Self {
        let home_count = (homes as usize).clamp(1, MAX_HOMES);
        Self { ranks: [0; MAX_HOMES + NEXT_RANKS], home_count, max_longer_prefix_rank: 0 }
    }

    fn add(&mut self, rank: u64) {
        let last = self.home_count + NEXT_RANKS - 1;
        if rank <= self.ranks[last] {
            return;
        }
        let position = self.ranks[..last].partition_point(|&higher| rank <= higher);
        self.ranks[position..=last].rotate_right(1);
        self.ranks[position] = rank;
    }

    fn contains_rank(&self, rank: u64) -> bool {
        self.ranks[self.home_count - 1] <= rank
    }

    /// Returns how far a candidate is from the first home by rank: 0 for the first home, 1 for
    /// candidates below all kept ranks.
    fn distance(&self, candidate: &Candidate) -> f64 {
        let step = 1.0 / (NEXT_RANKS + 1) as f64;
        if self.contains_rank(candidate.rank) {
            return if self.max_longer_prefix_rank <= candidate.longer_prefix_rank {
                0.0
            } else {
                step
            };
        }
        let next = &self.ranks[self.home_count..self.home_count + NEXT_RANKS];
        let higher = next.iter().filter(|&&higher| candidate.rank < higher).count();
        (higher + 1) as f64 * step
    }
}
