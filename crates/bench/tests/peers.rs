//! Unauthenticated connections to the peer address are rejected, and the daemon keeps serving.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    path::PathBuf,
    time::Duration,
};

use bench::{
    process::{Daemon, DaemonSpec, Program},
    site::{FLEET_KEY, OPERATOR_KEY, Site, SiteSpec},
};

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut Vec::new());
}

fn is_ready(admin: SocketAddr) -> bool {
    let url = format!("http://{admin}/readyz");
    attohttpc::get(url).send().is_ok_and(|response| response.is_success())
}

macro_rules! keeps_serving_after {
    ($($name:ident: $bytes:expr,)*) => {$(
        #[test]
        fn $name() {
            let spec = DaemonSpec::new("host-1", "a").flag("--fleet-key", FLEET_KEY);
            let mut daemon = Daemon::start(&program(), spec).unwrap();
            daemon.wait_ready(Duration::from_secs(10)).unwrap();
            let bytes: &[u8] = &$bytes;
            send(daemon.spec().peer_listen, bytes);
            assert!(is_ready(daemon.spec().admin_listen));
        }
    )*};
}

keeps_serving_after! {
    http_at_the_peer_address: *b"GET / HTTP/1.1\r\nhost: router\r\n\r\n",
    zeros_at_the_peer_address: [0; 4096],
    ones_at_the_peer_address: [0xff; 4096],
    huge_segment_announced: [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 1, 2, 3, 4],
    many_segments_announced: [0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0],
    cut_message: [0, 0, 0, 0, 64, 0, 0, 0, 0, 0],
}

#[test]
fn router_with_another_fleet_key_does_not_join() {
    let site = Site::start(&program(), SiteSpec::small()).unwrap();
    let operator = base::Digest::of(OPERATOR_KEY.as_bytes());
    let foreign_router = DaemonSpec::new("host-9", "a")
        .flag("--fleet-key", "another-fleets-key-entirely")
        .flag("--operator-key", operator)
        .flag("--seed", site.peer_proxies[0].address());
    let mut foreign_router = Daemon::start(&program(), foreign_router).unwrap();
    foreign_router.wait_ready(Duration::from_secs(10)).unwrap();
    let fleet_router = DaemonSpec::new("host-8", "a")
        .flag("--fleet-key", FLEET_KEY)
        .flag("--operator-key", operator)
        .flag("--seed", site.peer_proxies[0].address());
    let mut fleet_router = Daemon::start(&program(), fleet_router).unwrap();
    fleet_router.wait_ready(Duration::from_secs(10)).unwrap();

    let expected = site.engines.len() + site.services.len();
    site.wait_endpoint_count(&fleet_router, expected).unwrap();
    assert_eq!(site.ready_endpoint_count(&foreign_router), Some(0));
}
