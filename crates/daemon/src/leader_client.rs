use std::{cell::Cell, time::Duration};

use base::HostId;
use rand::RngExt as _;
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::{
    directory::Directory,
    peers::{Addressed, Outgoing, SubmitCall, Submitted},
    replica::ReplicaInput,
};

/// Longest wait for one host's answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest and longest pause between rounds over all voters.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 20..=60;

/// Brings requests to the quorum's leader, wherever it is.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    host: HostId,
    local: Option<flume::Sender<ReplicaInput>>,
    outbox: flume::Sender<Addressed>,
    directory: Directory,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// No leader took it; it won't be carried out.
    NotTaken,
    /// It may be carried out.
    Unknown,
}

impl LeaderClient {
    pub(crate) fn new(
        host: HostId,
        local: Option<flume::Sender<ReplicaInput>>,
        outbox: flume::Sender<Addressed>,
        directory: Directory,
    ) -> Self {
        Self { host, local, outbox, directory }
    }

    /// Sends an idempotent request until a leader answers or `timeout` has passed.
    pub(crate) async fn ask(
        &self,
        request: &LeaderRequest,
        timeout: Duration,
    ) -> Result<LeaderResponse, NoAnswer> {
        let bytes = request.to_bytes();
        let worst = Cell::new(NoAnswer::NotTaken);
        let asking = async {
            loop {
                for host in self.directory.voters() {
                    // An attempt that the timeout cuts short may be carried out.
                    let before = worst.replace(NoAnswer::Unknown);
                    match self.attempt(&host, bytes.clone()).await {
                        Submitted::Reply(answer) => {
                            self.directory.clear_timeout(&host);
                            self.directory.set_leader(Some(host));
                            return LeaderResponse::from_bytes(&answer)
                                .map_err(|_| NoAnswer::Unknown);
                        }
                        Submitted::NotWritten { leader } => {
                            worst.set(before);
                            self.directory.clear_timeout(&host);
                            if let Some(leader) = leader.filter(|leader| *leader != host) {
                                self.directory.named(&leader);
                            }
                        }
                        Submitted::Unknown => self.directory.record_timeout(&host),
                    }
                }
                let pause = rand::rng().random_range(PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        };
        match tokio::time::timeout(timeout, asking).await {
            Ok(answer) => answer,
            Err(_) => Err(worst.get()),
        }
    }

    async fn attempt(&self, host: &HostId, request: Vec<u8>) -> Submitted {
        let (reply, answer) = flume::bounded(1);
        if !self.send(host, request, reply) {
            return Submitted::NotWritten { leader: None };
        }
        match tokio::time::timeout(ATTEMPT_TIMEOUT, answer.recv_async()).await {
            Ok(Ok(submitted)) => submitted,
            Ok(Err(_)) | Err(_) => Submitted::Unknown,
        }
    }

    fn send(&self, host: &HostId, request: Vec<u8>, reply: flume::Sender<Submitted>) -> bool {
        if *host == self.host {
            let Some(local) = &self.local else { return false };
            return local.try_send(ReplicaInput::Submit(SubmitCall { request, reply })).is_ok();
        }
        let Some(to) = self.directory.address(host) else { return false };
        let message = Outgoing::Submit { request, reply };
        self.outbox.try_send(Addressed { to, message }).is_ok()
    }
}
