//! Many clients that keep connections without finished requests leave the daemon running, within
//! the memory of the smallest hosts, and able to answer others.

mod crowd;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bench::{
    process::{Daemon, DaemonSpec, Program},
    site::FLEET_KEY,
};
use crowd::clients::{self, Behaviour};

const OPERATOR_KEY: &str = "operators-key";

/// Timeout of the ordinary request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Most connections of callers, fewer than the crowd opens.
const MAX_CONNECTIONS: u64 = 64;

/// Descriptors of a process after it has closed the crowd's connections.
const RELEASED_DESCRIPTORS: usize = 60;

/// An interface of the daemon.
#[derive(Clone, Copy, Debug)]
enum Interface {
    Callers,
    Announcements,
}

impl Interface {
    /// Returns a request's head up to the framing of its body.
    fn head(self) -> String {
        let (path, key) = match self {
            Self::Callers => ("/v1/completions", "right-key"),
            Self::Announcements => ("/announce", FLEET_KEY),
        };
        format!("POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n")
    }

    /// Returns the start of the response to a request for an unknown model or without an endpoint.
    fn response(self) -> &'static str {
        match self {
            Self::Callers => "HTTP/1.1 404",
            Self::Announcements => "HTTP/1.1 400",
        }
    }
}

fn start(max_connections: u64, header_bytes: usize) -> Daemon {
    let spec = DaemonSpec::new("host-1", "a")
        .flag("--fleet-key", FLEET_KEY)
        .flag("--organisation-key", format!("school-1={}", base::Digest::of(b"right-key")))
        .flag("--operator-key", base::Digest::of(OPERATOR_KEY.as_bytes()))
        .flag("--max-connections", max_connections)
        .flag("--max-header-bytes", header_bytes)
        .env("DOTTERELREACH_MEMORY_BYTES", crowd::MEMORY);
    let mut daemon = Daemon::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon
}

/// Sends a request on a new connection; returns the response.
fn ask(to: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("a listener");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout can be set");
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn assert_serving(daemon: &Daemon, interface: Interface) {
    let body = "{\"model\": \"none\", \"prompt\": \"p\"}";
    let head = interface.head();
    let request =
        format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let response = ask(daemon.spec().listen, request.as_bytes());
    assert!(response.starts_with(interface.response()), "{response:?}");
    let metrics = b"GET /metrics HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\r\n";
    let response = ask(daemon.spec().admin_listen, metrics);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

macro_rules! crowds {
    ($($name:ident: $interface:ident, $behaviour:ident, $connections:expr, $header_bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let _alone = crowd::run_alone();
            let daemon = start($connections, $header_bytes);
            let interface = Interface::$interface;
            let head = interface.head();
            let open = clients::connect(daemon.spec().listen, &head, Behaviour::$behaviour);
            crowd::assert_bounded(daemon.pid());
            assert_serving(&daemon, interface);
            clients::assert_released(daemon.pid(), RELEASED_DESCRIPTORS);
            drop(open);
        }
    )*};
}

// Each guards against a crowd that holds all connections, or more memory than the host has.
crowds! {
    caller_idle_crowd: Callers, Idle, MAX_CONNECTIONS, 16 << 10;
    caller_idle_crowd_after_one_request: Callers, OneRequest, MAX_CONNECTIONS, 16 << 10;
    announcement_idle_crowd_after_one_request: Announcements, OneRequest, MAX_CONNECTIONS, 16 << 10;
    caller_pipelining_crowd: Callers, Pipelined, MAX_CONNECTIONS, 16 << 10;
    announcement_pipelining_crowd: Announcements, Pipelined, MAX_CONNECTIONS, 16 << 10;
    caller_slow_head_crowd: Callers, SlowHead, MAX_CONNECTIONS, 16 << 10;
    caller_slow_head_crowd_over_the_limit: Callers, SlowHeadOver, MAX_CONNECTIONS, 16 << 10;
    caller_head_crowd_with_a_raised_limit: Callers, RaisedHead, 10_000, 512 << 10;
}

/// Operators must see why connections of a crowd are closed.
#[test]
fn closed_connections_are_counted_by_reason() {
    let _alone = crowd::run_alone();
    let daemon = start(MAX_CONNECTIONS, 16 << 10);
    let head = Interface::Callers.head();
    let _open = clients::connect(daemon.spec().listen, &head, Behaviour::SlowHead);
    clients::assert_released(daemon.pid(), RELEASED_DESCRIPTORS);
    let metrics = b"GET /metrics HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\r\n";
    let response = ask(daemon.spec().admin_listen, metrics);
    for reason in ["replaced", "head-timeout"] {
        let counter = format!("connections_closed_total{{reason=\"{reason}\"}}");
        assert!(response.contains(&counter), "no {reason} in {response}");
    }
}
