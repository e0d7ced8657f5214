//! The choice of the endpoint for a request, and the rejection of a request without one.

use std::{rc::Rc, time::Duration};

use base::{ByteCount, ServiceId, TokenCount};
use route::{EngineMemory, Urgency};
use routes::Table;
use tokio::time::Instant;

use crate::{
    failure::Failure,
    gateway::{
        Dialect,
        follow::{ActiveConfiguration, NO_DESIRED_WEIGHTS},
        placement::{NoTarget, PromptRequirements, Requirements},
        target::{SendPermit, Target},
    },
};

use super::Exchange;

/// Longest wait for a temporarily unavailable endpoint, as while engines load weights.
const MAX_ENDPOINT_WAIT: Duration = Duration::from_millis(500);

/// Time between checks for such an endpoint.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest `Retry-After` for a request that is rejected for lack of capacity.
const MIN_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest time between a router's load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

impl<D: Dialect> Exchange<D> {
    /// Rejects a request for lack of capacity, with a `Retry-After` that spreads the retries.
    fn rejected_for(&self, why: &str, wait: Duration) -> Failure {
        let wait = wait.max(MIN_OVERLOAD_RETRY_AFTER).mul_f64(1.0 + self.service_draw());
        let mut failure = self.failure(why.to_owned(), false);
        if failure.retry_after.is_some() {
            failure.retry_after = Some(wait);
        }
        failure
    }

    /// Chooses an endpoint, and waits briefly while none is available.
    pub(super) async fn choose_or_wait(&mut self) -> Result<(Rc<Target>, SendPermit), Failure> {
        self.check_share()?;
        self.record_arrival();
        let until = (Instant::now() + MAX_ENDPOINT_WAIT).min(self.deadline);
        loop {
            self.update_scope();
            match self.choose_permitted() {
                Ok((target, permit)) => {
                    self.record_admitted();
                    self.progress.tried.push(target.endpoint.clone());
                    return Ok((target, permit));
                }
                Err(why) if self.may_recover_soon(why) && Instant::now() < until => {
                    tokio::time::sleep(ENDPOINT_POLL_INTERVAL).await;
                }
                Err(why) => {
                    if matches!(why, NoTarget::Overloaded(_) | NoTarget::Full(_)) {
                        self.record_shortage();
                    }
                    return Err(self.no_target_failure(why));
                }
            }
        }
    }

    /// Returns the failure of a request without an endpoint.
    pub(super) fn no_target_failure(&self, why: NoTarget) -> Failure {
        let message = no_target_message(why);
        match why {
            NoTarget::Overloaded(wait) | NoTarget::Full(wait) | NoTarget::Withheld(wait) => {
                self.rejected_for(message, wait)
            }
            NoTarget::Unknown | NoTarget::TemporarilyUnavailable | NoTarget::AllTried => {
                self.failure(message.to_owned(), false)
            }
        }
    }

    /// Returns whether an endpoint may become available soon.
    fn may_recover_soon(&self, why: NoTarget) -> bool {
        match why {
            NoTarget::TemporarilyUnavailable => true,
            NoTarget::Unknown | NoTarget::Overloaded(_) | NoTarget::Full(_) => {
                self.gateway.is_starting()
            }
            NoTarget::AllTried | NoTarget::Withheld(_) => false,
        }
    }

    /// Chooses an endpoint and takes the permission to send it a request.
    fn choose_permitted(&self) -> Result<(Rc<Target>, SendPermit), NoTarget> {
        let target = self.choose()?;
        let permit = self.try_permit(&target);
        // The choice has just found a permission.
        let permit = permit.ok_or(NoTarget::TemporarilyUnavailable)?;
        Ok((target, permit))
    }

    pub(in crate::gateway) fn try_permit(&self, target: &Target) -> Option<SendPermit> {
        let gateway = &self.gateway;
        target.try_permit(gateway.clock.now(), gateway.router_count.get())
    }

    pub(super) fn choose(&self) -> Result<Rc<Target>, NoTarget> {
        self.record_urgency();
        let memory_draw = self.engine_memory().map_or(0.0, |_| self.gateway.random_share());
        self.with_requirements(memory_draw, |requirements| self.gateway.choose(requirements))
    }

    /// Calls `decide` with the request's requirements on its endpoint; changes no state.
    ///
    /// `memory_draw` is a random number from 0 to 1.
    pub(super) fn with_requirements<T>(
        &self,
        memory_draw: f64,
        decide: impl FnOnce(&Requirements<'_>) -> Result<T, NoTarget>,
    ) -> Result<T, NoTarget> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let service = self.service().ok_or(NoTarget::Unknown)?;
        let newest = gateway.active_configuration();
        let table = &self.active_configuration.table;
        let configured = table.service(service);
        let engine = configured.and_then(|service| service.engine.as_ref());
        let urgency = self.effective_urgency(table, service);
        let memory = self.engine_memory();
        decide(&Requirements {
            service,
            prompt: self.prompt_requirements(&newest),
            tried: &self.progress.tried,
            now,
            local_data_centre: &gateway.data_centre,
            slots: engine.map_or(0, |engine| engine.slots),
            memory,
            memory_draw,
            unreported: memory.map_or(0.0, |_| self.unreported_requests(service)),
            urgency,
            leaves_reserved_slots: self.leaves_reserved_slots(table, service, urgency),
            max_connections: configured.map_or(u32::MAX, |service| service.max_connections),
            body: ByteCount::new(self.body.len() as u64),
            first_event_objective: self
                .route
                .objective
                .saturating_sub(now.saturating_since(self.arrived)),
            router_count: gateway.router_count.get(),
            uses_service_speed: gateway.cfg.service_speed,
            mixes_lengths: gateway.cfg.overload.mixes_lengths,
        })
    }

