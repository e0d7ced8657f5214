use std::collections::BTreeMap;

use base::EndpointId;
use route::{Candidate, Estimate, Request};
use wire::operator::{ExplainedCandidate, Explanation, ScorePart};

use super::{HOME_BLOCKS, Router, Wanted};

impl Router {
    /// Returns how a choice among all engines would come out; none if none serves `wanted`.
    pub(in crate::edge) fn explain(&mut self, wanted: &Wanted<'_>) -> Option<Explanation> {
        let mut able = Vec::new();
        let mut candidates = Vec::new();
        for (id, target) in &self.targets {
            let Some(served) = target.serves(|m| wanted.fits(m)) else { continue };
            let (_, chain) = wanted.chain(&served.weights);
            able.push((id, target));
            candidates.push(Candidate {
                rank: chain.at_level(HOME_BLOCKS).map_or(0, |home| prefix::rank(home, id)),
                in_flight: target.in_flight(),
                ..Candidate::default()
            });
        }
        let home = candidates.iter().map(|candidate| candidate.rank).max()?;
        let req = Request { prompt_tokens: wanted.prompt_tokens(), homes: 1 };
        let estimates = self.policy.explain(&req, &candidates);
        let explained = able.into_iter().zip(&candidates).zip(estimates);
        let mut candidates: Vec<_> = explained
            .map(|(((id, target), candidate), estimate)| ExplainedCandidate {
                endpoint: id.clone(),
                data_centre: target.announcement().data_centre.clone(),
                home: candidate.rank == home,
                warm_tokens: candidate.warm_tokens,
                cost: estimate.total(),
                parts: parts(&estimate),
            })
            .collect();
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        Some(Explanation { prompt_tokens: req.prompt_tokens, candidates })
    }

    /// Returns the requests under way at each endpoint.
    pub(in crate::edge) fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        self.targets.iter().map(|(id, target)| (id.clone(), target.in_flight())).collect()
    }
}

fn parts(estimate: &Estimate) -> Vec<ScorePart> {
    let part = |name: &str, cost| ScorePart { name: name.into(), cost };
    vec![
        part("compute", estimate.compute),
        part("away", estimate.away),
        part("wait", estimate.wait),
        part("round-trip", estimate.round_trip),
    ]
}
