//! The endpoints that may get requests, with their load and a model of their caches.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{DataCentreId, EndpointId, Incarnation, ModelId, MonotonicTime, ServiceId, TokenCount};
use fleet::ReceivedEngineUpdates;
use member::{
    Announcement, EndpointKind, EndpointRecord, EndpointState, IncarnationKey, LeavingSet, Roster,
};
use prefix::{PartCacheModel, PartChain, SentPrompt, rank_by_name};
use route::{
    EndedConstraints, EndpointKey, InFlightLoad, LimitChange, LimitResponse, SentLoad,
    StatedConstraints, StatedLimit, StatedWait,
};
use routes::KvStore;
use wire::leader::PublishedView;

use crate::in_flight::{self, CountsInFlight, InFlightCounts};

/// Longest time for which an unreachable endpoint is avoided.
const MAX_UNREACHABLE_AVOIDANCE: Duration = Duration::from_secs(5);

/// Time for which an endpoint is avoided after it refused a request as misdirected.
const SUSPENSION_PERIOD: Duration = Duration::from_millis(400);

/// Largest error in the age of an announcement.
const ANNOUNCEMENT_AGE_ERROR: Duration = Duration::from_millis(100);

/// Share of an engine's KV memory that caches prompt parts, beside the running requests.
const CACHE_SHARE: f64 = 0.7;

/// Assumed KV capacity of an engine in tokens, until a configuration sets it.
const DEFAULT_KV_TOKENS: TokenCount = TokenCount::new(60_000);

/// The permission to send a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendPermit {
    /// The endpoint stated no limit when the permission was given.
    Unlimited,
    /// The request counts against the limit that the endpoint states.
    Counted,
}

/// An endpoint with its state at this host.
pub(super) struct Target {
    pub endpoint: EndpointId,
    /// The endpoint's compact key in messages between hosts.
    pub key: EndpointKey,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub service: ServiceId,
    /// The model that it serves, if it is an engine.
    pub model: Option<ModelId>,
    version: Cell<u32>,
    /// Whether it loads weights or is about to.
    paused: Cell<bool>,
    work: InFlightCounts,
    cache: RefCell<PartCacheModel>,
    /// Timestamp of the latest announcement.
    last_announced_at: Cell<MonotonicTime>,
    /// Age of the latest announcement from which the endpoint is avoided.
    stale_after: Cell<Duration>,
    /// When it last answered a request of this host.
    answered_at: Cell<MonotonicTime>,
    /// When a connection failed, until a newer announcement arrives.
    unreachable_since: Cell<Option<MonotonicTime>>,
    /// Until when the endpoint is avoided because its state here is known to be wrong.
    suspended_until: Cell<MonotonicTime>,
    /// Load that other routers have placed on the endpoint.
    other_load: Cell<SentLoad>,
    /// The limit on requests that it states.
    limit: Cell<StatedLimit>,
    /// For how long it accepts no requests from this host, as it stated.
    wait: Cell<StatedWait>,
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

fn cache_tokens(kv_tokens: TokenCount) -> TokenCount {
    TokenCount::new((kv_tokens.as_u64() as f64 * CACHE_SHARE) as u64)
}

/// A request in flight at an endpoint, until dropped.
pub(super) type InFlight = in_flight::InFlight<Target>;

impl CountsInFlight for Target {
    fn in_flight_counts(&self) -> &InFlightCounts {
        &self.work
    }
}

impl Target {
    fn new(
        record: &EndpointRecord,
        service: ServiceId,
        kv_tokens: TokenCount,
        constraints: StatedConstraints,
    ) -> Self {
        let (announcement, written) = (record.announcement.as_ref(), record.written);
        let model = served_model(announcement);
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
            cache: RefCell::new(PartCacheModel::new(cache_tokens(kv_tokens))),
            last_announced_at: Cell::new(written),
            answered_at: Cell::new(MonotonicTime::ZERO),
            stale_after: Cell::default(),
            unreachable_since: Cell::new(None),
            suspended_until: Cell::new(MonotonicTime::ZERO),
            other_load: Cell::default(),
            limit: Cell::new(constraints.limit),
            wait: Cell::new(constraints.wait),
        }
    }

    fn constraints(&self) -> StatedConstraints {
        StatedConstraints { limit: self.limit.get(), wait: self.wait.get() }
    }

    /// Returns the version of its weights.
    pub(super) fn version(&self) -> u32 {
        self.version.get()
    }

