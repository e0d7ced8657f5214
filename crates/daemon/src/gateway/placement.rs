use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{ByteCount, DataCentreId, EndpointId, MonotonicTime, ServiceId, TokenCount};
use fleet::WeightsHistory;
use prefix::{PartChain, rank};
use rand::{Rng, RngExt as _};
use route::{
    Candidate, EndpointKey, EngineSpeed, Headroom, Policy as _, Request, Warm, choose_with_headroom,
};

use super::targets::{Target, Targets};

/// What an endpoint in another data centre costs against one in this one, as time.
const AWAY_COST: Duration = Duration::from_millis(100);

/// What each byte that a request sends to another data centre costs besides, as time.
const AWAY_COST_PER_BYTE: Duration = Duration::from_nanos(500);

/// What older weights cost a request once newer ones have been in force for [`OLD_AFTER`].
const OLD_WEIGHTS_COST: Duration = Duration::from_millis(150);

/// Time after the naming of new weights from which answers made on older ones are worth less.
const OLD_AFTER: Duration = Duration::from_millis(1_200);

/// Length from which a prompt counts as long: more than engines read in one step.
const LONG_PROMPT: TokenCount = TokenCount::new(2_049);

/// Part of the engines that take long prompts by preference.
const LONG_SHARE: f64 = 0.6;

/// What a long prompt costs at an engine that takes short ones by preference, as time.
const LONG_MISPLACED_COST: Duration = Duration::from_millis(400);

/// What a short prompt costs at an engine that takes long ones by preference, as time.
const SHORT_MISPLACED_COST: Duration = Duration::from_millis(250);

/// Part of the time to read tokens that their transfer from another engine saves.
const FETCH_GAIN: f64 = 0.7;

/// Fewest tokens that are worth a transfer between engines.
const MIN_FETCHED_TOKENS: u64 = 64;

/// Homes of a prompt's shared beginning.
const HOMES: u32 = 1;

/// How far an endpoint in another data centre must be less busy to get a plain request.
const AWAY_REQUESTS: u32 = 2;

/// What a request needs of an endpoint.
pub(super) struct Wanted<'a> {
    pub service: &'a ServiceId,
    pub prompt: Option<PromptWanted<'a>>,
    /// Endpoints that did not serve it.
    pub tried: &'a [EndpointId],
    pub now: MonotonicTime,
    /// The data centre that this host stands in.
    pub here: &'a DataCentreId,
    /// Requests that an endpoint runs at once, 0 if unknown.
    pub slots: u32,
    /// Connections that an endpoint accepts from all hosts together; each carries one request.
    pub max_connections: u32,
    /// The size of the request.
    pub body: ByteCount,
    /// Time in which the first event is wanted.
    pub aim: Duration,
}

/// What a prompt needs of an engine.
pub(super) struct PromptWanted<'a> {
    pub model: &'a base::ModelId,
    pub chain: &'a PartChain,
    /// The versions of the weights that were named.
    pub weights: &'a WeightsHistory,
    /// Time after which an outdated version may not serve.
    pub weights_age: Duration,
}

/// Why no endpoint can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoTarget {
    /// No endpoint of the service is known.
    Unknown,
    /// Each one loads weights, has older ones, or can't be reached at present.
    Soon,
    /// Each one was tried.
    AllTried,
    /// None would answer in time; there should be room after this time.
    Full(Duration),
}

/// Chooses the endpoint for a request.
///
/// For prompts it answers the load of long shared beginnings with [`Warm`]; for plain requests it
/// takes the least busy endpoint, here rather than elsewhere.
pub(super) fn choose<R: Rng>(
    targets: &Targets,
    wanted: &Wanted<'_>,
    warm: &mut Warm,
    rng: &mut R,
) -> Result<Rc<Target>, NoTarget> {
    let all: Vec<&Rc<Target>> = targets.of_service(wanted.service).collect();
    if all.is_empty() {
        return Err(NoTarget::Unknown);
    }
    let untried: Vec<_> =
        all.into_iter().filter(|target| !wanted.tried.contains(&target.endpoint)).collect();
    if untried.is_empty() {
        return Err(NoTarget::AllTried);
    }
    let fit: Vec<_> = untried.into_iter().filter(|target| wanted.fits(target)).collect();
    let reachable: Vec<_> =
        fit.iter().copied().filter(|target| !target.is_avoided(wanted.now)).collect();
    // Where all are avoided, a try costs less than a refusal.
    let usable = if reachable.is_empty() { fit } else { reachable };
    let chosen = match &wanted.prompt {
        Some(prompt) => for_prompt(targets, &usable, wanted, prompt, warm, rng)?,
        None => least_busy(&usable, wanted, rng),
    };
    chosen.map(Rc::clone).ok_or(NoTarget::Soon)
}

