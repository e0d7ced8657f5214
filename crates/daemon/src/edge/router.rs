mod explain;
mod feedback;
mod requirements;
mod transfer;

use std::{cell::Cell, collections::BTreeMap, net::IpAddr, rc::Rc, time::Duration};

use base::{
    DataCentreId, EndpointId, Incarnation, ModelId, MonotonicTime, ServiceId, TokenCount,
    WeightsVersion,
};
use fleet::setting::KvTransfer as KvTransferSetting;
use member::{Announcement, EndpointKind, EndpointRecord, EndpointState, PeerState, Roster};
use prefix::{BlockBytes, Chain, Salt};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use route::{
    Candidate, EjectionState, OutlierDetector, OutlierSettings, Policy as _, Request, Slowness,
    Warm,
};
use wire::kv_transfer::KvTransfer;

pub(super) use self::transfer::cache_salt;

use self::transfer::{FetchingEngine, is_kv_store_service};

use crate::in_flight::Work;

use super::{
    policies::Policies,
    prefix_tracker::PrefixTracker,
    round_trips::RoundTrips,
    targets::{InFlight, Target},
};

pub(super) use requirements::EngineRequirements;

use requirements::PrefixIdentity;

/// Bytes of prompt counted as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt in a block.
const BLOCK_BYTES: BlockBytes = BlockBytes::new(64).expect("the size is not zero");

/// Tokens of prompt in a block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES.as_usize() / BYTES_PER_TOKEN) as u64;

/// Share of an engine's requests that one prefix may make up before it gets another home.
const HOT_PREFIX_SHARE: f64 = 0.2;

/// Blocks beyond the placement level that distinguish prompts with the same hot prefix.
const LONGER_PREFIX_BLOCKS: usize = 4;

/// Chooses endpoints for requests.
pub(super) struct Router {
    source: IpAddr,
    targets: BTreeMap<EndpointId, Rc<Target>>,
    policies: Policies,
    service_policy: Warm,
    prefixes: PrefixTracker,
    round_trips: RoundTrips,
    engine_outliers: OutlierDetector,
    service_outliers: OutlierDetector,
    router_count: usize,
    /// Most requests that an engine ran at once while others waited.
    max_slots: u32,
    rng: Pcg64Mcg,
}

/// An engine chosen for a completion.
pub(super) struct ChosenEngine {
    pub in_flight: InFlight,
    pub endpoint: EndpointId,
    pub weights: WeightsVersion,
    pub salt: Salt,
    /// Where the engine may fetch cached blocks from.
    pub transfer: Option<KvTransfer>,
    chain: Chain,
    prompt_tokens: TokenCount,
    /// Blocks of the chain that the engine was expected to have cached.
    expected_blocks: usize,
    sent_at: MonotonicTime,
    /// Whether it had no other request of this router, so that its latency is a prefill time.
    was_idle: bool,
    time_to_first_token: Cell<Option<Duration>>,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoEndpoint {
    /// No endpoint serves the model or service.
    NotServed,
    /// Every endpoint that serves it has been tried or is drained.
    Unavailable,
}

/// An endpoint that can serve a request; for an engine, with the weights that it would use.
struct EligibleEndpoint<'a, W> {
    id: &'a EndpointId,
    target: &'a Rc<Target>,
    weights: W,
}

impl Router {
    /// Creates a router in a data centre that connects from the local address `source`.
    pub(super) fn new(source: IpAddr, data_centre: DataCentreId, mut rng: Pcg64Mcg) -> Self {
        Self {
            source,
            targets: BTreeMap::new(),
            policies: Policies::default(),
            service_policy: Warm::default(),
            prefixes: PrefixTracker::new(rng.random()),
            round_trips: RoundTrips::new(data_centre),
            engine_outliers: OutlierDetector::new(OutlierSettings::default()),
            service_outliers: OutlierDetector::new(OutlierSettings::default()),
            router_count: 1,
            max_slots: 0,
            rng,
        }
    }

