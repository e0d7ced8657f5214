//! Cached blocks that a fake engine gives to others, fetches from them, or puts into a store.

use hyper::{Request, Response, StatusCode, body::Incoming};

use super::{
    cache::{BLOCK_TOKENS, Evicted, block_hashes},
    engine::State,
    job::Job,
    kv::{self, KvName},
    server::{FakeBody, whole},
};

/// Fewest missing blocks for which another place is asked.
const MIN_FETCHED_BLOCKS: usize = 4;

impl State {
    /// Gives blocks to another engine, if this one is what it asks for.
    pub(super) fn export(
        &self,
        req: &Request<Incoming>,
        name: &KvName,
        blocks: &[u64],
    ) -> Response<FakeBody> {
        let own = self.kv_name(&name.salt);
        if own != *name || !kv::is_for(req, self.cfg.id.as_str(), self.cfg.incarnation) {
            return whole(StatusCode::CONFLICT, "{}");
        }
        match self.lock().cache.leading(&name.salt, blocks) {
            0 => whole(StatusCode::NOT_FOUND, "{}"),
            held => kv::found(&own, held),
        }
    }

    /// Fetches the blocks that the request says another place holds and this engine lacks.
    ///
    /// Whatever goes wrong is a miss.
    pub(super) async fn import(&self, job: &Job) {
        let Some(transfer) = &job.transfer else { return };
        let name = self.kv_name(&job.salt);
        let named = (transfer.salt.as_str(), transfer.model.as_str(), transfer.weights.as_str());
        if named != (&name.salt, &name.model, &name.weights) {
            return;
        }
        let mut blocks = block_hashes(&job.salt, &job.prompt);
        blocks.truncate(transfer.blocks.as_u64() as usize);
        let held = self.lock().cache.leading(&job.salt, &blocks);
        if blocks.len() - held < MIN_FETCHED_BLOCKS {
            return;
        }
        self.lock().counts.fetches += 1;
        let fetched = kv::fetch(transfer, &name, &blocks[held..], self.cfg.fetch_timeout).await;
        let Some((found, count)) = fetched else { return };
        if found != name {
            self.tally.lock().wrong_transfers += 1;
            return;
        }
        tokio::time::sleep(self.cfg.import_block * count as u32).await;
        let mut inner = self.lock();
        inner.counts.fetched_tokens += (count * BLOCK_TOKENS) as u64;
        inner.cache.import(&job.salt, &blocks[..held + count]);
        let evicted = inner.cache.take_evicted();
        self.keep(evicted);
    }

    /// Puts evicted blocks into the store, if there is one.
    pub(super) fn keep(&self, evicted: Vec<Evicted>) {
        let Some(store) = self.cfg.kv_store else { return };
        for evicted in evicted.chunk_by(|a, b| a.salt == b.salt) {
            let blocks = evicted.iter().map(|evicted| evicted.block).collect();
            let name = self.kv_name(&evicted[0].salt);
            let timeout = self.cfg.fetch_timeout;
            tokio::task::spawn_local(kv::put(store, name, blocks, timeout));
        }
    }

    fn kv_name(&self, salt: &str) -> KvName {
        KvName {
            salt: salt.to_owned(),
            model: self.cfg.model.to_string(),
            weights: self.cfg.weights.to_string(),
        }
    }
}
