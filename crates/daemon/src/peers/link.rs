use std::{cell::Cell, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use base::{HostId, MonotonicTime, Revision};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side as RpcSide, twoparty::VatNetwork};
use futures_util::AsyncReadExt as _;
use tokio::{task::JoinHandle, time::Instant};
use tokio_util::compat::TokioAsyncReadCompatExt as _;
use wire::{
    peer::Configuration,
    peer_capnp::{gate, router, submitted},
};

use crate::{net, roster::RosterInput};

use super::{
    Outgoing, PROTOCOL_VERSION, PeersConfig, SubmitOutcome,
    handshake::{FleetSecret, Nonces, Side, new_nonce, read_nonce},
    reader_options,
};

/// Timeout of a connection with its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the TCP connection alone; a host without power doesn't respond, and TCP retransmits
/// only after a second.
const TCP_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time that a call waits without a response to any call on its connection before later calls get a
/// new one; longer than the leader holds a poll.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// An authenticated connection to another router.
pub(super) struct Session {
    router: router::Client,
    /// Whether later calls need another connection; calls in progress may still complete.
    is_retired: Rc<Cell<bool>>,
    /// When a call last ended with a response.
    responded: Cell<Instant>,
    driver: JoinHandle<()>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends messages to the router at `address` until none arrive for `IDLE_TIMEOUT`.
pub(super) async fn run(
    cfg: PeersConfig,
    address: SocketAddr,
    secret: Rc<FleetSecret>,
    messages: flume::Receiver<Outgoing>,
) {
    let mut session: Option<Rc<Session>> = None;
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, messages.recv_async()).await;
        let Ok(Ok(message)) = next else { return };
        session = session.filter(|session| !session.is_retired.get());
        if session.is_none() {
            session = open(&cfg, address, &secret).await.map(Rc::new);
        }
        match &session {
            Some(session) => Rc::clone(session).send(message),
            None => {
                message.fail();
                messages.drain().for_each(Outgoing::fail);
            }
        }
    }
}

async fn open(cfg: &PeersConfig, address: SocketAddr, secret: &FleetSecret) -> Option<Session> {
    match tokio::time::timeout(CONNECT_TIMEOUT, connect(cfg, address, secret)).await {
        Ok(Ok(session)) => Some(session),
        Ok(Err(e)) => {
            log::debug!("peer connection failed: peer={address} error={e}");
            None
        }
        Err(_) => {
            log::debug!("peer connection failed: peer={address} error=timeout");
            None
        }
    }
}

pub(super) async fn connect(
    cfg: &PeersConfig,
    address: SocketAddr,
    secret: &FleetSecret,
) -> Result<Session, capnp::Error> {
    let connecting =
        tokio::time::timeout(TCP_CONNECT_TIMEOUT, net::connect(cfg.source, address)).await;
    let stream = connecting
        .map_err(|_| capnp::Error::disconnected("the host does not respond".into()))?
        .map_err(|e| capnp::Error::disconnected(e.to_string()))?;
    let (rx, tx) = stream.compat().split();
    let network = VatNetwork::new(rx, tx, RpcSide::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(RpcSide::Server);
    let is_retired = Rc::new(Cell::new(false));
    let driver = {
        let is_retired = Rc::clone(&is_retired);
        tokio::task::spawn_local(async move {
            let _ = system.await;
            is_retired.set(true);
        })
    };
    let router = authenticate(&cfg.host, &gate, secret).await?;
    Ok(Session { router, is_retired, responded: Cell::new(Instant::now()), driver })
}

async fn authenticate(
    host: &HostId,
    gate: &gate::Client,
    secret: &FleetSecret,
) -> Result<router::Client, capnp::Error> {
    let client = new_nonce();
    let mut hello = gate.hello_request();
    hello.get().set_version(PROTOCOL_VERSION);
    hello.get().set_nonce(&client);
    let response = hello.send().promise.await?;
    let response = response.get()?;
    if response.get_version() != PROTOCOL_VERSION {
        let version = response.get_version();
        return Err(capnp::Error::failed(format!("the peer has protocol version {version}")));
    }
    let nonces = Nonces { client, server: read_nonce(response.get_nonce()?)? };
    if !secret.verify(Side::Server, &nonces, response.get_proof()?) {
        return Err(capnp::Error::failed("the peer's proof does not match the fleet's key".into()));
    }
    let mut login = gate.login_request();
    login.get().set_host(host.as_str());
    login.get().set_proof(&secret.prove(Side::Client(host), &nonces));
    login.send().promise.await?.get()?.get_router()
}

impl Session {
    /// Sends a leader request and waits for its outcome.
    pub(super) async fn submit(&self, request: &[u8]) -> Result<SubmitOutcome, capnp::Error> {
        let mut req = self.router.submit_request();
        req.get().set_request(request);
        read_submitted(req.send().promise.await?.get()?.get_submitted()?)
    }

    /// Returns the other router's configuration if its revision is above `above`.
    pub(super) async fn configuration(
        &self,
        above: Revision,
    ) -> Result<Option<Configuration>, capnp::Error> {
        let mut req = self.router.configuration_request();
        req.get().set_above(above.as_u64());
        read_newer(req.send().promise.await?.get()?)
    }

    /// Sends a message; calls on one connection arrive in the order in which they were sent.
    fn send(self: Rc<Self>, message: Outgoing) {
        let timeout = message.timeout();
        let call = PendingCall::new(&self.router, message);
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let mut finish = pin!(tokio::time::timeout_at(sent + timeout, call.finish()));
            let ended = tokio::select! {
                ended = &mut finish => ended,
                () = tokio::time::sleep(SILENCE_TIMEOUT) => {
                    self.retire_if_silent_since(sent);
                    finish.await
                }
            };
            match ended {
                Ok(Ok(())) => self.responded.set(Instant::now()),
                Ok(Err(e)) if e.kind == capnp::ErrorKind::Overloaded => {
                    self.responded.set(Instant::now());
                }
                Ok(Err(_)) | Err(_) => self.is_retired.set(true),
            }
        });
    }

    fn retire_if_silent_since(&self, sent: Instant) {
        if self.responded.get() < sent {
            log::debug!("peer connection silent, later calls get another");
            self.is_retired.set(true);
        }
    }
}

