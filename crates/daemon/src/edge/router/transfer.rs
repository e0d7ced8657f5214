//! Where a chosen engine may fetch cached blocks from.

use std::rc::Rc;

use base::{BlockCount, CacheSalt, EndpointId, ServiceId};
use member::EndpointKind;
use prefix::{Salt, Slot};
use route::{Source, TransferSettings, choose_source};
use wire::kv_transfer::{self, KvTransfer};

use super::{BLOCK_TOKENS, Router, Target, Wanted};

/// Round trips that a fetch takes: one to connect, one to ask.
const FETCH_ROUND_TRIPS: u32 = 2;

/// An engine about to be asked, with the name of what it would reuse.
pub(super) struct Asking<'a> {
    pub endpoint: &'a EndpointId,
    pub target: &'a Target,
    pub salt: Salt,
    /// Leading blocks of the prompt that it is believed to hold.
    pub held: usize,
}

impl Router {
    /// Returns where the engine may fetch what it lacks of the chain measured last, if that is
    /// cheaper than computing it.
    ///
    /// The store is named even where the engine is believed warm: only the engine knows what it
    /// has evicted, and it fetches nothing that it holds.
    pub(super) fn find_transfer(
        &self,
        wanted: &Wanted<'_>,
        asking: &Asking<'_>,
    ) -> Option<KvTransfer> {
        let cfg = TransferSettings {
            block_tokens: BLOCK_TOKENS,
            prefill_rate: self.policies.prefill_rate(),
            ..TransferSettings::default()
        };
        let allowed = wanted.preferences.kv_transfer;
        let neighbours = allowed.fetches_from_engines().then(|| self.neighbours(wanted, asking));
        let store = if allowed.fetches_from_store() { self.store() } else { None };
        let places: Vec<_> = neighbours.into_iter().flatten().chain(store).collect();
        let sources: Vec<_> =
            places.iter().map(|(_, target)| self.source(asking.target, target)).collect();
        let best = choose_source(&cfg, asking.held, &sources).or_else(|| {
            let last = sources.len().checked_sub(1).filter(|_| store.is_some())?;
            cfg.saving(0, &sources[last]).map(|_| last)
        })?;
        let (endpoint, target) = places[best];
        let announcement = target.announcement();
        let weights = asking.target.serves(|served| wanted.fits(served))?;
        Some(KvTransfer {
            endpoint: endpoint.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            salt: cache_salt(asking.salt),
            model: wanted.model.clone(),
            weights,
            adapter: wanted.adapter.cloned(),
            blocks: BlockCount::new(sources[best].blocks as u64),
        })
    }

    /// Returns the slot of the store, if engines may ask it.
    pub(super) fn store_slot(&self, wanted: &Wanted<'_>) -> Option<Slot> {
        if !wanted.preferences.kv_transfer.fetches_from_store() {
            return None;
        }
        self.store().and_then(|(_, target)| target.slot())
    }

    fn store(&self) -> Option<(&EndpointId, &Rc<Target>)> {
        self.targets
            .iter()
            .find(|(_, target)| is_store(&target.announcement().kind) && !target.is_drained())
    }

    /// Returns the other engines that serve the same weights.
    fn neighbours<'a>(
        &'a self,
        wanted: &Wanted<'_>,
        asking: &Asking<'_>,
    ) -> Vec<(&'a EndpointId, &'a Rc<Target>)> {
        let weights = asking.target.serves(|served| wanted.fits(served));
        let others = self.targets.iter().filter(|(id, _)| *id != asking.endpoint);
        others
            .filter(|(_, target)| target.serves(|served| wanted.fits(served)) == weights)
            .collect()
    }

    fn source(&self, from: &Target, target: &Target) -> Source {
        let (near, far) = (from.data_centre(), target.data_centre());
        let round_trip = self.round_trips.to(&near).max(self.round_trips.to(&far));
        let round_trip = if near == far { Default::default() } else { round_trip };
        let blocks = target.slot().map_or(0, |slot| self.warmth.blocks(slot));
        Source { blocks, round_trip: round_trip * FETCH_ROUND_TRIPS }
    }
}

/// Returns whether a plain service is the store of kept KV, which callers can't ask.
pub(super) fn is_kept_kv(service: &ServiceId) -> bool {
    service.as_str() == kv_transfer::STORE
}

fn is_store(kind: &EndpointKind) -> bool {
    matches!(kind, EndpointKind::Service(service) if is_kept_kv(service))
}

/// Returns the salt as engines are told it.
pub(in crate::edge) fn cache_salt(salt: Salt) -> CacheSalt {
    format!("{:016x}", salt.as_u64()).parse().expect("hexadecimal digits are an id")
}
