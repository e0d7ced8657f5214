use std::collections::BTreeMap;

use base::{EndpointId, MonotonicTime, ServiceId};

use crate::Announcement;

/// Largest number of held announcements; the ones received first are dropped first.
pub const MAX_HELD_ANNOUNCEMENTS: usize = 1024;

/// Announcements for services that no configuration names yet.
///
/// They are kept apart from the leases of endpoints, so that a writer with an unknown service can't
/// replace an endpoint of the same id. Once a configuration names the service they count.
#[derive(Debug, Default)]
pub struct HeldAnnouncements {
    newest: BTreeMap<(EndpointId, ServiceId), Held>,
}

#[derive(Debug)]
struct Held {
    announcement: Announcement,
    received: MonotonicTime,
}

impl HeldAnnouncements {
    /// Holds an announcement for `service`, unless a newer one of that endpoint and service is held.
    ///
    /// Returns whether it is the first of its endpoint and service.
    pub fn hold(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        announcement: Announcement,
    ) -> bool {
        let key = (announcement.endpoint.clone(), service.clone());
        let version =
            |announcement: &Announcement| (announcement.incarnation, announcement.sequence);
        match self.newest.get(&key) {
            Some(held) if version(&announcement) < version(&held.announcement) => false,
            held => {
                let is_first = held.is_none();
                self.newest.insert(key, Held { announcement, received: now });
                self.drop_excess();
                is_first
            }
        }
    }

    /// Takes the announcements whose services are known now, with what is left of their leases.
    ///
    /// Those whose leases have ended are dropped.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        is_known: impl Fn(&ServiceId) -> bool,
    ) -> Vec<Announcement> {
        self.newest.retain(|_, held| !held.lease_left(now).is_zero());
        let known = self.newest.extract_if(.., |(_, service), _| is_known(service));
        known
            .map(|(_, held)| Announcement { lease: held.lease_left(now), ..held.announcement })
            .collect()
    }

    /// Returns the number of held announcements.
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Returns whether no announcement is held.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    fn drop_excess(&mut self) {
        if self.newest.len() <= MAX_HELD_ANNOUNCEMENTS {
            return;
        }
        let oldest = self.newest.iter().min_by_key(|(_, held)| held.received);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.newest.remove(&key);
        }
    }
}

impl Held {
    fn lease_left(&self, now: MonotonicTime) -> std::time::Duration {
        self.announcement.lease.saturating_sub(now.saturating_since(self.received))
    }
}
