use std::{cell::Cell, time::Duration};

use base::HostId;
use rand::RngExt as _;
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::{
    directory::Directory,
    peers::{Envelope, Outgoing, SubmitCall, SubmitOutcome},
    replica::ReplicaInput,
};

/// Longest wait for one host's response.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest and longest pause between rounds over all voters, in milliseconds.
const ROUND_PAUSE_MS: std::ops::RangeInclusive<u64> = 20..=60;

/// Sends requests to the quorum's leader, on this host or another.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    host: HostId,
    local: Option<flume::Sender<ReplicaInput>>,
    outbox: flume::Sender<Envelope>,
    directory: Directory,
}

/// Why a leader request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderRequestError {
    /// No leader accepted it; it won't be carried out.
    NotAccepted,
    /// It may be carried out.
    Unknown,
}

impl LeaderClient {
    pub(crate) fn new(
        host: HostId,
        local: Option<flume::Sender<ReplicaInput>>,
        outbox: flume::Sender<Envelope>,
        directory: Directory,
    ) -> Self {
        Self { host, local, outbox, directory }
    }

    /// Sends an idempotent request until a leader responds or `timeout` has passed.
    pub(crate) async fn submit(
        &self,
        request: &LeaderRequest,
        timeout: Duration,
    ) -> Result<LeaderResponse, LeaderRequestError> {
        let bytes = request.to_bytes();
        let timeout_error = Cell::new(LeaderRequestError::NotAccepted);
        let attempts = async {
            loop {
                for host in self.directory.leader_candidates() {
                    // A request whose attempt is cancelled by the timeout may be carried out.
                    let previous = timeout_error.replace(LeaderRequestError::Unknown);
                    let mut outcome = self.attempt(&host, bytes.clone()).await;
                    if outcome == SubmitOutcome::Unknown {
                        self.directory.record_timeout(&host);
                        // The connection may have gone silent; the next attempt opens another.
                        outcome = self.attempt(&host, bytes.clone()).await;
                    }
                    match outcome {
                        SubmitOutcome::Reply(response) => {
                            self.directory.record_response(&host);
                            self.directory.set_leader(Some(host));
                            return LeaderResponse::from_bytes(&response)
                                .map_err(|_| LeaderRequestError::Unknown);
                        }
                        SubmitOutcome::NotWritten { leader } => {
                            timeout_error.set(previous);
                            self.directory.record_response(&host);
                            if let Some(leader) = leader.filter(|leader| *leader != host) {
                                self.directory.confirm_leader(&leader);
                            }
                        }
                        SubmitOutcome::Unknown => self.directory.record_timeout(&host),
                    }
                }
                let pause = rand::rng().random_range(ROUND_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        };
        match tokio::time::timeout(timeout, attempts).await {
            Ok(response) => response,
            Err(_) => Err(timeout_error.get()),
        }
    }

    /// Returns whether a voter named the leader within the last `max_age`.
    pub(crate) fn is_leader_named(&self, max_age: Duration) -> bool {
        self.directory.is_leader_named(max_age)
    }

    async fn attempt(&self, host: &HostId, request: Vec<u8>) -> SubmitOutcome {
        let (reply, response) = flume::bounded(1);
        if !self.send(host, request, reply) {
            return SubmitOutcome::NotWritten { leader: None };
        }
        match tokio::time::timeout(ATTEMPT_TIMEOUT, response.recv_async()).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => SubmitOutcome::Unknown,
        }
    }

    fn send(&self, host: &HostId, request: Vec<u8>, reply: flume::Sender<SubmitOutcome>) -> bool {
        if *host == self.host {
            let Some(local) = &self.local else { return false };
            return local.try_send(ReplicaInput::Submit(SubmitCall { request, reply })).is_ok();
        }
        let Some(to) = self.directory.address(host) else { return false };
        let message = Outgoing::Submit { request, reply };
        self.outbox.try_send(Envelope { to, message }).is_ok()
    }
}
