use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{DataCentreId, EndpointId, Incarnation, ModelId, MonotonicTime, ServiceId, TokenCount};
use fleet::EngineNews;
use member::{Announcement, EndpointKind, EndpointState, Known, Leavers, LifeKey, Roster};
use prefix::{PartChain, PartMemory, Sent, rank_by_name};
use route::{EndpointKey, SentLoad, UnderWay};
use routes::KvStore;
use wire::leader::PublishedView;

use crate::in_flight::{self, CountsInFlight, InFlightCounts};

/// Longest time for which an endpoint that can't be reached gets no requests.
const MAX_AVOIDANCE: Duration = Duration::from_secs(5);

/// Time for which an endpoint gets nothing that was not what it was believed to be.
const DISTRUST: Duration = Duration::from_millis(400);

/// Error in the age of an announcement.
const HEARD_MARGIN: Duration = Duration::from_millis(100);

/// Part of an engine's memory that holds parts, beside the requests that run.
const CACHED_SHARE: f64 = 0.7;

/// Tokens that an engine's memory is taken to hold until a configuration tells.
const DEFAULT_KV_TOKENS: TokenCount = TokenCount::new(60_000);

/// An endpoint as this host uses it.
pub(super) struct Target {
    pub endpoint: EndpointId,
    /// The endpoint's short name between hosts.
    pub key: EndpointKey,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub service: ServiceId,
    /// The model that it serves, if it is an engine.
    pub model: Option<ModelId>,
    version: Cell<u32>,
    /// Whether it loads weights, or loads them next.
    paused: Cell<bool>,
    work: InFlightCounts,
    memory: RefCell<PartMemory>,
    /// When the announcement was written that was heard last.
    heard: Cell<MonotonicTime>,
    /// Age of that announcement from which it gets requests only if there is no other.
    stale_after: Cell<Duration>,
    /// When it could not be reached, until it is heard again.
    unreached: Cell<Option<MonotonicTime>>,
    /// Until when what is believed of it is known to be wrong.
    distrusted_until: Cell<MonotonicTime>,
    /// What other routers have sent to it.
    others: Cell<SentLoad>,
}

/// A store of cached prompts, as this host believes it to be.
pub(super) struct Store {
    pub address: SocketAddr,
    /// Its address as text, by which prompts are spread over the stores.
    name: String,
    memory: RefCell<HashMap<u32, PartMemory>>,
    kv_tokens: TokenCount,
}

impl Store {
    fn new(store: &KvStore) -> Self {
        let (address, kv_tokens) = (store.address, store.kv_tokens);
        Self { address, name: address.to_string(), memory: RefCell::default(), kv_tokens }
    }

    /// Returns how much of a prompt's beginning it holds for a version of the weights.
    pub(super) fn warm_tokens(&self, weights: u32, chain: &PartChain) -> TokenCount {
        let memory = self.memory.borrow();
        memory.get(&weights).map_or(TokenCount::ZERO, |memory| memory.warm_tokens(chain))
    }

    /// Notes that a prompt is saved to it, or fetched from it.
    pub(super) fn holds(&self, now: MonotonicTime, weights: u32, chain: &PartChain) {
        let mut memory = self.memory.borrow_mut();
        // What was saved for older weights is never fetched again.
        memory.retain(|version, _| weights <= *version + 1);
        let memory = memory.entry(weights).or_insert_with(|| PartMemory::new(self.kv_tokens));
        memory.record(now, chain);
    }
}

fn cached(kv_tokens: TokenCount) -> TokenCount {
    TokenCount::new((kv_tokens.as_u64() as f64 * CACHED_SHARE) as u64)
}

/// A request under way at an endpoint; ends on drop.
pub(super) type InFlight = in_flight::InFlight<Target>;

impl CountsInFlight for Target {
    fn in_flight_counts(&self) -> &InFlightCounts {
        &self.work
    }
}

impl Target {
    fn new(known: &Known, service: ServiceId, kv_tokens: TokenCount) -> Self {
        let (announcement, written) = (known.announcement.as_ref(), known.written);
        let model = served(announcement);
        Self {
            endpoint: announcement.endpoint.clone(),
            key: EndpointKey::of(&announcement.endpoint),
            incarnation: announcement.incarnation,
            address: announcement.address,
            data_centre: announcement.data_centre.clone(),
            service,
            version: Cell::new(model.as_ref().map_or(0, |(_, version)| *version)),
            model: model.map(|(model, _)| model),
            paused: Cell::new(false),
            work: InFlightCounts::default(),
            memory: RefCell::new(PartMemory::new(cached(kv_tokens))),
            heard: Cell::new(written),
            stale_after: Cell::default(),
            unreached: Cell::new(None),
            distrusted_until: Cell::new(MonotonicTime::ZERO),
            others: Cell::default(),
        }
    }

    /// Returns the version of its weights.
    pub(super) fn version(&self) -> u32 {
        self.version.get()
    }

    /// Notes a version of its weights; newer ones leave nothing cached.
    pub(super) fn learn_version(&self, version: u32) {
        if self.version.get() < version {
            self.version.set(version);
            self.memory.borrow_mut().clear();
        }
    }

