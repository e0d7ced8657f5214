use std::{collections::BTreeMap, rc::Rc};

use base::{EndpointId, MonotonicTime};
use route::{Request, TtftEstimate};
use wire::operator::{ExplainedCandidate, Explanation, ScorePart};

use super::{EngineRequirements, Router, Target};

impl Router {
    /// Returns the scores of all engines for a request, `None` if no engine meets `requirements`.
    pub(in crate::edge) fn explain(
        &mut self,
        now: MonotonicTime,
        requirements: &EngineRequirements<'_>,
    ) -> Option<Explanation> {
        let mut eligible: Vec<(&EndpointId, &Rc<Target>)> = Vec::new();
        let mut candidates = Vec::new();
        let mut homes = 1;
        for (id, target) in &self.targets {
            let Some(weights) = target.served_weights(|m| requirements.fits(m)) else { continue };
            if target.is_drained() {
                continue;
            }
            let identity = requirements.identity(&weights);
            self.prefixes.match_chain(now, &identity.chain);
            if let Some(home) = identity.chain.at_level(requirements.preferences.placement_level) {
                homes = self.prefixes.home_count(now, home).max(homes);
            }
            let warm = target.prefix_slot().map_or(0, |slot| self.prefixes.matched_blocks(slot));
            eligible.push((id, target));
            candidates.push(self.candidate(now, requirements, (id, target), &identity, warm));
        }
        let home = candidates.iter().map(|candidate| candidate.rank).max()?;
        let req = Request { prompt_tokens: requirements.prompt_tokens(), homes };
        let estimates = self.policies.explain(&requirements.preferences, &req, &candidates);
        let explained = eligible.into_iter().zip(&candidates).zip(estimates);
        let mut candidates: Vec<_> = explained
            .map(|(((id, target), candidate), estimate)| ExplainedCandidate {
                endpoint: id.clone(),
                data_centre: target.announcement().data_centre.clone(),
                home: candidate.rank == home,
                warm_tokens: candidate.warm_tokens,
                cost: estimate.total(),
                parts: score_parts(&estimate),
            })
            .collect();
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        Some(Explanation { prompt_tokens: req.prompt_tokens, candidates })
    }

    /// Returns the number of requests in flight at each endpoint.
    pub(in crate::edge) fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        self.targets.iter().map(|(id, target)| (id.clone(), target.in_flight())).collect()
    }
}

fn score_parts(estimate: &TtftEstimate) -> Vec<ScorePart> {
    let part = |name: &str, cost| ScorePart { name: name.into(), cost };
    vec![
        part("compute", estimate.compute),
        part("away", estimate.away),
        part("wait", estimate.wait),
        part("round-trip", estimate.round_trip),
    ]
}
