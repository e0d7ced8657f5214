//! Clients that keep connections open: idle ones, pipelining ones, and those that send slow heads.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Connections that are open at once.
pub const CONNECTIONS: usize = 200;

/// Threads that drive the connections.
const THREADS: usize = 8;

/// Bytes of a head at the limit on heads.
const HEAD_BYTES: usize = 16 << 10;

/// Bytes of a head far over the limit on heads.
const OVER_HEAD_BYTES: usize = 32 << 10;

/// Bytes of a head where the limit is raised, which stands for many more connections.
const RAISED_HEAD_BYTES: usize = 500 << 10;

/// Bytes that are missing at the end of a head.
const MISSING_BYTES: usize = 16;

/// Requests that a client sends at once on one connection.
const PIPELINED: usize = 64;

/// Bytes of the body of a pipelined request.
const PIPELINED_BODY_BYTES: usize = 16 << 10;

/// Longest time for which a client waits to send or receive.
const IO_TIME: Duration = Duration::from_secs(2);

/// Time in which the process reads what the clients have sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Longest time in which connections without progress are given up.
const RELEASE_TIME: Duration = Duration::from_secs(60);

/// What the clients do before they stop sending and stay connected.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Nothing.
    Idle,
    /// They send one request and receive its response.
    OneRequest,
    /// They send many requests with bodies at once and receive nothing.
    Pipelined,
    /// They send a head at the limit a byte at a time; one in eight sends its end.
    SlowHead,
    /// They send a head over the limit a byte at a time.
    SlowHeadOver,
    /// They send a head within a raised limit in pieces of 1 KiB, without its end.
    RaisedHead,
    /// They send a request and receive nothing.
    Unread,
}

/// Opens the connections of a crowd whose requests begin with `head`, a request line and fields
/// without the body's framing; returns those that are open on this side.
pub fn connect(to: SocketAddr, head: &str, behaviour: Behaviour) -> Vec<TcpStream> {
    let open = thread::scope(|scope| {
        let clients: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || connect_some(to, head, behaviour, thread)))
            .collect();
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
    });
    thread::sleep(SETTLE_TIME);
    open
}

/// Returns the number of descriptors that a process has open.
pub fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process").count()
}

/// Checks that a process closes connections without progress, down to at most `max` descriptors.
pub fn assert_released(pid: u32, max: usize) {
    let deadline = Instant::now() + RELEASE_TIME;
    while max < descriptors(pid) {
        assert!(Instant::now() < deadline, "{} descriptors stay open", descriptors(pid));
        thread::sleep(Duration::from_millis(100));
    }
}

fn connect_some(to: SocketAddr, head: &str, behaviour: Behaviour, thread: usize) -> Vec<TcpStream> {
    let numbers = (0..CONNECTIONS).filter(|number| number % THREADS == thread);
    let mut open: Vec<_> = numbers.filter_map(|_| TcpStream::connect(to).ok()).collect();
    for stream in &open {
        stream.set_nodelay(true).expect("an open socket");
        stream.set_write_timeout(Some(IO_TIME)).expect("a timeout can be set");
        stream.set_read_timeout(Some(IO_TIME)).expect("a timeout can be set");
    }
    match behaviour {
        Behaviour::Idle => {}
        Behaviour::OneRequest => open.iter_mut().for_each(|stream| {
            if stream.write_all(&request(head, 16)).is_ok() {
                let _ = stream.read(&mut [0; 4096]);
            }
        }),
        Behaviour::Unread => open.iter_mut().for_each(|stream| {
            let _ = stream.write_all(&request(head, 16));
        }),
        Behaviour::Pipelined => {
            let requests = request(head, PIPELINED_BODY_BYTES).repeat(PIPELINED);
            thread::scope(|scope| {
                for stream in &mut open {
                    scope.spawn(|| {
                        let _ = stream.write_all(&requests);
                    });
                }
            });
        }
        Behaviour::SlowHead => send_heads(&mut open, head, HEAD_BYTES, 1),
        Behaviour::SlowHeadOver => send_heads(&mut open, head, OVER_HEAD_BYTES, 1),
        Behaviour::RaisedHead => send_heads(&mut open, head, RAISED_HEAD_BYTES, 1 << 10),
    }
    open
}

fn request(head: &str, body_bytes: usize) -> Vec<u8> {
    let body = "x".repeat(body_bytes);
    format!("{head}content-length: {body_bytes}\r\n\r\n{body}").into_bytes()
}

/// Sends heads of `bytes` bytes in turn, `piece` bytes at a time; most stop before the end.
fn send_heads(open: &mut [TcpStream], head: &str, bytes: usize, piece: usize) {
    let mut text = format!("{head}content-length: 0\r\nx-padding: ");
    text += &"x".repeat(bytes - text.len() - "\r\n\r\n".len());
    text += "\r\n\r\n";
    let mut failed = vec![false; open.len()];
    let is_whole = |number: usize| piece == 1 && number.is_multiple_of(8);
    for (sent, part) in text.as_bytes().chunks(piece).enumerate() {
        for (number, stream) in open.iter_mut().enumerate() {
            let stops = bytes - MISSING_BYTES <= sent * piece + part.len() && !is_whole(number);
            if !failed[number] && !stops {
                failed[number] = stream.write_all(part).is_err();
            }
        }
    }
}
