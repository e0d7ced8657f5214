use std::{
    cell::{Cell, Ref, RefCell},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use base::{DataCentreId, MonotonicTime, TokenCount, WeightsVersion};
use member::{Announcement, EndpointKind, EndpointRecord, Load, ServedModel};
use prefix::Slot;

use crate::in_flight::{self, CountsInFlight, InFlightCounts};

use super::upstream::ConnectionPool;

/// A ready endpoint with this router's state for it.
pub(super) struct Target {
    announcement: RefCell<Arc<Announcement>>,
    announced_at: Cell<MonotonicTime>,
    /// Slot of its cached prefixes in the index, if they are tracked.
    prefix_slot: Option<Slot>,
    drained: Cell<bool>,
    /// Most requests that it ran at once while others waited.
    slots: Cell<u32>,
    in_flight_counts: InFlightCounts,
    pool: ConnectionPool,
}

/// Guard that counts a request in flight at an endpoint until it is dropped.
pub(super) type InFlight = in_flight::InFlight<Target>;

impl CountsInFlight for Target {
    fn in_flight_counts(&self) -> &InFlightCounts {
        &self.in_flight_counts
    }
}

impl Target {
    /// Creates the state of an endpoint whose cached prefixes are tracked under `prefix_slot`.
    pub(super) fn new(source: IpAddr, record: &EndpointRecord, prefix_slot: Option<Slot>) -> Self {
        let pool = ConnectionPool::new(source, record.announcement.address);
        Self {
            announcement: RefCell::new(Arc::clone(&record.announcement)),
            announced_at: Cell::new(record.written),
            prefix_slot,
            drained: Cell::new(false),
            slots: Cell::new(saturated_slots(&record.announcement)),
            in_flight_counts: InFlightCounts::default(),
            pool,
        }
    }

    pub(super) fn announcement(&self) -> Ref<'_, Arc<Announcement>> {
        self.announcement.borrow()
    }

    pub(super) fn data_centre(&self) -> DataCentreId {
        self.announcement.borrow().data_centre.clone()
    }

    pub(super) fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    pub(super) fn prefix_slot(&self) -> Option<Slot> {
        self.prefix_slot
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight_counts.requests()
    }

    /// Returns the tokens that this router sent and that still wait for prefill.
    pub(super) fn prefill_tokens(&self) -> TokenCount {
        self.in_flight_counts.prefill_tokens()
    }

    /// Returns the load that the endpoint reported last, and the report's age at `now`.
    pub(super) fn load(&self, now: MonotonicTime) -> (Load, Duration) {
        let load = match &self.announcement.borrow().kind {
            EndpointKind::Engine(engine) => engine.load,
            EndpointKind::Service(_) => Load::default(),
        };
        (load, now.saturating_since(self.announced_at.get()))
    }

    /// Returns how many requests it runs at once, 0 if none has ever waited there.
    pub(super) fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Returns whether it is drained by the declaration.
    pub(super) fn is_drained(&self) -> bool {
        self.drained.get()
    }

    pub(super) fn set_drained(&self, drained: bool) {
        self.drained.set(drained);
    }

    /// Applies a newer announcement if it has the same incarnation and address; returns whether it
    /// has.
    pub(super) fn update(&self, newer: &EndpointRecord) -> bool {
        let mut current = self.announcement.borrow_mut();
        let announcement = &newer.announcement;
        let same_process = current.incarnation == announcement.incarnation
            && current.address == announcement.address;
        if same_process {
            current.clone_from(announcement);
            self.announced_at.set(newer.written);
            self.slots.set(self.slots.get().max(saturated_slots(&newer.announcement)));
        }
        same_process
    }

    /// Returns the weights of the first served model that matches.
    pub(super) fn served_weights(
        &self,
        matches: impl Fn(&ServedModel) -> bool,
    ) -> Option<WeightsVersion> {
        let announcement = self.announcement.borrow();
        let EndpointKind::Engine(engine) = &announcement.kind else { return None };
        engine.models.iter().find(|m| matches(m)).map(|served| served.weights.clone())
    }
}

/// Returns how many requests an endpoint runs if others wait, 0 if none waits.
fn saturated_slots(announcement: &Announcement) -> u32 {
    match &announcement.kind {
        EndpointKind::Engine(engine) if engine.load.waiting != 0 => engine.load.running,
        EndpointKind::Engine(_) | EndpointKind::Service(_) => 0,
    }
}
