//! An endpoint that may get requests, with its load and a model of its cache.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use base::{
    DataCentreId, EndpointId, Incarnation, ModelId, MonotonicTime, RequestRate, ServiceId,
    TokenCount,
};
use member::{Announcement, EndpointKind, EndpointRecord, IncarnationKey};
use prefix::{PartCacheModel, PartChain};
use route::{
    EndpointKey, EngineMemory, FullRefusal, HeldLoad, InFlightLoad, InferredFull, LimitChange,
    LimitResponse, LoadByUrgency, SentLoad, Slowness, StatedConstraints, StatedLimit, StatedWait,
};

use crate::in_flight::{self, CountsInFlight, InFlightCounts};

/// Longest time for which an unreachable endpoint is avoided.
const MAX_UNREACHABLE_AVOIDANCE: Duration = Duration::from_secs(5);

/// Time for which an endpoint is avoided after it refused a request as misdirected.
const SUSPENSION_PERIOD: Duration = Duration::from_millis(400);

/// Largest error in the age of an announcement.
const ANNOUNCEMENT_AGE_ERROR: Duration = Duration::from_millis(100);

/// Share of an engine's KV memory that caches prompt parts, beside the running requests.
const CACHE_SHARE: f64 = 0.7;

/// Time in which the requests of an engine that ended are all found lost.
const OVER_MEMORY_RETENTION: Duration = Duration::from_secs(1);

/// The permission to send a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendPermit {
    /// The endpoint stated no limit when the permission was given.
    Unlimited,
    /// The request counts against the limit that the endpoint states.
    Counted,
}

/// Why new requests prefer other endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Avoidance {
    /// Its last announcement is too old.
    Silent,
    /// A connection failed recently.
    Unreachable,
    /// It refused a request as misdirected.
    Suspended,
}

/// An endpoint with its state at this host.
pub(super) struct Target {
    pub endpoint: EndpointId,
    /// The endpoint's compact key in messages between hosts.
    pub key: EndpointKey,
    pub incarnation: Incarnation,
    /// The incarnation's compact key in messages between hosts.
    pub incarnation_key: IncarnationKey,
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
    /// When it was last found to hold more than its memory as it lost a request.
    over_memory_at: Cell<Option<MonotonicTime>>,
    /// The limit on requests that it states.
    limit: Cell<StatedLimit>,
    /// For how long it accepts no requests from this host, as it stated.
    wait: Cell<StatedWait>,
    /// Whether its slots are in use, as inferred from its refusals.
    inferred_full: Cell<InferredFull>,
    /// How much slower it is than its service's median endpoint.
    slowness: Cell<Slowness>,
    /// The slowness that was logged last.
    logged_slowness: Cell<Slowness>,
}

/// A request in flight at an endpoint, until dropped.
pub(super) type InFlight = in_flight::InFlight<Target>;

impl CountsInFlight for Target {
    fn in_flight_counts(&self) -> &InFlightCounts {
        &self.work
    }
}

