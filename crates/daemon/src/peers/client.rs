use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use base::{HostId, Revision};
use eyre::WrapErr as _;
use wire::{
    leader::{LeaderRequest, LeaderResponse},
    peer::Configuration,
};

use super::{
    PeersConfig, SubmitOutcome,
    handshake::FleetSecret,
    link::{self, Session},
};

/// A connection to a router's peer address, for tools that have the fleet's key.
///
/// Its methods run on a [`tokio::task::LocalSet`].
pub struct PeerClient {
    session: Session,
}

/// A router's response to a leader request.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// The router is the leader; this is its response.
    Answered(LeaderResponse),
    /// The router isn't the leader; the request was not written and won't be.
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// The request may or may not have been written.
    Unknown,
}

impl PeerClient {
    /// Connects from the local address `source` to the router at `address`, as the host `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if the router can't be reached or the fleet has another key.
    pub async fn connect(
        source: IpAddr,
        address: SocketAddr,
        host: HostId,
        fleet_key: &str,
    ) -> eyre::Result<Self> {
        let cfg = PeersConfig { host, source, fleet_key: fleet_key.into() };
        let secret = Rc::new(FleetSecret::new(fleet_key));
        let session = link::connect(&cfg, address, &secret)
            .await
            .wrap_err("could not connect to the router")?;
        Ok(Self { session })
    }

    /// Sends a leader request to this router, which may or may not be the leader.
    ///
    /// # Errors
    ///
    /// Returns an error if the router's response can't be decoded.
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
            SubmitOutcome::Reply(response) => {
                PeerResponse::Answered(LeaderResponse::from_bytes(&response)?)
            }
            SubmitOutcome::NotWritten { leader } => PeerResponse::NotLeader { leader },
            SubmitOutcome::Unknown => PeerResponse::Unknown,
        })
    }

    /// Returns the configuration in force at the router if its revision is above `above`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost or the response can't be decoded.
    pub async fn configuration(&self, above: Revision) -> eyre::Result<Option<Configuration>> {
        Ok(self.session.configuration(above).await?)
    }
}