    /// Updates the version of its weights; newer weights invalidate its cache.
    pub(super) fn update_version(&self, version: u32) {
        if self.version.get() < version {
            self.version.set(version);
            self.cache.borrow_mut().clear();
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
        self.cache.borrow().warm_tokens(chain)
    }

    /// Records that the endpoint prefills a prompt.
    pub(super) fn record_prompt(&self, now: MonotonicTime, chain: &PartChain) {
        self.cache.borrow_mut().record(now, chain);
    }

    /// Returns the load that all routers have placed on it.
    pub(super) fn load(&self) -> InFlightLoad {
        let other_load = self.other_load();
        let tokens = self.prefill_tokens().as_u64() + u64::from(other_load.prefill_tokens);
        InFlightLoad {
            requests: self.in_flight().saturating_add(other_load.requests),
            prefill_tokens: TokenCount::new(tokens),
        }
    }

    /// Returns the load that other routers have placed on it.
    pub(super) fn other_load(&self) -> SentLoad {
        self.other_load.get()
    }

    /// Returns whether new requests prefer other endpoints.
    pub(super) fn is_avoided(&self, now: MonotonicTime) -> bool {
        self.stale_after.get() <= now.saturating_since(self.last_announced_at.get())
            || self.is_unreachable(now)
            || now < self.suspended_until.get()
    }

    /// Returns whether a connection failed recently and no newer announcement has arrived.
    pub(super) fn is_unreachable(&self, now: MonotonicTime) -> bool {
        let Some(since) = self.unreachable_since.get() else { return false };
        let is_announced_since = since + ANNOUNCEMENT_AGE_ERROR < self.last_announced_at.get();
        !is_announced_since && now.saturating_since(since) < MAX_UNREACHABLE_AVOIDANCE
    }

    /// Marks the endpoint unreachable until its next announcement.
    pub(super) fn mark_unreachable(&self, now: MonotonicTime) {
        self.unreachable_since.set(Some(now));
    }

    /// Avoids the endpoint briefly, as its state here is known to be wrong.
    pub(super) fn suspend(&self, now: MonotonicTime) {
        self.suspended_until.set(now + SUSPENSION_PERIOD);
    }

    /// Records that the endpoint has answered a request of this host.
    pub(super) fn mark_answered(&self, now: MonotonicTime) {
        self.answered_at.set(now);
    }

    /// Returns when the endpoint last announced itself, or answered a request of this host.
    pub(super) fn alive_at(&self) -> MonotonicTime {
        self.answered_at.get().max(self.last_announced_at.get())
    }

    /// Applies the limit that a response states for all routers, or none, as [`StatedLimit::record`].
    pub(super) fn record_limit(
        &self,
        response: &LimitResponse,
        routers: u32,
        phase: f64,
    ) -> Option<LimitChange> {
        let mut limit = self.limit.get();
        let change = limit.record(response, routers, phase);
        self.limit.set(limit);
        change
    }

    /// Applies a wait that it states for this host, as [`StatedWait::record`].
    pub(super) fn record_wait(&self, now: MonotonicTime, stated: Duration, draw: f64) {
        let mut wait = self.wait.get();
        wait.record(now, stated, draw);
        self.wait.set(wait);
    }

    /// Returns the time until it accepts requests from this host again.
    pub(super) fn wait_left(&self, now: MonotonicTime) -> Duration {
        self.wait.get().left(now)
    }

    /// Returns the time until the limit that it states allows a request of this host.
    pub(super) fn limit_wait(&self, now: MonotonicTime, routers: u32) -> Duration {
        self.limit.get().wait(now, routers)
    }

    /// Takes the permission for a request to it, if the limit that it states allows one.
    pub(super) fn try_permit(&self, now: MonotonicTime, routers: u32) -> Option<SendPermit> {
        let mut limit = self.limit.get();
        if !limit.try_take(now, routers) {
            return None;
        }
        self.limit.set(limit);
        Some(if limit.is_active() { SendPermit::Counted } else { SendPermit::Unlimited })
    }

    /// Marks the endpoint reachable.
    pub(super) fn mark_reachable(&self) {
        self.unreachable_since.set(None);
    }
}

/// The endpoints that may get requests.
#[derive(Default)]
pub(super) struct Targets {
    by_id: BTreeMap<EndpointId, Rc<Target>>,
    engine_updates: ReceivedEngineUpdates,
    kv_tokens: HashMap<ServiceId, TokenCount>,
    /// When the loads of other hosts arrived.
    loads_at: MonotonicTime,
    stores: Vec<Store>,
    /// Incarnations of endpoints that announced to this host or another one that they leave.
    leaving_set: LeavingSet,
    /// Running incarnations that stated in a response to this host that they leave.
    stated_leaving: BTreeSet<IncarnationKey>,
    /// What endpoints had stated to this host when their leases ended.
    ended_constraints: EndedConstraints,
}

/// Changes of the set of endpoints.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct TargetChanges {
    pub joined: Vec<EndpointId>,
    pub left: Vec<EndpointId>,
}

