//! Restarts of routers under load.

use std::time::Duration;

use bench::{
    process::{Program, wait_until},
    restarts::RunningLoad,
    site::{Site, SiteSpec},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const REQUESTS_PER_SECOND: f64 = 40.0;

fn site() -> Site {
    let spec = SiteSpec {
        services: Vec::new(),
        flags: vec![("--drain-notice", "400ms".to_owned())],
        ..SiteSpec::small()
    };
    Site::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap()
}

#[test]
fn rolling_restart_cuts_and_refuses_no_request() {
    let mut site = site();
    let load = RunningLoad::start(&site, REQUESTS_PER_SECOND, 1);
    for daemon in &mut site.daemons {
        daemon.terminate().unwrap();
        assert_eq!(daemon.wait_exit(WAIT_TIMEOUT).unwrap().code(), Some(0));
        daemon.start_again().unwrap();
        daemon.wait_ready(WAIT_TIMEOUT).unwrap();
    }
    let counts = load.stop();
    assert!(50 < counts.requests, "{counts:?}");
    assert_eq!((counts.failed, counts.cut, counts.refused), (0, 0, 0), "{counts:?}");
}

#[test]
fn streams_survive_a_kill_of_every_router() {
    let mut site = site();
    let load = RunningLoad::start(&site, REQUESTS_PER_SECOND, 2);
    wait_until("streams run", WAIT_TIMEOUT, || {
        site.engines.iter().any(|node| 10 < node.engine.counts().requests)
    })
    .unwrap();
    for daemon in &mut site.daemons {
        daemon.kill().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.start_again().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.wait_ready(WAIT_TIMEOUT).unwrap();
    }
    let counts = load.stop();
    assert_eq!(counts.failed, 0, "{counts:?}");
}
