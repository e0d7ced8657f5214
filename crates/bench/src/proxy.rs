use std::{
    collections::HashMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    thread::JoinHandle,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::Instant,
};

/// Time that a lost packet holds a connection back.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Chunks on the way in one direction.
const CHUNKS_UNDER_WAY: usize = 256;

/// What a proxy does to connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// Added to every chunk, each way.
    pub delay: Duration,
    /// Share of chunks that are held back as if a packet were lost.
    pub loss: f64,
    /// Whether bytes towards the target are held.
    pub hold_requests: bool,
    /// Whether bytes from the target are held.
    pub hold_responses: bool,
    /// Whether new connections are closed at once, and open ones cut.
    pub refuse: bool,
    /// Cuts a connection after so many bytes from the target.
    pub cut_after: Option<u64>,
}

impl Fault {
    /// Holds bytes both ways, as a network partition does.
    pub fn partition() -> Self {
        Self { hold_requests: true, hold_responses: true, ..Self::default() }
    }

    /// Delays bytes by `delay` each way.
    pub fn delay(delay: Duration) -> Self {
        Self { delay, ..Self::default() }
    }
}

#[derive(Clone, Debug, Default)]
struct Faults {
    usual: Fault,
    by_source: HashMap<IpAddr, Fault>,
}

impl Faults {
    fn of(&self, source: IpAddr) -> Fault {
        self.by_source.get(&source).unwrap_or(&self.usual).clone()
    }
}

/// A TCP proxy before one target, which injects faults by the source's address.
pub struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    faults: watch::Sender<Faults>,
    stop: Option<flume::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy on a free port; `seed` decides which chunks are lost.
    ///
    /// # Panics
    ///
    /// Panics if no address on the loopback interface can be bound.
    pub fn start(target: SocketAddr, seed: u64) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("a listener can be made non-blocking");
        let (faults, faults_rx) = watch::channel(Faults::default());
        let (stop_tx, stop_rx) = flume::bounded(1);
        let target = Arc::new(Mutex::new(target));
        let thread = {
            let target = Arc::clone(&target);
            std::thread::Builder::new()
                .name("proxy".into())
                .spawn(move || serve(listener, target, faults_rx, stop_rx, seed))
                .expect("a thread can be made")
        };
        Self { address, target, faults, stop: Some(stop_tx), thread: Some(thread) }
    }

    /// Returns the address that stands for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Sets the fault for all sources without one of their own.
    pub fn set(&self, fault: Fault) {
        self.faults.send_modify(|faults| faults.usual = fault);
    }

    /// Sets the fault for connections from `source`.
    pub fn set_for(&self, source: IpAddr, fault: Fault) {
        self.faults.send_modify(|faults| {
            faults.by_source.insert(source, fault);
        });
    }

    /// Takes all faults away.
    pub fn heal(&self) {
        self.faults.send_modify(|faults| *faults = Faults::default());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    faults: watch::Receiver<Faults>,
    stop: flume::Receiver<()>,
    seed: u64,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async move {
        let accepting = tokio::task::spawn_local(accept(listener, target, faults, seed));
        let _ = stop.recv_async().await;
        accepting.abort();
    });
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    faults: watch::Receiver<Faults>,
    seed: u64,
) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("the listener is usable");
    let mut number = seed;
    while let Ok((stream, source)) = listener.accept().await {
        number = number.wrapping_add(1);
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let faults = faults.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = join(stream, source.ip(), target, faults, number).await {
                log::debug!("proxied connection ended: {e}");
            }
        });
    }
}

/// Joins a connection to the target until either side ends, or a fault cuts it.
async fn join(
    near: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    mut faults: watch::Receiver<Faults>,
    seed: u64,
) -> io::Result<()> {
    if faults.borrow().of(source).refuse {
        return reset(near);
    }
    near.set_nodelay(true)?;
    let far = TcpStream::connect(target).await?;
    far.set_nodelay(true)?;
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let link = Rc::new(Link { source, faults: faults.clone() });
    let requests = link.clone().carry(near_rx, far_tx, Direction::Requests, seed);
    let answers = link.carry(far_rx, near_tx, Direction::Answers, !seed);
    tokio::select! {
        ends = async { tokio::join!(requests, answers) } => ends.0.and(ends.1),
        _ = faults.wait_for(|faults| faults.of(source).refuse) => Ok(()),
    }
}

/// Closes a connection so that the other side sees a reset.
fn reset(stream: TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Requests,
    Answers,
}

struct Link {
    source: IpAddr,
    faults: watch::Receiver<Faults>,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Link {
    async fn carry(
        self: Rc<Self>,
        rx: OwnedReadHalf,
        tx: OwnedWriteHalf,
        direction: Direction,
        seed: u64,
    ) -> io::Result<()> {
        let (chunk_tx, chunk_rx) = flume::bounded::<Chunk>(CHUNKS_UNDER_WAY);
        let reading = Rc::clone(&self).read_chunks(rx, chunk_tx, seed);
        let writing = write_chunks(self, tx, chunk_rx, direction);
        let (read, written) = tokio::join!(reading, writing);
        read.and(written)
    }

    async fn read_chunks(
        self: Rc<Self>,
        mut rx: OwnedReadHalf,
        chunks: flume::Sender<Chunk>,
        seed: u64,
    ) -> io::Result<()> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut last_due = Instant::now();
        loop {
            let mut bytes = vec![0; CHUNK_BYTES];
            let count = rx.read(&mut bytes).await?;
            if count == 0 {
                return Ok(());
            }
            bytes.truncate(count);
            let fault = self.faults.borrow().of(self.source);
            let lost = rng.random_bool(fault.loss.clamp(0.0, 1.0));
            let held_back = if lost { RETRANSMIT } else { Duration::ZERO };
            last_due = last_due.max(Instant::now() + fault.delay + held_back);
            if chunks.send_async(Chunk { due: last_due, bytes }).await.is_err() {
                return Ok(());
            }
        }
    }
}

async fn write_chunks(
    link: Rc<Link>,
    mut tx: OwnedWriteHalf,
    chunks: flume::Receiver<Chunk>,
    direction: Direction,
) -> io::Result<()> {
    let mut faults = link.faults.clone();
    let mut written = 0;
    while let Ok(chunk) = chunks.recv_async().await {
        // A timer that is due already still costs a tick.
        if Instant::now() < chunk.due {
            tokio::time::sleep_until(chunk.due).await;
        }
        let open = |faults: &Faults| !holds(&faults.of(link.source), direction);
        if faults.wait_for(open).await.is_err() {
            return Ok(());
        }
        written += chunk.bytes.len() as u64;
        tx.write_all(&chunk.bytes).await?;
        let cut_after = link.faults.borrow().of(link.source).cut_after;
        if direction == Direction::Answers && cut_after.is_some_and(|limit| limit <= written) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    tx.shutdown().await
}

fn holds(fault: &Fault, direction: Direction) -> bool {
    match direction {
        Direction::Requests => fault.hold_requests,
        Direction::Answers => fault.hold_responses,
    }
}
