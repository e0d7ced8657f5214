//! Many clients that send large or unfinished bodies leave the daemon running, within the memory of
//! the smallest hosts, and able to answer others.

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
use crowd::Sending;

const OPERATOR_KEY: &str = "operators-key";

/// Timeout of the ordinary request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// An interface of the daemon.
#[derive(Clone, Copy, Debug)]
enum Interface {
    Callers,
    Announcements,
    Operators,
}

impl Interface {
    fn address(self, daemon: &Daemon) -> SocketAddr {
        match self {
            Self::Callers | Self::Announcements => daemon.spec().listen,
            Self::Operators => daemon.spec().admin_listen,
        }
    }

    /// Returns a request's head up to the framing of its body.
    fn head(self) -> String {
        let (path, key) = match self {
            Self::Callers => ("/v1/completions", "right-key"),
            Self::Announcements => ("/announce", FLEET_KEY),
            Self::Operators => ("/operator/explain", OPERATOR_KEY),
        };
        format!("POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n")
    }
}

fn start() -> Daemon {
    let spec = DaemonSpec::new("host-1", "a")
        .flag("--fleet-key", FLEET_KEY)
        .flag("--organisation-key", format!("school-1={}", base::Digest::of(b"right-key")))
        .flag("--operator-key", base::Digest::of(OPERATOR_KEY.as_bytes()))
        .env("DOTTERELREACH_MEMORY_BYTES", crowd::MEMORY);
    let mut daemon = Daemon::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon
}

/// Sends a request on a new connection; returns the response.
fn ask(to: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("a listener");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout can be set");
    stream.write_all(request).expect("the request is sent");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn assert_serving(daemon: &Daemon, interface: Interface) {
    let body = "{\"model\": \"none\", \"prompt\": \"p\"}";
    let head = interface.head();
    let request =
        format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let response = ask(interface.address(daemon), request.as_bytes());
    let expected = match interface {
        Interface::Callers => "HTTP/1.1 404",
        Interface::Announcements => "HTTP/1.1 400",
        Interface::Operators => "HTTP/1.1 ",
    };
    assert!(response.starts_with(expected), "{response:?}");
    let metrics = b"GET /metrics HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\r\n";
    let response = ask(daemon.spec().admin_listen, metrics);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

macro_rules! crowds {
    ($($name:ident: $interface:ident, $sending:ident;)*) => {$(
        #[test]
        fn $name() {
            let _alone = crowd::run_alone();
            let daemon = start();
            let interface = Interface::$interface;
            let address = interface.address(&daemon);
            let _open = crowd::send(address, &interface.head(), Sending::$sending);
            assert_serving(&daemon, interface);
            crowd::assert_bounded(daemon.pid());
        }
    )*};
}

crowds! {
    caller_crowd_with_a_length: Callers, Length;
    caller_crowd_in_pieces: Callers, LengthInPieces;
    caller_crowd_in_large_chunks: Callers, LargeChunks;
    caller_crowd_in_small_chunks: Callers, SmallChunks;
    caller_crowd_declared_over_the_limit: Callers, DeclaredOver;
    caller_crowd_over_the_limit_in_chunks: Callers, ChunksOver;
    announcement_crowd_with_a_length: Announcements, Length;
    announcement_crowd_in_large_chunks: Announcements, LargeChunks;
    announcement_crowd_declared_over_the_limit: Announcements, DeclaredOver;
    announcement_crowd_over_the_limit_in_chunks: Announcements, ChunksOver;
    operator_crowd_with_a_length: Operators, Length;
    operator_crowd_in_large_chunks: Operators, LargeChunks;
    operator_crowd_in_small_chunks: Operators, SmallChunks;
    operator_crowd_declared_over_the_limit: Operators, DeclaredOver;
    operator_crowd_over_the_limit_in_chunks: Operators, ChunksOver;
}
