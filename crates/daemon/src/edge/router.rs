mod explain;

use std::{borrow::Cow, collections::BTreeMap, net::IpAddr, rc::Rc, sync::Arc};

use base::{AdapterId, EndpointId, ModelId, OrganisationId, ServiceId, TokenCount, WeightsVersion};
use member::{EndpointKind, EndpointState, Roster, ServedModel};
use prefix::{BlockBytes, Chain, Salt};
use rand_pcg::Pcg64Mcg;
use route::{Candidate, LeastInFlight, Policy as _, Request, Warm};

use super::targets::{InFlight, Target};

/// Bytes of prompt taken as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt in a block.
const BLOCK_BYTES: BlockBytes = BlockBytes::new(64).expect("the size is not zero");

/// Blocks of a prompt that decide its home.
const HOME_BLOCKS: usize = 32;

/// Chooses endpoints for requests.
pub(super) struct Router {
    source: IpAddr,
    targets: BTreeMap<EndpointId, Rc<Target>>,
    policy: Warm,
    rng: Pcg64Mcg,
}

/// What a completion needs of an engine.
pub(super) struct Wanted<'a> {
    pub organisation: &'a OrganisationId,
    pub model: &'a ModelId,
    pub adapter: Option<&'a AdapterId>,
    /// Set when part of the answer was made with these weights.
    pub weights: Option<&'a WeightsVersion>,
    pub prompt: &'a [Cow<'a, [u8]>],
}

/// An engine chosen for a completion.
pub(super) struct Chosen {
    pub in_flight: InFlight,
    pub endpoint: EndpointId,
    pub weights: WeightsVersion,
    pub salt: Salt,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoEndpoint {
    /// No endpoint serves what is asked for.
    Unknown,
    /// Every endpoint that serves it has been tried.
    AllTried,
}

impl Router {
    /// Creates a router that connects from the own address `source`.
    pub(super) fn new(source: IpAddr, rng: Pcg64Mcg) -> Self {
        Self { source, targets: BTreeMap::new(), policy: Warm::default(), rng }
    }

    /// Takes a newer view of the endpoints.
    pub(super) fn update(&mut self, roster: &Roster) {
        let mut old = std::mem::take(&mut self.targets);
        let ready = roster.endpoints.iter().filter(|known| known.state == EndpointState::Ready);
        for announcement in ready.map(|known| &known.announcement) {
            let known = old.remove(&announcement.endpoint);
            let target = known
                .filter(|target| target.renew(announcement))
                .unwrap_or_else(|| Rc::new(Target::new(self.source, Arc::clone(announcement))));
            self.targets.insert(announcement.endpoint.clone(), target);
        }
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
        wanted: &Wanted<'_>,
        tried: &[EndpointId],
    ) -> Result<Chosen, NoEndpoint> {
        let able: Vec<_> = self
            .targets
            .iter()
            .filter_map(|(id, target)| Some((id, target, target.serves(|m| wanted.fits(m))?)))
            .collect();
        if able.is_empty() {
            return Err(NoEndpoint::Unknown);
        }
        let untried: Vec<_> = able.into_iter().filter(|(id, ..)| !tried.contains(id)).collect();
        let mut chains: Vec<(WeightsVersion, Salt, Chain)> = Vec::new();
        let mut candidates = Vec::with_capacity(untried.len());
        for (id, target, served) in &untried {
            let chain = match chains.iter().find(|(weights, ..)| *weights == served.weights) {
                Some((_, _, chain)) => chain,
                None => {
                    let (salt, chain) = wanted.chain(&served.weights);
                    chains.push((served.weights.clone(), salt, chain));
                    &chains[chains.len() - 1].2
                }
            };
            let home = chain.at_level(HOME_BLOCKS);
            candidates.push(Candidate {
                rank: home.map_or(0, |home| prefix::rank(home, id)),
                in_flight: target.in_flight(),
                ..Candidate::default()
            });
        }
        let req = Request { prompt_tokens: wanted.prompt_tokens(), homes: 1 };
        let chosen = self.policy.choose(&req, &candidates, &mut self.rng);
        let (id, target, served) = &untried[chosen.ok_or(NoEndpoint::AllTried)?];
        let salt = chains.iter().find(|(weights, ..)| *weights == served.weights);
        Ok(Chosen {
            in_flight: InFlight::begin(target),
            endpoint: (*id).clone(),
            weights: served.weights.clone(),
            salt: salt.map(|(_, salt, _)| *salt).ok_or(NoEndpoint::Unknown)?,
        })
    }

    /// Chooses an endpoint of a plain service that isn't among `tried`.
    pub(super) fn choose_service(
        &mut self,
        service: &ServiceId,
        tried: &[EndpointId],
    ) -> Result<(EndpointId, InFlight), NoEndpoint> {
        let able: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| target.announcement().kind.is_service(service))
            .collect();
        if able.is_empty() {
            return Err(NoEndpoint::Unknown);
        }
        let untried: Vec<_> = able.into_iter().filter(|(id, _)| !tried.contains(id)).collect();
        let candidates: Vec<_> = untried
            .iter()
            .map(|(_, target)| Candidate { in_flight: target.in_flight(), ..Candidate::default() })
            .collect();
        let chosen = LeastInFlight.choose(&Request::default(), &candidates, &mut self.rng);
        let (id, target) = untried[chosen.ok_or(NoEndpoint::AllTried)?];
        Ok((id.clone(), InFlight::begin(target)))
    }
}

impl Wanted<'_> {
    fn fits(&self, served: &ServedModel) -> bool {
        served.model == *self.model
            && self.weights.is_none_or(|weights| *weights == served.weights)
            && self.adapter.is_none_or(|adapter| served.adapters.contains(adapter))
    }

    fn chain(&self, weights: &WeightsVersion) -> (Salt, Chain) {
        let salt = Salt::new(self.organisation, self.model, weights, self.adapter);
        let joined = self.prompt.concat();
        (salt, Chain::of(salt, BLOCK_BYTES, &joined))
    }

    fn prompt_tokens(&self) -> TokenCount {
        let bytes: usize = self.prompt.iter().map(|part| part.len()).sum();
        TokenCount::new(bytes.div_ceil(BYTES_PER_TOKEN) as u64)
    }
}
