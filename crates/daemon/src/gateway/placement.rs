//! Choice of the endpoint for a request, and of KV transfers between engines.

mod explained;

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{ByteCount, DataCentreId, EndpointId, MonotonicTime, ServiceId, TokenCount};
use fleet::WeightsHistory;
use prefix::{PartChain, rank};
use rand::{Rng, RngExt as _};
use route::{
    Candidate, EndpointKey, EngineMemory, EngineSpeed, Headroom, LengthPools, Policy as _, Request,
    ServiceSpeed, Slowness, Urgency, Warm, choose_with_headroom, without_full,
};

use super::{target::Target, targets::Targets};

pub(super) use explained::endpoints;

/// Cost of an endpoint in another data centre, as time.
const REMOTE_COST: Duration = Duration::from_millis(100);

/// Additional cost of each byte that a request sends to another data centre, as time.
const REMOTE_COST_PER_BYTE: Duration = Duration::from_nanos(500);

/// Cost of weights that have been outdated for [`OUTDATED_WEIGHTS_AGE`], as time.
const OUTDATED_WEIGHTS_COST: Duration = Duration::from_millis(150);

/// Time since newer weights were desired from which responses made on older ones are worth less.
const OUTDATED_WEIGHTS_AGE: Duration = Duration::from_millis(1_200);

/// Length from which shared parts are saved in the store: more than engines prefill in one step.
const MIN_SAVED_TOKENS: TokenCount = TokenCount::new(2_049);

/// Share of the prefill time of tokens that their transfer from another engine saves.
const FETCH_SAVING_RATIO: f64 = 0.7;

/// Fewest missing tokens that are worth a transfer.
const MIN_FETCHED_TOKENS: u64 = 64;

/// Number of home engines of a prompt's shared prefix.
const HOME_COUNT: u32 = 1;

/// Longest wait for an endpoint at its limit; another host may have a permission sooner.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(1);

/// Requests added to the load of an endpoint in another data centre, for requests without a prompt.
const REMOTE_REQUEST_PENALTY: u32 = 2;

/// Requirements of a request on its endpoint.
pub(super) struct Requirements<'a> {
    pub service: &'a ServiceId,
    pub prompt: Option<PromptRequirements<'a>>,
    /// Endpoints that were tried before.
    pub tried: &'a [EndpointId],
    pub now: MonotonicTime,
    /// This host's data centre.
    pub local_data_centre: &'a DataCentreId,
    /// Concurrent requests that an endpoint runs, 0 if unknown.
    pub slots: u32,
    /// The class that the wait is computed for; normal if the service's requests all have one.
    pub urgency: Urgency,
    /// Whether the request leaves the slots that are reserved for urgent ones.
    pub leaves_reserved_slots: bool,
    /// The memory of an engine, if it is known.
    pub memory: Option<EngineMemory>,
    /// A random number from 0 to 1 that limits requests to engines with little memory left.
    pub memory_draw: f64,
    /// Requests of other routers to the service that are expected and not reported yet.
    pub unreported: f64,
    /// Connections that an endpoint accepts from all hosts together; each carries one request.
    pub max_connections: u32,
    /// The size of the request's body.
    pub body: ByteCount,
    /// Remaining time of the objective for the first event.
    pub first_event_objective: Duration,
    /// Number of hosts that share the limits that endpoints state.
    pub router_count: u32,
    /// Whether engines take prompts of any length alike.
    pub mixes_lengths: bool,
    /// Whether the learned speed of the service's engines is used, or the default.
    pub uses_service_speed: bool,
}

/// Requirements of a prompt on its engine.
pub(super) struct PromptRequirements<'a> {
    pub model: &'a base::ModelId,
    pub chain: &'a PartChain,
    /// Tokens that it occupies at the engine, its maximum output included.
    pub held_tokens: TokenCount,
    /// The history of the model's desired weights.
    pub weights: &'a WeightsHistory,
    /// Time from which an outdated version may not serve.
    pub max_outdated: Duration,
}