impl Wanted<'_> {
    fn fits(&self, target: &Target) -> bool {
        if self.max_connections <= target.under_way().requests {
            return false;
        }
        let Some(prompt) = &self.prompt else { return true };
        let outdated = prompt.weights.outdated_for(target.version(), self.now);
        target.model.as_ref() == Some(prompt.model)
            && !target.is_paused()
            && (outdated.is_zero() || outdated < prompt.weights_age)
    }
}

/// Chooses the engine for a prompt; one that was tried before goes on wherever it can.
fn for_prompt<'a, R: Rng>(
    targets: &Targets,
    usable: &[&'a Rc<Target>],
    wanted: &Wanted<'_>,
    prompt: &PromptWanted<'_>,
    warm: &mut Warm,
    rng: &mut R,
) -> Result<Option<&'a Rc<Target>>, NoTarget> {
    let candidates = candidates(targets, usable, wanted, prompt);
    let req = Request { prompt_tokens: prompt.chain.tokens(), homes: HOMES };
    let chosen = if wanted.tried.is_empty() {
        let rooms: Vec<Headroom> =
            usable.iter().map(|target| room(target, wanted, prompt)).collect();
        choose_with_headroom(warm, &req, &candidates, &rooms, rng).map_err(NoTarget::Full)?
    } else {
        warm.choose(&req, &candidates, rng)
    };
    Ok(chosen.map(|i| usable[i]))
}

fn room(target: &Target, wanted: &Wanted<'_>, prompt: &PromptWanted<'_>) -> Headroom {
    let cold = prompt.chain.tokens().as_u64();
    let cold = TokenCount::new(cold.saturating_sub(target.warm_tokens(prompt.chain).as_u64()));
    EngineSpeed::with_slots(wanted.slots).headroom(target.under_way(), cold, wanted.aim)
}

fn candidates(
    targets: &Targets,
    usable: &[&Rc<Target>],
    wanted: &Wanted<'_>,
    prompt: &PromptWanted<'_>,
) -> Vec<Candidate> {
    let report_age = targets.loads_age(wanted.now);
    let groups = Groups::of(targets, wanted);
    let is_long = LONG_PROMPT <= prompt.chain.tokens();
    let holders = Holders::of(targets, wanted, prompt);
    let candidates = usable.iter().map(|target| {
        let misplaced = groups.misplaced_cost(target, is_long);
        candidate(target, wanted, prompt, report_age, &holders, misplaced)
    });
    candidates.collect()
}

fn candidate(
    target: &Target,
    wanted: &Wanted<'_>,
    prompt: &PromptWanted<'_>,
    report_age: Duration,
    holders: &Holders,
    misplaced: Duration,
) -> Candidate {
    let others = target.others();
    let own_prefill = target.prefill_tokens().as_u64();
    let mut cost = misplaced;
    let place = prompt.chain.shared_hash().map_or(0, |hash| rank(hash, &target.endpoint));
    if target.data_centre != *wanted.here {
        let bytes = u32::try_from(wanted.body.as_u64()).unwrap_or(u32::MAX);
        cost += AWAY_COST + AWAY_COST_PER_BYTE.saturating_mul(bytes);
    }
    if OLD_AFTER <= prompt.weights.outdated_for(target.version(), wanted.now) {
        cost += OLD_WEIGHTS_COST;
    }
    Candidate {
        rank: place,
        longer_prefix_rank: place,
        warm_tokens: holders.effective(target.version(), target.warm_tokens(prompt.chain)),
        in_flight: target.in_flight(),
        own_prefill_tokens: target.prefill_tokens(),
        reported_requests: target.in_flight().saturating_add(others.requests),
        reported_prefill_tokens: TokenCount::new(own_prefill + u64::from(others.prefill_tokens)),
        report_age,
        slots: wanted.slots,
        round_trip: cost,
    }
}

/// Which engines of each data centre take long prompts by preference.
///
/// A long prompt that is read delays every stream of its engine, so that short requests fare better
/// among themselves.
struct Groups(Vec<EndpointKey>);

