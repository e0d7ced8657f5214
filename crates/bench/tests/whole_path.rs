//! A request end to end, through real daemons in three data centres.

use std::{path::PathBuf, time::Duration};

use bench::{
    load::{self, FakeCounts, Load},
    process::Program,
    report::Summary,
    site::{Site, SiteSpec},
};

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

#[test]
fn every_request_of_a_mixed_load_gets_a_complete_response() {
    let site = Site::start(&program(), SiteSpec::small()).unwrap();
    let load = Load {
        routers: site.routers(),
        organisations: site.spec.organisations.clone(),
        model: site.spec.model.clone(),
        service: site.spec.service.clone(),
        rate: 50.0,
        duration: Duration::from_secs(3),
        seed: 1,
    };
    let observed = FakeCounts { tally: site.tally.clone(), orders: site.orders.clone() };
    let summary = Summary::new(&load::run(&load, &observed, |_| {}), &site);

    assert!(100 < summary.totals.requests, "{summary:?}");
    assert_eq!(summary.totals.answered, summary.totals.requests, "{summary:?}");
    assert_eq!(summary.wrong_salts, 0, "{summary:?}");
    assert_eq!(
        (summary.totals.lost, summary.totals.doubled, summary.totals.crossed),
        (0, 0, 0),
        "{summary:?}"
    );
}
