use std::{fmt, str::FromStr};

use base::ParseError;
use rand::Rng;

use crate::{
    Candidate, Hash, LeastInFlight, Policy, Request, RoundRobin, Warm, WarmSettings, WarmV1,
};

/// The kind of a policy, with the name that settings use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PolicyKind {
    /// [`RoundRobin`].
    RoundRobin,
    /// [`LeastInFlight`].
    LeastInFlight,
    /// [`Hash`](struct@Hash).
    Hash,
    /// [`WarmV1`].
    WarmV1,
    /// [`Warm`].
    #[default]
    Warm,
}

impl PolicyKind {
    /// Every policy, the baselines first.
    pub const ALL: [Self; 5] =
        [Self::RoundRobin, Self::LeastInFlight, Self::Hash, Self::WarmV1, Self::Warm];

    /// Returns the policy's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::Hash => "hash",
            Self::WarmV1 => "warm-v1",
            Self::Warm => "warm",
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PolicyKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const ALLOWED: &str = "round-robin, least-in-flight, hash, warm-v1 or warm";
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ParseError::new("policy", text, ALLOWED))
    }
}

/// A policy selected by settings.
#[derive(Clone, Debug)]
pub enum AnyPolicy {
    /// Chooses the candidates in turn.
    RoundRobin(RoundRobin),
    /// Chooses the candidate with the fewest requests in flight from this router.
    LeastInFlight(LeastInFlight),
    /// Chooses the prefix's home.
    Hash(Hash),
    /// Weighs warm tokens against requests in flight from this router.
    WarmV1(WarmV1),
    /// Chooses the least estimated time to first token.
    Warm(Warm),
}

impl AnyPolicy {
    /// Creates the policy of a kind; `settings` apply to [`Warm`].
    pub fn new(kind: PolicyKind, settings: WarmSettings) -> Self {
        match kind {
            PolicyKind::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            PolicyKind::LeastInFlight => Self::LeastInFlight(LeastInFlight),
            PolicyKind::Hash => Self::Hash(Hash),
            PolicyKind::WarmV1 => Self::WarmV1(WarmV1::default()),
            PolicyKind::Warm => Self::Warm(Warm::new(settings)),
        }
    }

    /// Returns the policy's kind.
    pub fn kind(&self) -> PolicyKind {
        match self {
            Self::RoundRobin(_) => PolicyKind::RoundRobin,
            Self::LeastInFlight(_) => PolicyKind::LeastInFlight,
            Self::Hash(_) => PolicyKind::Hash,
            Self::WarmV1(_) => PolicyKind::WarmV1,
            Self::Warm(_) => PolicyKind::Warm,
        }
    }
}

impl Policy for AnyPolicy {
    fn choose<R: Rng>(
        &mut self,
        req: &Request,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<usize> {
        match self {
            Self::RoundRobin(policy) => policy.choose(req, candidates, rng),
            Self::LeastInFlight(policy) => policy.choose(req, candidates, rng),
            Self::Hash(policy) => policy.choose(req, candidates, rng),
            Self::WarmV1(policy) => policy.choose(req, candidates, rng),
            Self::Warm(policy) => policy.choose(req, candidates, rng),
        }
    }
}