impl Targets {
    /// Applies a newer roster.
    pub(super) fn update(&mut self, roster: &Roster) -> TargetChanges {
        self.leaving_set.record_leaving(roster.at, &leaving(roster));
        self.renew_stated_leaving(roster);
        let mut usable = usable(&roster.endpoints);
        usable.retain(|_, record| !self.is_leaving(&record.announcement));
        let mut changes = TargetChanges::default();
        self.by_id.retain(|id, target| {
            let stays = usable
                .get(id)
                .is_some_and(|record| record.announcement.incarnation == target.incarnation);
            if !stays {
                changes.left.push(id.clone());
                let (incarnation, constraints) = (target.incarnation, target.constraints());
                self.ended_constraints.keep(roster.at, id, incarnation, constraints);
            }
            stays
        });
        for (id, record) in usable {
            let announcement = record.announcement.as_ref();
            let version = served_model(announcement).map_or(0, |(_, version)| version);
            if let Some(target) = self.by_id.get(id) {
                target.update_version(version);
                target.last_announced_at.set(record.written);
                target.stale_after.set(roster.stale_after);
                continue;
            }
            let Some(service) = announcement.kind.service() else { continue };
            let kv_tokens = self.kv_tokens.get(service).copied().unwrap_or(DEFAULT_KV_TOKENS);
            let constraints = self.ended_constraints.take(id, announcement.incarnation);
            if constraints != StatedConstraints::default() {
                log::info!(endpoint:% = id, incarnation:% = announcement.incarnation;
                    "endpoint returned, what it had stated still holds");
            }
            let target = Target::new(record, service.clone(), kv_tokens, constraints);
            target.stale_after.set(roster.stale_after);
            self.by_id.insert(id.clone(), Rc::new(target));
            changes.joined.push(id.clone());
        }
        for id in &changes.left {
            self.engine_updates.remove(id);
        }
        self.apply_engine_updates();
        changes
    }

    /// Applies the leader's view of endpoints; `own` is this host's share of the loads.
    pub(super) fn apply_view(
        &mut self,
        now: MonotonicTime,
        own: &[SentLoad],
        view: &PublishedView,
    ) {
        self.set_loads(now, own, &view.loads);
        self.record_sent(now, &view.sent);
        self.remove_leaving(now, &view.leaving);
        self.engine_updates.apply(&view.engines);
        self.apply_engine_updates();
    }

    /// Returns the load that this host has placed on endpoints.
    pub(super) fn sent_loads(&self) -> Vec<SentLoad> {
        let busy = self.by_id.values().filter(|target| target.in_flight() != 0);
        busy.map(|target| SentLoad {
            endpoint: target.key,
            requests: target.in_flight(),
            prefill_tokens: u32::try_from(target.prefill_tokens().as_u64()).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Sets the load that all hosts have placed on endpoints, of which `own` is this host's share.
    fn set_loads(&mut self, now: MonotonicTime, own: &[SentLoad], all: &[SentLoad]) {
        let find = |loads: &[SentLoad], endpoint| {
            loads.iter().find(|load| load.endpoint == endpoint).copied().unwrap_or_default()
        };
        for target in self.by_id.values() {
            let endpoint = target.key;
            let (own, all) = (find(own, endpoint), find(all, endpoint));
            target.other_load.set(SentLoad {
                endpoint,
                requests: all.requests.saturating_sub(own.requests),
                prefill_tokens: all.prefill_tokens.saturating_sub(own.prefill_tokens),
            });
        }
        self.loads_at = now;
    }

    /// Records the prompts that other hosts have sent.
    fn record_sent(&self, now: MonotonicTime, sent: &[SentPrompt]) {
        for sent in sent {
            let key = EndpointKey::new(sent.engine);
            let target = self.by_id.values().find(|target| target.key == key);
            if let Some(store) = self.store_of(&sent.chain).filter(|_| sent.saved) {
                store.record_saved(now, sent.weights, &sent.chain);
            }
            if let Some(target) = target.filter(|target| target.version() == sent.weights) {
                target.record_prompt(now, &sent.chain);
            }
        }
    }

    /// Returns the age of the loads of other hosts.
    pub(super) fn loads_age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.loads_at)
    }

    /// Removes the endpoints that announced to any host that they leave; they get no more requests.
    ///
    /// A new leader may know of none yet, so those known here stay removed.
    fn remove_leaving(&mut self, now: MonotonicTime, leaving: &[IncarnationKey]) {
        self.leaving_set.record_leaving(now, leaving);
        self.by_id.retain(|id, target| {
            let leaves = self.leaving_set.contains(id, target.incarnation);
            if leaves {
                log::info!(endpoint:% = id; "endpoint removed, reported to leave");
            }
            !leaves
        });
    }

    /// Removes an endpoint that stated in a response that it leaves; returns whether that is news.
    pub(super) fn record_stated_leaving(&mut self, now: MonotonicTime, target: &Target) -> bool {
        let key = IncarnationKey::new(&target.endpoint, target.incarnation);
        let is_new = self.stated_leaving.insert(key);
        self.remove_leaving(now, &[key]);
        is_new
    }

    /// Returns the incarnations that stated in a response to this host that they leave.
    pub(super) fn stated_leaving(&self) -> impl Iterator<Item = IncarnationKey> + '_ {
        self.stated_leaving.iter().copied()
    }

