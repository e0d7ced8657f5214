use rand::Rng;

use crate::{Candidate, Policy, Request};

/// Weights of the components of the score of [`WarmV1`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmV1Weights {
    /// Cost of a token that must be prefilled, relative to a queued token.
    pub recompute: f64,
    /// Cost of a token already queued for prefill.
    pub wait: f64,
    /// Cost of a request already in flight, in queued tokens.
    pub request_tokens: f64,
}

impl Default for WarmV1Weights {
    fn default() -> Self {
        Self { recompute: 1.0, wait: 1.0, request_tokens: 32.0 }
    }
}

/// Weighs the tokens to recompute against the queue; ties go to the prefix's home.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmV1 {
    weights: WarmV1Weights,
}

impl WarmV1 {
    /// Creates the policy.
    pub fn new(weights: WarmV1Weights) -> Self {
        Self { weights }
    }

    fn cost(&self, req: &Request, candidate: &Candidate) -> f64 {
        let prompt = req.prompt_tokens.as_u64();
        let cold = prompt.saturating_sub(candidate.warm_tokens.as_u64()) as f64;
        let queued = candidate.own_prefill_tokens.as_u64() as f64;
        let in_flight = f64::from(candidate.in_flight) * self.weights.request_tokens;
        cold * self.weights.recompute + (queued + in_flight) * self.weights.wait
    }
}

impl Policy for WarmV1 {
    fn choose<R: Rng>(
        &mut self,
        req: &Request,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Option<usize> {
        (0..candidates.len()).min_by(|&a, &b| {
            let by_cost = self.cost(req, &candidates[a]).total_cmp(&self.cost(req, &candidates[b]));
            by_cost.then_with(|| candidates[b].rank.cmp(&candidates[a].rank))
        })
    }
}
