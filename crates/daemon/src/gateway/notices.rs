//! Obeys what endpoints state about themselves in their responses.

use std::{fmt, time::Duration};

use base::{EndpointId, RequestRate};
use hyper::http::response;
use route::{EndpointNotice, LimitChange, LimitResponse};
use telemetry::NoticeKind;

use super::{
    Dialect, Gateway,
    exchange::{Exchange, SendRecord},
    target::{SendPermit, Target},
};

/// Why a request that was about to be sent is withheld from its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Withheld {
    /// The endpoint leaves.
    Leaving,
    /// The endpoint accepts no requests for a time.
    Waiting,
    /// The endpoint's stated limit allows no request.
    Limited,
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Leaving => "the endpoint leaves",
            Self::Waiting => "the endpoint accepts no requests for a time",
            Self::Limited => "the endpoint's stated limit allows no request",
        })
    }
}

impl<D: Dialect> Exchange<D> {
    /// Returns an error if the endpoint stated, since it was chosen, that it accepts no request now.
    pub(super) fn check_withheld(
        &self,
        target: &Target,
        permit: SendPermit,
    ) -> Result<(), Withheld> {
        if self.gateway.targets.borrow().has_left(target) {
            return Err(Withheld::Leaving);
        }
        if !target.wait_left(self.gateway.clock.now()).is_zero() {
            return Err(Withheld::Waiting);
        }
        if permit == SendPermit::Unlimited && self.try_permit(target).is_none() {
            return Err(Withheld::Limited);
        }
        Ok(())
    }

    /// Records what the endpoint states about itself in the response to a request.
    pub(super) fn record_notice(&self, target: &Target, sent: &SendRecord, notice: EndpointNotice) {
        self.record_limit(target, sent, notice.limit);
        self.record_constraints(target, notice);
    }

    /// Records what a response states that keeps requests from its endpoint, whatever it leaves out.
    pub(super) fn record_constraints(&self, target: &Target, notice: EndpointNotice) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        if let Some(wait) = notice.wait {
            gateway.record_wait(target, wait);
        }
        if notice.leaving && gateway.targets.borrow_mut().record_stated_leaving(now, target) {
            gateway.metrics.endpoint_notice(NoticeKind::Leaving);
            log::info!(endpoint:% = target.endpoint, incarnation:% = target.incarnation,
                request:% = self.caller_request.id; "endpoint stated that it leaves");
        }
    }

    pub(super) fn record_limit(
        &self,
        target: &Target,
        sent: &SendRecord,
        limit: Option<RequestRate>,
    ) {
        let gateway = &self.gateway;
        let (routers, phase) = (gateway.router_count.get(), gateway.random_share());
        let received = gateway.clock.now();
        let response = LimitResponse { limit, sent: sent.at, received };
        let (request, endpoint) = (&self.caller_request.id, &target.endpoint);
        match target.record_limit(&response, routers, phase) {
            None => {}
            Some(LimitChange::Stated(limit)) => {
                gateway.metrics.endpoint_notice(NoticeKind::Limit);
                log::info!(endpoint:%, incarnation:% = target.incarnation, request:%, limit:%, routers;
                    "endpoint stated a request limit");
            }
            Some(LimitChange::Lifted) => {
                log::info!(endpoint:%, incarnation:% = target.incarnation, request:%;
                    "endpoint lifted its request limit");
            }
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Records that an endpoint stated for how long it accepts no requests from this host.
    fn record_wait(&self, target: &Target, wait: Duration) {
        target.record_wait(self.clock.now(), wait, self.random_share());
        self.metrics.endpoint_notice(NoticeKind::Wait);
        log::info!(endpoint:% = target.endpoint, incarnation:% = target.incarnation,
            wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            "endpoint stated a wait");
    }

    /// Returns whether an endpoint stated that it accepts no requests from this host yet.
    pub(super) fn is_waited_for(&self, endpoint: &EndpointId) -> bool {
        let targets = self.targets.borrow();
        let target = targets.get(endpoint);
        target.is_some_and(|target| !target.wait_left(self.clock.now()).is_zero())
    }

    /// Records the wait that an endpoint states in a response to a call of the rollout.
    pub(super) fn record_call_wait(&self, endpoint: &EndpointId, head: &response::Parts) {
        let Some(wait) = self.dialect.response_head(head).notice.wait else { return };
        if let Some(target) = self.targets.borrow().get(endpoint) {
            self.record_wait(target, wait);
        }
    }
}
