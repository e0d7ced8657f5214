//! An operator client that sends leader requests over the routers' peer protocol.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use base::{HostId, Revision, UnixMillis};
use daemon::{PeerClient, PeerResponse};
use eyre::{ContextCompat as _, bail};
use fleet::{CallKey, ChangeReply, Command, ConfigChange, Reply};
use wire::{
    leader::{LeaderRequest, LeaderResponse},
    operator::{STATUS_PATH, Status},
    peer::Configuration,
};

use crate::{
    process::Daemon,
    site::{FLEET_KEY, OPERATOR_KEY},
};

/// Time limit of one router's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for a leader to respond.
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two rounds of attempts to reach a leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Connects to a daemon's peer address directly, without the proxy.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn connect(daemon: &Daemon) -> eyre::Result<PeerClient> {
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let host: HostId = "operator".parse()?;
    let address = daemon.spec().peer_listen;
    let connecting = PeerClient::connect(source, address, host, FLEET_KEY);
    tokio::time::timeout(RESPONSE_TIMEOUT, connecting).await?
}

/// Sends a leader request to one daemon.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn send_request(daemon: &Daemon, request: &LeaderRequest) -> eyre::Result<PeerResponse> {
    connect(daemon).await?.submit(request, RESPONSE_TIMEOUT).await
}

/// Sends an idempotent request to each daemon in turn until the leader responds; returns its index
/// and response.
///
/// # Errors
///
/// Returns an error if no leader responds in time.
pub async fn send_to_leader(
    daemons: &[Daemon],
    request: &LeaderRequest,
) -> eyre::Result<(usize, LeaderResponse)> {
    let deadline = Instant::now() + LEADER_TIMEOUT;
    while Instant::now() < deadline {
        for (i, daemon) in daemons.iter().enumerate() {
            if let Ok(PeerResponse::Answered(response)) = send_request(daemon, request).await {
                return Ok((i, response));
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    bail!("no leader responded in time")
}

/// Returns the index of the daemon that leads the quorum.
///
/// # Errors
///
/// Returns an error if no leader responds in time.
pub async fn leader(daemons: &[Daemon]) -> eyre::Result<usize> {
    send_to_leader(daemons, &LeaderRequest::ReadUnsettled).await.map(|(i, _)| i)
}

/// Returns the quorum's record of a call.
///
/// # Errors
///
/// Returns an error if no leader responds in time.
pub async fn read_call(daemons: &[Daemon], key: &CallKey) -> eyre::Result<Option<fleet::Call>> {
    match send_to_leader(daemons, &LeaderRequest::ReadCall(key.clone())).await? {
        (_, LeaderResponse::Call(call)) => Ok(call.map(|call| *call)),
        (_, other) => bail!("unexpected response from the leader: {other:?}"),
    }
}

/// Returns a change that replaces the whole declaration.
pub fn change(id: &str, expected: u64, declaration: &str) -> ConfigChange {
    ConfigChange {
        id: id.parse().expect("a valid id"),
        expected: Revision::new(expected),
        author: "ilona".parse().expect("a valid author"),
        reason: "a change that a test makes".into(),
        at: UnixMillis::default(),
        declaration: declaration.into(),
    }
}

/// Submits a change, and sends it again until the leader responds.
///
/// # Errors
///
/// Returns an error if no leader responds in time.
pub async fn submit_change(daemons: &[Daemon], change: ConfigChange) -> eyre::Result<ChangeReply> {
    let request = LeaderRequest::Command(Command::Change(change));
    match send_to_leader(daemons, &request).await? {
        (_, LeaderResponse::Reply(Reply::Change(reply))) => Ok(reply),
        (_, other) => bail!("unexpected response from the leader: {other:?}"),
    }
}

/// Returns the configuration in force at a daemon, or `None` for the built-in one.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn configuration(daemon: &Daemon) -> eyre::Result<Option<Configuration>> {
    let client = connect(daemon).await?;
    let response = client.configuration(Revision::ZERO);
    tokio::time::timeout(RESPONSE_TIMEOUT, response).await.ok().wrap_err("no response in time")?
}

/// Returns a daemon's status.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub fn status(admin: SocketAddr) -> eyre::Result<Status> {
    let url = format!("http://{admin}{STATUS_PATH}");
    let response =
        attohttpc::get(url).bearer_auth(OPERATOR_KEY).timeout(RESPONSE_TIMEOUT).send()?;
    Ok(serde_json::from_str(&response.text()?)?)
}