    /// Returns the class that the wait of the request is computed for.
    fn effective_urgency(&self, table: &Table, service: &ServiceId) -> Urgency {
        match self.prefers_urgent(table, service) {
            true => Urgency::of(self.urgency()),
            false => Urgency::Normal,
        }
    }

    fn prefers_urgent(&self, table: &Table, service: &ServiceId) -> bool {
        self.gateway.cfg.overload.prefers_urgent && table.distinguishes_urgency(service)
    }

    /// Returns whether the request leaves slots to urgent ones, which have arrived recently.
    fn leaves_reserved_slots(&self, table: &Table, service: &ServiceId, urgency: Urgency) -> bool {
        let now = self.gateway.clock.now();
        urgency != Urgency::Urgent
            && self.prefers_urgent(table, service)
            && self.gateway.targets.borrow().has_recent_urgent(service, now)
    }

    /// Records that an urgent request has arrived for its service.
    fn record_urgency(&self) {
        let Some(service) = self.service() else { return };
        if self.effective_urgency(&self.active_configuration.table, service) == Urgency::Urgent {
            let now = self.gateway.clock.now();
            self.gateway.targets.borrow().record_urgent(service, now);
        }
    }

    /// Returns the service that all attempts of the request go to.
    pub(super) fn service(&self) -> Option<&ServiceId> {
        self.route.pick_service(self.service_draw())
    }

    /// Hashes the request id to `0.0..1.0`, the same for each attempt, to choose a service.
    fn service_draw(&self) -> f64 {
        let digest =
            base::Hasher::default().field(self.caller_request.id.as_str().as_bytes()).finish();
        let bytes: [u8; 4] = std::array::from_fn(|i| digest.as_bytes()[i]);
        f64::from(u32::from_le_bytes(bytes)) / (f64::from(u32::MAX) + 1.0)
    }

    /// Returns the tokens that the request occupies at an engine until it ends.
    pub(super) fn held_tokens(&self) -> TokenCount {
        let (Some(prompt), Some(chain)) = (&self.caller_request.prompt, &self.chain) else {
            return TokenCount::ZERO;
        };
        TokenCount::new(chain.tokens().as_u64().saturating_add(prompt.output_tokens.as_u64()))
    }

    /// Returns the number of requests to the service that other routers are expected to have sent
    /// since their reports, if they get as many as this one.
    fn unreported_requests(&self, service: &ServiceId) -> f64 {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let targets = gateway.targets.borrow();
        let period = targets.loads_age(now) + REPORT_INTERVAL;
        let others = gateway.router_count.get().saturating_sub(1);
        targets.expected_arrivals(service, now, period) * f64::from(others)
    }

    /// Counts the request once among those whose engines have a bounded memory.
    fn record_arrival(&self) {
        if !self.progress.tried.is_empty() || self.engine_memory().is_none() {
            return;
        }
        let Some(service) = self.service() else { return };
        let gateway = &self.gateway;
        gateway.targets.borrow().record_arrival(service, gateway.clock.now());
    }

    /// Returns the memory of the engines of the request's service, if it bounds their requests.
    pub(super) fn engine_memory(&self) -> Option<EngineMemory> {
        if !self.gateway.cfg.overload.bounds_memory {
            return None;
        }
        let service = self.active_configuration.table.service(self.service()?)?;
        EngineMemory::new(service.engine.as_ref()?.kv_tokens)
    }

    /// Returns the prompt's requirements by the versions desired now, not those at the arrival.
    pub(super) fn prompt_requirements<'a>(
        &'a self,
        newest: &'a Option<Rc<ActiveConfiguration>>,
    ) -> Option<PromptRequirements<'a>> {
        let prompt = self.caller_request.prompt.as_ref()?;
        let desired = newest.as_ref().and_then(|active| active.weights.get(&prompt.model));
        Some(PromptRequirements {
            model: &prompt.model,
            chain: self.chain.as_ref()?,
            held_tokens: self.held_tokens(),
            weights: desired.unwrap_or(&NO_DESIRED_WEIGHTS),
            max_outdated: self.gateway.cfg.max_outdated_at_send(),
        })
    }
}

fn no_target_message(why: NoTarget) -> &'static str {
    match why {
        NoTarget::Unknown => "the service has no known endpoint",
        NoTarget::Overloaded(_) => "no engine could respond in time",
        NoTarget::Full(_) => "no engine has memory for the request",
        NoTarget::Withheld(_) => "the endpoints stated that they accept no request at present",
        NoTarget::TemporarilyUnavailable => "no endpoint of the service is available at present",
        NoTarget::AllTried => "no endpoint of the service accepted the request",
    }
}