    /// Keeps the incarnations that stated that they leave until they end; their announcements may say
    /// otherwise.
    fn renew_stated_leaving(&mut self, roster: &Roster) {
        if self.stated_leaving.is_empty() {
            return;
        }
        let running: BTreeSet<_> = roster
            .endpoints
            .iter()
            .filter(|record| is_running(record))
            .map(|record| IncarnationKey::of(&record.announcement))
            .collect();
        self.stated_leaving.retain(|key| running.contains(key));
        let keys: Vec<_> = self.stated_leaving().collect();
        self.leaving_set.record_leaving(roster.at, &keys);
    }

    /// Returns whether the incarnation of an announcement is known to leave.
    pub(super) fn is_leaving(&self, announcement: &Announcement) -> bool {
        self.leaving_set.contains(&announcement.endpoint, announcement.incarnation)
    }

    /// Returns whether an endpoint is known to have announced that it leaves; its end is planned.
    pub(super) fn has_left(&self, target: &Target) -> bool {
        self.leaving_set.contains(&target.endpoint, target.incarnation)
    }

    /// Sets the stores of cached prompts.
    pub(super) fn set_stores(&mut self, configured: &[KvStore]) {
        self.stores.retain(|known| configured.iter().any(|store| store.address == known.address));
        for store in configured {
            if !self.stores.iter().any(|known| known.address == store.address) {
                self.stores.push(Store::new(store));
            }
        }
    }

    /// Returns the store of a prompt's shared parts, the same one at all hosts.
    pub(super) fn store_of(&self, chain: &PartChain) -> Option<&Store> {
        let hash = chain.shared_hash()?;
        self.stores.iter().max_by_key(|store| rank_by_name(hash, &store.name))
    }

    /// Sets the KV capacity of a service's engines.
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

    /// Returns an endpoint.
    pub(super) fn get(&self, id: &EndpointId) -> Option<&Rc<Target>> {
        self.by_id.get(id)
    }

    /// Returns the endpoints of a service.
    pub(super) fn of_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Rc<Target>> {
        self.by_id.values().filter(move |target| target.service == *service)
    }

    fn apply_engine_updates(&self) {
        for (id, target) in &self.by_id {
            let update = self.engine_updates.find(id, target.incarnation);
            target.paused.set(update.is_some_and(|update| update.paused));
            if let Some(update) = update {
                target.update_version(update.version);
            }
        }
    }
}

/// Returns the incarnations of endpoints that announced that they leave.
pub(super) fn leaving(roster: &Roster) -> Vec<IncarnationKey> {
    let leaving = roster.endpoints.iter().filter(|record| record.state == EndpointState::Leaving);
    leaving.map(|record| IncarnationKey::of(&record.announcement)).collect()
}

/// Returns the ready endpoints.
///
/// Of two endpoints at one address, only the one with the higher incarnation can still run there.
fn usable(endpoints: &[EndpointRecord]) -> BTreeMap<&EndpointId, &EndpointRecord> {
    let mut newest_at: HashMap<SocketAddr, &Announcement> = HashMap::new();
    for record in endpoints.iter().filter(|record| is_running(record)) {
        let announcement = record.announcement.as_ref();
        let newest = newest_at.entry(announcement.address).or_insert(announcement);
        if newest.incarnation < announcement.incarnation {
            *newest = announcement;
        }
    }
    let ready = endpoints.iter().filter(|record| record.state == EndpointState::Ready);
    ready
        .filter(|record| {
            let announcement = &record.announcement;
            newest_at
                .get(&announcement.address)
                .is_some_and(|newest| newest.endpoint == announcement.endpoint)
        })
        .map(|record| (&record.announcement.endpoint, record))
        .collect()
}

fn is_running(record: &EndpointRecord) -> bool {
    matches!(record.state, EndpointState::Ready | EndpointState::Leaving)
}

/// Returns the model that an engine serves, with the version of its weights.
pub(super) fn served_model(announcement: &Announcement) -> Option<(ModelId, u32)> {
    let EndpointKind::Engine(engine) = &announcement.kind else { return None };
    let served = engine.models.first()?;
    let version = served.weights.as_str().parse().ok()?;
    Some((served.model.clone(), version))
}
