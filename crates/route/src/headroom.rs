use std::time::Duration;

use base::{TokenCount, TokenRate};
use rand::Rng;

use crate::{Candidate, Policy, Request};

/// What an engine can do, as far as routers count on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Rate at which it reads prompts.
    pub prefill_rate: TokenRate,
    /// Time to the first token of a prompt that needs no reading.
    pub first_token: Duration,
    /// Streams at once from which each becomes too slow.
    pub streams: u32,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_rate: TokenRate::new(28_000),
            first_token: Duration::from_millis(80),
            streams: 32,
        }
    }
}

/// What routers have under way at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightLoad {
    /// Requests.
    pub requests: u32,
    /// Tokens that wait to be read.
    pub prefill_tokens: TokenCount,
}

/// Whether a request should be sent, or refused at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headroom {
    /// It will be answered in time.
    Enough,
    /// It would be late; there should be room after this time.
    After(Duration),
}

/// Chooses by `policy`, first among all candidates and then among those with room.
///
/// `rooms` holds the room of each candidate. It answers overload: what the first choice has no
/// room for goes where the policy would send it next, rather than to any engine that has room,
/// where it would be read anew.
///
/// # Errors
///
/// Returns the time after which there should be room if no candidate has any.
pub fn choose_with_headroom<P: Policy, R: Rng>(
    policy: &mut P,
    req: &Request,
    candidates: &[Candidate],
    rooms: &[Headroom],
    rng: &mut R,
) -> Result<Option<usize>, Duration> {
    let Some(first) = policy.choose(req, candidates, rng) else { return Ok(None) };
    if rooms[first] == Headroom::Enough {
        return Ok(Some(first));
    }
    let with_room: Vec<usize> =
        (0..candidates.len()).filter(|&i| rooms[i] == Headroom::Enough).collect();
    let roomy: Vec<Candidate> = with_room.iter().map(|&i| candidates[i]).collect();
    match policy.choose(req, &roomy, rng) {
        Some(chosen) => Ok(Some(with_room[chosen])),
        None => Err(rooms.iter().filter_map(Headroom::wait).min().unwrap_or_default()),
    }
}

impl Headroom {
    /// Returns the time after which there should be room, if there is none now.
    fn wait(&self) -> Option<Duration> {
        match self {
            Self::Enough => None,
            Self::After(wait) => Some(*wait),
        }
    }
}

impl EngineSpeed {
    /// Returns the speed of an engine that runs so many requests at once, 0 if unknown.
    pub fn with_slots(slots: u32) -> Self {
        let speed = Self::default();
        match slots {
            0 => speed,
            slots => Self { streams: slots.min(speed.streams), ..speed },
        }
    }

    /// Returns when the first token is expected of a prompt with so many tokens to be read.
    pub fn first_token(&self, load: InFlightLoad, cold: TokenCount) -> Duration {
        self.first_token + self.reading(load.prefill_tokens) + self.reading(cold)
    }

    /// Judges a request whose first token is wanted within `aim`.
    ///
    /// It answers overload: a request that would be late is worth little to its caller and makes
    /// those behind it late too, so it comes back when there is room.
    pub fn headroom(&self, load: InFlightLoad, cold: TokenCount, aim: Duration) -> Headroom {
        let expected = self.first_token(load, cold);
        let alone = self.first_token(InFlightLoad::default(), cold);
        if self.streams <= load.requests {
            return Headroom::After(expected.max(self.first_token));
        }
        // A prompt that is late by itself is sent to an engine that has nothing else to read.
        if expected <= aim.max(alone) {
            return Headroom::Enough;
        }
        Headroom::After(expected - aim.max(alone))
    }

    fn reading(&self, tokens: TokenCount) -> Duration {
        let rate = self.prefill_rate.as_u64().max(1) as f64;
        Duration::from_secs_f64(tokens.as_u64() as f64 / rate)
    }
}
