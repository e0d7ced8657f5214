//! Limits on open connections, in total and per caller's address.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use rustix::process::{Resource, getrlimit};
use tokio::time::Instant;

use super::activity::Activity;

/// Descriptors for other hosts, endpoints' announcements, operators and files.
const RESERVED_DESCRIPTORS: u64 = 768;

/// Share of the connections that one address may have: a balancer forwards all callers from one.
const ADDRESS_SHARE: f64 = 0.75;

/// Fewest connections that are accepted, however few descriptors there are.
const MIN_CONNECTIONS: u64 = 64;

/// Time after a search found all connections in use, in which none is searched; bounds the time spent
/// on accepting.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);

/// The open connections of a listener.
pub(super) struct OpenConnections {
    max: u64,
    max_per_address: u64,
    next_id: Cell<u64>,
    all: RefCell<Queue>,
    by_address: RefCell<HashMap<IpAddr, Queue>>,
}

/// An open connection, removed from those of its listener on drop.
pub(super) struct OpenConnection {
    all: Rc<OpenConnections>,
    address: IpAddr,
    id: u64,
}

#[derive(Clone)]
struct Entry {
    address: IpAddr,
    activity: Activity,
}

/// Connections ordered by a time before which none was idle or unfinished without a break.
///
/// Entries are brought up to date only when they are considered, so that requests cost nothing.
#[derive(Default)]
struct Queue {
    order: BTreeMap<(Instant, u64), Entry>,
    times: HashMap<u64, Instant>,
    next_search: Option<Instant>,
}

impl Queue {
    fn len(&self) -> u64 {
        self.times.len() as u64
    }

    fn insert(&mut self, id: u64, since: Instant, entry: Entry) {
        self.times.insert(id, since);
        self.order.insert((since, id), entry);
    }

    fn remove(&mut self, id: u64) {
        if let Some(since) = self.times.remove(&id) {
            self.order.remove(&(since, id));
        }
    }

    /// Returns the connection that has been idle or unfinished the longest, if any is.
    fn longest_unused(&mut self, now: Instant) -> Option<(u64, Entry)> {
        if self.next_search.is_some_and(|at| now < at) {
            return None;
        }
        // One more than to bring each entry up to date.
        for _ in 0..=self.order.len() {
            let ((since, id), entry) = self.order.pop_first()?;
            let unused_since = entry.activity.unused_since(now);
            self.insert(id, unused_since.unwrap_or(now), entry.clone());
            if unused_since == Some(since) {
                return Some((id, entry));
            }
        }
        self.next_search = Some(now + SEARCH_INTERVAL);
        None
    }
}

impl OpenConnections {
    /// Allows `max` connections, or fewer if the process has too few descriptors, of which each
    /// connection may take `descriptors`.
    pub(super) fn new(max: u64, descriptors: u64) -> Rc<Self> {
        let available = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let usable = available.saturating_sub(RESERVED_DESCRIPTORS) / descriptors;
        let max = max.min(usable.max(MIN_CONNECTIONS));
        let max_per_address = (max as f64 * ADDRESS_SHARE).ceil() as u64;
        Rc::new(Self {
            max,
            max_per_address,
            next_id: Cell::new(0),
            all: RefCell::default(),
            by_address: RefCell::default(),
        })
    }

    /// Adds a connection. If its address or all together have too many, it replaces the one that has
    /// been idle or unfinished the longest; returns `None` if all are in use.
    pub(super) fn begin(
        self: &Rc<Self>,
        address: IpAddr,
        activity: &Activity,
    ) -> Option<OpenConnection> {
        let now = Instant::now();
        let mut by_address = self.by_address.borrow_mut();
        let mut all = self.all.borrow_mut();
        let replaced = match by_address.get_mut(&address) {
            Some(same) if self.max_per_address <= same.len() => Some(same.longest_unused(now)?),
            _ if self.max <= all.len() => Some(all.longest_unused(now)?),
            _ => None,
        };
        if let Some((id, replaced)) = replaced {
            all.remove(id);
            remove_of_address(&mut by_address, replaced.address, id);
            replaced.activity.replace();
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Entry { address, activity: activity.clone() };
        // A connection that was just opened is idle since then.
        all.insert(id, activity.opened(), entry.clone());
        by_address.entry(address).or_default().insert(id, activity.opened(), entry);
        Some(OpenConnection { all: Rc::clone(self), address, id })
    }
}

fn remove_of_address(by_address: &mut HashMap<IpAddr, Queue>, address: IpAddr, id: u64) {
    let Some(same) = by_address.get_mut(&address) else { return };
    same.remove(id);
    if same.len() == 0 {
        by_address.remove(&address);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.all.borrow_mut().remove(self.id);
        remove_of_address(&mut self.all.by_address.borrow_mut(), self.address, self.id);
    }
}
