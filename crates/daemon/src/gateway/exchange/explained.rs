//! The endpoint that a request would be sent to now, without side effects.

use base::{EndpointId, ServiceId};
use rand_pcg::Pcg64Mcg;
use wire::operator::ExplainedEndpoint;

use crate::{
    failure::Failure,
    gateway::{Dialect, draw_share, placement},
};

use super::Exchange;

/// The choice of an endpoint, and what it goes by.
pub(in crate::gateway) struct ExplainedChoice {
    /// The service that the request goes to.
    pub service: Option<ServiceId>,
    /// The endpoint, or the failure of the request.
    pub chosen: Result<EndpointId, Failure>,
    /// The state of the service's endpoints.
    pub endpoints: Vec<ExplainedEndpoint>,
}

impl<D: Dialect> Exchange<D> {
    /// Chooses an endpoint as the first attempt would now, by copies of all state that a choice
    /// changes.
    ///
    /// `rng` is a copy of the gateway's, so that ties are broken as they would be.
    pub(in crate::gateway) fn explain(&self, rng: &mut Pcg64Mcg) -> ExplainedChoice {
        let targets = self.gateway.targets.borrow();
        let mut warm = self.gateway.warm.borrow().clone();
        let draw = self.engine_memory().map_or(0.0, |_| draw_share(rng));
        let endpoints = self.with_requirements(draw, |requirements| {
            Ok(placement::endpoints(&targets, requirements, &mut warm))
        });
        let mut choose = || {
            self.check_quarantine()?;
            self.check_share()?;
            let chosen = self.with_requirements(draw, |requirements| {
                placement::choose(&targets, requirements, &mut warm, rng)
            });
            chosen.map_err(|why| self.no_target_failure(why))
        };
        let chosen = choose().map(|target| target.endpoint.clone());
        ExplainedChoice {
            service: self.service().cloned(),
            chosen,
            endpoints: endpoints.unwrap_or_default(),
        }
    }
}