/// Why no endpoint is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoTarget {
    /// No endpoint of the service is known.
    Unknown,
    /// Each endpoint loads weights, has outdated ones, or is unreachable at present.
    TemporarilyUnavailable,
    /// Each endpoint was tried.
    AllTried,
    /// No engine could respond in time; there should be capacity after this time.
    Overloaded(Duration),
    /// No engine has memory for the request; there may be some after this time.
    Full(Duration),
    /// Each endpoint stated a limit or a wait; the first accepts a request after this time.
    Withheld(Duration),
}

/// Why an endpoint can't serve a request whatever its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misfit {
    /// All connections that it accepts are in use.
    ConnectionsInUse,
    /// It serves another model, or none.
    OtherModel,
    /// It loads weights or is about to.
    LoadsWeights,
    /// Its weights have been outdated for too long.
    OutdatedWeights,
}

/// Chooses the endpoint for a request.
///
/// Prompts go to engines by cached prefix and load, as scored by [`Warm`]; other requests go to the
/// least loaded endpoint, preferably in the local data centre.
pub(super) fn choose<R: Rng>(
    targets: &Targets,
    requirements: &Requirements<'_>,
    warm: &mut Warm,
    rng: &mut R,
) -> Result<Rc<Target>, NoTarget> {
    let all: Vec<&Rc<Target>> = targets.of_service(requirements.service).collect();
    if all.is_empty() {
        return Err(NoTarget::Unknown);
    }
    let untried: Vec<_> =
        all.into_iter().filter(|target| !requirements.tried.contains(&target.endpoint)).collect();
    if untried.is_empty() {
        return Err(NoTarget::AllTried);
    }
    let fit: Vec<_> = untried.iter().copied().filter(|target| requirements.fits(target)).collect();
    if fit.is_empty() && requirements.tried.is_empty() {
        requirements.check_memory(&untried)?;
    }
    let permitted = permitted(fit, requirements)?;
    let usable = preferred(permitted, requirements);
    let chosen = match &requirements.prompt {
        Some(prompt) => choose_for_prompt(targets, &usable, requirements, prompt, warm, rng)?,
        None => least_loaded(&usable, requirements, rng),
    };
    let chosen = chosen.ok_or(NoTarget::TemporarilyUnavailable)?;
    requirements.check_memory_share(chosen, usable.len())?;
    Ok(Rc::clone(chosen))
}

/// Returns the endpoints whose stated limits and waits allow a request now.
fn permitted<'a>(
    fit: Vec<&'a Rc<Target>>,
    requirements: &Requirements<'_>,
) -> Result<Vec<&'a Rc<Target>>, NoTarget> {
    let wait = |target: &Rc<Target>| requirements.stated_wait(target);
    match fit.iter().map(|target| wait(target)).min() {
        Some(shortest) if !shortest.is_zero() => Err(NoTarget::Withheld(shortest)),
        _ => Ok(fit.into_iter().filter(|target| wait(target).is_zero()).collect()),
    }
}

/// Returns the endpoints that are neither avoided nor inferred to be full, as far as some are left.
///
/// If all are avoided, it returns them, since an attempt costs less than a rejection.
fn preferred<'a>(
    permitted: Vec<&'a Rc<Target>>,
    requirements: &Requirements<'_>,
) -> Vec<&'a Rc<Target>> {
    let reachable: Vec<_> =
        permitted.iter().copied().filter(|target| !target.is_avoided(requirements.now)).collect();
    let usable = if reachable.is_empty() { permitted } else { reachable };
    // Those inferred to be full have no headroom, as if their slots were known to be in use.
    without_full(&usable, |target| target.is_inferred_full(requirements.now)).unwrap_or(usable)
}

