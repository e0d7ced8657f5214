//! What the choice of an endpoint goes by, endpoint by endpoint, for operators.

use std::{rc::Rc, time::Duration};

use route::{Headroom, Request, Slowness, TtftEstimate, Warm};
use wire::operator::{ExplainedEndpoint, ScorePart};

use crate::gateway::{
    target::{Avoidance, Target},
    targets::Targets,
};

use super::{
    HOME_COUNT, Misfit, PromptRequirements, Requirements, candidates, headroom, permitted,
    preferred, weighted_load,
};

/// A score with its components.
struct Score {
    total: f64,
    parts: Vec<ScorePart>,
}

/// Returns the state of each endpoint of the service for a request, the usable ones first and those
/// by score.
///
/// Uses no random number; `warm` may be a copy, as its scratch space changes.
pub(in crate::gateway) fn endpoints(
    targets: &Targets,
    requirements: &Requirements<'_>,
    warm: &mut Warm,
) -> Vec<ExplainedEndpoint> {
    let all: Vec<&Rc<Target>> = targets.of_service(requirements.service).collect();
    let fit = all.iter().copied().filter(|target| requirements.fits(target)).collect();
    // If the stated waits allow no endpoint, none is usable.
    let permitted = permitted(fit, requirements).unwrap_or_default();
    let usable = preferred(permitted, requirements);
    let mut scores = scores(targets, &usable, requirements, warm).into_iter();
    let (mut explained, mut excluded) = (Vec::new(), Vec::new());
    for target in all {
        if usable.iter().any(|usable| Rc::ptr_eq(usable, target)) {
            explained.push(endpoint(target, requirements, scores.next()));
        } else {
            excluded.push(endpoint(target, requirements, None));
        }
    }
    explained.sort_by(|a, b| a.score.unwrap_or(0.0).total_cmp(&b.score.unwrap_or(0.0)));
    explained.append(&mut excluded);
    explained
}

/// Returns the scores of usable endpoints: a prompt's in weighted seconds, else loads in requests.
fn scores(
    targets: &Targets,
    usable: &[&Rc<Target>],
    requirements: &Requirements<'_>,
    warm: &mut Warm,
) -> Vec<Score> {
    let Some(prompt) = &requirements.prompt else {
        let unit = Slowness::NOMINAL.weighted_load(1) as f64;
        let load = |target: &&Rc<Target>| weighted_load(target, requirements) as f64 / unit;
        return usable
            .iter()
            .map(|target| Score { total: load(target), parts: Vec::new() })
            .collect();
    };
    let speed = requirements.service_speed(targets);
    warm.set_hold_time(speed.hold_time());
    let candidates = candidates(targets, usable, requirements, prompt, &speed);
    let req = Request { prompt_tokens: prompt.chain.tokens(), homes: HOME_COUNT };
    warm.explain(&req, &candidates).iter().map(prompt_score).collect()
}

fn prompt_score(estimate: &TtftEstimate) -> Score {
    let part = |name: &str, cost| ScorePart { name: name.into(), cost };
    let parts = vec![
        part("compute", estimate.compute),
        part("away", estimate.away),
        part("wait", estimate.wait),
        part("slowness", estimate.slowness),
        // Costs of another data centre, of outdated weights, and of a misplaced prompt.
        part("placement", estimate.round_trip),
    ];
    Score { total: estimate.total(), parts }
}

/// Returns the state of an endpoint; one without a score is excluded.
fn endpoint(
    target: &Target,
    requirements: &Requirements<'_>,
    score: Option<Score>,
) -> ExplainedEndpoint {
    let now = requirements.now;
    let excluded = score.is_none().then(|| exclusion(target, requirements).into());
    let (score, parts) = score.map_or((None, Vec::new()), |score| (Some(score.total), score.parts));
    let (load, prompt) = (target.load(), requirements.prompt.as_ref());
    ExplainedEndpoint {
        endpoint: target.endpoint.clone(),
        data_centre: target.data_centre.clone(),
        excluded,
        score,
        parts,
        requests: load.requests,
        prefill_tokens: load.prefill_tokens,
        held_tokens: target.held_load().tokens,
        warm_tokens: prompt.map(|prompt| target.warm_tokens(prompt.chain)).unwrap_or_default(),
        headroom_wait_ms: prompt.map(|prompt| headroom_wait_ms(target, requirements, prompt)),
        has_memory: requirements.memory.map(|_| requirements.has_memory(target)),
        slowness: target.slowness().factor(),
        stated_wait_ms: millis(target.wait_left(now)),
        stated_limit: target.stated_limit().map(|limit| limit.per_second()),
        limit_wait_ms: millis(target.limit_wait(now, requirements.router_count)),
        announced_age_ms: millis(now.saturating_since(target.alive_at())),
    }
}

fn headroom_wait_ms(
    target: &Target,
    requirements: &Requirements<'_>,
    prompt: &PromptRequirements<'_>,
) -> u64 {
    match headroom(target, requirements, prompt) {
        Headroom::Enough => 0,
        // A wait of less than a millisecond isn't shown as headroom.
        Headroom::After(wait) => millis(wait).max(1),
    }
}

/// Returns why an endpoint that isn't usable is excluded.
fn exclusion(target: &Target, requirements: &Requirements<'_>) -> &'static str {
    if let Some(misfit) = requirements.misfit(target) {
        return match misfit {
            Misfit::ConnectionsInUse => "all connections that it accepts are in use",
            Misfit::OtherModel => "it doesn't serve the model",
            Misfit::LoadsWeights => "it loads weights or is about to",
            Misfit::OutdatedWeights => "its weights are outdated",
        };
    }
    if !requirements.has_memory(target) {
        return "its memory has no room for the request";
    }
    if !requirements.stated_wait(target).is_zero() {
        return "it stated a wait, or a limit that allows no request now";
    }
    match target.avoidance(requirements.now) {
        Some(Avoidance::Silent) => "its last announcement is too old",
        Some(Avoidance::Unreachable) => "connections to it fail",
        Some(Avoidance::Suspended) => "it has just refused a request as misdirected",
        None if target.is_inferred_full(requirements.now) => {
            "it has refused a request as full, and no slot is expected to be free yet"
        }
        None => "another endpoint is preferred",
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
