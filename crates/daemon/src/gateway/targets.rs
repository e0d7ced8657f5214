use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{DataCentreId, EndpointId, Incarnation, ModelId, MonotonicTime, ServiceId, TokenCount};
use fleet::EngineNews;
use member::{Announcement, EndpointKind, EndpointState, Known, Roster};
use prefix::{PartChain, PartMemory};

/// Time for which an endpoint that refused a connection gets no other; it doubles each time.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(500);

/// Longest time for which an endpoint that refuses connections gets none.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// Tokens that an engine's memory is taken to hold until a configuration tells.
const DEFAULT_KV_TOKENS: TokenCount = TokenCount::new(60_000);

/// An endpoint as this host uses it.
pub(super) struct Target {
    pub endpoint: EndpointId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub service: ServiceId,
    /// The model that it serves, if it is an engine.
    pub model: Option<ModelId>,
    version: Cell<u32>,
    /// Whether it loads weights, or loads them next.
    paused: Cell<bool>,
    in_flight: Cell<u32>,
    prefill_tokens: Cell<u64>,
    memory: RefCell<PartMemory>,
    avoided_until: Cell<MonotonicTime>,
    refusals: Cell<u32>,
}

/// A request under way at an endpoint; ends on drop.
pub(super) struct InFlight {
    target: Rc<Target>,
    /// Tokens of the request that wait for prefill.
    prefill_tokens: Cell<u64>,
}

impl Target {
    fn new(announcement: &Announcement, service: ServiceId, kv_tokens: TokenCount) -> Self {
        let model = served(announcement);
        Self {
            endpoint: announcement.endpoint.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            data_centre: announcement.data_centre.clone(),
            service,
            version: Cell::new(model.as_ref().map_or(0, |(_, version)| *version)),
            model: model.map(|(model, _)| model),
            paused: Cell::new(false),
            in_flight: Cell::new(0),
            prefill_tokens: Cell::new(0),
            memory: RefCell::new(PartMemory::new(kv_tokens)),
            avoided_until: Cell::new(MonotonicTime::ZERO),
            refusals: Cell::new(0),
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

    /// Sends it nothing until the next news of it.
    pub(super) fn pause(&self) {
        self.paused.set(true);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    pub(super) fn prefill_tokens(&self) -> TokenCount {
        TokenCount::new(self.prefill_tokens.get())
    }

    pub(super) fn warm_tokens(&self, chain: &PartChain) -> TokenCount {
        self.memory.borrow().warm_tokens(chain)
    }

    /// Notes that it reads a prompt.
    pub(super) fn reads(&self, now: MonotonicTime, chain: &PartChain) {
        self.memory.borrow_mut().record(now, chain);
    }

    pub(super) fn is_avoided(&self, now: MonotonicTime) -> bool {
        now < self.avoided_until.get()
    }

    /// Avoids it for some time, as it can't be reached.
    pub(super) fn refused(&self, now: MonotonicTime) {
        let factor = 2_u32.saturating_pow(self.refusals.get());
        self.refusals.set(self.refusals.get().saturating_add(1));
        self.avoided_until.set(now + FIRST_AVOIDANCE.saturating_mul(factor).min(MAX_AVOIDANCE));
    }

    /// Notes that it could be reached.
    pub(super) fn reached(&self) {
        self.refusals.set(0);
        self.avoided_until.set(MonotonicTime::ZERO);
    }
}

impl InFlight {
    /// Counts a request with so many tokens to prefill.
    pub(super) fn begin(target: &Rc<Target>, prefill_tokens: TokenCount) -> Self {
        let tokens = prefill_tokens.as_u64();
        target.in_flight.set(target.in_flight.get() + 1);
        target.prefill_tokens.set(target.prefill_tokens.get() + tokens);
        Self { target: Rc::clone(target), prefill_tokens: Cell::new(tokens) }
    }

    pub(super) fn target(&self) -> &Rc<Target> {
        &self.target
    }

    /// Notes that the prompt has been prefilled.
    pub(super) fn prefilled(&self) {
        let tokens = self.prefill_tokens.take();
        self.target.prefill_tokens.set(self.target.prefill_tokens.get() - tokens);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prefilled();
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}

/// The endpoints that may get requests.
#[derive(Default)]
pub(super) struct Targets {
    by_id: BTreeMap<EndpointId, Rc<Target>>,
    news: HashMap<EndpointId, EngineNews>,
    kv_tokens: HashMap<ServiceId, TokenCount>,
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
        let usable = usable(&roster.endpoints);
        let mut changes = TargetChanges::default();
        self.by_id.retain(|id, target| {
            let stays = usable.get(id).is_some_and(|known| known.incarnation == target.incarnation);
            if !stays {
                changes.left.push(id.clone());
            }
            stays
        });
        for (id, announcement) in usable {
            let version = served(announcement).map_or(0, |(_, version)| version);
            if let Some(target) = self.by_id.get(id) {
                target.learn_version(version);
                continue;
            }
            let Some(service) = service(announcement) else { continue };
            let kv_tokens = self.kv_tokens.get(service).copied().unwrap_or(DEFAULT_KV_TOKENS);
            let target = Target::new(announcement, service.clone(), kv_tokens);
            self.by_id.insert(id.clone(), Rc::new(target));
            changes.joined.push(id.clone());
        }
        self.apply_news();
        changes
    }

    /// Takes what is known of engines beyond their announcements; it replaces what was known.
    pub(super) fn set_news(&mut self, news: &[EngineNews]) {
        self.news = news.iter().map(|news| (news.endpoint.clone(), news.clone())).collect();
        self.apply_news();
    }

    /// Takes how much fits into the memory of a service's engines.
    pub(super) fn set_kv_tokens(&mut self, service: &ServiceId, tokens: TokenCount) {
        self.kv_tokens.insert(service.clone(), tokens);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
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
fn usable(endpoints: &[Known]) -> BTreeMap<&EndpointId, &Announcement> {
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
        .map(|known| known.announcement.as_ref())
        .filter(|announcement| {
            youngest.get(&announcement.address).is_some_and(|y| y.endpoint == announcement.endpoint)
        })
        .map(|announcement| (&announcement.endpoint, announcement))
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