impl Requirements<'_> {
    /// Returns the speed of the service's engines, the default one if it isn't learned.
    fn service_speed(&self, targets: &Targets) -> ServiceSpeed {
        match self.uses_service_speed {
            true => targets.service_speed(self.service),
            false => ServiceSpeed::default(),
        }
    }

    fn fits(&self, target: &Target) -> bool {
        self.fits_but_for_memory(target) && self.has_memory(target)
    }

    /// Returns whether the request's tokens fit into the engine's memory beside the others'.
    fn has_memory(&self, target: &Target) -> bool {
        let (Some(memory), Some(prompt)) = (self.memory, &self.prompt) else { return true };
        memory.has_room(target.held_load(), prompt.held_tokens)
    }

    /// Returns an error if an endpoint fits but for its memory.
    ///
    /// Tokens are released as responses end; until then at least the waiting prompts are prefilled.
    fn check_memory(&self, untried: &[&Rc<Target>]) -> Result<(), NoTarget> {
        let full = untried.iter().filter(|target| self.fits_but_for_memory(target));
        let speed = EngineSpeed::with_slots(self.slots);
        let wait = full.map(|target| speed.expected_ttft(target.load(), TokenCount::ZERO)).min();
        wait.map_or(Ok(()), |wait| Err(NoTarget::Full(wait)))
    }

    /// Returns an error unless the request may take what is left of the memory of an endpoint, one of
    /// `with_room`; a retried request may.
    fn check_memory_share(&self, target: &Target, with_room: usize) -> Result<(), NoTarget> {
        let (Some(memory), Some(prompt)) = (self.memory, &self.prompt) else { return Ok(()) };
        let unreported = self.unreported / with_room.max(1) as f64;
        let share = memory.admitted_share(target.held_load(), prompt.held_tokens, unreported);
        if !self.tried.is_empty() || self.memory_draw < share {
            return Ok(());
        }
        let speed = EngineSpeed::with_slots(self.slots);
        Err(NoTarget::Full(speed.expected_ttft(target.load(), TokenCount::ZERO)))
    }

    fn fits_but_for_memory(&self, target: &Target) -> bool {
        self.misfit(target).is_none()
    }

    /// Returns why an endpoint can't serve the request whatever its memory, if so.
    fn misfit(&self, target: &Target) -> Option<Misfit> {
        if self.max_connections <= target.load().requests {
            return Some(Misfit::ConnectionsInUse);
        }
        let prompt = self.prompt.as_ref()?;
        let outdated = prompt.weights.outdated_for(target.version(), self.now);
        if target.model.as_ref() != Some(prompt.model) {
            Some(Misfit::OtherModel)
        } else if target.is_paused() {
            Some(Misfit::LoadsWeights)
        } else if !outdated.is_zero() && prompt.max_outdated <= outdated {
            Some(Misfit::OutdatedWeights)
        } else {
            None
        }
    }

    /// Returns the time for which an endpoint accepts no request of this host, by what it stated.
    fn stated_wait(&self, target: &Target) -> Duration {
        let limit_wait = target.limit_wait(self.now, self.router_count);
        target.wait_left(self.now).max(limit_wait.min(MAX_LIMIT_WAIT))
    }
}

/// Chooses the engine for a prompt; a retried prompt skips the capacity check.
fn choose_for_prompt<'a, R: Rng>(
    targets: &Targets,
    usable: &[&'a Rc<Target>],
    requirements: &Requirements<'_>,
    prompt: &PromptRequirements<'_>,
    warm: &mut Warm,
    rng: &mut R,
) -> Result<Option<&'a Rc<Target>>, NoTarget> {
    let speed = requirements.service_speed(targets);
    warm.set_hold_time(speed.hold_time());
    let candidates = candidates(targets, usable, requirements, prompt, &speed);
    let req = Request { prompt_tokens: prompt.chain.tokens(), homes: HOME_COUNT };
    let chosen = if requirements.tried.is_empty() {
        let headrooms: Vec<Headroom> =
            usable.iter().map(|target| headroom(target, requirements, prompt)).collect();
        choose_with_headroom(warm, &req, &candidates, &headrooms, rng)
            .map_err(NoTarget::Overloaded)?
    } else {
        warm.choose(&req, &candidates, rng)
    };
    Ok(chosen.map(|i| usable[i]))
}

