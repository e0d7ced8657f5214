//! With a listen backlog of 128, a burst of callers waited a second for its connections.

use std::{net::TcpStream, path::PathBuf, time::Duration};

use bench::{
    process::{Daemon, DaemonSpec, Program},
    site::FLEET_KEY,
};

const BURST_CONNECTIONS: usize = 400;

/// Well below the time after which TCP retransmits a SYN.
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
    let connected: Vec<_> = (0..BURST_CONNECTIONS)
        .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
        .collect();
    daemon.thaw().unwrap();
    assert_eq!(connected.len(), BURST_CONNECTIONS);
}
