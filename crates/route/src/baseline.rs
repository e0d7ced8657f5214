use rand::Rng;

use crate::{Candidate, Policy, Request};

/// Takes the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn choose<R: Rng>(
        &mut self,
        _req: &Request,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Option<usize> {
        let chosen = self.next.checked_rem(candidates.len())?;
        self.next = self.next.wrapping_add(1);
        Some(chosen)
    }
}

/// Takes the candidate to which this router has the fewest requests under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose<R: Rng>(
        &mut self,
        _req: &Request,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Option<usize> {
        (0..candidates.len()).min_by_key(|&i| candidates[i].in_flight)
    }
}

/// Takes the prefix's home by rendezvous hashing, whatever its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hash;

impl Policy for Hash {
    fn choose<R: Rng>(
        &mut self,
        _req: &Request,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Option<usize> {
        (0..candidates.len()).max_by_key(|&i| candidates[i].rank)
    }
}
