//! The endpoints that may get requests, and the stores that engines use.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{EndpointId, MonotonicTime, ServiceId, TokenCount};
use fleet::ReceivedEngineUpdates;
use member::{Announcement, EndpointRecord, EndpointState, IncarnationKey, LeavingSet, Roster};
use prefix::{PartChain, SentPrompt};
use route::{
    ArrivalRate, EndedConstraints, EndpointKey, HoldTime, PublishedSlowness, SentLoad,
    ServiceSpeed, Slowness, StatedConstraints,
};
use routes::KvStore;
use wire::leader::PublishedView;

use super::{
    kv_stores::{Store, Stores},
    speeds::ServiceSpeeds,
    target::Target,
};

/// Assumed KV capacity of an engine in tokens, until a configuration sets it.
const DEFAULT_KV_TOKENS: TokenCount = TokenCount::new(60_000);

/// Time for which an urgent request keeps slots reserved; chats of a busy service arrive more often.
const URGENT_RETENTION: Duration = Duration::from_secs(5);

/// Most changes of endpoints' slowness that are logged for one list.
const MAX_LOGGED_CHANGES: usize = 8;

/// The endpoints that may get requests.
#[derive(Default)]
pub(super) struct Targets {
    by_id: BTreeMap<EndpointId, Rc<Target>>,
    engine_updates: ReceivedEngineUpdates,
    kv_tokens: HashMap<ServiceId, TokenCount>,
    /// When an urgent request was last known, by service.
    urgent_at: RefCell<HashMap<ServiceId, MonotonicTime>>,
    /// Rates of this router's requests to services whose engines have a known memory.
    arrivals: RefCell<HashMap<ServiceId, ArrivalRate>>,
    /// Times that this router's requests occupied their endpoints, by service.
    hold_times: RefCell<HashMap<ServiceId, HoldTime>>,
    /// When the loads of other hosts arrived.
    loads_at: MonotonicTime,
    stores: Stores,
    /// Incarnations of endpoints that announced to this host or another one that they leave.
    leaving_set: LeavingSet,
    /// Running incarnations that stated in a response to this host that they leave.
    stated_leaving: BTreeSet<IncarnationKey>,
    /// What endpoints had stated to this host when their leases ended.
    ended_constraints: EndedConstraints,
    /// The endpoints that differ in speed, as the leader published last.
    slowness: BTreeMap<IncarnationKey, Slowness>,
    /// The speed of each service's engines; a restarted engine keeps that of its service.
    speeds: ServiceSpeeds,
}

