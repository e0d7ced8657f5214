use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use wire::leader::{LeaderAnswer, LeaderRequest};

use crate::leader_client::{LeaderClient, LeaderRequestError};

use super::problems::Refused;

/// Longest wait for the leader's answer; shorter than the command-line tool's own.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests that may wait for the leader at once.
const MAX_WAITING: usize = 8;

/// The way to the leader for threads that wait.
pub(super) struct Leader {
    client: LeaderClient,
    waiting: AtomicUsize,
}

/// A place among those who wait; freed on drop.
struct Place<'a>(&'a AtomicUsize);

impl Leader {
    pub(super) fn new(client: LeaderClient) -> Self {
        Self { client, waiting: AtomicUsize::new(0) }
    }

    /// Sends an idempotent request and waits for the answer.
    pub(super) fn submit(&self, request: &LeaderRequest) -> Result<LeaderAnswer, Refused> {
        let _place = Place::take(&self.waiting)
            .ok_or_else(|| Refused::unavailable("too many requests wait for the leader"))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .map_err(|e| Refused::unavailable(format!("no runtime: {e}")))?;
        match runtime.block_on(self.client.submit(request, ANSWER_TIMEOUT)) {
            Ok(LeaderAnswer::Refused(why)) => Err(Refused::conflict(why)),
            Ok(answer) => Ok(answer),
            Err(LeaderRequestError::NotAccepted) => Err(Refused::unavailable(
                "no leader took the request; the quorum has no majority or can't be reached",
            )),
            Err(LeaderRequestError::Unknown) => Err(Refused::unknown()),
        }
    }
}

impl<'a> Place<'a> {
    fn take(waiting: &'a AtomicUsize) -> Option<Self> {
        let taken = waiting.fetch_add(1, Ordering::AcqRel);
        let place = Self(waiting);
        (taken < MAX_WAITING).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