fn headroom(
    target: &Target,
    requirements: &Requirements<'_>,
    prompt: &PromptRequirements<'_>,
) -> Headroom {
    let tokens = prompt.chain.tokens().as_u64();
    let uncached =
        TokenCount::new(tokens.saturating_sub(target.warm_tokens(prompt.chain).as_u64()));
    let mut speed = EngineSpeed::with_slots(requirements.slots).slowed_by(target.slowness());
    if requirements.leaves_reserved_slots {
        speed = speed.without_reserved_slots();
    }
    speed.headroom(
        target.load_by_urgency().ahead_of(requirements.urgency),
        uncached,
        requirements.first_event_objective,
    )
}

fn candidates(
    targets: &Targets,
    usable: &[&Rc<Target>],
    requirements: &Requirements<'_>,
    prompt: &PromptRequirements<'_>,
    speed: &ServiceSpeed,
) -> Vec<Candidate> {
    let report_age = targets.loads_age(requirements.now);
    let pools = length_pools(targets, requirements);
    let cached_tokens = CachedTokensByVersion::of(targets, requirements, prompt);
    let candidates = usable.iter().map(|target| {
        let misplaced_cost =
            speed.prefill_time(pools.misplaced_tokens(target.key, prompt.chain.tokens()));
        candidate(target, requirements, prompt, report_age, &cached_tokens, misplaced_cost)
    });
    candidates.collect()
}

fn candidate(
    target: &Target,
    requirements: &Requirements<'_>,
    prompt: &PromptRequirements<'_>,
    report_age: Duration,
    cached_tokens: &CachedTokensByVersion,
    misplaced_cost: Duration,
) -> Candidate {
    let other_load = target.other_load();
    let own_prefill = target.prefill_tokens().as_u64();
    let mut cost = misplaced_cost;
    let home_rank = prompt.chain.shared_hash().map_or(0, |hash| rank(hash, &target.endpoint));
    if target.data_centre != *requirements.local_data_centre {
        let bytes = u32::try_from(requirements.body.as_u64()).unwrap_or(u32::MAX);
        cost += REMOTE_COST + REMOTE_COST_PER_BYTE.saturating_mul(bytes);
    }
    if OUTDATED_WEIGHTS_AGE <= prompt.weights.outdated_for(target.version(), requirements.now) {
        cost += OUTDATED_WEIGHTS_COST;
    }
    Candidate {
        rank: home_rank,
        longer_prefix_rank: home_rank,
        warm_tokens: cached_tokens
            .effective_tokens(target.version(), target.warm_tokens(prompt.chain)),
        in_flight: target.in_flight(),
        own_prefill_tokens: target.prefill_tokens(),
        reported_requests: target.in_flight().saturating_add(other_load.requests),
        reported_prefill_tokens: TokenCount::new(
            own_prefill + u64::from(other_load.prefill_tokens),
        ),
        report_age,
        slots: requirements.slots,
        // The score adds these costs as it adds a round trip.
        round_trip: cost,
        slowness: target.slowness(),
    }
}

/// Returns the division of the service's engines by the length of prompts.
fn length_pools(targets: &Targets, requirements: &Requirements<'_>) -> LengthPools {
    if requirements.mixes_lengths {
        return LengthPools::Mixed;
    }
    let mut by_centre: BTreeMap<&DataCentreId, Vec<EndpointKey>> = BTreeMap::new();
    for target in targets.of_service(requirements.service) {
        if !target.is_avoided(requirements.now) {
            by_centre.entry(&target.data_centre).or_default().push(target.key);
        }
    }
    LengthPools::divide(by_centre.into_values())
}

/// Most tokens of a prompt's shared parts that an engine is estimated to cache, by version of the
/// weights.
struct CachedTokensByVersion(Vec<(u32, u64)>);

impl CachedTokensByVersion {
    fn of(
        targets: &Targets,
        requirements: &Requirements<'_>,
        prompt: &PromptRequirements<'_>,
    ) -> Self {
        let shared = prompt.chain.shared_tokens().as_u64();
        let mut most: Vec<(u32, u64)> = Vec::new();
        for target in targets.of_service(requirements.service) {
            let cached = target.warm_tokens(prompt.chain).as_u64().min(shared);
            match most.iter_mut().find(|(version, _)| *version == target.version()) {
                Some((_, tokens)) => *tokens = cached.max(*tokens),
                None => most.push((target.version(), cached)),
            }
        }
        Self(most)
    }

