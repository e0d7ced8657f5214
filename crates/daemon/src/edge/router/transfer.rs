//! Choice of the endpoint from which an engine may fetch cached blocks.

use std::rc::Rc;

use base::{BlockCount, CacheSalt, EndpointId, ServiceId};
use member::EndpointKind;
use prefix::{Salt, Slot};
use route::{Source, TransferSettings, choose_source};
use wire::kv_transfer::{self, KvTransfer};

use super::{BLOCK_TOKENS, EngineRequirements, Router, Target};

/// Round trips of a fetch: one to connect, one for the request.
const FETCH_ROUND_TRIPS: u32 = 2;

/// An engine chosen for a request, with the salt of the cached blocks that it would reuse.
pub(super) struct FetchingEngine<'a> {
    pub endpoint: &'a EndpointId,
    pub target: &'a Target,
    pub salt: Salt,
    /// Leading blocks of the prompt that it is expected to have cached.
    pub expected_blocks: usize,
}

impl Router {
    /// Returns where the engine may fetch the missing blocks of the chain looked up last, if that is
    /// cheaper than computing them.
    ///
    /// The store is returned even if the engine is expected to have them cached: only the engine
    /// knows what it has evicted, and it doesn't fetch blocks that it has.
    pub(super) fn choose_transfer(
        &self,
        requirements: &EngineRequirements<'_>,
        fetching: &FetchingEngine<'_>,
    ) -> Option<KvTransfer> {
        let cfg = TransferSettings {
            block_tokens: BLOCK_TOKENS,
            prefill_rate: self.policies.prefill_rate(),
            ..TransferSettings::default()
        };
        let allowed = requirements.preferences.kv_transfer;
        let neighbours =
            allowed.fetches_from_engines().then(|| self.neighbours(requirements, fetching));
        let store = if allowed.fetches_from_store() { self.kv_store() } else { None };
        let endpoints: Vec<_> = neighbours.into_iter().flatten().chain(store).collect();
        let sources: Vec<_> =
            endpoints.iter().map(|(_, target)| self.source(fetching.target, target)).collect();
        let best = choose_source(&cfg, fetching.expected_blocks, &sources).or_else(|| {
            let last = sources.len().checked_sub(1).filter(|_| store.is_some())?;
            cfg.saving(0, &sources[last]).map(|_| last)
        })?;
        let (endpoint, target) = endpoints[best];
        let announcement = target.announcement();
        let weights = fetching.target.served_weights(|served| requirements.fits(served))?;
        Some(KvTransfer {
            endpoint: endpoint.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            salt: cache_salt(fetching.salt),
            model: requirements.model.clone(),
            weights,
            adapter: requirements.adapter.cloned(),
            blocks: BlockCount::new(sources[best].blocks as u64),
        })
    }

    /// Returns the slot of the KV store, if engines may fetch from it.
    pub(super) fn kv_store_slot(&self, requirements: &EngineRequirements<'_>) -> Option<Slot> {
        if !requirements.preferences.kv_transfer.fetches_from_store() {
            return None;
        }
        self.kv_store().and_then(|(_, target)| target.prefix_slot())
    }

    fn kv_store(&self) -> Option<(&EndpointId, &Rc<Target>)> {
        self.targets
            .iter()
            .find(|(_, target)| is_kv_store(&target.announcement().kind) && !target.is_drained())
    }

    /// Returns the other engines that serve the same weights.
    fn neighbours<'a>(
        &'a self,
        requirements: &EngineRequirements<'_>,
        fetching: &FetchingEngine<'_>,
    ) -> Vec<(&'a EndpointId, &'a Rc<Target>)> {
        let weights = fetching.target.served_weights(|served| requirements.fits(served));
        let others = self.targets.iter().filter(|(id, _)| *id != fetching.endpoint);
        others
            .filter(|(_, target)| {
                target.served_weights(|served| requirements.fits(served)) == weights
            })
            .collect()
    }

    fn source(&self, from: &Target, target: &Target) -> Source {
        let (local, remote) = (from.data_centre(), target.data_centre());
        let round_trip =
            self.round_trips.beyond_local(&local).max(self.round_trips.beyond_local(&remote));
        let round_trip = if local == remote { Default::default() } else { round_trip };
        let blocks = target.prefix_slot().map_or(0, |slot| self.prefixes.matched_blocks(slot));
        Source { blocks, round_trip: round_trip * FETCH_ROUND_TRIPS }
    }
}

/// Returns whether a plain service is the KV store, which callers can't call.
pub(super) fn is_kv_store_service(service: &ServiceId) -> bool {
    service.as_str() == kv_transfer::KV_STORE_SERVICE
}

fn is_kv_store(kind: &EndpointKind) -> bool {
    matches!(kind, EndpointKind::Service(service) if is_kv_store_service(service))
}

/// Returns the salt in the form sent to engines.
pub(in crate::edge) fn cache_salt(salt: Salt) -> CacheSalt {
    format!("{:016x}", salt.as_u64()).parse().expect("hexadecimal digits are an id")
}
