use std::time::Duration;

use base::TokenCount;
use rand::Rng;

use crate::Slowness;

/// The properties of a request that a policy uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Number of homes of the request's prefix, the candidates with the highest ranks; 0 counts as
    /// 1.
    pub homes: u32,
}

/// An endpoint that can serve the request, with the properties that a policy uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Rendezvous rank of the endpoint for the request's prefix; the home has the highest rank.
    pub rank: u64,
    /// Rendezvous rank of the endpoint for a longer prefix of the request; among homes the one with
    /// the highest rank is preferred.
    pub longer_prefix_rank: u64,
    /// Tokens of the prompt that the endpoint is expected to have cached.
    pub warm_tokens: TokenCount,
    /// Requests in flight from this router to the endpoint.
    pub in_flight: u32,
    /// Tokens of this router's requests that wait for prefill at the endpoint.
    pub own_prefill_tokens: TokenCount,
    /// Requests that run or wait at the endpoint, according to its last report.
    pub reported_requests: u32,
    /// Tokens that wait for prefill at the endpoint, according to its last report.
    pub reported_prefill_tokens: TokenCount,
    /// Age of the report.
    pub report_age: Duration,
    /// Requests that the endpoint runs at once, 0 if unknown; further requests are queued.
    pub slots: u32,
    /// Round-trip time to the endpoint's data centre.
    pub round_trip: Duration,
    /// How much slower the endpoint is than others of its service.
    pub slowness: Slowness,
}

/// A policy that chooses among endpoints.
pub trait Policy {
    /// Returns the position of the chosen candidate, `None` if there is none.
    fn choose<R: Rng>(
        &mut self,
        req: &Request,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<usize>;
}
