use std::time::Duration;

use base::Digest;
use bench::{
    process::{Daemon, DaemonSpec, wait_until},
    site::{FLEET_KEY, OPERATOR_KEY, Site},
};
use wire::operator::{QuorumRole, STATUS_PATH, Status, Voters};

use crate::tool::{admin, get, program, run, site};

const REASON: [&str; 3] = ["--reason", "its disk is replaced", "--json"];

fn hosts(voters: &Voters) -> Vec<&str> {
    voters.voters.iter().map(|voter| voter.host.as_str()).collect()
}

#[test]
fn voter_is_removed_and_added_with_its_folder() {
    let site = site();
    let listed: Voters = run(&site, &["voters", "list", "--json"]).json();
    assert_eq!(hosts(&listed), ["host-1", "host-2", "host-3"]);
    let folder = listed.voters[2].folder.to_string();

    let remove = [&["voters", "remove", "host-3"][..], &REASON].concat();
    assert_eq!(hosts(&run(&site, &remove).json()), ["host-1", "host-2"]);
    assert_eq!(hosts(&run(&site, &remove).json()), ["host-1", "host-2"]);

    let add = [&["voters", "add", "host-3", "--folder", &folder][..], &REASON].concat();
    let added = || run(&site, &add).code == Some(0);
    wait_until("host-3 follows the log again", Duration::from_secs(10), added).unwrap();
    let listed: Voters = run(&site, &["voters", "list", "--json"]).json();
    assert_eq!(hosts(&listed), ["host-1", "host-2", "host-3"]);
    assert_eq!(&*listed.voters[2].folder, folder);
}

#[test]
fn voter_that_lost_its_disk_votes_again_once_its_new_folder_is_admitted() {
    let mut site = site();
    let folder = |site: &Site| get::<Status>(admin(site, 2), STATUS_PATH).quorum.folder.unwrap();
    let lost = folder(&site);
    site.daemons[2].kill().unwrap();
    std::fs::remove_dir_all(site.data.path().join("host-3")).unwrap();
    site.daemons[2].start_again().unwrap();
    site.daemons[2].wait_ready(Duration::from_secs(10)).unwrap();
    let new = folder(&site);
    assert_ne!(new, lost);
    let role = |site: &Site| get::<Status>(admin(site, 2), STATUS_PATH).quorum.role;
    assert_eq!(role(&site), QuorumRole::Observer);

    let remove = [&["voters", "remove", "host-3"][..], &REASON].concat();
    assert_eq!(hosts(&run(&site, &remove).json()), ["host-1", "host-2"]);
    let add = [&["voters", "add", "host-3", "--folder", &new][..], &REASON].concat();
    let added = || run(&site, &add).code == Some(0);
    wait_until("host-3 follows the log", Duration::from_secs(10), added).unwrap();
    let votes = || role(&site) == QuorumRole::Follower;
    wait_until("host-3 votes", Duration::from_secs(10), votes).unwrap();

    site.daemons[1].kill().unwrap();
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "a second loss"];
    let changed = || run(&site, &set).code == Some(0);
    wait_until("two of three voters commit a change", Duration::from_secs(10), changed).unwrap();
}

/// Starts a host that can vote but is not a founder.
fn start_new_host(site: &Site) -> Daemon {
    let digest = Digest::of(OPERATOR_KEY.as_bytes());
    let spec = DaemonSpec::new("host-9", "a")
        .flag("--fleet-key", FLEET_KEY)
        .flag("--operator-key", digest)
        .flag("--data-dir", site.data.path().join("host-9").display())
        .switch("--voter");
    let seeds = site.peer_proxies.iter().map(bench::Proxy::address);
    let spec = seeds.fold(spec, |spec, seed| spec.flag("--seed", seed));
    let mut daemon = Daemon::start(&program(), spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon
}

#[test]
fn leader_is_replaced_by_a_host_that_is_no_founder() {
    let site = site();
    let new_host = start_new_host(&site);
    let status = || get::<Status>(new_host.spec().admin_listen, STATUS_PATH).quorum;
    assert_eq!(status().role, QuorumRole::Observer);
    let folder = status().folder.unwrap();
    let add = [&["voters", "add", "host-9", "--folder", &folder][..], &REASON].concat();
    let added = || run(&site, &add).code == Some(0);
    wait_until("the new host is added as a voter", Duration::from_secs(10), added).unwrap();
    wait_until("a leader", Duration::from_secs(10), || status().leader.is_some()).unwrap();

    let leader = status().leader.unwrap();
    let remove = [&["voters", "remove", leader.as_str()][..], &REASON].concat();
    let removed = || run(&site, &remove).code == Some(0);
    wait_until("the leader is removed", Duration::from_secs(10), removed).unwrap();
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "a new leader"];
    let changed = || run(&site, &set).code == Some(0);
    wait_until("another host leads", Duration::from_secs(10), changed).unwrap();
    let listed: Voters = run(&site, &["voters", "list", "--json"]).json();
    assert_eq!(listed.voters.len(), 3, "{listed:?}");
    assert!(!hosts(&listed).contains(&leader.as_str()), "{listed:?}");
    assert!(hosts(&listed).contains(&"host-9"), "{listed:?}");
}

#[test]
fn folder_that_is_not_hexadecimal_is_refused() {
    let site = site();
    let add = [&["voters", "add", "host-3", "--folder", "mine"][..], &REASON].concat();
    let added = run(&site, &add);
    assert_eq!(added.code, Some(1), "{added:?}");
    assert!(added.stderr.contains("hexadecimal"), "{added:?}");
}
