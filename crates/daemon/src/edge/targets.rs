use std::{
    cell::{Cell, Ref, RefCell},
    net::IpAddr,
    rc::Rc,
    sync::Arc,
};

use member::{Announcement, EndpointKind, ServedModel};

use super::upstream::Pool;

/// An endpoint as this router uses it.
pub(super) struct Target {
    announcement: RefCell<Arc<Announcement>>,
    in_flight: Cell<u32>,
    pool: Pool,
}

/// A request under way at an endpoint; ends on drop.
pub(super) struct InFlight {
    target: Rc<Target>,
}

impl Target {
    pub(super) fn new(source: IpAddr, announcement: Arc<Announcement>) -> Self {
        let pool = Pool::new(source, announcement.address);
        Self { announcement: RefCell::new(announcement), in_flight: Cell::new(0), pool }
    }

    pub(super) fn announcement(&self) -> Ref<'_, Arc<Announcement>> {
        self.announcement.borrow()
    }

    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Takes a newer announcement; returns whether it is of the same process.
    pub(super) fn renew(&self, announcement: &Arc<Announcement>) -> bool {
        let mut known = self.announcement.borrow_mut();
        let same =
            known.incarnation == announcement.incarnation && known.address == announcement.address;
        if same {
            known.clone_from(announcement);
        }
        same
    }

    /// Returns what the endpoint says of `model`, if it serves it.
    pub(super) fn serves(&self, wanted: impl Fn(&ServedModel) -> bool) -> Option<ServedModel> {
        match &self.announcement.borrow().kind {
            EndpointKind::Engine(engine) => engine.models.iter().find(|m| wanted(m)).cloned(),
            EndpointKind::Service(_) => None,
        }
    }
}

impl InFlight {
    pub(super) fn begin(target: &Rc<Target>) -> Self {
        target.in_flight.set(target.in_flight.get() + 1);
        Self { target: Rc::clone(target) }
    }

    pub(super) fn target(&self) -> &Target {
        &self.target
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}