impl Target {
    /// Creates the state of an endpoint that has joined; `constraints` are what it stated before.
    pub(super) fn new(
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
            incarnation_key: IncarnationKey::of(announcement),
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
            over_memory_at: Cell::new(None),
            limit: Cell::new(constraints.limit),
            wait: Cell::new(constraints.wait),
            inferred_full: Cell::default(),
            slowness: Cell::default(),
            logged_slowness: Cell::default(),
        }
    }

    /// Returns how much slower it is than its service's median endpoint.
    pub(super) fn slowness(&self) -> Slowness {
        self.slowness.get()
    }

    /// Sets its slowness, and returns the previous one.
    pub(super) fn set_slowness(&self, slowness: Slowness) -> Slowness {
        self.slowness.replace(slowness)
    }

    /// Returns whether its slowness differs clearly from the one logged last, which it then replaces.
    pub(super) fn must_log_slowness(&self) -> bool {
        let is_news = self.slowness().differs_clearly(self.logged_slowness.get());
        if is_news {
            self.logged_slowness.set(self.slowness());
        }
        is_news
    }

    /// Returns what it has stated about the requests that it accepts from this host.
    pub(super) fn constraints(&self) -> StatedConstraints {
        StatedConstraints { limit: self.limit.get(), wait: self.wait.get() }
    }

    /// Applies a newer announcement of its incarnation.
    pub(super) fn renew(&self, record: &EndpointRecord, stale_after: Duration) {
        let version = served_model(&record.announcement).map_or(0, |(_, version)| version);
        self.update_version(version);
        self.last_announced_at.set(record.written);
        self.stale_after.set(stale_after);
    }

    /// Sets whether it loads weights or is about to.
    pub(super) fn set_paused(&self, is_paused: bool) {
        self.paused.set(is_paused);
    }

    /// Sets the load that other routers have placed on it.
    pub(super) fn set_other_load(&self, load: SentLoad) {
        self.other_load.set(load);
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

    pub(super) fn urgent_prefill_tokens(&self) -> TokenCount {
        self.work.urgent_prefill_tokens()
    }

    pub(super) fn held_tokens(&self) -> TokenCount {
        self.work.held_tokens()
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

    /// Returns the load that all routers have placed on it, with the urgent part.
    pub(super) fn load_by_urgency(&self) -> LoadByUrgency {
        let urgent = self.urgent_prefill_tokens().as_u64();
        let others = u64::from(self.other_load().urgent_prefill_tokens);
        LoadByUrgency {
            total: self.load(),
            urgent_prefill_tokens: TokenCount::new(urgent + others),
        }
    }

    /// Returns what it holds of all routers' requests.
    pub(super) fn held_load(&self) -> HeldLoad {
        let tokens = self.held_tokens().as_u64() + u64::from(self.other_load().held_tokens);
        HeldLoad { requests: self.load().requests, tokens: TokenCount::new(tokens) }
    }

    /// Returns whether the loss of a request may be due to a lack of memory.
    ///
    /// The requests that it held end one after the other, so the first finding holds for those that
    /// follow within [`OVER_MEMORY_RETENTION`].
    pub(super) fn may_lack_memory(&self, now: MonotonicTime, memory: EngineMemory) -> bool {
        if memory.may_be_exceeded(self.held_load()) {
            self.over_memory_at.set(Some(now));
        }
        let found = self.over_memory_at.get();
        found.is_some_and(|at| now.saturating_since(at) < OVER_MEMORY_RETENTION)
    }

    /// Returns the load that other routers have placed on it.
    pub(super) fn other_load(&self) -> SentLoad {
        self.other_load.get()
    }

    /// Returns whether new requests prefer other endpoints.
    pub(super) fn is_avoided(&self, now: MonotonicTime) -> bool {
        self.avoidance(now).is_some()
    }

    /// Returns why new requests prefer other endpoints, if they do.
    pub(super) fn avoidance(&self, now: MonotonicTime) -> Option<Avoidance> {
        if self.stale_after.get() <= now.saturating_since(self.last_announced_at.get()) {
            Some(Avoidance::Silent)
        } else if self.is_unreachable(now) {
            Some(Avoidance::Unreachable)
        } else if now < self.suspended_until.get() {
            Some(Avoidance::Suspended)
        } else {
            None
        }
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

    /// Returns when the endpoint last answered a request of this host.
    pub(super) fn answered_at(&self) -> MonotonicTime {
        self.answered_at.get()
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

    /// Returns the limit on requests that it states for all hosts together.
    pub(super) fn stated_limit(&self) -> Option<RequestRate> {
        self.limit.get().rate()
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

    /// Applies a refusal for lack of slots, as [`InferredFull::record_refusal`].
    pub(super) fn record_full(&self, refusal: &FullRefusal) -> bool {
        let mut full = self.inferred_full.get();
        let is_new = full.record_refusal(refusal);
        self.inferred_full.set(full);
        is_new
    }

    /// Records that the endpoint accepted a request that was sent at `sent`.
    pub(super) fn record_accepted(&self, sent: MonotonicTime) {
        let mut full = self.inferred_full.get();
        full.record_accepted(sent);
        self.inferred_full.set(full);
    }

    /// Returns whether its slots are inferred to be in use still.
    pub(super) fn is_inferred_full(&self, now: MonotonicTime) -> bool {
        self.inferred_full.get().is_full(now)
    }

    /// Marks the endpoint reachable.
    pub(super) fn mark_reachable(&self) {
        self.unreachable_since.set(None);
    }
}

/// Returns the model that an engine serves, with the version of its weights.
pub(super) fn served_model(announcement: &Announcement) -> Option<(ModelId, u32)> {
    let EndpointKind::Engine(engine) = &announcement.kind else { return None };
    let served = engine.models.first()?;
    let version = served.weights.as_str().parse().ok()?;
    Some((served.model.clone(), version))
}

fn cache_tokens(kv_tokens: TokenCount) -> TokenCount {
    TokenCount::new((kv_tokens.as_u64() as f64 * CACHE_SHARE) as u64)
}
