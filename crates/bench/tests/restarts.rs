//! Restarts of routers under load.

use std::time::Duration;

use bench::{
    process::{Program, wait_until},
    restarts::RunningLoad,
    site::{Site, SiteSpec},
};

const SOON: Duration = Duration::from_secs(10);
const RATE: f64 = 40.0;

fn site() -> Site {
    let spec = SiteSpec {
        services: Vec::new(),
        flags: vec![("--drain-notice", "400ms".to_owned())],
        ..SiteSpec::small()
    };
    Site::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap()
}

#[test]
fn rolling_restart_cuts_and_refuses_nothing() {
    let mut site = site();
    let load = RunningLoad::start(&site, RATE, 1);
    for daemon in &mut site.daemons {
        daemon.terminate().unwrap();
        assert_eq!(daemon.wait_exit(SOON).unwrap().code(), Some(0));
        daemon.start_again().unwrap();
        daemon.wait_ready(SOON).unwrap();
    }
    let counted = load.stop();
    assert!(50 < counted.requests, "{counted:?}");
    assert_eq!((counted.failed, counted.cut, counted.refused), (0, 0, 0), "{counted:?}");
}

#[test]
fn streams_outlive_the_sudden_death_of_every_router() {
    let mut site = site();
    let load = RunningLoad::start(&site, RATE, 2);
    wait_until("streams run", SOON, || {
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
        daemon.wait_ready(SOON).unwrap();
    }
    let counted = load.stop();
    assert_eq!(counted.failed, 0, "{counted:?}");
}
