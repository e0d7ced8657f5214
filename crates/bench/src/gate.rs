//! A TCP gate before an endpoint: it tells how far a call got, and holds its bytes.

use std::{
    io::{self, Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, PoisonError},
};

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// How far a call got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// A connection arrived.
    Connected,
    /// Bytes of a request arrived.
    RequestReceived,
    /// Bytes of an answer arrived.
    ResponseReceived,
}

/// A gate before one target.
pub struct Gate {
    address: SocketAddr,
    gate_events: flume::Receiver<GateEvent>,
    answers: Arc<Latch>,
}

/// Holds those who pass while it is shut.
#[derive(Default)]
struct Latch {
    shut: Mutex<bool>,
    opened: Condvar,
}

impl Latch {
    fn set(&self, shut: bool) {
        *self.shut.lock().unwrap_or_else(PoisonError::into_inner) = shut;
        self.opened.notify_all();
    }

    fn pass(&self) {
        let shut = self.shut.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.opened.wait_while(shut, |shut| *shut));
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
        let (tx, gate_events) = flume::unbounded();
        let answers = Arc::new(Latch::default());
        let latch = Arc::clone(&answers);
        std::thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                let _ = tx.send(GateEvent::Connected);
                if let Err(e) = join(near, target, &tx, &latch) {
                    log::debug!("gated connection ended: {e}");
                }
            }
        });
        Self { address, gate_events, answers }
    }

    /// Returns the address that stands for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ring that tells how far calls got.
    pub fn gate_events(&self) -> &flume::Receiver<GateEvent> {
        &self.gate_events
    }

    /// Holds answers, or lets them pass again.
    pub fn hold_responses(&self, held: bool) {
        self.answers.set(held);
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.answers.set(false);
    }
}

fn join(
    near: TcpStream,
    target: SocketAddr,
    tx: &flume::Sender<GateEvent>,
    answers: &Arc<Latch>,
) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_rx, far_tx) = (near.try_clone()?, far.try_clone()?);
    let requests = tx.clone();
    std::thread::spawn(move || {
        carry(near_rx, far_tx, || {
            let _ = requests.send(GateEvent::RequestReceived);
        });
    });
    let (tx, answers) = (tx.clone(), Arc::clone(answers));
    std::thread::spawn(move || {
        carry(far, near, || {
            let _ = tx.send(GateEvent::ResponseReceived);
            answers.pass();
        });
    });
    Ok(())
}

fn carry(mut rx: TcpStream, mut tx: TcpStream, before_each: impl Fn()) {
    let mut bytes = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = rx.read(&mut bytes) {
        before_each();
        if tx.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = tx.shutdown(Shutdown::Write);
}
