use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Revision;
use bench::{Fault, Proxy, process::wait_until};
use tempfile::TempDir;
use wire::operator::{
    ChangeRequest, ChangeResult, CurrentDeclaration, DECLARATION_PATH, HISTORY_PATH, History,
    QuorumRole, STATUS_PATH, Status,
};

use crate::{
    intercepting_proxy::{self, ChangeResponses},
    tool::{admin, get, post, post_until_known, run, run_at, site},
};

/// Time within which a change must be in force at every router.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

fn revision(router: SocketAddr) -> Revision {
    get::<CurrentDeclaration>(router, DECLARATION_PATH).revision
}

fn change(id: &str, author: &str, toml: &str) -> ChangeRequest {
    ChangeRequest {
        id: id.parse().unwrap(),
        expected: Revision::ZERO,
        author: author.parse().unwrap(),
        reason: "a test".into(),
        toml: toml.into(),
    }
}

fn file(text: &str) -> (TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("site.toml");
    fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap().to_owned();
    (folder, path)
}

#[test]
fn default_is_in_force_at_every_router_in_time() {
    let site = site();
    let began = Instant::now();
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    assert_eq!(run(&site, &set).code, Some(0));
    let accepted = began.elapsed();
    for i in 0..site.daemons.len() {
        let in_force = || revision(admin(&site, i)) == Revision::new(1);
        wait_until("the change is in force", PROPAGATION_TIMEOUT, in_force).unwrap();
    }
    let everywhere = began.elapsed();
    println!("accepted after {accepted:?}, in force everywhere after {everywhere:?}");
    assert!(everywhere < PROPAGATION_TIMEOUT, "{everywhere:?}");
    let shown = run_at(&[admin(&site, 2)], &["defaults", "get", "wait-weight"]);
    assert!(shown.stdout.contains("2.5"), "{shown:?}");
}

#[test]
fn exception_is_added_listed_and_removed_with_its_reasons_in_the_history() {
    let site = site();
    let add = ["exceptions", "add", "fan-repair", "--scope", "endpoint=engine-1", "--set"];
    let add = [&add[..], &["drain=true", "--yes", "--reason", "a new fan"]].concat();
    assert_eq!(run(&site, &add).code, Some(0));
    let listed = run(&site, &["exceptions", "list"]);
    assert!(listed.stdout.contains("fan-repair") && listed.stdout.contains("a new fan"));
    let remove = ["exceptions", "remove", "fan-repair", "--yes", "--reason", "the fan runs"];
    assert_eq!(run(&site, &remove).code, Some(0));
    assert!(!run(&site, &["exceptions", "list"]).stdout.contains("fan-repair"));
    let history: History = run(&site, &["history", "--json"]).json();
    let reasons: Vec<_> = history.changes.iter().map(|change| &*change.reason).collect();
    assert_eq!(reasons, ["a new fan", "the fan runs"]);
}

#[test]
fn apply_twice_changes_the_declaration_once() {
    let site = site();
    let (_folder, path) = file("[defaults]\nretry-budget = 0.2\n");
    let apply = ["apply", &path, "--yes", "--reason", "more retries"];
    assert_eq!(run(&site, &["diff", &path]).code, Some(5));
    assert!(run(&site, &apply).stdout.contains("applied; revision 1"));
    assert_eq!(run(&site, &["diff", &path]).code, Some(0));
    assert!(run(&site, &apply).stdout.contains("nothing to do; revision 1"));
}

#[test]
fn invalid_declaration_is_refused_with_the_line_number() {
    let site = site();
    let (_folder, path) = file("[defaults]\nno-such-setting = 1\n");
    let applied = run(&site, &["apply", &path, "--yes", "--reason", "a try"]);
    assert_eq!(applied.code, Some(1), "{applied:?}");
    assert!(applied.stderr.contains("line 2"), "{applied:?}");
    assert_eq!(revision(admin(&site, 0)), Revision::ZERO);
}

#[test]
fn one_of_two_concurrent_changes_wins_and_the_conflict_names_the_winner() {
    let site = site();
    let routers = [admin(&site, 0), admin(&site, 1)];
    let responses = std::thread::scope(|scope| {
        let racing = [("ilka", "1.5"), ("bence", "2.5")].into_iter().zip(routers).map(
            |((author, weight), router)| {
                let toml = format!("[defaults]\nwait-weight = {weight}\n");
                scope.spawn(move || {
                    let change = change(&format!("change-of-{author}"), author, &toml);
                    (author, post_until_known::<ChangeResult>(router, DECLARATION_PATH, &change))
                })
            },
        );
        let racing: Vec<_> = racing.collect();
        racing.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
    });
    let won = responses.iter().find(|(_, (status, _))| *status == 200).unwrap();
    let lost = responses.iter().find(|(_, (status, _))| *status == 409).unwrap();
    assert_eq!(won.1.1, ChangeResult::Applied { revision: Revision::new(1) });
    let ChangeResult::Conflict { winner } = &lost.1.1 else { panic!("{lost:?}") };
    assert_eq!((winner.author.as_str(), winner.revision), (won.0, Revision::new(1)));
}