/// Changes of the set of endpoints.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct TargetChanges {
    pub joined: Vec<EndpointId>,
    pub left: Vec<EndpointId>,
    /// Those that left and had a slowness other than nominal.
    pub left_with_slowness: Vec<EndpointId>,
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
                if target.slowness() != Slowness::NOMINAL {
                    changes.left_with_slowness.push(id.clone());
                }
                let (incarnation, constraints) = (target.incarnation, target.constraints());
                self.ended_constraints.keep(roster.at, id, incarnation, constraints);
            }
            stays
        });
        for (id, record) in usable {
            let announcement = record.announcement.as_ref();
            if let Some(target) = self.by_id.get(id) {
                target.renew(record, roster.stale_after);
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
            target.renew(record, roster.stale_after);
            if let Some(slowness) = self.slowness.get(&target.incarnation_key) {
                target.set_slowness(*slowness);
            }
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

    /// Applies the leader's list of endpoints that differ in speed; the others are nominal. Returns
    /// the endpoints whose slowness has changed.
    pub(super) fn apply_slowness(
        &mut self,
        endpoints: &[PublishedSlowness<IncarnationKey>],
    ) -> Vec<Rc<Target>> {
        let listed: BTreeMap<_, _> = endpoints.iter().map(|slow| (slow.endpoint, slow)).collect();
        let mut changed = Vec::new();
        let mut news = 0;
        for target in self.by_id.values() {
            let published = listed.get(&target.incarnation_key);
            let slowness = published.map_or(Slowness::NOMINAL, |slow| slow.slowness.bounded());
            if target.set_slowness(slowness) == slowness {
                continue;
            }
            changed.push(Rc::clone(target));
            if !target.must_log_slowness() {
                continue;
            }
            news += 1;
            if news <= MAX_LOGGED_CHANGES {
                log::info!(endpoint:% = target.endpoint, incarnation:% = target.incarnation,
                    factor:% = slowness, weight = published.map_or(0, |slow| slow.weight),
                    median_percent = published.map_or(0, |slow| slow.median);
                    "endpoint slowness changed");
            }
        }
        if MAX_LOGGED_CHANGES < news {
            log::info!(unlogged = news - MAX_LOGGED_CHANGES; "endpoint slowness changed");
        }
        self.slowness =
            listed.into_iter().map(|(key, slow)| (key, slow.slowness.bounded())).collect();
        changed
    }

    /// Returns the load that this host has placed on endpoints.
    pub(super) fn sent_loads(&self) -> Vec<SentLoad> {
        let busy = self.by_id.values().filter(|target| target.in_flight() != 0);
        busy.map(|target| SentLoad {
            endpoint: target.key,
            requests: target.in_flight(),
            prefill_tokens: reported_tokens(target.prefill_tokens()),
            urgent_prefill_tokens: reported_tokens(target.urgent_prefill_tokens()),
            held_tokens: reported_tokens(target.held_tokens()),
        })
        .collect()
    }

    /// Records that an urgent request has arrived for a service, at this router or another.
    pub(super) fn record_urgent(&self, service: &ServiceId, now: MonotonicTime) {
        let mut urgent_at = self.urgent_at.borrow_mut();
        match urgent_at.get_mut(service) {
            Some(at) => *at = now,
            None => _ = urgent_at.insert(service.clone(), now),
        }
    }

    /// Returns whether urgent requests for a service have arrived within [`URGENT_RETENTION`].
    pub(super) fn has_recent_urgent(&self, service: &ServiceId, now: MonotonicTime) -> bool {
        let urgent_at = self.urgent_at.borrow();
        urgent_at.get(service).is_some_and(|at| now.saturating_since(*at) < URGENT_RETENTION)
    }

    /// Counts a request to a service.
    pub(super) fn record_arrival(&self, service: &ServiceId, now: MonotonicTime) {
        let mut arrivals = self.arrivals.borrow_mut();
        match arrivals.get_mut(service) {
            Some(rate) => rate.record(now),
            None => arrivals.entry(service.clone()).or_default().record(now),
        }
    }

    /// Returns how many requests to a service this router expects in `period`.
    pub(super) fn expected_arrivals(
        &self,
        service: &ServiceId,
        now: MonotonicTime,
        period: Duration,
    ) -> f64 {
        let arrivals = self.arrivals.borrow();
        arrivals.get(service).map_or(0.0, |rate| rate.expected_in(now, period))
    }

    /// Records the time that a completed request occupied an endpoint of a service.
    pub(super) fn record_hold_time(&self, service: &ServiceId, held: Duration) {
        let mut hold_times = self.hold_times.borrow_mut();
        match hold_times.get_mut(service) {
            Some(hold_time) => hold_time.record(held),
            None => hold_times.entry(service.clone()).or_default().record(held),
        }
    }

    /// Returns the mean time that requests occupy an endpoint of a service, if it is known.
    pub(super) fn hold_time(&self, service: &ServiceId) -> Option<Duration> {
        self.hold_times.borrow().get(service).and_then(HoldTime::mean)
    }

    /// Returns the learned speed of a service's engines.
    pub(super) fn service_speed(&self, service: &ServiceId) -> ServiceSpeed {
        self.speeds.get(service)
    }

    /// Returns the learned speeds of all services.
    pub(super) fn speeds(&self) -> &ServiceSpeeds {
        &self.speeds
    }

    /// Sets the load that all hosts have placed on endpoints, of which `own` is this host's share.
    fn set_loads(&mut self, now: MonotonicTime, own: &[SentLoad], all: &[SentLoad]) {
        let find = |loads: &[SentLoad], endpoint| {
            loads.iter().find(|load| load.endpoint == endpoint).copied().unwrap_or_default()
        };
        for target in self.by_id.values() {
            let endpoint = target.key;
            let (own, all) = (find(own, endpoint), find(all, endpoint));
            if own.urgent_prefill_tokens < all.urgent_prefill_tokens {
                self.record_urgent(&target.service, now);
            }
            target.set_other_load(SentLoad {
                endpoint,
                requests: all.requests.saturating_sub(own.requests),
                prefill_tokens: all.prefill_tokens.saturating_sub(own.prefill_tokens),
                urgent_prefill_tokens: all
                    .urgent_prefill_tokens
                    .saturating_sub(own.urgent_prefill_tokens),
                held_tokens: all.held_tokens.saturating_sub(own.held_tokens),
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
        self.stores.set(configured);
    }

    /// Returns the store of a prompt's shared parts, the same one at all hosts.
    pub(super) fn store_of(&self, chain: &PartChain) -> Option<&Store> {
        self.stores.of_prompt(chain)
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
            target.set_paused(update.is_some_and(|update| update.paused));
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

/// Returns a number of tokens as load reports have it.
fn reported_tokens(tokens: TokenCount) -> u32 {
    u32::try_from(tokens.as_u64()).unwrap_or(u32::MAX)
}