    pub(super) fn is_paused(&self) -> bool {
        self.paused.get()
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.work.requests()
    }

    pub(super) fn prefill_tokens(&self) -> TokenCount {
        self.work.prefill_tokens()
    }

    pub(super) fn warm_tokens(&self, chain: &PartChain) -> TokenCount {
        self.memory.borrow().warm_tokens(chain)
    }

    /// Notes that it reads a prompt.
    pub(super) fn reads(&self, now: MonotonicTime, chain: &PartChain) {
        self.memory.borrow_mut().record(now, chain);
    }

    /// Returns what all routers have under way there.
    pub(super) fn under_way(&self) -> UnderWay {
        let others = self.others();
        let tokens = self.prefill_tokens().as_u64() + u64::from(others.prefill_tokens);
        UnderWay {
            requests: self.in_flight().saturating_add(others.requests),
            prefill_tokens: TokenCount::new(tokens),
        }
    }

    /// Returns what other routers have sent to it.
    pub(super) fn others(&self) -> SentLoad {
        self.others.get()
    }

    /// Returns whether new requests go elsewhere if they can.
    pub(super) fn is_avoided(&self, now: MonotonicTime) -> bool {
        self.stale_after.get() <= now.saturating_since(self.heard.get())
            || self.is_unreached(now)
            || now < self.distrusted_until.get()
    }

    /// Returns whether it could not be reached and has not been heard since.
    pub(super) fn is_unreached(&self, now: MonotonicTime) -> bool {
        let Some(since) = self.unreached.get() else { return false };
        let heard_since = since + HEARD_MARGIN < self.heard.get();
        !heard_since && now.saturating_since(since) < MAX_AVOIDANCE
    }

    /// Avoids it until it is heard again, as it can't be reached.
    pub(super) fn not_reached(&self, now: MonotonicTime) {
        self.unreached.set(Some(now));
    }

    /// Sends it nothing for a moment, as it is not what it is believed to be.
    pub(super) fn distrust(&self, now: MonotonicTime) {
        self.distrusted_until.set(now + DISTRUST);
    }

    /// Notes that it could be reached.
    pub(super) fn reached(&self) {
        self.unreached.set(None);
    }
}

/// The endpoints that may get requests.
#[derive(Default)]
pub(super) struct Targets {
    by_id: BTreeMap<EndpointId, Rc<Target>>,
    news: HashMap<EndpointId, EngineNews>,
    kv_tokens: HashMap<ServiceId, TokenCount>,
    /// When the loads of other hosts came.
    loads_at: MonotonicTime,
    stores: Vec<Store>,
    /// Lives of endpoints that any host has heard to leave.
    leavers: Leavers,
}

/// How the endpoints changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct TargetChanges {
    pub joined: Vec<EndpointId>,
    pub left: Vec<EndpointId>,
}

impl Targets {
    /// Takes a newer view of the endpoints.
    pub(super) fn update(&mut self, roster: &Roster) -> TargetChanges {
        let mut usable = usable(&roster.endpoints);
        usable.retain(|id, known| !self.leavers.contains(id, known.announcement.incarnation));
        let mut changes = TargetChanges::default();
        self.by_id.retain(|id, target| {
            let stays = usable
                .get(id)
                .is_some_and(|known| known.announcement.incarnation == target.incarnation);
            if !stays {
                changes.left.push(id.clone());
            }
            stays
        });
        for (id, known) in usable {
            let announcement = known.announcement.as_ref();
            let version = served(announcement).map_or(0, |(_, version)| version);
            if let Some(target) = self.by_id.get(id) {
                target.learn_version(version);
                target.heard.set(known.written);
                target.stale_after.set(roster.stale_after);
                continue;
            }
            let Some(service) = service(announcement) else { continue };
            let kv_tokens = self.kv_tokens.get(service).copied().unwrap_or(DEFAULT_KV_TOKENS);
            let target = Target::new(known, service.clone(), kv_tokens);
            target.stale_after.set(roster.stale_after);
            self.by_id.insert(id.clone(), Rc::new(target));
            changes.joined.push(id.clone());
        }
        self.apply_news();
        changes
    }

    /// Takes what the leader tells of endpoints; `own` is this host's part of the loads.
    pub(super) fn hear(&mut self, now: MonotonicTime, own: &[SentLoad], view: &PublishedView) {
        self.set_loads(now, own, &view.loads);
        self.note_sent(now, &view.sent);
        self.hear_leavers(now, &view.leaving);
        self.set_news(&view.engines);
    }

    /// Takes what is known of engines beyond their announcements; it replaces what was known.
    fn set_news(&mut self, news: &[EngineNews]) {
        self.news = news.iter().map(|news| (news.endpoint.clone(), news.clone())).collect();
        self.apply_news();
    }