#[test]
fn tool_reports_the_conflicting_change_that_was_applied_first() {
    let site = site();
    let router = admin(&site, 0);
    let proxy = intercepting_proxy::start(router, ChangeResponses::Forward, move || {
        let first = change("c-1", "bence", "[defaults]\nwait-weight = 2.5\n");
        let (status, _) = post::<ChangeResult>(router, DECLARATION_PATH, &first);
        assert_eq!(status, 200);
    });
    let (_folder, path) = file("[defaults]\nwait-weight = 1.5\n");
    let second = run_at(&[proxy], &["apply", &path, "--yes", "--reason", "shorter waits"]);
    assert_eq!(second.code, Some(1), "{second:?}");
    assert!(second.stderr.contains("revision 1 by bence"), "{second:?}");
    assert_eq!(revision(router), Revision::new(1));
}

#[test]
fn tool_exits_with_unknown_outcome_without_a_response_and_can_be_run_again() {
    let site = site();
    let proxy = intercepting_proxy::start(admin(&site, 0), ChangeResponses::Drop, || {});
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    let lost = run_at(&[proxy], &set);
    assert_eq!(lost.code, Some(4), "{lost:?}");
    let again = run(&site, &set);
    assert!(again.stdout.contains("nothing to do; revision 1"), "{again:?}");
}

#[test]
fn change_whose_response_is_lost_is_resent_and_applied_once() {
    let site = site();
    let proxy = Proxy::start(admin(&site, 0), 1);
    proxy.set(Fault { hold_responses: true, ..Fault::default() });
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    let args = [&set[..], &["--timeout", "1s", "--json"]].concat();
    let routers = [proxy.address(), admin(&site, 1)];
    assert_eq!(run_at(&routers, &args).code, Some(0));
    let history: History = get(admin(&site, 1), "/operator/history");
    assert_eq!(history.changes.len(), 1, "{history:?}");
    let again = run_at(&routers, &args);
    assert!(again.stdout.contains("unchanged"), "{again:?}");
}

#[test]
fn resent_change_gets_its_first_response_after_a_full_restart() {
    let mut site = site();
    let first = change("c-1", "ilka", "[defaults]\nwait-weight = 1.5\n");
    let applied = (200, ChangeResult::Applied { revision: Revision::new(1) });
    assert_eq!(post(admin(&site, 0), DECLARATION_PATH, &first), applied);
    for daemon in &mut site.daemons {
        daemon.kill().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.start_again().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.wait_ready(Duration::from_secs(10)).unwrap();
    }
    let resend = || {
        let body = serde_json::to_vec(&first).unwrap();
        let url = format!("http://{}{DECLARATION_PATH}", admin(&site, 1));
        let req = attohttpc::post(url).bearer_auth(bench::site::OPERATOR_KEY);
        req.bytes(body).send().is_ok_and(|response| response.status().as_u16() == 200)
    };
    wait_until("a leader is elected again", Duration::from_secs(10), resend).unwrap();
    assert_eq!(post(admin(&site, 1), DECLARATION_PATH, &first), applied);
    let other = change("c-1", "ilka", "[defaults]\nwait-weight = 9.5\n");
    let (status, response) = post::<ChangeResult>(admin(&site, 2), DECLARATION_PATH, &other);
    assert_eq!(status, 409);
    assert!(matches!(response, ChangeResult::ReusedId { .. }), "{response:?}");
}

#[test]
fn change_resent_after_a_lost_majority_is_applied_at_most_once() {
    let mut site = site();
    let leads =
        |i: &usize| get::<Status>(admin(&site, *i), STATUS_PATH).quorum.role == QuorumRole::Leader;
    wait_until("a leader", Duration::from_secs(10), || (0..3).any(|i| leads(&i))).unwrap();
    let leader = (0..3).find(leads).unwrap();
    for i in (0..3).filter(|i| *i != leader) {
        site.daemons[i].freeze().unwrap();
    }
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    let alone = run_at(&[admin(&site, leader)], &set);
    println!("code without a majority: {:?}", alone.code);
    assert!(matches!(alone.code, Some(3 | 4)), "{alone:?}");
    for daemon in &mut site.daemons {
        daemon.thaw().unwrap();
    }
    let again = || run_at(&[admin(&site, leader)], &set).code == Some(0);
    wait_until("the change is applied", Duration::from_secs(20), again).unwrap();
    let history: History = get(admin(&site, leader), HISTORY_PATH);
    assert_eq!(history.changes.len(), 1, "{history:?}");
}

/// More log entries than the daemon applies before a snapshot replaces them.
const SNAPSHOT_ENTRIES: usize = 4_200;

#[test]
fn configuration_is_in_force_after_a_full_restart_from_a_snapshot() {
    const THREADS: usize = 12;
    let mut site = site();
    let first = change("c-1", "ilka", "[defaults]\nwait-weight = 1.5\n");
    let (status, _) = post_until_known::<ChangeResult>(admin(&site, 0), DECLARATION_PATH, &first);
    assert_eq!(status, 200);
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let router = admin(&site, thread % site.daemons.len());
            scope.spawn(move || {
                for i in 0..SNAPSHOT_ENTRIES / THREADS {
                    let late = change(&format!("late-{thread}-{i}"), "bence", "");
                    let (status, _) =
                        post_until_known::<ChangeResult>(router, DECLARATION_PATH, &late);
                    assert_eq!(status, 409);
                }
            });
        }
    });
    for daemon in &mut site.daemons {
        daemon.kill().unwrap();
    }
    for daemon in &mut site.daemons {
        daemon.start_again().unwrap();
    }
    for (i, daemon) in site.daemons.iter_mut().enumerate() {
        daemon.wait_ready(Duration::from_secs(10)).unwrap();
        assert_eq!(revision(daemon.spec().admin_listen), Revision::new(1), "host {i}");
    }
}