impl Groups {
    fn of(targets: &Targets, wanted: &Wanted<'_>) -> Self {
        let mut by_centre: BTreeMap<&DataCentreId, Vec<EndpointKey>> = BTreeMap::new();
        for target in targets.of_service(wanted.service) {
            if !target.is_avoided(wanted.now) {
                by_centre.entry(&target.data_centre).or_default().push(target.key);
            }
        }
        let mut for_long = Vec::new();
        for mut keys in by_centre.into_values() {
            keys.sort_unstable();
            keys.truncate((keys.len() as f64 * LONG_SHARE).round() as usize);
            for_long.append(&mut keys);
        }
        Self(for_long)
    }

    fn misplaced_cost(&self, target: &Target, is_long: bool) -> Duration {
        match (self.0.contains(&target.key), is_long) {
            (true, false) => SHORT_MISPLACED_COST,
            (false, true) => LONG_MISPLACED_COST,
            (true, true) | (false, false) => Duration::ZERO,
        }
    }
}

/// How much of a prompt's shared parts some engine is believed to hold, by version of the weights.
struct Holders(Vec<(u32, u64)>);

impl Holders {
    fn of(targets: &Targets, wanted: &Wanted<'_>, prompt: &PromptWanted<'_>) -> Self {
        let shared = prompt.chain.shared_tokens().as_u64();
        let mut most: Vec<(u32, u64)> = Vec::new();
        for target in targets.of_service(wanted.service) {
            let held = target.warm_tokens(prompt.chain).as_u64().min(shared);
            match most.iter_mut().find(|(version, _)| *version == target.version()) {
                Some((_, tokens)) => *tokens = held.max(*tokens),
                None => most.push((target.version(), held)),
            }
        }
        Self(most)
    }

    /// Returns the tokens that an engine need not read, those that it can fetch in part.
    fn effective(&self, version: u32, warm: TokenCount) -> TokenCount {
        let held =
            self.0.iter().find(|(held, _)| *held == version).map_or(0, |(_, tokens)| *tokens);
        let fetched = held.saturating_sub(warm.as_u64()) as f64 * FETCH_GAIN;
        TokenCount::new(warm.as_u64() + fetched as u64)
    }
}

/// Where an engine may fetch parts of a prompt, and where it saves what it reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Transfers {
    pub fetch_from: Option<SocketAddr>,
    pub save_to: Option<SocketAddr>,
}

/// Returns the transfers for a prompt that `target` is to read.
///
/// It answers loads whose shared parts don't fit into the engines' memories: what an engine lacks
/// comes from another one that is believed to hold it, else from the store. What the store lacks is
/// saved there once.
pub(super) fn transfers(
    targets: &Targets,
    target: &Target,
    chain: &PartChain,
    now: MonotonicTime,
) -> Transfers {
    let shared = chain.shared_tokens().as_u64();
    let held = target.warm_tokens(chain).as_u64().min(shared);
    let stored = targets.store_of(chain).map(|store| {
        (store.address, store.warm_tokens(target.version(), chain).as_u64().min(shared))
    });
    let is_long = LONG_PROMPT.as_u64() <= shared;
    let save_to = stored.filter(|(_, tokens)| is_long && *tokens < shared).map(|(store, _)| store);
    if shared < held + MIN_FETCHED_TOKENS {
        return Transfers { fetch_from: None, save_to };
    }
    let engine = source_among_engines(targets, target, chain, now);
    let engine_tokens = engine.map_or(0, |(_, tokens)| tokens);
    let fetch_from = match stored {
        Some((store, tokens)) if engine_tokens < tokens && held < tokens => Some(store),
        _ => engine.map(|(address, _)| address),
    };
    Transfers { fetch_from, save_to }
}

/// Returns the engine that is believed to hold most of a prompt's shared parts, and how much.
///
/// Where none is, it is the prompt's home, which most requests with these parts were sent to.
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
    let held = |other: &Target| other.warm_tokens(chain).as_u64().min(shared);
    let source = others.max_by_key(|other| (held(other), rank(hash, &other.endpoint)))?;
    Some((source.address, held(source)))
}

fn least_busy<'a, R: Rng>(
    usable: &[&'a Rc<Target>],
    wanted: &Wanted<'_>,
    rng: &mut R,
) -> Option<&'a Rc<Target>> {
    let burden = |target: &Target| {
        let away = target.data_centre != *wanted.here;
        target.in_flight() + target.others().requests + if away { AWAY_REQUESTS } else { 0 }
    };
    let least = usable.iter().map(|target| burden(target)).min()?;
    let equals: Vec<_> = usable.iter().filter(|target| burden(target) == least).collect();
    Some(equals[rng.random_range(0..equals.len())])
}
