use std::time::Duration;

use bench::process::wait_until;
use wire::operator::Voters;

use crate::tool::{run, site};

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
fn folder_that_is_no_number_is_refused() {
    let site = site();
    let add = [&["voters", "add", "host-3", "--folder", "mine"][..], &REASON].concat();
    let added = run(&site, &add);
    assert_eq!(added.code, Some(1), "{added:?}");
    assert!(added.stderr.contains("hexadecimal"), "{added:?}");
}
