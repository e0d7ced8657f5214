use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use wire::leader::{LeaderRequest, LeaderResponse};

use crate::leader_client::{LeaderClient, LeaderRequestError};

use super::problems::ApiError;

/// Longest wait for the leader's response; shorter than the command-line tool's timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests that may wait for the leader at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 8;

/// A blocking client of the leader, for the admin interface's threads.
pub(super) struct BlockingLeaderClient {
    client: LeaderClient,
    waiting: AtomicUsize,
}

/// Permit to wait for the leader; released on drop.
struct WaitPermit<'a>(&'a AtomicUsize);

impl BlockingLeaderClient {
    pub(super) fn new(client: LeaderClient) -> Self {
        Self { client, waiting: AtomicUsize::new(0) }
    }

    /// Sends an idempotent request and waits for the response.
    pub(super) fn submit(&self, request: &LeaderRequest) -> Result<LeaderResponse, ApiError> {
        let _permit = WaitPermit::acquire(&self.waiting)
            .ok_or_else(|| ApiError::unavailable("too many requests are waiting for the leader"))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .map_err(|e| ApiError::unavailable(format!("could not start a runtime: {e}")))?;
        match runtime.block_on(self.client.submit(request, RESPONSE_TIMEOUT)) {
            Ok(LeaderResponse::Refused(reason)) => Err(ApiError::conflict(reason)),
            Ok(response) => Ok(response),
            Err(LeaderRequestError::NotAccepted) => Err(ApiError::unavailable(
                "no leader accepted the request; the quorum has no majority or can't be reached",
            )),
            Err(LeaderRequestError::Unknown) => Err(ApiError::unknown()),
        }
    }
}

impl<'a> WaitPermit<'a> {
    fn acquire(waiting: &'a AtomicUsize) -> Option<Self> {
        let taken = waiting.fetch_add(1, Ordering::AcqRel);
        let permit = Self(waiting);
        (taken < MAX_CONCURRENT_REQUESTS).then_some(permit)
    }
}

impl Drop for WaitPermit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
