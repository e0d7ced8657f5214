use std::{cell::Cell, io, rc::Rc, time::Duration};

use base::{HostId, Revision};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side as RpcSide, twoparty::VatNetwork};
use futures_util::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt as _;
use wire::peer_capnp::{gate, router};

use crate::{replica::ReplicaInput, roster::RosterInput};

use super::{
    GossipCall, Inbox, PROTOCOL_VERSION, QuorumCall, SubmitCall, SubmitOutcome,
    handshake::{FleetSecret, Nonces, Side, new_nonce, read_nonce},
    reader_options,
};

/// Time to wait after a failure to accept, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves other routers' calls until the thread ends.
pub(super) async fn run(listener: std::net::TcpListener, secret: Rc<FleetSecret>, inbox: Inbox) {
    let listener = TcpListener::from_std(listener).expect("the listener is in non-blocking mode");
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gate = Gate {
                    secret: Rc::clone(&secret),
                    inbox: inbox.clone(),
                    nonces: Cell::new(None),
                };
                tokio::task::spawn_local(async move {
                    if let Err(e) = serve(stream, gate).await {
                        log::debug!("peer connection closed: error={e}");
                    }
                });
            }
            Err(e) => {
                log::warn!("peer accept failed: error={e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, gate: Gate) -> Result<(), capnp::Error> {
    stream.set_nodelay(true).map_err(io_error)?;
    let (rx, tx) = stream.compat().split();
    let network = VatNetwork::new(rx, tx, RpcSide::Server, reader_options());
    let gate: gate::Client = capnp_rpc::new_client(gate);
    RpcSystem::new(Box::new(network), Some(gate.client)).await
}

fn io_error(e: io::Error) -> capnp::Error {
    capnp::Error::disconnected(e.to_string())
}

/// The interface open to unauthenticated clients: the handshake.
struct Gate {
    secret: Rc<FleetSecret>,
    inbox: Inbox,
    nonces: Cell<Option<Nonces>>,
}

impl gate::Server for Gate {
    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let nonces = Nonces { client: read_nonce(params.get_nonce()?)?, server: new_nonce() };
        self.nonces.set(Some(nonces));
        let mut results = results.get();
        results.set_version(PROTOCOL_VERSION);
        results.set_nonce(&nonces.server);
        results.set_proof(&self.secret.prove(Side::Server, &nonces));
        Ok(())
    }

    async fn login(
        self: Rc<Self>,
        params: gate::LoginParams,
        mut results: gate::LoginResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let host: HostId = params
            .get_host()?
            .to_str()?
            .parse()
            .map_err(|e: base::ParseError| capnp::Error::failed(e.to_string()))?;
        let nonces = self.nonces.take().ok_or_else(|| rejected("login before hello"))?;
        if !self.secret.verify(Side::Client(&host), &nonces, params.get_proof()?) {
            return Err(rejected("the proof does not match the fleet's key"));
        }
        let router = Router { host, inbox: self.inbox.clone() };
        results.get().set_router(capnp_rpc::new_client(router));
        Ok(())
    }
}

fn rejected(reason: &str) -> capnp::Error {
    capnp::Error::failed(reason.to_owned())
}

/// The interface open to authenticated routers of the fleet.
struct Router {
    host: HostId,
    inbox: Inbox,
}

impl router::Server for Router {
    async fn gossip(
        self: Rc<Self>,
        params: router::GossipParams,
        mut results: router::GossipResults,
    ) -> Result<(), capnp::Error> {
        let message = params.get()?.get_message()?.to_vec();
        let (reply, response) = flume::bounded(1);
        let call = RosterInput::Gossip(GossipCall { message, reply });
        self.inbox.roster.try_send(call).map_err(|_| overloaded())?;
        let response = response.recv_async().await.map_err(|_| overloaded())?;
        results.get().set_reply(&response);
        Ok(())
    }

    async fn quorum(
        self: Rc<Self>,
        params: router::QuorumParams,
        _results: router::QuorumResults,
    ) -> Result<(), capnp::Error> {
        let message = params.get()?.get_message()?.to_vec();
        let call = QuorumCall { from: self.host.clone(), message };
        let replica =
            self.inbox.replica.as_ref().ok_or_else(|| rejected("this host is not a voter"))?;
        replica.try_send(ReplicaInput::Quorum(call)).map_err(|_| overloaded())
    }

    async fn submit(
        self: Rc<Self>,
        params: router::SubmitParams,
        mut results: router::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?.to_vec();
        let (reply, response) = flume::bounded(1);
        let input = ReplicaInput::Submit(SubmitCall { request, reply });
        let replica = self.inbox.replica.as_ref();
        let submitted = match replica.map(|replica| replica.try_send(input)) {
            Some(Ok(())) => response.recv_async().await.unwrap_or(SubmitOutcome::Unknown),
            Some(Err(_)) | None => SubmitOutcome::NotWritten { leader: None },
        };
        let mut result = results.get().init_submitted();
        match submitted {
            SubmitOutcome::Reply(reply) => result.set_reply(&reply),
            SubmitOutcome::NotWritten { leader } => {
                result.set_not_leader(leader.as_ref().map_or("", HostId::as_str));
            }
            SubmitOutcome::Unknown => result.set_unknown(()),
        }
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: router::ConfigurationParams,
        mut results: router::ConfigurationResults,
    ) -> Result<(), capnp::Error> {
        let above = Revision::new(params.get()?.get_above());
        let newer = self.inbox.configurations.in_force();
        let newer = newer.filter(|active| above < active.revision());
        if let Some(newer) = newer.as_ref().and_then(|active| active.configuration.as_ref()) {
            newer.write(results.get().init_newer());
        }
        Ok(())
    }
}

fn overloaded() -> capnp::Error {
    capnp::Error::overloaded("the router is busy or shutting down".into())
}
