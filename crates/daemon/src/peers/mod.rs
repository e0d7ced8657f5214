//! Calls between routers: Cap'n Proto RPC on a thread of its own.
//!
//! The thread moves bytes; what they mean is known to the threads behind the rings.

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
const PROTOCOL_VERSION: u16 = 2;

/// Longest message taken, in words of 8 bytes; a stranger can make the process set so much aside.
const MAX_MESSAGE_WORDS: usize = 1 << 20;

/// Messages that wait for one peer; more are dropped.
const LINK_CHANNEL_CAPACITY: usize = 256;

/// What the thread needs.
#[derive(Clone)]
pub(crate) struct PeersConfig {
    /// This host.
    pub host: HostId,
    /// The address that calls come from.
    pub source: IpAddr,
    /// The fleet's key.
    pub fleet_key: Arc<str>,
}

/// What answers other routers.
#[derive(Clone)]
pub(crate) struct Inbox {
    /// Gossip, each message answered.
    pub roster: flume::Sender<RosterInput>,
    /// Messages of the quorum and requests to the leader; absent on a host without a vote.
    pub replica: Option<flume::Sender<ReplicaInput>>,
    /// Questions for a newer configuration.
    pub configurations: Configurations,
}

/// Gossip from another router.
pub(crate) struct GossipCall {
    /// The message.
    pub message: Vec<u8>,
    /// Takes the answer.
    pub reply: flume::Sender<Vec<u8>>,
}

/// A message of the quorum from another router.
pub(crate) struct QuorumCall {
    /// The sender.
    pub from: HostId,
    /// The message.
    pub message: Vec<u8>,
}

/// A request to the leader.
pub(crate) struct SubmitCall {
    /// The request.
    pub request: Vec<u8>,
    /// Takes what became of it.
    pub reply: flume::Sender<SubmitOutcome>,
}

/// What became of a request to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    /// The leader answered.
    Reply(Vec<u8>),
    /// It was not written, and won't be; the leader may be another host.
    NotWritten {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// It may or may not have been written.
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
        /// How long the answer may take.
        timeout: Duration,
        /// Takes the answer, if there is one.
        reply: flume::Sender<RosterInput>,
    },
    /// A message of the quorum.
    Quorum {
        /// The message.
        message: Vec<u8>,
    },
    /// A request to the leader.
    Submit {
        /// The request.
        request: Vec<u8>,
        /// Takes what became of it.
        reply: flume::Sender<SubmitOutcome>,
    },
    /// A question for a configuration above a revision.
    Configuration {
        /// The revision that this router has.
        above: Revision,
        /// Takes a newer one, if there is one.
        reply: flume::Sender<RosterInput>,
    },
}

/// A message with its receiver.
pub(crate) struct Envelope {
    /// Where the receiver listens.
    pub to: SocketAddr,
    /// The message.
    pub message: Outgoing,
}

/// Starts the thread that calls other routers and answers them.
///
/// # Errors
///
/// Returns an error if the thread or its runtime can't be made.
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

/// Bounds what is taken from the other side of a connection.
fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Hands each message to the link to its receiver.
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
    /// Tells the sender that the message was not sent.
    fn fail(self) {
        if let Self::Submit { reply, .. } = self {
            let _ = reply.send(SubmitOutcome::NotWritten { leader: None });
        }
    }
}