    /// Applies a newer roster of the endpoints and routers.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        roster: &Roster,
        is_drained: impl Fn(&Announcement) -> bool,
    ) {
        let alive = roster.peers.iter().filter(|peer| peer.update.state == PeerState::Alive);
        self.router_count = alive.count() + 1;
        self.prefixes.set_routers(self.router_count);
        let mut old = std::mem::take(&mut self.targets);
        let ready = roster.endpoints.iter().filter(|record| record.state == EndpointState::Ready);
        for record in ready {
            let endpoint = record.announcement.endpoint.clone();
            let target = old.remove(&endpoint).filter(|target| target.update(record));
            let target = target.unwrap_or_else(|| Rc::new(self.add_target(now, record)));
            target.set_drained(is_drained(&record.announcement));
            self.targets.insert(endpoint, target);
        }
        for endpoint in old.keys() {
            self.remove_endpoint(endpoint);
        }
        self.update_home_rate();
    }

    /// Updates which endpoints are drained.
    pub(super) fn update_drained(&self, is_drained: impl Fn(&Announcement) -> bool) {
        for target in self.targets.values() {
            let drained = is_drained(&target.announcement());
            target.set_drained(drained);
        }
    }

    /// Returns the number of engines that are not drained.
    pub(super) fn engine_count(&self) -> usize {
        let is_engine = |target: &&Rc<Target>| {
            matches!(target.announcement().kind, EndpointKind::Engine(_)) && !target.is_drained()
        };
        self.targets.values().filter(is_engine).count()
    }

    /// Returns the most requests that an engine ran at once while others waited, 0 if none ever
    /// waited.
    pub(super) fn max_slots(&self) -> u32 {
        self.max_slots
    }

    /// Returns the number of routers that share the requests.
    pub(super) fn router_count(&self) -> usize {
        self.router_count
    }

    /// Returns whether no endpoint is known, such as right after the start.
    pub(super) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the models that engines serve.
    pub(super) fn models(&self) -> Vec<ModelId> {
        let mut models = Vec::new();
        for target in self.targets.values() {
            if let EndpointKind::Engine(engine) = &target.announcement().kind {
                models.extend(engine.models.iter().map(|served| served.model.clone()));
            }
        }
        models.sort();
        models.dedup();
        models
    }

    /// Chooses an engine that isn't among `tried`.
    pub(super) fn choose_engine(
        &mut self,
        now: MonotonicTime,
        requirements: &EngineRequirements<'_>,
        tried: &[EndpointId],
    ) -> Result<ChosenEngine, NoEndpoint> {
        let eligible: Vec<_> = self
            .targets
            .iter()
            .filter_map(|(id, target)| {
                let weights = target.served_weights(|m| requirements.fits(m))?;
                Some(EligibleEndpoint { id, target, weights })
            })
            .collect();
        if eligible.is_empty() {
            return Err(NoEndpoint::NotServed);
        }
        let mut available = available(now, &eligible, tried, &self.engine_outliers);
        // Grouped by weights, since cached prefixes are looked up for one chain at a time.
        available.sort_by(|a, b| a.weights.cmp(&b.weights));
        let req = Request { prompt_tokens: requirements.prompt_tokens(), homes: 1 };
        let mut identities: Vec<PrefixIdentity> = Vec::new();
        let mut candidates = Vec::with_capacity(available.len());
        for eligible in &available {
            if !identities.iter().any(|identity| identity.weights == eligible.weights) {
                let identity = requirements.identity(&eligible.weights);
                identities.push(count_request(identity, now, requirements, &mut self.prefixes));
            }
            let identity =
                find_identity(&identities, &eligible.weights).ok_or(NoEndpoint::NotServed)?;
            let warm = self.matched_blocks(eligible.target);
            candidates.push(self.candidate(
                now,
                requirements,
                (eligible.id, eligible.target),
                identity,
                warm,
            ));
        }
        let homes = identities.iter().map(|identity| identity.homes).max().unwrap_or(1);
        let req = Request { homes, ..req };
        let chosen =
            self.policies.choose(&requirements.preferences, &req, &candidates, &mut self.rng);
        let chosen = chosen.ok_or(NoEndpoint::Unavailable)?;
        let EligibleEndpoint { id, target, weights } = available[chosen];
        let identity = identities.iter().position(|identity| identity.weights == *weights);
        let PrefixIdentity { salt, chain, .. } =
            identities.swap_remove(identity.ok_or(NoEndpoint::NotServed)?);
        let warm = candidates[chosen].warm_tokens;
        let expected_blocks = (warm.as_u64() / BLOCK_TOKENS) as usize;
        let mut transfer = None;
        if requirements.preferences.kv_transfer != KvTransferSetting::Off {
            self.prefixes.match_chain(now, &chain);
            let fetching = FetchingEngine { endpoint: id, target, salt, expected_blocks };
            transfer = self.choose_transfer(requirements, &fetching);
        }
        if let Some(slot) = self.kv_store_slot(requirements) {
            self.prefixes.record_sent(now, slot, &chain);
        }
        if let Some(slot) = target.prefix_slot() {
            self.prefixes.record_sent(now, slot, &chain);
        }
        self.engine_outliers.record_sent(now, id);
        let cold = req.prompt_tokens.as_u64().saturating_sub(warm.as_u64());
        Ok(ChosenEngine {
            was_idle: target.in_flight() == 0,
            in_flight: InFlight::begin(
                target,
                Work { prefill_tokens: TokenCount::new(cold), ..Work::default() },
            ),
            endpoint: (*id).clone(),
            weights: weights.clone(),
            salt,
            transfer,
            chain,
            prompt_tokens: req.prompt_tokens,
            expected_blocks,
            sent_at: now,
            time_to_first_token: Cell::new(None),
        })
    }

    /// Returns an engine that has begun a response, if the same incarnation of it still serves the
    /// same weights.
    pub(super) fn resumable_engine(
        &self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        requirements: &EngineRequirements<'_>,
    ) -> Option<ChosenEngine> {
        let target = self.targets.get(endpoint)?;
        if target.announcement().incarnation != incarnation {
            return None;
        }
        let weights = target.served_weights(|m| requirements.fits(m))?;
        let PrefixIdentity { salt, chain, .. } = requirements.identity(&weights);
        Some(ChosenEngine {
            was_idle: false,
            in_flight: InFlight::begin(target, Work::default()),
            endpoint: endpoint.clone(),
            weights,
            salt,
            transfer: None,
            chain,
            prompt_tokens: requirements.prompt_tokens(),
            expected_blocks: 0,
            sent_at: now,
            time_to_first_token: Cell::new(None),
        })
    }

    /// Chooses an endpoint of a plain service that isn't among `tried`.
    pub(super) fn choose_service_endpoint(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[EndpointId],
    ) -> Result<(EndpointId, InFlight), NoEndpoint> {
        if is_kv_store_service(service) {
            return Err(NoEndpoint::NotServed);
        }
        let eligible: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| target.announcement().kind.is_service(service))
            .map(|(id, target)| EligibleEndpoint { id, target, weights: () })
            .collect();
        if eligible.is_empty() {
            return Err(NoEndpoint::NotServed);
        }
        let available = available(now, &eligible, tried, &self.service_outliers);
        let candidates: Vec<_> = available
            .iter()
            .map(|eligible| Candidate {
                in_flight: eligible.target.in_flight(),
                round_trip: self.round_trips.beyond_local(&eligible.target.data_centre()),
                ..Candidate::default()
            })
            .collect();
        let req = Request::default();
        let chosen = self.service_policy.choose(&req, &candidates, &mut self.rng);
        let eligible = available[chosen.ok_or(NoEndpoint::Unavailable)?];
        self.service_outliers.record_sent(now, eligible.id);
        Ok((eligible.id.clone(), InFlight::begin(eligible.target, Work::default())))
    }

    fn add_target(&mut self, now: MonotonicTime, record: &EndpointRecord) -> Target {
        let announcement = &record.announcement;
        let endpoint = &announcement.endpoint;
        let slot = match &announcement.kind {
            EndpointKind::Engine(_) => {
                self.engine_outliers.join(now, endpoint.clone());
                self.prefixes.bind(endpoint, announcement.incarnation)
            }
            EndpointKind::Service(service) if is_kv_store_service(service) => {
                self.prefixes.bind(endpoint, announcement.incarnation)
            }
            EndpointKind::Service(_) => {
                self.service_outliers.join(now, endpoint.clone());
                None
            }
        };
        Target::new(self.source, record, slot)
    }

    /// Sets the request rate per home, so that a hot prefix takes a bounded share of each home's
    /// capacity.
    fn update_home_rate(&mut self) {
        self.max_slots = self.targets.values().map(|target| target.slots()).max().unwrap_or(0);
        let Some(hold_time) = self.policies.hold_time() else { return };
        if self.max_slots != 0 && !hold_time.is_zero() {
            let rate = f64::from(self.max_slots) / hold_time.as_secs_f64();
            self.prefixes.set_rate_per_home(rate * HOT_PREFIX_SHARE);
        }
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.engine_outliers.leave(endpoint);
        self.service_outliers.leave(endpoint);
        self.prefixes.unbind(endpoint);
    }

    fn matched_blocks(&self, target: &Target) -> usize {
        target.prefix_slot().map_or(0, |slot| self.prefixes.matched_blocks(slot))
    }

    fn candidate(
        &self,
        now: MonotonicTime,
        requirements: &EngineRequirements<'_>,
        (id, target): (&EndpointId, &Target),
        identity: &PrefixIdentity,
        cached_blocks: usize,
    ) -> Candidate {
        let level = requirements.preferences.placement_level;
        let rank = |level| identity.chain.at_level(level).map_or(0, |home| prefix::rank(home, id));
        let (load, report_age) = target.load(now);
        Candidate {
            rank: rank(level),
            longer_prefix_rank: rank(level + LONGER_PREFIX_BLOCKS),
            warm_tokens: TokenCount::new(cached_blocks as u64 * BLOCK_TOKENS),
            in_flight: target.in_flight(),
            own_prefill_tokens: target.prefill_tokens(),
            reported_requests: load.running.saturating_add(load.waiting),
            reported_prefill_tokens: load.prefill_tokens,
            report_age,
            slots: if target.slots() == 0 { self.max_slots } else { target.slots() },
            round_trip: self.round_trips.beyond_local(&target.data_centre()),
            slowness: Slowness::NOMINAL,
        }
    }
}

