use rand::{Rng, RngExt as _};

use crate::{Candidate, Policy, Request};

/// Chooses the candidates in turn.
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

/// Chooses the candidate with the fewest requests in flight from this router; ties are broken at
/// random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn choose<R: Rng>(
        &mut self,
        _req: &Request,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<usize> {
        let fewest = candidates.iter().map(|candidate| candidate.in_flight).min()?;
        let tied = || (0..candidates.len()).filter(|&i| candidates[i].in_flight == fewest);
        tied().nth(rng.random_range(0..tied().count()))
    }
}

/// Chooses the prefix's home by rendezvous hashing, regardless of its load.
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
