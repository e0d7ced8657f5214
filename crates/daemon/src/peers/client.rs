use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use base::{HostId, Revision};
use eyre::WrapErr as _;
use wire::{
    leader::{LeaderAnswer, LeaderRequest},
    peer::Configuration,
};

use super::{
    PeersConfig, SubmitOutcome,
    handshake::FleetSecret,
    link::{self, Session},
};

/// A connection to a router's peer address, for tools that know the fleet's key.
///
/// Its methods run on a [`tokio::task::LocalSet`].
pub struct PeerClient {
    session: Session,
}

/// A router's answer to a request to the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// The router leads, and answered.
    Answered(LeaderAnswer),
    /// The router doesn't lead; the request was not written and won't be.
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// The request may or may not have been written.
    Unknown,
}

impl PeerClient {
    /// Connects from the own address `source` to the router at `address`, under the name `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if the router can't be reached or another key protects the fleet.
    pub async fn connect(
        source: IpAddr,
        address: SocketAddr,
        host: HostId,
        fleet_key: &str,
    ) -> eyre::Result<Self> {
        let cfg = PeersConfig { host, source, fleet_key: fleet_key.into() };
        let secret = Rc::new(FleetSecret::new(fleet_key));
        let session = link::connect(&cfg, address, &secret).await.wrap_err("no connection")?;
        Ok(Self { session })
    }

    /// Sends a request to the leader, which this router may be.
    ///
    /// # Errors
    ///
    /// Returns an error if the router gives an answer that can't be read.
    pub async fn submit(
        &self,
        request: &LeaderRequest,
        timeout: Duration,
    ) -> eyre::Result<PeerResponse> {
        let request = request.to_bytes();
        let submission = self.session.submit(&request);
        let Ok(Ok(submitted)) = tokio::time::timeout(timeout, submission).await else {
            return Ok(PeerResponse::Unknown);
        };
        Ok(match submitted {
            SubmitOutcome::Reply(answer) => {
                PeerResponse::Answered(LeaderAnswer::from_bytes(&answer)?)
            }
            SubmitOutcome::NotWritten { leader } => PeerResponse::NotLeader { leader },
            SubmitOutcome::Unknown => PeerResponse::Unknown,
        })
    }

    /// Returns the configuration in force at the router if its revision is above `above`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost or the answer can't be read.
    pub async fn configuration(&self, above: Revision) -> eyre::Result<Option<Configuration>> {
        Ok(self.session.configuration(above).await?)
    }
}
