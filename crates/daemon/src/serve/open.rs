//! Limits on open connections, in total and per caller's address.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::Rc,
};

use rustix::process::{Resource, getrlimit};

/// Descriptors for other hosts, endpoints' announcements, operators and files.
const RESERVED_DESCRIPTORS: u64 = 768;

/// Share of the connections that one address may have: a balancer forwards all callers from one.
const ADDRESS_SHARE: f64 = 0.75;

/// Fewest connections that are accepted, however few descriptors there are.
const MIN_CONNECTIONS: u64 = 64;

/// The open connections of a listener.
pub(super) struct OpenConnections {
    max: u64,
    max_per_address: u64,
    total: Cell<u64>,
    by_address: RefCell<HashMap<IpAddr, u64>>,
}

/// Counts an open connection until dropped.
pub(super) struct OpenConnection {
    all: Rc<OpenConnections>,
    address: IpAddr,
}

impl OpenConnections {
    /// Allows `max` connections, or fewer if the process has too few descriptors, of which each
    /// connection may take `descriptors`.
    pub(super) fn new(max: u64, descriptors: u64) -> Rc<Self> {
        let available = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let usable = available.saturating_sub(RESERVED_DESCRIPTORS) / descriptors;
        let max = max.min(usable.max(MIN_CONNECTIONS));
        let max_per_address = (max as f64 * ADDRESS_SHARE).ceil() as u64;
        Rc::new(Self { max, max_per_address, total: Cell::new(0), by_address: RefCell::default() })
    }

    /// Counts a connection, or returns `None` if its address or all together have too many.
    pub(super) fn begin(self: &Rc<Self>, address: IpAddr) -> Option<OpenConnection> {
        let mut by_address = self.by_address.borrow_mut();
        let count = by_address.get(&address).copied().unwrap_or(0);
        if self.max <= self.total.get() || self.max_per_address <= count {
            return None;
        }
        by_address.insert(address, count + 1);
        self.total.set(self.total.get() + 1);
        Some(OpenConnection { all: Rc::clone(self), address })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.total.set(self.all.total.get() - 1);
        let mut by_address = self.all.by_address.borrow_mut();
        let Some(count) = by_address.get_mut(&self.address) else { return };
        *count -= 1;
        if *count == 0 {
            by_address.remove(&self.address);
        }
    }
}
