//! Stores of cached prompts.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use base::{MonotonicTime, TokenCount};
use prefix::{PartCacheModel, PartChain, rank_by_name};
use routes::KvStore;

/// The configured stores.
#[derive(Default)]
pub(super) struct Stores(Vec<Store>);

impl Stores {
    /// Replaces the configured stores; those that stay keep their estimates.
    pub(super) fn set(&mut self, configured: &[KvStore]) {
        self.0.retain(|known| configured.iter().any(|store| store.address == known.address));
        for store in configured {
            if !self.0.iter().any(|known| known.address == store.address) {
                self.0.push(Store::new(store));
            }
        }
    }

    /// Returns the store of a prompt's shared parts, the same one at all hosts.
    pub(super) fn of_prompt(&self, chain: &PartChain) -> Option<&Store> {
        let hash = chain.shared_hash()?;
        self.0.iter().max_by_key(|store| rank_by_name(hash, &store.name))
    }
}

/// A store of cached prompts, with an estimate of its contents.
pub(super) struct Store {
    pub address: SocketAddr,
    /// Its address as text, which rendezvous hashing ranks it by.
    name: String,
    /// Saved prompt parts by version of the weights.
    saved_parts: RefCell<HashMap<u32, PartCacheModel>>,
    kv_tokens: TokenCount,
}

impl Store {
    fn new(store: &KvStore) -> Self {
        let (address, kv_tokens) = (store.address, store.kv_tokens);
        Self { address, name: address.to_string(), saved_parts: RefCell::default(), kv_tokens }
    }

    /// Returns the length of a prompt's prefix that it holds for a version of the weights.
    pub(super) fn warm_tokens(&self, weights: u32, chain: &PartChain) -> TokenCount {
        let saved_parts = self.saved_parts.borrow();
        saved_parts.get(&weights).map_or(TokenCount::ZERO, |parts| parts.warm_tokens(chain))
    }

    /// Records that a prompt is saved to it.
    pub(super) fn record_saved(&self, now: MonotonicTime, weights: u32, chain: &PartChain) {
        let mut saved_parts = self.saved_parts.borrow_mut();
        // Parts saved for older weights are never fetched again.
        saved_parts.retain(|version, _| weights <= version.saturating_add(1));
        let parts =
            saved_parts.entry(weights).or_insert_with(|| PartCacheModel::new(self.kv_tokens));
        parts.record(now, chain);
    }
}
