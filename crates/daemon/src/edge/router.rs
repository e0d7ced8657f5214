mod explain;
mod feedback;
mod transfer;
mod wanted;

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
    Candidate, EjectionState, OutlierDetector, OutlierSettings, Policy as _, Request, Warm,
};
use wire::kv_transfer::KvTransfer;

pub(super) use self::transfer::cache_salt;

use self::transfer::{Asking, is_kept_kv};

use super::{
    policies::Policies,
    round_trips::RoundTrips,
    targets::{InFlight, Target},
    warmth::PrefixWarmth,
};

pub(super) use wanted::Wanted;

use wanted::Identity;

/// Bytes of prompt taken as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt in a block.
const BLOCK_BYTES: BlockBytes = BlockBytes::new(64).expect("the size is not zero");

/// Tokens of prompt in a block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES.as_usize() / BYTES_PER_TOKEN) as u64;

/// Part of an engine's requests that one prefix may make up before it gets another home.
const HOT_SHARE: f64 = 0.2;

/// Blocks beyond the placement level that tell prompts of one hot prefix apart.
const FINE_BLOCKS: usize = 4;

/// Chooses endpoints for requests.
pub(super) struct Router {
    source: IpAddr,
    targets: BTreeMap<EndpointId, Rc<Target>>,
    policies: Policies,
    service_policy: Warm,
    warmth: PrefixWarmth,
    round_trips: RoundTrips,
    engine_outliers: OutlierDetector,
    service_outliers: OutlierDetector,
    routers: usize,
    /// Most requests that an engine ran while others waited.
    slots: u32,
    rng: Pcg64Mcg,
}

/// An engine chosen for a completion.
pub(super) struct Chosen {
    pub in_flight: InFlight,
    pub endpoint: EndpointId,
    pub weights: WeightsVersion,
    pub salt: Salt,
    /// Where the engine may fetch cached blocks from.
    pub transfer: Option<KvTransfer>,
    chain: Chain,
    prompt_tokens: TokenCount,
    /// Blocks of the chain that the engine was believed to hold.
    believed: usize,
    sent: MonotonicTime,
    was_idle: bool,
    begun: Cell<Option<Duration>>,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoEndpoint {
    /// No endpoint serves what is asked for.
    Unknown,
    /// Every endpoint that serves it has been tried, or takes no new work.
    AllTried,
}

/// An endpoint that can serve a request, for an engine with the weights it would serve it by.
struct Able<'a, W> {
    id: &'a EndpointId,
    target: &'a Rc<Target>,
    weights: W,
}

impl Router {
    /// Creates a router in a data centre that connects from the own address `source`.
    pub(super) fn new(source: IpAddr, data_centre: DataCentreId, mut rng: Pcg64Mcg) -> Self {
        Self {
            source,
            targets: BTreeMap::new(),
            policies: Policies::default(),
            service_policy: Warm::default(),
            warmth: PrefixWarmth::new(rng.random()),
            round_trips: RoundTrips::new(data_centre),
            engine_outliers: OutlierDetector::new(OutlierSettings::default()),
            service_outliers: OutlierDetector::new(OutlierSettings::default()),
            routers: 1,
            slots: 0,
            rng,
        }
    }

