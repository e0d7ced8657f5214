use std::{
    cell::{Cell, Ref, RefCell},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use base::{DataCentreId, MonotonicTime, TokenCount, WeightsVersion};
use member::{Announcement, EndpointKind, Known, Load, ServedModel};
use prefix::Slot;

use crate::in_flight::{self, CountsInFlight, InFlightCounts};

use super::upstream::Pool;

/// An endpoint as this router uses it.
pub(super) struct Target {
    announcement: RefCell<Arc<Announcement>>,
    written: Cell<MonotonicTime>,
    slot: Option<Slot>,
    drained: Cell<bool>,
    /// Most requests that it ran while others waited.
    slots: Cell<u32>,
    work: InFlightCounts,
    pool: Pool,
}

/// A request under way at an endpoint; ends on drop.
pub(super) type InFlight = in_flight::InFlight<Target>;

impl CountsInFlight for Target {
    fn in_flight_counts(&self) -> &InFlightCounts {
        &self.work
    }
}

impl Target {
    /// Creates the view of an endpoint whose warm prefixes are known under `slot`.
    pub(super) fn new(source: IpAddr, known: &Known, slot: Option<Slot>) -> Self {
        let pool = Pool::new(source, known.announcement.address);
        Self {
            announcement: RefCell::new(Arc::clone(&known.announcement)),
            written: Cell::new(known.written),
            slot,
            drained: Cell::new(false),
            slots: Cell::new(slots_of(&known.announcement)),
            work: InFlightCounts::default(),
            pool,
        }
    }

    pub(super) fn announcement(&self) -> Ref<'_, Arc<Announcement>> {
        self.announcement.borrow()
    }

    pub(super) fn data_centre(&self) -> DataCentreId {
        self.announcement.borrow().data_centre.clone()
    }

    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    pub(super) fn slot(&self) -> Option<Slot> {
        self.slot
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.work.requests()
    }

    /// Returns the tokens that this router sent and that wait for prefill.
    pub(super) fn prefill_tokens(&self) -> TokenCount {
        self.work.prefill_tokens()
    }

    /// Returns the load that the endpoint reported last, and the report's age at `now`.
    pub(super) fn load(&self, now: MonotonicTime) -> (Load, Duration) {
        let load = match &self.announcement.borrow().kind {
            EndpointKind::Engine(engine) => engine.load,
            EndpointKind::Service(_) => Load::default(),
        };
        (load, now.saturating_since(self.written.get()))
    }

    /// Returns how many requests it runs at once, 0 while it never let one wait.
    pub(super) fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Returns whether operators want it to get no new work.
    pub(super) fn is_drained(&self) -> bool {
        self.drained.get()
    }

    pub(super) fn set_drained(&self, drained: bool) {
        self.drained.set(drained);
    }

    /// Takes a newer announcement; returns whether it is of the same process.
    pub(super) fn renew(&self, newer: &Known) -> bool {
        let mut known = self.announcement.borrow_mut();
        let announcement = &newer.announcement;
        let same =
            known.incarnation == announcement.incarnation && known.address == announcement.address;
        if same {
            known.clone_from(announcement);
            self.written.set(newer.written);
            self.slots.set(self.slots.get().max(slots_of(&newer.announcement)));
        }
        same
    }

    /// Returns the weights of the model that is wanted, if the endpoint serves it.
    pub(super) fn serves(&self, wanted: impl Fn(&ServedModel) -> bool) -> Option<WeightsVersion> {
        let announcement = self.announcement.borrow();
        let EndpointKind::Engine(engine) = &announcement.kind else { return None };
        engine.models.iter().find(|m| wanted(m)).map(|served| served.weights.clone())
    }
}

/// Returns how many requests an endpoint runs while others wait, 0 if none waits.
fn slots_of(announcement: &Announcement) -> u32 {
    match &announcement.kind {
        EndpointKind::Engine(engine) if engine.load.waiting != 0 => engine.load.running,
        EndpointKind::Engine(_) | EndpointKind::Service(_) => 0,
    }
}
