//! A burst of callers waited a second, since only 128 connections could wait to be accepted.

use std::{net::TcpStream, path::PathBuf, time::Duration};

use bench::{
    process::{Daemon, DaemonSpec, Program},
    site::FLEET_KEY,
};

const BURST: usize = 400;

/// Well under the time after which TCP asks for a connection again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

#[test]
fn burst_of_connections_waits_in_the_backlog() {
    let program =
        Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] };
    let spec = DaemonSpec::new("host-1", "a").flag("--fleet-key", FLEET_KEY);
    let mut daemon = Daemon::start(&program, spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon.freeze().unwrap();
    let address = daemon.spec().listen;
    let connected: Vec<_> = (0..BURST)
        .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
        .collect();
    daemon.thaw().unwrap();
    assert_eq!(connected.len(), BURST);
}
