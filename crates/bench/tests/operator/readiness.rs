use std::time::{Duration, Instant};

use base::{Digest, Revision};
use bench::{
    Fault,
    process::wait_until,
    site::{Site, SiteSpec},
};
use wire::operator::{CurrentDeclaration, DECLARATION_PATH, STATUS_PATH, Status};

use crate::tool::{admin, get, program, run};

/// Host without a vote, which gets the configuration only from its peers.
const OBSERVER: usize = 3;

fn site_with_observer() -> Site {
    let spec = SiteSpec { daemons: vec!["a", "b", "c", "a"], ..SiteSpec::small() };
    Site::start(&program(), spec).unwrap()
}

#[test]
fn restarted_router_is_ready_with_the_configuration_in_force() {
    let mut site = site_with_observer();
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    assert_eq!(run(&site, &set).code, Some(0));
    let in_force = |i| get::<CurrentDeclaration>(admin(&site, i), DECLARATION_PATH).revision;
    let everywhere = || (0..site.daemons.len()).all(|i| in_force(i) == Revision::new(1));
    wait_until("the change is in force", Duration::from_secs(5), everywhere).unwrap();
    let mut restart_times = Vec::new();
    for _ in 0..10 {
        let began = Instant::now();
        site.daemons[OBSERVER].restart().unwrap();
        site.daemons[OBSERVER].wait_ready(Duration::from_secs(10)).unwrap();
        restart_times.push(began.elapsed());
        let in_force: CurrentDeclaration = get(admin(&site, OBSERVER), DECLARATION_PATH);
        assert_eq!(in_force.revision, Revision::new(1));
    }
    let status: Status = get(admin(&site, OBSERVER), "/operator/status");
    assert_eq!(status.counts.open_calls, None);
    restart_times.sort();
    println!("from restart to ready: {restart_times:?}");
}

#[test]
fn isolated_router_is_shown_as_laggard_until_it_has_caught_up() {
    let site = site_with_observer();
    let source = site.daemons[OBSERVER].spec().listen.ip();
    site.peer_proxies[OBSERVER].set(Fault::partition());
    site.peer_proxies.iter().for_each(|proxy| proxy.set_for(source, Fault::partition()));
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    assert_eq!(run(&site, &set).code, Some(0));
    let shown = || {
        let status: Status = get(admin(&site, 0), STATUS_PATH);
        status.peers.into_iter().find(|peer| peer.host.as_str() == "host-4").unwrap()
    };
    wait_until("a laggard", Duration::from_secs(5), || shown().laggard).unwrap();
    let in_force = || get::<CurrentDeclaration>(admin(&site, OBSERVER), DECLARATION_PATH).revision;
    assert_eq!(in_force(), Revision::ZERO);

    site.peer_proxies.iter().for_each(bench::Proxy::heal);
    let healed = Instant::now();
    wait_until("it is in force", Duration::from_secs(5), || in_force() == Revision::new(1))
        .unwrap();
    println!("in force {:?} after the partition healed", healed.elapsed());
    wait_until("no laggard", Duration::from_secs(5), || !shown().laggard).unwrap();
}

#[test]
fn declared_organisation_key_is_accepted_at_every_router_until_it_is_removed() {
    let site = site_with_observer();
    let digest = Digest::of(b"key-of-the-choir");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("site.toml");
    let apply = |text: &str| {
        std::fs::write(&path, text).unwrap();
        let args = ["apply", path.to_str().unwrap(), "--yes", "--reason", "a test"];
        let applied = run(&site, &args);
        assert_eq!(applied.code, Some(0), "{applied:?}");
    };
    let status = |daemon: &bench::process::Daemon| {
        let url = format!("http://{}/v1/models", daemon.spec().listen);
        attohttpc::get(url).bearer_auth("key-of-the-choir").send().unwrap().status().as_u16()
    };
    let all = |expected: u16| {
        let settled = || site.daemons.iter().all(|daemon| status(daemon) == expected);
        wait_until("every router has the key's state", Duration::from_secs(5), settled).unwrap();
    };
    all(401);
    apply(&format!("[[organisations]]\nid = \"choir\"\nkeys = [\"{digest}\"]\n"));
    all(200);
    apply("[defaults]\nretry-budget = 0.1\n");
    all(401);
}
