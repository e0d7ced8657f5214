use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use super::{
    kv::{self, KvNamespace},
    server::{FakeBody, Server, full_response},
};

/// A store of KV blocks that engines evicted, itself with LRU eviction.
pub struct KvStore {
    server: Server,
    state: Arc<Mutex<State>>,
}

/// Counters of a KV store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvStoreCounts {
    /// Fetches received.
    pub gets: u64,
    /// Fetches that found at least one block.
    pub hits: u64,
    /// Blocks received.
    pub puts: u64,
    /// Blocks stored now.
    pub held: u64,
}

struct State {
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, StoredBlock>,
    order: BTreeMap<u64, u64>,
    counts: KvStoreCounts,
}

struct StoredBlock {
    namespace: KvNamespace,
    last_used: u64,
}

impl KvStore {
    /// Starts a store that holds `capacity` blocks.
    pub fn start(capacity: usize) -> Self {
        let state = Arc::new(Mutex::new(State {
            capacity,
            clock: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            counts: KvStoreCounts::default(),
        }));
        let handler = {
            let state = Arc::clone(&state);
            move |req: Request<Incoming>| {
                let response = lock(&state).handle_request(&req);
                async move { response }
            }
        };
        Self { server: Server::start(handler), state }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its counters.
    pub fn counts(&self) -> KvStoreCounts {
        let state = lock(&self.state);
        KvStoreCounts { held: state.blocks.len() as u64, ..state.counts }
    }
}

impl State {
    fn handle_request(&mut self, req: &Request<Incoming>) -> Response<FakeBody> {
        let Some((namespace, blocks)) = kv::parse(req) else {
            return full_response(StatusCode::NOT_FOUND, "{}");
        };
        if req.method() == Method::PUT {
            self.put(&namespace, &blocks);
            return full_response(StatusCode::NO_CONTENT, "");
        }
        self.counts.gets += 1;
        let held = self.prefix_len(&namespace, &blocks);
        let Some(first) = blocks.first().filter(|_| held != 0) else {
            return full_response(StatusCode::NOT_FOUND, "{}");
        };
        self.counts.hits += 1;
        kv::fetch_response(&self.blocks[first].namespace, held)
    }

    fn put(&mut self, namespace: &KvNamespace, blocks: &[u64]) {
        self.counts.puts += blocks.len() as u64;
        for &block in blocks {
            self.insert_or_touch(block, namespace.clone());
        }
        while self.capacity < self.blocks.len() {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.blocks.remove(&oldest);
        }
    }

    /// Returns how many leading blocks of `blocks` are stored in exactly this namespace.
    fn prefix_len(&mut self, namespace: &KvNamespace, blocks: &[u64]) -> usize {
        let is_stored = |block: &&u64| {
            self.blocks.get(block).is_some_and(|stored| stored.namespace == *namespace)
        };
        let held = blocks.iter().take_while(is_stored).count();
        for &block in &blocks[..held] {
            self.insert_or_touch(block, namespace.clone());
        }
        held
    }

    fn insert_or_touch(&mut self, block: u64, namespace: KvNamespace) {
        self.clock += 1;
        if let Some(previous) =
            self.blocks.insert(block, StoredBlock { namespace, last_used: self.clock })
        {
            self.order.remove(&previous.last_used);
        }
        self.order.insert(self.clock, block);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