impl Outgoing {
    /// Returns how long the response may take before the connection counts as lost.
    fn timeout(&self) -> Duration {
        match self {
            Self::Gossip { timeout, .. } => *timeout,
            _ => CALL_TIMEOUT,
        }
    }
}

/// A call that waits for its response.
enum PendingCall {
    Gossip {
        response: PendingResponse<router::gossip_results::Owned>,
        sent: MonotonicTime,
        reply: flume::Sender<RosterInput>,
    },
    Quorum(PendingResponse<router::quorum_results::Owned>),
    Submit(PendingResponse<router::submit_results::Owned>, flume::Sender<SubmitOutcome>),
    Configuration(
        PendingResponse<router::configuration_results::Owned>,
        flume::Sender<RosterInput>,
    ),
}

type PendingResponse<T> = capnp::capability::Promise<capnp::capability::Response<T>, capnp::Error>;

impl PendingCall {
    fn new(router: &router::Client, message: Outgoing) -> Self {
        match message {
            Outgoing::Gossip { message, sent, reply, .. } => {
                let mut req = router.gossip_request();
                req.get().set_message(&message);
                Self::Gossip { response: req.send().promise, sent, reply }
            }
            Outgoing::Quorum { message } => {
                let mut req = router.quorum_request();
                req.get().set_message(&message);
                Self::Quorum(req.send().promise)
            }
            Outgoing::Submit { request, reply } => {
                let mut req = router.submit_request();
                req.get().set_request(&request);
                Self::Submit(req.send().promise, reply)
            }
            Outgoing::Configuration { above, reply } => {
                let mut req = router.configuration_request();
                req.get().set_above(above.as_u64());
                Self::Configuration(req.send().promise, reply)
            }
        }
    }

    async fn finish(self) -> Result<(), capnp::Error> {
        match self {
            Self::Gossip { response, sent, reply } => {
                let response = response.await?;
                let message = response.get()?.get_reply()?.to_vec();
                let _ = reply.try_send(RosterInput::GossipResponse { sent, message });
            }
            Self::Quorum(response) => {
                response.await?;
            }
            Self::Submit(response, reply) => {
                let submitted = match response.await {
                    Ok(response) => read_submitted(response.get()?.get_submitted()?)?,
                    Err(e) => {
                        let _ = reply.try_send(SubmitOutcome::Unknown);
                        return Err(e);
                    }
                };
                let _ = reply.try_send(submitted);
            }
            Self::Configuration(response, reply) => {
                let response = response.await?;
                if let Some(newer) = read_newer(response.get()?)? {
                    let _ = reply.try_send(RosterInput::Configuration(newer));
                }
            }
        }
        Ok(())
    }
}

fn read_newer(
    response: router::configuration_results::Reader<'_>,
) -> Result<Option<Configuration>, capnp::Error> {
    if response.has_newer() {
        Configuration::read(response.get_newer()?).map(Some)
    } else {
        Ok(None)
    }
}

fn read_submitted(submitted: submitted::Reader<'_>) -> Result<SubmitOutcome, capnp::Error> {
    Ok(match submitted.which()? {
        submitted::Reply(reply) => SubmitOutcome::Reply(reply?.to_vec()),
        submitted::NotLeader(leader) => {
            SubmitOutcome::NotWritten { leader: leader?.to_str()?.parse().ok() }
        }
        submitted::Unknown(()) => SubmitOutcome::Unknown,
    })
}
