use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use super::{
    kv::{self, KvName},
    server::{FakeBody, Server, whole},
};

/// A store of kept KV: blocks that engines evicted, least recently used out first.
pub struct KvStore {
    server: Server,
    state: Arc<Mutex<State>>,
}

/// What a store of kept KV counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvStoreCounts {
    /// Fetches asked for.
    pub gets: u64,
    /// Fetches that found a block at least.
    pub hits: u64,
    /// Blocks that came in.
    pub puts: u64,
    /// Blocks held.
    pub held: u64,
}

struct State {
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, Kept>,
    order: BTreeMap<u64, u64>,
    counts: KvStoreCounts,
}

struct Kept {
    name: KvName,
    used: u64,
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
                let answer = lock(&state).answer(&req);
                async move { answer }
            }
        };
        Self { server: Server::start(handler), state }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it counted.
    pub fn counts(&self) -> KvStoreCounts {
        let state = lock(&self.state);
        KvStoreCounts { held: state.blocks.len() as u64, ..state.counts }
    }
}

impl State {
    fn answer(&mut self, req: &Request<Incoming>) -> Response<FakeBody> {
        let Some((name, blocks)) = kv::parse(req) else {
            return whole(StatusCode::NOT_FOUND, "{}");
        };
        if req.method() == Method::PUT {
            self.put(&name, &blocks);
            return whole(StatusCode::NO_CONTENT, "");
        }
        self.counts.gets += 1;
        let held = self.leading(&name, &blocks);
        let Some(first) = blocks.first().filter(|_| held != 0) else {
            return whole(StatusCode::NOT_FOUND, "{}");
        };
        self.counts.hits += 1;
        kv::found(&self.blocks[first].name, held)
    }

    fn put(&mut self, name: &KvName, blocks: &[u64]) {
        self.counts.puts += blocks.len() as u64;
        for &block in blocks {
            self.use_block(block, name.clone());
        }
        while self.capacity < self.blocks.len() {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.blocks.remove(&oldest);
        }
    }

    /// Returns how many of the first `blocks` are held under exactly `name`.
    fn leading(&mut self, name: &KvName, blocks: &[u64]) -> usize {
        let is_held = |block: &&u64| self.blocks.get(block).is_some_and(|kept| kept.name == *name);
        let held = blocks.iter().take_while(is_held).count();
        for &block in &blocks[..held] {
            self.use_block(block, name.clone());
        }
        held
    }

    fn use_block(&mut self, block: u64, name: KvName) {
        self.clock += 1;
        if let Some(before) = self.blocks.insert(block, Kept { name, used: self.clock }) {
            self.order.remove(&before.used);
        }
        self.order.insert(self.clock, block);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
