//! Transfer of cached blocks between fake engines, and from them to a store.

use hyper::{Request, Response, StatusCode, body::Incoming};

use super::{
    cache::{BLOCK_TOKENS, EvictedBlock, block_hashes},
    engine::State,
    job::Job,
    kv::{self, KvNamespace},
    server::{FakeBody, full_response},
};

/// Minimum number of missing blocks for which a fetch is made.
const MIN_FETCHED_BLOCKS: usize = 4;

impl State {
    /// Responds to another engine's fetch if it is addressed to this endpoint, incarnation and
    /// namespace.
    pub(super) fn export(
        &self,
        req: &Request<Incoming>,
        namespace: &KvNamespace,
        blocks: &[u64],
    ) -> Response<FakeBody> {
        let own = self.kv_namespace(&namespace.salt);
        if own != *namespace
            || !kv::is_addressed_to(req, self.cfg.id.as_str(), self.cfg.incarnation)
        {
            return full_response(StatusCode::CONFLICT, "{}");
        }
        match self.lock().cache.prefix_len(&namespace.salt, blocks) {
            0 => full_response(StatusCode::NOT_FOUND, "{}"),
            held => kv::fetch_response(&own, held),
        }
    }

    /// Fetches the blocks that this engine lacks from the source given in the request.
    ///
    /// Any failure counts as a cache miss.
    pub(super) async fn import(&self, job: &Job) {
        let Some(transfer) = &job.transfer else { return };
        let namespace = self.kv_namespace(&job.salt);
        let requested =
            (transfer.salt.as_str(), transfer.model.as_str(), transfer.weights.as_str());
        if requested != (&namespace.salt, &namespace.model, &namespace.weights) {
            return;
        }
        let mut blocks = block_hashes(&job.salt, &job.prompt);
        blocks.truncate(transfer.blocks.as_u64() as usize);
        let held = self.lock().cache.prefix_len(&job.salt, &blocks);
        if blocks.len() - held < MIN_FETCHED_BLOCKS {
            return;
        }
        self.lock().counts.fetches += 1;
        let fetched =
            kv::fetch(transfer, &namespace, &blocks[held..], self.cfg.fetch_timeout).await;
        let Some((fetched_namespace, count)) = fetched else { return };
        if fetched_namespace != namespace {
            self.tally.lock().wrong_transfers += 1;
            return;
        }
        tokio::time::sleep(self.cfg.import_block * count as u32).await;
        let mut inner = self.lock();
        inner.counts.fetched_tokens += (count * BLOCK_TOKENS) as u64;
        inner.cache.import(&job.salt, &blocks[..held + count]);
        let evicted = inner.cache.take_evicted();
        self.store_evicted(evicted);
    }

    /// Puts evicted blocks into the store, if there is one.
    pub(super) fn store_evicted(&self, evicted: Vec<EvictedBlock>) {
        let Some(store) = self.cfg.kv_store else { return };
        for evicted in evicted.chunk_by(|a, b| a.salt == b.salt) {
            let blocks = evicted.iter().map(|evicted| evicted.block).collect();
            let namespace = self.kv_namespace(&evicted[0].salt);
            let timeout = self.cfg.fetch_timeout;
            tokio::task::spawn_local(kv::put(store, namespace, blocks, timeout));
        }
    }

    fn kv_namespace(&self, salt: &str) -> KvNamespace {
        KvNamespace {
            salt: salt.to_owned(),
            model: self.cfg.model.to_string(),
            weights: self.cfg.weights.to_string(),
        }
    }
}
