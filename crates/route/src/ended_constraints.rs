//! What endpoints had stated when their leases ended.

use std::collections::BTreeMap;

use base::{EndpointId, Incarnation, MonotonicTime};

use crate::{StatedLimit, StatedWait};

/// Largest number of endpoints whose constraints are kept; those that ended first are dropped first.
pub const MAX_ENDED_CONSTRAINTS: usize = 1024;

/// What an endpoint has stated about the requests that it accepts from this router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedConstraints {
    /// The limit for all routers together.
    pub limit: StatedLimit,
    /// The time for which it accepts none.
    pub wait: StatedWait,
}

impl StatedConstraints {
    fn is_empty(&self, now: MonotonicTime) -> bool {
        !self.limit.is_active() && self.wait.left(now).is_zero()
    }
}

/// The constraints of endpoints whose leases have ended, for incarnations that return.
///
/// A lease may end because the endpoint was cut off, and what it had stated still holds then.
#[derive(Debug, Default)]
pub struct EndedConstraints {
    by_endpoint: BTreeMap<EndpointId, Ended>,
}

#[derive(Debug)]
struct Ended {
    incarnation: Incarnation,
    constraints: StatedConstraints,
    at: MonotonicTime,
}

impl EndedConstraints {
    /// Keeps what an incarnation had stated when its lease ended at `now`.
    pub fn keep(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        constraints: StatedConstraints,
    ) {
        if constraints.is_empty(now) {
            return;
        }
        self.by_endpoint.insert(endpoint.clone(), Ended { incarnation, constraints, at: now });
        if MAX_ENDED_CONSTRAINTS < self.by_endpoint.len() {
            self.drop_oldest();
        }
    }

    /// Takes what an incarnation had stated before its lease ended; nothing for any other one.
    pub fn take(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> StatedConstraints {
        let ended = self.by_endpoint.remove(endpoint);
        let ended = ended.filter(|ended| ended.incarnation == incarnation);
        ended.map(|ended| ended.constraints).unwrap_or_default()
    }

    /// Returns the number of endpoints whose constraints are kept.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// Returns whether no constraints are kept.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_endpoint.iter().min_by_key(|(_, ended)| ended.at);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.by_endpoint.remove(&endpoint);
        }
    }
}
