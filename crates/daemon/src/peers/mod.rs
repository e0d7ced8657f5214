//! RPC between routers: Cap'n Proto on a thread of its own.
//!
//! The thread transports encoded messages; the roster and replica threads encode and decode them.

mod client;
mod handshake;
mod link;
mod server;

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{HostId, MonotonicTime, Revision};
use capnp::message::ReaderOptions;

use crate::{configurations::Configurations, replica::ReplicaInput, roster::RosterInput};

pub use client::{PeerClient, PeerResponse};

use handshake::FleetSecret;

/// Version of the messages between routers.
const PROTOCOL_VERSION: u16 = 4;

/// Longest message accepted, in words of 8 bytes; an unauthenticated client can make the process
/// allocate this much.
const MAX_MESSAGE_WORDS: usize = 1 << 20;

/// Capacity of the channel of messages to one peer; when it is full, messages are dropped.
const LINK_CHANNEL_CAPACITY: usize = 256;

/// Settings of the peers thread.
#[derive(Clone)]
pub(crate) struct PeersConfig {
    /// This host.
    pub host: HostId,
    /// The local address of outgoing connections.
    pub source: IpAddr,
    /// The fleet's key.
    pub fleet_key: Arc<str>,
}

/// Recipients of other routers' calls.
#[derive(Clone)]
pub(crate) struct Inbox {
    /// The roster thread, which responds to each gossip message.
    pub roster: flume::Sender<RosterInput>,
    /// The replica thread, for quorum messages and leader requests; `None` on a non-voter.
    pub replica: Option<flume::Sender<ReplicaInput>>,
    /// The configuration in force, for requests for a newer one.
    pub configurations: Configurations,
}

/// Gossip from another router.
pub(crate) struct GossipCall {
    /// The message.
    pub message: Vec<u8>,
    /// Receives the response.
    pub reply: flume::Sender<Vec<u8>>,
}

/// A quorum message from another router.
pub(crate) struct QuorumCall {
    /// The sender.
    pub from: HostId,
    /// The message.
    pub message: Vec<u8>,
}

/// A leader request.
pub(crate) struct SubmitCall {
    /// The request.
    pub request: Vec<u8>,
    /// Receives the outcome.
    pub reply: flume::Sender<SubmitOutcome>,
}

/// The outcome of a leader request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    /// The leader's encoded response.
    Reply(Vec<u8>),
    /// The request was not written, and won't be; the leader may be another host.
    NotWritten {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// The request may or may not have been written.
    Unknown,
}

/// A message to another router.
pub(crate) enum Outgoing {
    /// Gossip.
    Gossip {
        /// The message.
        message: Vec<u8>,
        /// When it was sent.
        sent: MonotonicTime,
        /// How long the response may take.
        timeout: Duration,
        /// Receives the response, if there is one.
        reply: flume::Sender<RosterInput>,
    },
    /// A quorum message.
    Quorum {
        /// The message.
        message: Vec<u8>,
    },
    /// A leader request.
    Submit {
        /// The request.
        request: Vec<u8>,
        /// Receives the outcome.
        reply: flume::Sender<SubmitOutcome>,
    },
    /// A request for a configuration newer than a revision.
    Configuration {
        /// The revision in force at this router.
        above: Revision,
        /// Receives the newer configuration, if there is one.
        reply: flume::Sender<RosterInput>,
    },
}

/// A message with its recipient's address.
pub(crate) struct Envelope {
    /// The recipient's peer address.
    pub to: SocketAddr,
    /// The message.
    pub message: Outgoing,
}

/// Starts the thread that sends and serves calls between routers.
///
/// # Errors
///
/// Returns an error if the thread or its runtime can't be started.
pub(crate) fn spawn(
    cfg: PeersConfig,
    listener: std::net::TcpListener,
    inbox: Inbox,
    outbox: flume::Receiver<Envelope>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("peers".into()).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async move {
            let secret = Rc::new(FleetSecret::new(&cfg.fleet_key));
            tokio::task::spawn_local(server::run(listener, Rc::clone(&secret), inbox));
            dispatch(cfg, secret, outbox).await;
        });
    })?;
    Ok(())
}

/// Limits the size of messages from the other side of a connection.
fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Forwards each message to the connection to its recipient, opening it if needed.
async fn dispatch(cfg: PeersConfig, secret: Rc<FleetSecret>, outbox: flume::Receiver<Envelope>) {
    let mut links: HashMap<SocketAddr, flume::Sender<Outgoing>> = HashMap::new();
    while let Ok(Envelope { to, message }) = outbox.recv_async().await {
        let open = links.get(&to).filter(|link| !link.is_disconnected());
        let link = open.cloned().unwrap_or_else(|| {
            let (tx, rx) = flume::bounded(LINK_CHANNEL_CAPACITY);
            tokio::task::spawn_local(link::run(cfg.clone(), to, Rc::clone(&secret), rx));
            links.insert(to, tx.clone());
            tx
        });
        if let Err(e) = link.try_send(message) {
            e.into_inner().fail();
        }
        links.retain(|_, link| !link.is_disconnected());
    }
}

impl Outgoing {
    /// Reports to a leader request's sender that the request was not sent.
    fn fail(self) {
        if let Self::Submit { reply, .. } = self {
            let _ = reply.send(SubmitOutcome::NotWritten { leader: None });
        }
    }
}