    /// Takes a newer view of the endpoints and routers.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        roster: &Roster,
        is_drained: impl Fn(&Announcement) -> bool,
    ) {
        let alive = roster.peers.iter().filter(|peer| peer.update.state == PeerState::Alive);
        self.routers = alive.count() + 1;
        self.warmth.set_routers(self.routers);
        let mut old = std::mem::take(&mut self.targets);
        let ready = roster.endpoints.iter().filter(|known| known.state == EndpointState::Ready);
        for known in ready {
            let endpoint = known.announcement.endpoint.clone();
            let target = old.remove(&endpoint).filter(|target| target.renew(known));
            let target = target.unwrap_or_else(|| Rc::new(self.join(now, known)));
            target.set_drained(is_drained(&known.announcement));
            self.targets.insert(endpoint, target);
        }
        for endpoint in old.keys() {
            self.leave(endpoint);
        }
        self.size_homes();
    }

    /// Decides anew which endpoints get no new work.
    pub(super) fn drain(&self, is_drained: impl Fn(&Announcement) -> bool) {
        for target in self.targets.values() {
            let drained = is_drained(&target.announcement());
            target.set_drained(drained);
        }
    }

    /// Returns the number of engines that get new work.
    pub(super) fn engines(&self) -> usize {
        let is_engine = |target: &&Rc<Target>| {
            matches!(target.announcement().kind, EndpointKind::Engine(_)) && !target.is_drained()
        };
        self.targets.values().filter(is_engine).count()
    }

    /// Returns the most requests that an engine ran while others waited, 0 if none ever waited.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of routers that share the requests.
    pub(super) fn routers(&self) -> usize {
        self.routers
    }

    /// Returns whether no endpoint is known, as right after the start.
    pub(super) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the models that can be asked for.
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
        wanted: &Wanted<'_>,
        tried: &[EndpointId],
    ) -> Result<Chosen, NoEndpoint> {
        let able: Vec<_> = self
            .targets
            .iter()
            .filter_map(|(id, target)| {
                let weights = target.serves(|m| wanted.fits(m))?;
                Some(Able { id, target, weights })
            })
            .collect();
        if able.is_empty() {
            return Err(NoEndpoint::Unknown);
        }
        let mut open = open(now, &able, tried, &self.engine_outliers);
        // Engines of the same weights stand together, as warmth is measured for one chain at a time.
        open.sort_by(|a, b| a.weights.cmp(&b.weights));
        let req = Request { prompt_tokens: wanted.prompt_tokens(), homes: 1 };
        let mut identities: Vec<Identity> = Vec::new();
        let mut candidates = Vec::with_capacity(open.len());
        for able in &open {
            if !identities.iter().any(|identity| identity.weights == able.weights) {
                let identity = wanted.identity(&able.weights);
                identities.push(count_homes(identity, now, wanted, &mut self.warmth));
            }
            let identity = find(&identities, &able.weights).ok_or(NoEndpoint::Unknown)?;
            let warm = self.warmth_of(able.target);
            candidates.push(self.candidate(now, wanted, (able.id, able.target), identity, warm));
        }
        let homes = identities.iter().map(|identity| identity.homes).max().unwrap_or(1);
        let req = Request { homes, ..req };
        let chosen = self.policies.choose(&wanted.preferences, &req, &candidates, &mut self.rng);
        let chosen = chosen.ok_or(NoEndpoint::AllTried)?;
        let Able { id, target, weights } = open[chosen];
        let identity = identities.iter().position(|identity| identity.weights == *weights);
        let Identity { salt, chain, .. } =
            identities.swap_remove(identity.ok_or(NoEndpoint::Unknown)?);
        let warm = candidates[chosen].warm_tokens;
        let believed = (warm.as_u64() / BLOCK_TOKENS) as usize;
        let mut transfer = None;
        if wanted.preferences.kv_transfer != KvTransferSetting::Off {
            self.warmth.measure(now, &chain);
            let asking = Asking { endpoint: id, target, salt, held: believed };
            transfer = self.find_transfer(wanted, &asking);
        }
        if let Some(slot) = self.store_slot(wanted) {
            self.warmth.sent(now, slot, &chain);
        }
        if let Some(slot) = target.slot() {
            self.warmth.sent(now, slot, &chain);
        }
        self.engine_outliers.sent(now, id);
        let cold = req.prompt_tokens.as_u64().saturating_sub(warm.as_u64());
        Ok(Chosen {
            was_idle: target.in_flight() == 0,
            in_flight: InFlight::begin(target, TokenCount::new(cold)),
            endpoint: (*id).clone(),
            weights: weights.clone(),
            salt,
            transfer,
            chain,
            prompt_tokens: req.prompt_tokens,
            believed,
            sent: now,
            begun: Cell::new(None),
        })
    }

    /// Returns an engine that has begun an answer, if that life of it still serves the same.
    pub(super) fn engine_of(
        &self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        wanted: &Wanted<'_>,
    ) -> Option<Chosen> {
        let target = self.targets.get(endpoint)?;
        if target.announcement().incarnation != incarnation {
            return None;
        }
        let weights = target.serves(|m| wanted.fits(m))?;
        let Identity { salt, chain, .. } = wanted.identity(&weights);
        Some(Chosen {
            was_idle: false,
            in_flight: InFlight::begin(target, TokenCount::new(0)),
            endpoint: endpoint.clone(),
            weights,
            salt,
            transfer: None,
            chain,
            prompt_tokens: wanted.prompt_tokens(),
            believed: 0,
            sent: now,
            begun: Cell::new(None),
        })
    }

    /// Chooses an endpoint of a plain service that isn't among `tried`.
    pub(super) fn choose_service(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[EndpointId],
    ) -> Result<(EndpointId, InFlight), NoEndpoint> {
        if is_kept_kv(service) {
            return Err(NoEndpoint::Unknown);
        }
        let able: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| target.announcement().kind.is_service(service))
            .map(|(id, target)| Able { id, target, weights: () })
            .collect();
        if able.is_empty() {
            return Err(NoEndpoint::Unknown);
        }
        let open = open(now, &able, tried, &self.service_outliers);
        let candidates: Vec<_> = open
            .iter()
            .map(|able| Candidate {
                in_flight: able.target.in_flight(),
                round_trip: self.round_trips.to(&able.target.data_centre()),
                ..Candidate::default()
            })
            .collect();
        let req = Request::default();
        let chosen = self.service_policy.choose(&req, &candidates, &mut self.rng);
        let able = open[chosen.ok_or(NoEndpoint::AllTried)?];
        self.service_outliers.sent(now, able.id);
        Ok((able.id.clone(), InFlight::begin(able.target, TokenCount::ZERO)))
    }

    fn join(&mut self, now: MonotonicTime, known: &EndpointRecord) -> Target {
        let announcement = &known.announcement;
        let endpoint = &announcement.endpoint;
        let slot = match &announcement.kind {
            EndpointKind::Engine(_) => {
                self.engine_outliers.join(now, endpoint.clone());
                self.warmth.bind(endpoint, announcement.incarnation)
            }
            EndpointKind::Service(service) if is_kept_kv(service) => {
                self.warmth.bind(endpoint, announcement.incarnation)
            }
            EndpointKind::Service(_) => {
                self.service_outliers.join(now, endpoint.clone());
                None
            }
        };
        Target::new(self.source, known, slot)
    }

    /// Gives a prefix so many homes that it takes a part of what each can carry.
    fn size_homes(&mut self) {
        self.slots = self.targets.values().map(|target| target.slots()).max().unwrap_or(0);
        let Some(hold_time) = self.policies.hold_time() else { return };
        if self.slots != 0 && !hold_time.is_zero() {
            let rate = f64::from(self.slots) / hold_time.as_secs_f64();
            self.warmth.set_rate_per_home(rate * HOT_SHARE);
        }
    }

    fn leave(&mut self, endpoint: &EndpointId) {
        self.engine_outliers.leave(endpoint);
        self.service_outliers.leave(endpoint);
        self.warmth.unbind(endpoint);
    }

    fn warmth_of(&self, target: &Target) -> usize {
        target.slot().map_or(0, |slot| self.warmth.blocks(slot))
    }

    fn candidate(
        &self,
        now: MonotonicTime,
        wanted: &Wanted<'_>,
        (id, target): (&EndpointId, &Target),
        identity: &Identity,
        warm_blocks: usize,
    ) -> Candidate {
        let level = wanted.preferences.level;
        let rank = |level| identity.chain.at_level(level).map_or(0, |home| prefix::rank(home, id));
        let (load, report_age) = target.load(now);
        Candidate {
            rank: rank(level),
            longer_prefix_rank: rank(level + FINE_BLOCKS),
            warm_tokens: TokenCount::new(warm_blocks as u64 * BLOCK_TOKENS),
            in_flight: target.in_flight(),
            own_prefill_tokens: target.prefill_tokens(),
            reported_requests: load.running.saturating_add(load.waiting),
            reported_prefill_tokens: load.prefill_tokens,
            report_age,
            slots: if target.slots() == 0 { self.slots } else { target.slots() },
            round_trip: self.round_trips.to(&target.data_centre()),
        }
    }
}

/// Returns those that may get new work, or else those kept from it for their failures.
fn open<'a, 'b, W>(
    now: MonotonicTime,
    able: &'b [Able<'a, W>],
    tried: &[EndpointId],
    outliers: &OutlierDetector,
) -> Vec<&'b Able<'a, W>> {
    let untried = able.iter().filter(|able| !able.target.is_drained() && !tried.contains(able.id));
    let untried: Vec<_> = untried.collect();
    let standing =
        |able: &&&Able<'_, W>| outliers.ejection_state(now, able.id) != EjectionState::Ejected;
    let sound: Vec<_> = untried.iter().filter(standing).copied().collect();
    if sound.is_empty() { untried } else { sound }
}

fn count_homes(
    mut identity: Identity,
    now: MonotonicTime,
    wanted: &Wanted<'_>,
    warmth: &mut PrefixWarmth,
) -> Identity {
    warmth.measure(now, &identity.chain);
    if let Some(home) = identity.chain.at_level(wanted.preferences.level) {
        identity.homes = warmth.count(now, home);
    }
    identity
}

fn find<'a>(identities: &'a [Identity], weights: &WeightsVersion) -> Option<&'a Identity> {
    identities.iter().find(|identity| identity.weights == *weights)
}
