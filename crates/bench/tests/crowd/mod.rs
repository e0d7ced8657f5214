//! Clients that send many large or unfinished bodies at once, and stay connected.

#![allow(dead_code, reason = "each test file uses a part of the crowds")]

pub mod clients;

use std::{
    fs,
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Connections that are open at once.
const CONNECTIONS: usize = 200;

/// Bytes of a body within the limit.
const BODY_BYTES: usize = 1 << 20;

/// Bytes that are missing at the end of each body.
const MISSING_BYTES: usize = 16;

/// The length declared by bodies far over the limit.
const DECLARED_BYTES: usize = 100 << 20;

/// Bytes sent of a chunked body over the limit of 4 MiB, or of 8 MiB for control requests.
const OVER_BYTES: usize = 12 << 20;

/// Longest time for which a client goes on sending.
const SEND_TIME: Duration = Duration::from_secs(10);

/// Most memory of the process, in bytes: that of the smallest hosts.
pub const MEMORY: u64 = 88 << 20;

/// Most open descriptors of the process: one for each connection and as many again for its own.
const DESCRIPTORS: usize = 2 * CONNECTIONS;

/// Time in which the process reads what the clients have sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How the clients send their bodies.
#[derive(Clone, Copy, Debug)]
pub enum Sending {
    /// With a length, all at once.
    Length,
    /// With a length, in pieces of 4 KiB with pauses.
    LengthInPieces,
    /// In chunks of 64 KiB.
    LargeChunks,
    /// In chunks of 8 bytes.
    SmallChunks,
    /// With a length far over the limit, of which a part is sent.
    DeclaredOver,
    /// In chunks, until far over the limit.
    ChunksOver,
}

/// Lets one test run at a time, since each measures a process under load.
pub fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends the bodies of a crowd after `head`, a request line and fields without the body's framing.
///
/// The connections that it returns are still open on this side.
pub fn send(to: SocketAddr, head: &str, sending: Sending) -> Vec<TcpStream> {
    let open = thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CONNECTIONS).map(|_| scope.spawn(|| send_one(to, head, sending))).collect();
        clients.into_iter().filter_map(|client| client.join().expect("no panic")).collect()
    });
    thread::sleep(SETTLE_TIME);
    open
}

/// Checks that the process stayed within its memory and descriptors, and prints what it used.
pub fn assert_bounded(pid: u32) {
    let peak = peak_memory(pid);
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process").count();
    println!("peak memory {} MiB, {descriptors} descriptors", peak >> 20);
    assert!(peak < MEMORY, "peak memory {} MiB", peak >> 20);
    assert!(descriptors < DESCRIPTORS, "{descriptors} descriptors");
}

fn send_one(to: SocketAddr, head: &str, sending: Sending) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_write_timeout(Some(SEND_TIME)).expect("a timeout can be set");
    let framing = match sending {
        Sending::Length | Sending::LengthInPieces => format!("content-length: {BODY_BYTES}"),
        Sending::DeclaredOver => format!("content-length: {DECLARED_BYTES}"),
        _ => "transfer-encoding: chunked".to_owned(),
    };
    let _ = stream.write_all(format!("{head}{framing}\r\n\r\n").as_bytes());
    let (piece, total) = match sending {
        Sending::Length | Sending::DeclaredOver => (BODY_BYTES - MISSING_BYTES, BODY_BYTES),
        Sending::LengthInPieces => (4 << 10, BODY_BYTES - MISSING_BYTES),
        Sending::LargeChunks => (64 << 10, BODY_BYTES),
        Sending::SmallChunks => (8, BODY_BYTES),
        Sending::ChunksOver => (64 << 10, OVER_BYTES),
    };
    let mut bytes = vec![b'x'; piece];
    if framing.starts_with("transfer") {
        let chunk = [format!("{piece:x}\r\n").as_bytes(), &bytes, b"\r\n"].concat();
        // Small chunks are sent many at a time.
        bytes = chunk.repeat((64 << 10) / piece);
    }
    let pieces = total / piece.max(if piece < 64 { 64 << 10 } else { piece });
    let deadline = Instant::now() + SEND_TIME;
    for _ in 0..pieces {
        if stream.write_all(&bytes).is_err() || deadline < Instant::now() {
            break;
        }
        if matches!(sending, Sending::LengthInPieces) {
            thread::sleep(Duration::from_millis(5));
        }
    }
    Some(stream)
}

fn peak_memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a process's status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let kilobytes = peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
    kilobytes << 10
}