    /// Returns what this host has sent to endpoints.
    pub(super) fn sent_loads(&self) -> Vec<SentLoad> {
        let busy = self.by_id.values().filter(|target| target.in_flight() != 0);
        busy.map(|target| SentLoad {
            endpoint: target.key,
            requests: target.in_flight(),
            prefill_tokens: u32::try_from(target.prefill_tokens().as_u64()).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Takes what all hosts have sent, of which `own` is this host's part.
    fn set_loads(&mut self, now: MonotonicTime, own: &[SentLoad], all: &[SentLoad]) {
        let find = |loads: &[SentLoad], endpoint| {
            loads.iter().find(|load| load.endpoint == endpoint).copied().unwrap_or_default()
        };
        for target in self.by_id.values() {
            let endpoint = target.key;
            let (own, all) = (find(own, endpoint), find(all, endpoint));
            target.others.set(SentLoad {
                endpoint,
                requests: all.requests.saturating_sub(own.requests),
                prefill_tokens: all.prefill_tokens.saturating_sub(own.prefill_tokens),
            });
        }
        self.loads_at = now;
    }

    /// Takes which prompts other hosts have sent.
    fn note_sent(&self, now: MonotonicTime, sent: &[Sent]) {
        for sent in sent {
            let key = EndpointKey::new(sent.engine);
            let target = self.by_id.values().find(|target| target.key == key);
            if let Some(store) = self.store_of(&sent.chain).filter(|_| sent.saved) {
                store.holds(now, sent.weights, &sent.chain);
            }
            if let Some(target) = target.filter(|target| target.version() == sent.weights) {
                target.reads(now, &sent.chain);
            }
        }
    }

    /// Returns the age of what is known of other hosts' load.
    pub(super) fn loads_age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.loads_at)
    }

    /// Takes which endpoints leave by any host's word; they get nothing from now on.
    ///
    /// A leader that has just begun may know of none yet, so what was heard counts on.
    fn hear_leavers(&mut self, now: MonotonicTime, lives: &[LifeKey]) {
        self.leavers.hear(now, lives);
        self.by_id.retain(|id, target| {
            let leaves = self.leavers.contains(id, target.incarnation);
            if leaves {
                log::info!(endpoint:% = id; "endpoint leaves by another host's word");
            }
            !leaves
        });
    }

    /// Takes which stores of cached prompts there are.
    pub(super) fn set_stores(&mut self, named: &[KvStore]) {
        self.stores.retain(|held| named.iter().any(|store| store.address == held.address));
        for store in named {
            if !self.stores.iter().any(|held| held.address == store.address) {
                self.stores.push(Store::new(store));
            }
        }
    }

    /// Returns the store that keeps a prompt's shared parts, the same one at all hosts.
    pub(super) fn store_of(&self, chain: &PartChain) -> Option<&Store> {
        let hash = chain.shared_hash()?;
        self.stores.iter().max_by_key(|store| rank_by_name(hash, &store.name))
    }

    /// Takes how much fits into the memory of a service's engines.
    pub(super) fn set_kv_tokens(&mut self, service: &ServiceId, tokens: TokenCount) {
        self.kv_tokens.insert(service.clone(), tokens);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns all endpoints.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.by_id.values()
    }

    /// Returns the endpoints of a service.
    pub(super) fn of_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Rc<Target>> {
        self.by_id.values().filter(move |target| target.service == *service)
    }

    fn apply_news(&self) {
        for (id, target) in &self.by_id {
            let news = self.news.get(id).filter(|news| news.incarnation == target.incarnation);
            target.paused.set(news.is_some_and(|news| news.paused));
            if let Some(news) = news {
                target.learn_version(news.version);
            }
        }
    }
}

/// Returns the announcements of endpoints that want requests.
///
/// Of two at one address only the younger process can be there.
fn usable(endpoints: &[Known]) -> BTreeMap<&EndpointId, &Known> {
    let mut youngest: HashMap<SocketAddr, &Announcement> = HashMap::new();
    for known in endpoints.iter().filter(|known| is_running(known)) {
        let announcement = known.announcement.as_ref();
        let holder = youngest.entry(announcement.address).or_insert(announcement);
        if holder.incarnation < announcement.incarnation {
            *holder = announcement;
        }
    }
    let ready = endpoints.iter().filter(|known| known.state == EndpointState::Ready);
    ready
        .filter(|known| {
            let announcement = &known.announcement;
            youngest.get(&announcement.address).is_some_and(|y| y.endpoint == announcement.endpoint)
        })
        .map(|known| (&known.announcement.endpoint, known))
        .collect()
}

fn is_running(known: &Known) -> bool {
    matches!(known.state, EndpointState::Ready | EndpointState::Leaving)
}

fn service(announcement: &Announcement) -> Option<&ServiceId> {
    match &announcement.kind {
        EndpointKind::Engine(engine) => engine.service.as_ref(),
        EndpointKind::Service(service) => Some(service),
    }
}

/// Returns the model that an engine serves, with the version of its weights.
pub(super) fn served(announcement: &Announcement) -> Option<(ModelId, u32)> {
    let EndpointKind::Engine(engine) = &announcement.kind else { return None };
    let served = engine.models.first()?;
    let version = served.weights.as_str().parse().ok()?;
    Some((served.model.clone(), version))
}
