use std::time::Duration;

use base::TokenCount;
use rand::Rng;

/// What a policy knows of the request to place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// The prompt's length.
    pub prompt_tokens: TokenCount,
    /// Homes of the request's prefix, the first by rank; 0 counts as 1.
    pub homes: u32,
}

/// What a policy knows of an endpoint that can serve the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Rendezvous rank of the endpoint for the request's prefix; the highest is its home.
    pub rank: u64,
    /// Rendezvous rank for the request's longer prefix; among homes the highest comes first.
    pub longer_prefix_rank: u64,
    /// Tokens of the prompt that the endpoint is believed to hold.
    pub warm_tokens: TokenCount,
    /// Requests that this router has sent to the endpoint and that have not ended.
    pub in_flight: u32,
    /// Tokens that this router has sent to the endpoint and that wait for prefill.
    pub own_prefill_tokens: TokenCount,
    /// Requests that run or wait at the endpoint, by its last report.
    pub reported_requests: u32,
    /// Tokens that wait for prefill at the endpoint, by its last report.
    pub reported_prefill_tokens: TokenCount,
    /// Age of the report.
    pub report_age: Duration,
    /// Requests that the endpoint runs at once; more of them wait. 0 if unknown.
    pub slots: u32,
    /// Time for a message to the endpoint's data centre and back.
    pub round_trip: Duration,
}

/// A way to choose among endpoints.
pub trait Policy {
    /// Returns the position of the chosen candidate, `None` if there is none.
    fn choose<R: Rng>(
        &mut self,
        req: &Request,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<usize>;
}