/// Returns the untried, undrained endpoints that aren't ejected, or the ejected ones if all are.
fn available<'a, 'b, W>(
    now: MonotonicTime,
    eligible: &'b [EligibleEndpoint<'a, W>],
    tried: &[EndpointId],
    outliers: &OutlierDetector,
) -> Vec<&'b EligibleEndpoint<'a, W>> {
    let untried = eligible
        .iter()
        .filter(|eligible| !eligible.target.is_drained() && !tried.contains(eligible.id));
    let untried: Vec<_> = untried.collect();
    let not_ejected = |eligible: &&&EligibleEndpoint<'_, W>| {
        outliers.ejection_state(now, eligible.id) != EjectionState::Ejected
    };
    let healthy: Vec<_> = untried.iter().filter(not_ejected).copied().collect();
    if healthy.is_empty() { untried } else { healthy }
}

/// Looks up the chain's cached prefixes, counts the request for its home prefix and sets the number
/// of homes.
fn count_request(
    mut identity: PrefixIdentity,
    now: MonotonicTime,
    requirements: &EngineRequirements<'_>,
    prefixes: &mut PrefixTracker,
) -> PrefixIdentity {
    prefixes.match_chain(now, &identity.chain);
    if let Some(home) = identity.chain.at_level(requirements.preferences.placement_level) {
        identity.homes = prefixes.record_request(now, home);
    }
    identity
}

fn find_identity<'a>(
    identities: &'a [PrefixIdentity],
    weights: &WeightsVersion,
) -> Option<&'a PrefixIdentity> {
    identities.iter().find(|identity| identity.weights == *weights)
}
