//! The speed of each service's engines, as this router learns it from its own prompts.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use base::{MonotonicTime, ServiceId};
use route::ServiceSpeed;

use crate::clock::Clock;

/// The learned speeds, by service; services without prompts have the defaults.
#[derive(Default)]
pub(super) struct ServiceSpeeds(RefCell<HashMap<ServiceId, Rc<LearnedSpeed>>>);

/// The learned speed of one service's engines.
struct LearnedSpeed {
    service: ServiceId,
    speed: Cell<ServiceSpeed>,
    /// The speed that was logged last.
    logged: Cell<ServiceSpeed>,
}

/// The slot that a prompt holds at an engine until its stream ends. If dropped before
/// [`HeldSlot::complete`], it counts as given up or broken off.
pub(super) struct HeldSlot {
    learned: Rc<LearnedSpeed>,
    clock: Clock,
    sent_at: MonotonicTime,
    outcome: SlotOutcome,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SlotOutcome {
    Unfinished,
    Complete,
    /// The engine did not run the prompt.
    NotRun,
}

impl ServiceSpeeds {
    /// Returns the speed of a service's engines.
    pub(super) fn get(&self, service: &ServiceId) -> ServiceSpeed {
        self.0
            .borrow()
            .get(service)
            .map_or_else(ServiceSpeed::default, |learned| learned.speed.get())
    }

    /// Updates what is known of a service's engines.
    pub(super) fn update(&self, service: &ServiceId, update: impl FnOnce(&mut ServiceSpeed)) {
        self.learned(service).update(update);
    }

    /// Begins to time a prompt that was sent to an engine of a service.
    pub(super) fn hold(
        &self,
        service: &ServiceId,
        clock: Clock,
        sent_at: MonotonicTime,
    ) -> HeldSlot {
        let learned = self.learned(service);
        HeldSlot { learned, clock, sent_at, outcome: SlotOutcome::Unfinished }
    }

    fn learned(&self, service: &ServiceId) -> Rc<LearnedSpeed> {
        let mut speeds = self.0.borrow_mut();
        if let Some(learned) = speeds.get(service) {
            return Rc::clone(learned);
        }
        let learned = Rc::new(LearnedSpeed {
            service: service.clone(),
            speed: Cell::default(),
            logged: Cell::default(),
        });
        speeds.insert(service.clone(), Rc::clone(&learned));
        learned
    }
}

impl LearnedSpeed {
    fn update(&self, update: impl FnOnce(&mut ServiceSpeed)) {
        let mut speed = self.speed.get();
        update(&mut speed);
        self.speed.set(speed);
        if !speed.differs_clearly(&self.logged.get()) {
            return;
        }
        self.logged.set(speed);
        log::info!(service:% = self.service, hold_ms = speed.hold_time().as_millis() as u64,
            tokens_per_s:% = speed.prefill_rate(); "service speed learned");
    }
}

impl HeldSlot {
    /// Records that the stream has ended as it should.
    pub(super) fn complete(mut self) {
        self.outcome = SlotOutcome::Complete;
    }

    /// Records that the engine did not run the prompt.
    pub(super) fn discard(mut self) {
        self.outcome = SlotOutcome::NotRun;
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let lasted = self.clock.now().saturating_since(self.sent_at);
        match self.outcome {
            SlotOutcome::Complete => self.learned.update(|speed| speed.record_stream(lasted)),
            SlotOutcome::Unfinished => {
                self.learned.update(|speed| speed.record_unfinished_stream(lasted));
            }
            SlotOutcome::NotRun => {}
        }
    }
}
