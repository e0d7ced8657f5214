use std::time::Duration;

use base::{TokenCount, TokenRate};
use rand::Rng;

use crate::{Candidate, Policy, Request, Slowness};

/// The throughput that routers assume of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Rate at which it prefills prompts.
    pub prefill_rate: TokenRate,
    /// Time to the first token of a prompt that is cached completely.
    pub cached_ttft: Duration,
    /// Number of concurrent streams at which each becomes too slow.
    pub max_streams: u32,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_rate: TokenRate::new(28_000),
            cached_ttft: Duration::from_millis(80),
            max_streams: 32,
        }
    }
}

/// Work that routers have in flight at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Tokens that wait for prefill.
    pub prefill_tokens: TokenCount,
}

/// Whether an engine can take a request now, or the request should be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headroom {
    /// The first token is expected in time.
    Enough,
    /// The first token would be late; the engine should have headroom after this time.
    After(Duration),
}

/// Chooses by `policy`, first among all candidates and then among those with headroom.
///
/// `headrooms` holds the headroom of each candidate. Under overload, a request that the first
/// choice has no headroom for goes to the policy's next choice rather than to any engine with
/// headroom, where its prompt would have to be prefilled again.
///
/// # Errors
///
/// Returns the time after which there should be headroom if no candidate has any now.
pub fn choose_with_headroom<P: Policy, R: Rng>(
    policy: &mut P,
    req: &Request,
    candidates: &[Candidate],
    headrooms: &[Headroom],
    rng: &mut R,
) -> Result<Option<usize>, Duration> {
    let Some(first) = policy.choose(req, candidates, rng) else { return Ok(None) };
    if headrooms[first] == Headroom::Enough {
        return Ok(Some(first));
    }
    let with_headroom: Vec<usize> =
        (0..candidates.len()).filter(|&i| headrooms[i] == Headroom::Enough).collect();
    let remaining: Vec<Candidate> = with_headroom.iter().map(|&i| candidates[i]).collect();
    match policy.choose(req, &remaining, rng) {
        Some(chosen) => Ok(Some(with_headroom[chosen])),
        None => Err(headrooms.iter().filter_map(Headroom::retry_after).min().unwrap_or_default()),
    }
}

impl Headroom {
    /// Returns the time after which there should be headroom, if there is none now.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Enough => None,
            Self::After(retry_after) => Some(*retry_after),
        }
    }
}

impl EngineSpeed {
    /// Returns the speed of an engine that runs `slots` requests at once, 0 if unknown.
    pub fn with_slots(slots: u32) -> Self {
        let speed = Self::default();
        match slots {
            0 => speed,
            slots => Self { max_streams: slots.min(speed.max_streams), ..speed },
        }
    }

    /// Returns the speed of an engine that is slower by `slowness`.
    pub fn slowed_by(self, slowness: Slowness) -> Self {
        if slowness == Slowness::NOMINAL {
            return self;
        }
        let rate = self.prefill_rate.as_u64() as f64 / slowness.factor();
        Self {
            prefill_rate: TokenRate::new(rate as u64),
            cached_ttft: slowness.scale(self.cached_ttft),
            ..self
        }
    }

    /// Returns the expected time to first token of a prompt with `cold` tokens to prefill.
    pub fn expected_ttft(&self, load: InFlightLoad, cold: TokenCount) -> Duration {
        self.cached_ttft + self.prefill_time(load.prefill_tokens) + self.prefill_time(cold)
    }

    /// Returns whether the engine has headroom for a request whose first token is due within
    /// `target`.
    ///
    /// Under overload, a request that would be late is of little use to its caller and delays those
    /// queued behind it, so the caller should retry once there is headroom.
    pub fn headroom(&self, load: InFlightLoad, cold: TokenCount, target: Duration) -> Headroom {
        let expected = self.expected_ttft(load, cold);
        let alone = self.expected_ttft(InFlightLoad::default(), cold);
        if self.max_streams <= load.requests {
            return Headroom::After(expected.max(self.cached_ttft));
        }
        // A prompt that misses the target even alone may go to an engine with nothing else to
        // prefill.
        if expected <= target.max(alone) {
            return Headroom::Enough;
        }
        Headroom::After(expected - target.max(alone))
    }

    fn prefill_time(&self, tokens: TokenCount) -> Duration {
        let rate = self.prefill_rate.as_u64().max(1) as f64;
        Duration::from_secs_f64(tokens.as_u64() as f64 / rate)
    }
}
