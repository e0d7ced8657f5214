//! Acknowledges that endpoints leave once the replicated log holds it.

use std::{cell::RefCell, time::Duration};

use base::{EndpointId, Incarnation, UnixMillis};
use fleet::{Command, Departure, Reply};
use member::{IncarnationKey, LeavingSet};
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::{
    clock::Clock,
    leader_client::{LeaderClient, LeaderRequestError},
    replica::ReplicaState,
};

/// Longest wait for the leader, a little shorter than the endpoints' own timeout.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Commits departures of endpoints to the replicated log.
///
/// An endpoint says only once that it is gone, and what one host remembers ends with it. An endpoint
/// that drains repeats it with each announcement, of which the first is committed.
pub(crate) struct DepartureLog {
    clock: Clock,
    leader: LeaderClient,
    replica: ReplicaState,
    /// Incarnations whose departure the leader has confirmed to this host.
    confirmed: RefCell<LeavingSet>,
}

impl DepartureLog {
    /// Creates a log that has confirmed no departure yet.
    pub(crate) fn new(clock: Clock, leader: LeaderClient, replica: ReplicaState) -> Self {
        Self { clock, leader, replica, confirmed: RefCell::default() }
    }

    /// Commits that an incarnation of an endpoint leaves, unless that is known to be committed.
    ///
    /// # Errors
    ///
    /// Returns an error if the leader doesn't confirm it in time; it may be committed.
    pub(crate) async fn commit(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<(), LeaderRequestError> {
        if self.is_committed(endpoint, incarnation) {
            return Ok(());
        }
        // The leader sets the time.
        let at = UnixMillis::default();
        let departure = Departure { endpoint: endpoint.clone(), incarnation, at };
        let request = LeaderRequest::Command(Command::Depart(departure));
        let response = self.leader.submit(&request, LEADER_TIMEOUT).await;
        let result = match response {
            Ok(LeaderResponse::Reply(Reply::Departed | Reply::AlreadyApplied)) => Ok(()),
            Ok(_) => Err(LeaderRequestError::Unknown),
            Err(why) => Err(why),
        };
        log::info!(endpoint:%, incarnation:%, result:?; "departure of an endpoint submitted");
        if result.is_ok() {
            let keys = [IncarnationKey::new(endpoint, incarnation)];
            self.confirmed.borrow_mut().record_leaving(self.clock.now(), &keys);
        }
        result
    }

    fn is_committed(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.confirmed.borrow().contains(endpoint, incarnation)
            || self.replica.departures().contains(endpoint, incarnation)
    }
}
