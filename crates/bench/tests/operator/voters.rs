use std::time::Duration;

use bench::{process::wait_until, site::Site};
use wire::operator::{QuorumRole, STATUS_PATH, Status, Voters};

use crate::tool::{admin, get, run, site};

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
    wait_until("two of three suffice", Duration::from_secs(10), changed).unwrap();
}

#[test]
fn folder_that_is_no_number_is_refused() {
    let site = site();
    let add = [&["voters", "add", "host-3", "--folder", "mine"][..], &REASON].concat();
    let added = run(&site, &add);
    assert_eq!(added.code, Some(1), "{added:?}");
    assert!(added.stderr.contains("hexadecimal"), "{added:?}");
}
