//! Response times that the leader compares endpoints by, and the slowness that it infers; what this
//! router learns of a service's speed.

use std::time::Duration;

use base::{MonotonicTime, TokenCount};
use route::{ServiceKey, ServiceSpeed, expected_call_time};
use wire::leader::SlownessList;

use super::{Dialect, Gateway, exchange::SendRecord, speeds::HeldSlot, target::Target};

/// Returns the expected time to the first event or the head of a response of a nominal endpoint, by
/// the load of `target` as known now, which includes the request that is about to be sent, and the
/// `speed` of its service.
pub(super) fn expected_time(target: &Target, is_prompt: bool, speed: &ServiceSpeed) -> Duration {
    let load = target.load();
    if is_prompt {
        speed.expected_ttft(load)
    } else {
        expected_call_time(load.requests.saturating_sub(1))
    }
}

/// Returns the uncached tokens of a prompt that is about to be sent, if the time to its first event
/// will show their prefill.
pub(super) fn shown_prefill(target: &Target, uncached: TokenCount) -> Option<TokenCount> {
    ServiceSpeed::shows_prefill(target.load(), uncached).then_some(uncached)
}

impl<D: Dialect> Gateway<D> {
    /// Begins to time a prompt that was sent now, if speeds are learned.
    pub(super) fn hold_slot(&self, target: &Target, sent_at: MonotonicTime) -> Option<HeldSlot> {
        let learns = self.cfg.service_speed;
        let targets = self.targets.borrow();
        learns.then(|| targets.speeds().hold(&target.service, self.clock, sent_at))
    }

    /// Records that the first event of a prompt arrived at `now`.
    pub(super) fn record_prefill(&self, now: MonotonicTime, target: &Target, sent: &SendRecord) {
        let learns = self.cfg.service_speed || self.cfg.endpoint_performance;
        let Some(tokens) = sent.shown_prefill.filter(|_| learns) else { return };
        let took = now.saturating_since(sent.at);
        let targets = self.targets.borrow();
        targets.speeds().update(&target.service, |speed| speed.record_prefill(tokens, took));
    }

    /// Records that the response to a request began at `now`, or had not begun when the request was
    /// given up.
    pub(super) fn record_response_time(
        &self,
        now: MonotonicTime,
        target: &Target,
        sent: &SendRecord,
    ) {
        if !self.cfg.endpoint_performance {
            return;
        }
        let observed = now.saturating_since(sent.at);
        let service = ServiceKey::of(&target.service);
        let mut times = self.response_times.borrow_mut();
        times.record(target.incarnation_key, service, sent.expected, observed);
    }

    /// Applies the leader's list of slow endpoints.
    pub(super) fn apply_slowness(&self, list: &SlownessList) {
        if !self.cfg.endpoint_performance {
            return;
        }
        for target in self.targets.borrow_mut().apply_slowness(&list.endpoints) {
            self.metrics.set_endpoint_slowness(&target.endpoint, target.slowness().factor());
        }
    }
}
