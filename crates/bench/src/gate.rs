//! A TCP proxy before an endpoint that reports the progress of calls and can hold their responses.

use std::{
    io::{self, Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, PoisonError},
};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 << 10;

/// An event on a connection through a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// A connection arrived.
    Connected,
    /// Bytes of a request arrived.
    RequestReceived,
    /// Bytes of a response arrived.
    ResponseReceived,
}

/// A TCP proxy before one target.
pub struct Gate {
    address: SocketAddr,
    events: flume::Receiver<GateEvent>,
    responses: Arc<Latch>,
}

/// Blocks threads in [`Latch::wait`] while it is closed.
#[derive(Default)]
struct Latch {
    closed: Mutex<bool>,
    opened: Condvar,
}

impl Latch {
    fn set_closed(&self, closed: bool) {
        *self.closed.lock().unwrap_or_else(PoisonError::into_inner) = closed;
        self.opened.notify_all();
    }

    fn wait(&self) {
        let closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.opened.wait_while(closed, |closed| *closed));
    }
}

impl Gate {
    /// Starts a gate before `target`; its thread ends with the process.
    ///
    /// # Panics
    ///
    /// Panics if no address on the loopback interface can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (tx, events) = flume::unbounded();
        let responses = Arc::new(Latch::default());
        let latch = Arc::clone(&responses);
        std::thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                let _ = tx.send(GateEvent::Connected);
                if let Err(e) = connect(client, target, &tx, &latch) {
                    log::debug!("gate: connection failed: {e}");
                }
            }
        });
        Self { address, events, responses }
    }

    /// Returns the address at which callers reach the target through the gate.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the channel of events on the gate's connections.
    pub fn events(&self) -> &flume::Receiver<GateEvent> {
        &self.events
    }

    /// Holds responses, or releases them.
    pub fn hold_responses(&self, held: bool) {
        self.responses.set_closed(held);
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.responses.set_closed(false);
    }
}

fn connect(
    client: TcpStream,
    target: SocketAddr,
    tx: &flume::Sender<GateEvent>,
    responses: &Arc<Latch>,
) -> io::Result<()> {
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_rx, server_tx) = (client.try_clone()?, server.try_clone()?);
    let requests = tx.clone();
    std::thread::spawn(move || {
        copy(client_rx, server_tx, || {
            let _ = requests.send(GateEvent::RequestReceived);
        });
    });
    let (tx, responses) = (tx.clone(), Arc::clone(responses));
    std::thread::spawn(move || {
        copy(server, client, || {
            let _ = tx.send(GateEvent::ResponseReceived);
            responses.wait();
        });
    });
    Ok(())
}

fn copy(mut rx: TcpStream, mut tx: TcpStream, on_read: impl Fn()) {
    let mut bytes = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = rx.read(&mut bytes) {
        on_read();
        if tx.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = tx.shutdown(Shutdown::Write);
}