    /// Returns the cached tokens of an engine, plus a share of those that it can fetch.
    fn effective_tokens(&self, version: u32, warm: TokenCount) -> TokenCount {
        let most =
            self.0.iter().find(|(other, _)| *other == version).map_or(0, |(_, tokens)| *tokens);
        let fetched = most.saturating_sub(warm.as_u64()) as f64 * FETCH_SAVING_RATIO;
        TokenCount::new(warm.as_u64() + fetched as u64)
    }
}

/// Where an engine may fetch parts of a prompt, and where it saves those that it prefills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Transfers {
    pub fetch_from: Option<SocketAddr>,
    pub save_to: Option<SocketAddr>,
}

/// Returns the transfers for a prompt that is sent to `target`.
///
/// They serve workloads whose shared parts don't fit into the engines' memories: missing parts come
/// from another engine that is estimated to hold them, else from the store. Parts that the store
/// lacks are saved there once.
pub(super) fn transfers(
    targets: &Targets,
    target: &Target,
    chain: &PartChain,
    now: MonotonicTime,
) -> Transfers {
    let shared = chain.shared_tokens().as_u64();
    let cached = target.warm_tokens(chain).as_u64().min(shared);
    let stored = targets.store_of(chain).map(|store| {
        (store.address, store.warm_tokens(target.version(), chain).as_u64().min(shared))
    });
    let is_long = MIN_SAVED_TOKENS.as_u64() <= shared;
    let save_to = stored.filter(|(_, tokens)| is_long && *tokens < shared).map(|(store, _)| store);
    if shared < cached + MIN_FETCHED_TOKENS {
        return Transfers { fetch_from: None, save_to };
    }
    let engine = source_among_engines(targets, target, chain, now);
    let engine_tokens = engine.map_or(0, |(_, tokens)| tokens);
    let fetch_from = match stored {
        Some((store, tokens)) if engine_tokens < tokens && cached < tokens => Some(store),
        _ => engine.map(|(address, _)| address),
    };
    Transfers { fetch_from, save_to }
}

/// Returns the engine that is estimated to hold most of a prompt's shared parts, and how much.
///
/// If none holds any, it is the prompt's home engine, which got most requests with these parts.
fn source_among_engines(
    targets: &Targets,
    target: &Target,
    chain: &PartChain,
    now: MonotonicTime,
) -> Option<(SocketAddr, u64)> {
    let hash = chain.shared_hash()?;
    let shared = chain.shared_tokens().as_u64();
    let others = targets.of_service(&target.service).filter(|other| {
        other.endpoint != target.endpoint
            && other.version() == target.version()
            && other.model == target.model
            && !other.is_avoided(now)
    });
    let cached = |other: &Target| other.warm_tokens(chain).as_u64().min(shared);
    let source = others.max_by_key(|other| (cached(other), rank(hash, &other.endpoint)))?;
    Some((source.address, cached(source)))
}

fn least_loaded<'a, R: Rng>(
    usable: &[&'a Rc<Target>],
    requirements: &Requirements<'_>,
    rng: &mut R,
) -> Option<&'a Rc<Target>> {
    let load = |target: &Target| weighted_load(target, requirements);
    let least = usable.iter().map(|target| load(target)).min()?;
    let tied: Vec<_> = usable.iter().filter(|target| load(target) == least).collect();
    Some(tied[rng.random_range(0..tied.len())])
}

/// Returns the load by which endpoints for requests without a prompt are compared.
fn weighted_load(target: &Target, requirements: &Requirements<'_>) -> u64 {
    let is_remote = target.data_centre != *requirements.local_data_centre;
    let penalty = if is_remote { REMOTE_REQUEST_PENALTY } else { 0 };
    target.slowness().weighted_load(target.load().requests)
        + Slowness::NOMINAL.weighted_load(penalty)
}
