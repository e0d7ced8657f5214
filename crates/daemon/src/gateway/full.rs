//! Infers from refusals that endpoints have no free slot.

use std::time::Duration;

use route::{EndpointNotice, FullRefusal};
use telemetry::NoticeKind;

use super::{
    Dialect,
    exchange::{Exchange, SendRecord},
    target::Target,
};

/// Assumed time that a prompt occupies its engine, until one of the service has completed. Calls of
/// an unknown time infer nothing.
const INITIAL_PROMPT_HOLD_TIME: Duration = Duration::from_millis(500);

impl<D: Dialect> Exchange<D> {
    /// Records that an endpoint refused the request as unavailable; unless it states why, its slots
    /// were all in use.
    pub(super) fn record_full(&self, target: &Target, sent: &SendRecord, notice: EndpointNotice) {
        if notice.wait.is_some() || notice.leaving {
            return;
        }
        let gateway = &self.gateway;
        let known = gateway.targets.borrow().hold_time(&target.service);
        let initial = self.caller_request.prompt.as_ref().map(|_| INITIAL_PROMPT_HOLD_TIME);
        let Some(hold_time) = known.or(initial) else { return };
        let slots = self.slots(target);
        let received = gateway.clock.now();
        let refusal = FullRefusal { sent: sent.at, received, hold_time, slots };
        if !target.record_full(&refusal) {
            return;
        }
        gateway.metrics.endpoint_notice(NoticeKind::Full);
        log::info!(endpoint:% = target.endpoint, incarnation:% = target.incarnation,
            request:% = self.caller_request.id, slots,
            hold_ms = u64::try_from(hold_time.as_millis()).unwrap_or(u64::MAX);
            "endpoint inferred to be full");
    }

    /// Returns the requests that an endpoint runs at once; if its configuration doesn't say so, those
    /// that it holds.
    fn slots(&self, target: &Target) -> u32 {
        let service = self.active_configuration.table.service(&target.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or_else(|| target.load().requests, |engine| engine.slots)
    }

    /// Records the time that the completed request occupied its endpoint.
    pub(super) fn record_hold_time(&self, target: &Target, sent: &SendRecord) {
        let held = self.gateway.clock.now().saturating_since(sent.at);
        self.gateway.targets.borrow().record_hold_time(&target.service, held);
    }
}
