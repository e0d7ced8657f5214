//! Announcements of endpoints to this host.

use std::time::Duration;

use base::{EndpointId, Incarnation, ServiceId};
use member::Announcement;
use telemetry::UnusedAnnouncement;

use crate::roster::RosterInput;

use super::{ControlResponse, Dialect, Gateway};

/// Shortest lease of an announcement; heartbeats may be seconds late.
const MIN_ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(6);

/// Passes an announcement to the roster, unless this host is isolated and can't gossip it.
///
/// An announcement for a service that the active configuration doesn't name is held until one does.
/// That an endpoint leaves is done only once the replicated log holds it too.
pub(super) async fn announce<D: Dialect>(
    gateway: &Gateway<D>,
    mut announcement: Announcement,
) -> ControlResponse {
    announcement.lease = announcement.lease.max(MIN_ANNOUNCEMENT_LEASE);
    if gateway.latest_roster.load().is_some_and(|roster| roster.isolated) {
        return ControlResponse::Unavailable("this host can't reach any other router");
    }
    let leaving = announcement.leaving;
    let (endpoint, incarnation) = (announcement.endpoint.clone(), announcement.incarnation);
    match gateway.unknown_service(&announcement) {
        Some(service) => gateway.hold(&service, announcement),
        None if gateway.roster_input.try_send(RosterInput::Announced(announcement)).is_err() => {
            return ControlResponse::Unavailable("the router is overloaded or shutting down");
        }
        None => {}
    }
    if leaving {
        return commit_departure(gateway, &endpoint, incarnation).await;
    }
    ControlResponse::Done
}

/// Records that an endpoint leaves; without an incarnation, that is the one known here.
pub(super) async fn leave<D: Dialect>(
    gateway: &Gateway<D>,
    endpoint: &EndpointId,
    incarnation: Option<Incarnation>,
) -> ControlResponse {
    if let Some(announcement) = leaving_announcement(gateway, endpoint, incarnation) {
        return announce(gateway, announcement).await;
    }
    match incarnation {
        // Other hosts may know it.
        Some(incarnation) => commit_departure(gateway, endpoint, incarnation).await,
        None => ControlResponse::Done,
    }
}

async fn commit_departure<D: Dialect>(
    gateway: &Gateway<D>,
    endpoint: &EndpointId,
    incarnation: Incarnation,
) -> ControlResponse {
    match gateway.departures.commit(endpoint, incarnation).await {
        Ok(()) => ControlResponse::Done,
        Err(_) => ControlResponse::Unavailable("no leader confirmed that the endpoint leaves"),
    }
}

/// Returns the announcement that removes an endpoint, if it is known here.
fn leaving_announcement<D: Dialect>(
    gateway: &Gateway<D>,
    endpoint: &EndpointId,
    incarnation: Option<Incarnation>,
) -> Option<Announcement> {
    let roster = gateway.latest_roster.load()?;
    let record =
        roster.endpoints.iter().find(|record| record.announcement.endpoint == *endpoint)?;
    let mut announcement = Announcement::clone(&record.announcement);
    if incarnation.is_some_and(|leaving| leaving != announcement.incarnation) {
        return None;
    }
    announcement.sequence = announcement.sequence.next();
    announcement.leaving = true;
    Some(announcement)
}

impl<D: Dialect> Gateway<D> {
    /// Returns the announced service if the active configuration doesn't name it.
    fn unknown_service(&self, announcement: &Announcement) -> Option<ServiceId> {
        let service = announcement.kind.service()?;
        let active = self.active_configuration();
        let is_known = active.is_some_and(|active| active.table.service(service).is_some());
        (!is_known).then(|| service.clone())
    }

    fn hold(&self, service: &ServiceId, announcement: Announcement) {
        self.metrics.unused_announcement(UnusedAnnouncement::UnknownService);
        let (endpoint, incarnation) = (announcement.endpoint.clone(), announcement.incarnation);
        let is_first =
            self.held_announcements.borrow_mut().hold(self.clock.now(), service, announcement);
        if is_first {
            log::info!(endpoint:%, incarnation:%, service:%,
                configuration:% = self.configuration_number();
                "announcement held, the configuration doesn't name its service");
        }
    }

    /// Passes the held announcements to the roster whose services the active configuration names.
    pub(super) fn release_announcements(&self) {
        let Some(active) = self.active_configuration() else { return };
        let is_known = |service: &ServiceId| active.table.service(service).is_some();
        let released = self.held_announcements.borrow_mut().release(self.clock.now(), is_known);
        for announcement in released {
            log::info!(endpoint:% = announcement.endpoint,
                incarnation:% = announcement.incarnation, configuration:% = active.number,
                lease_left_ms = announcement.lease.as_millis() as u64;
                "held announcement released");
            // An endpoint repeats what a full channel drops.
            let _ = self.roster_input.try_send(RosterInput::Announced(announcement));
        }
    }
}
