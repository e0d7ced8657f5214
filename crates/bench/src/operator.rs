//! An operator who asks routers over the protocol between them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use base::{HostId, Revision, UnixMillis};
use daemon::{PeerAnswer, PeerClient};
use eyre::{ContextCompat as _, bail};
use fleet::{CallKey, ChangeReply, Command, ConfigChange, Reply};
use wire::{
    leader::{LeaderAnswer, LeaderRequest},
    operator::{STATUS_PATH, Status},
    peer::Configuration,
};

use crate::{
    process::Daemon,
    site::{FLEET_KEY, OPERATOR_KEY},
};

/// Time for one router's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until some router has led and answered.
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between looks for a leader.
const PAUSE: Duration = Duration::from_millis(20);

/// Connects to the peer address of a daemon, past the proxies.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn connect(daemon: &Daemon) -> eyre::Result<PeerClient> {
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let host: HostId = "operator".parse()?;
    let address = daemon.spec().peer_listen;
    let connecting = PeerClient::connect(source, address, host, FLEET_KEY);
    tokio::time::timeout(ANSWER_TIMEOUT, connecting).await?
}

/// Sends a request to one daemon.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn send_request(daemon: &Daemon, request: &LeaderRequest) -> eyre::Result<PeerAnswer> {
    connect(daemon).await?.submit(request, ANSWER_TIMEOUT).await
}

/// Sends an idempotent request to each daemon in turn until one has led and answered.
///
/// # Errors
///
/// Returns an error if none has in time.
pub async fn send_to_leader(
    daemons: &[Daemon],
    request: &LeaderRequest,
) -> eyre::Result<(usize, LeaderAnswer)> {
    let deadline = Instant::now() + LEADER_TIMEOUT;
    while Instant::now() < deadline {
        for (i, daemon) in daemons.iter().enumerate() {
            if let Ok(PeerAnswer::Answered(answer)) = send_request(daemon, request).await {
                return Ok((i, answer));
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    bail!("no router led and answered in time")
}

/// Returns which daemon leads the quorum.
///
/// # Errors
///
/// Returns an error if none does in time.
pub async fn leader(daemons: &[Daemon]) -> eyre::Result<usize> {
    send_to_leader(daemons, &LeaderRequest::ReadUnsettled).await.map(|(i, _)| i)
}

/// Returns what the quorum knows of a call.
///
/// # Errors
///
/// Returns an error if no leader answers in time.
pub async fn read_call(daemons: &[Daemon], key: &CallKey) -> eyre::Result<Option<fleet::Call>> {
    match send_to_leader(daemons, &LeaderRequest::ReadCall(key.clone())).await? {
        (_, LeaderAnswer::Call(call)) => Ok(call.map(|call| *call)),
        (_, other) => bail!("unexpected answer {other:?}"),
    }
}

/// Returns a change of the whole configuration.
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

/// Makes a change, resent until it is answered.
///
/// # Errors
///
/// Returns an error if no leader answers in time.
pub async fn submit_change(daemons: &[Daemon], change: ConfigChange) -> eyre::Result<ChangeReply> {
    let request = LeaderRequest::Command(Command::Change(change));
    match send_to_leader(daemons, &request).await? {
        (_, LeaderAnswer::Reply(Reply::Change(reply))) => Ok(reply),
        (_, other) => bail!("unexpected answer {other:?}"),
    }
}

/// Returns the configuration in force at a daemon, `None` for the built-in one.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub async fn configuration(daemon: &Daemon) -> eyre::Result<Option<Configuration>> {
    let client = connect(daemon).await?;
    let asked = client.configuration(Revision::ZERO);
    tokio::time::timeout(ANSWER_TIMEOUT, asked).await.ok().wrap_err("no answer in time")?
}

/// Returns a daemon's status page.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached.
pub fn status(admin: SocketAddr) -> eyre::Result<Status> {
    let url = format!("http://{admin}{STATUS_PATH}");
    let page = attohttpc::get(url).bearer_auth(OPERATOR_KEY).timeout(ANSWER_TIMEOUT).send()?;
    Ok(serde_json::from_str(&page.text()?)?)
}
