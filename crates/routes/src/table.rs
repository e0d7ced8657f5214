use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{ByteCount, ServiceId};
use prefix::CacheScope;

use crate::{ApiKey, KvStore, Organisation, Route, Service, TableError};

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request header.
    pub header_bytes: ByteCount,
    /// Largest request body.
    pub body_bytes: ByteCount,
    /// Longest time for receiving a request's header.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: ByteCount::new(16 << 10),
            body_bytes: ByteCount::new(4 << 20),
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A validated routing configuration.
#[derive(Clone, Debug)]
pub struct Table {
    /// Routes by host, the longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceId, Service>,
    /// Services whose routes have different priorities.
    mixed_priorities: BTreeSet<ServiceId>,
    stores: Vec<KvStore>,
    organisations: Vec<Arc<Organisation>>,
    keys: HashMap<ApiKey, usize>,
    has_quotas: bool,
    limits: Limits,
    /// The scope of cached parts of all requests but those of isolated organisations.
    shared_scope: CacheScope,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            by_host: HashMap::new(),
            services: BTreeMap::new(),
            mixed_priorities: BTreeSet::new(),
            stores: Vec::new(),
            organisations: Vec::new(),
            keys: HashMap::new(),
            has_quotas: false,
            limits: Limits::default(),
            shared_scope: CacheScope::shared([]),
        }
    }
}

impl Table {
    /// Builds a table and validates its parts against each other.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency found.
    pub fn new(
        routes: Vec<Route>,
        services: Vec<Service>,
        stores: Vec<KvStore>,
        organisations: Vec<Organisation>,
        limits: Limits,
    ) -> Result<Self, TableError> {
        let mut table = Self { stores, limits, ..Self::default() };
        for service in services {
            table.add_service(service)?;
        }
        for route in routes {
            table.add_route(route)?;
        }
        for routes in table.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table.mixed_priorities = table.find_mixed_priorities();
        for organisation in organisations {
            table.add_organisation(organisation)?;
        }
        table.shared_scope = CacheScope::shared(table.isolated().map(|isolated| &*isolated.name));
        Ok(table)
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_name(host).to_ascii_lowercase();
        self.by_host.get(host.as_str())?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the organisation that `key` belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|&i| &self.organisations[i])
    }

    /// Returns the organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    /// Returns the organisations whose cached parts are kept apart from all others.
    pub fn isolated(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter().filter(|organisation| organisation.isolated)
    }

    /// Returns the scope of the cached parts that requests of an organisation may use, or requests
    /// without one.
    ///
    /// An organisation that the table no longer has stays isolated if it was so before.
    pub fn cache_scope(&self, organisation: Option<&Organisation>) -> CacheScope {
        match organisation {
            Some(organisation) if self.is_isolated(organisation) => {
                CacheScope::isolated(&organisation.name)
            }
            Some(_) | None => self.shared_scope.clone(),
        }
    }

    fn is_isolated(&self, organisation: &Organisation) -> bool {
        let known = self.organisations.iter().find(|known| known.name == organisation.name);
        known.map_or(organisation.isolated, |known| known.isolated)
    }

    /// Returns whether the table has organisations; without any, callers need no keys.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns whether any organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Returns whether the admission of a service's requests depends on their urgency: its routes
    /// have different priorities, and organisations have quotas.
    pub fn distinguishes_urgency(&self, service: &ServiceId) -> bool {
        self.has_quotas() && self.has_mixed_priorities(service)
    }

    /// Returns whether the routes of a service have different priorities.
    pub fn has_mixed_priorities(&self, service: &ServiceId) -> bool {
        self.mixed_priorities.contains(service)
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the stores of KV-cache blocks.
    pub fn stores(&self) -> &[KvStore] {
        &self.stores
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    fn find_mixed_priorities(&self) -> BTreeSet<ServiceId> {
        let mut first: BTreeMap<&ServiceId, u8> = BTreeMap::new();
        let mut mixed = BTreeSet::new();
        for route in self.routes() {
            for entry in route.services.iter().filter(|entry| entry.weight != 0) {
                let priority = *first.entry(&entry.service).or_insert(route.priority);
                if priority != route.priority {
                    mixed.insert(entry.service.clone());
                }
            }
        }
        mixed
    }

    fn add_service(&mut self, service: Service) -> Result<(), TableError> {
        let name = service.name.clone();
        match self.services.insert(name.clone(), service) {
            Some(_) => Err(TableError::DuplicateService(name)),
            None => Ok(()),
        }
    }

    fn add_route(&mut self, mut route: Route) -> Result<(), TableError> {
        let name = || Arc::clone(&route.name);
        for entry in &route.services {
            if !self.services.contains_key(&entry.service) {
                let service = entry.service.clone();
                return Err(TableError::UnknownService { route: name(), service });
            }
        }
        if route.services.iter().all(|entry| entry.weight == 0) {
            return Err(TableError::ZeroWeight { route: name() });
        }
        if route.timeout.is_zero() {
            return Err(TableError::ZeroTimeout { route: name() });
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(TableError::InvalidPrefix { route: name() });
        }
        let host: Arc<str> = route.host.to_ascii_lowercase().into();
        route.host = Arc::clone(&host);
        let routes = self.by_host.entry(Arc::clone(&host)).or_default();
        if routes.iter().any(|other| other.prefix == route.prefix) {
            return Err(TableError::DuplicateRoute { host, prefix: route.prefix });
        }
        routes.push(Arc::new(route));
        Ok(())
    }

    fn add_organisation(&mut self, organisation: Organisation) -> Result<(), TableError> {
        if self.organisations.iter().any(|other| other.name == organisation.name) {
            return Err(TableError::DuplicateOrganisation(organisation.name));
        }
        let position = self.organisations.len();
        // An organisation may list a key twice; only a key of two organisations is an error.
        let keys: HashSet<_> = organisation.keys.iter().cloned().collect();
        for key in keys {
            if self.keys.insert(key, position).is_some() {
                return Err(TableError::DuplicateKey);
            }
        }
        self.has_quotas |= organisation.quota.is_some();
        self.organisations.push(Arc::new(organisation));
        Ok(())
    }
}

/// Returns the host name of a `Host` header, without the port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
