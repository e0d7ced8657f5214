use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Revision;
use bench::{Fault, Proxy, process::wait_until};
use tempfile::TempDir;
use wire::operator::{
    ChangeAnswer, ChangeRequest, CurrentDeclaration, DECLARATION_PATH, HISTORY_PATH, History,
    QuorumRole, STATUS_PATH, Status,
};

use crate::{
    meddler::{self, Answers},
    tool::{admin, get, post, run, run_at, site},
};

/// Time within which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

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
fn default_is_in_force_on_every_router_in_time() {
    let site = site();
    let began = Instant::now();
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    assert_eq!(run(&site, &set).code, Some(0));
    let accepted = began.elapsed();
    for i in 0..site.daemons.len() {
        let in_force = || revision(admin(&site, i)) == Revision::new(1);
        wait_until("the change is in force", IN_FORCE, in_force).unwrap();
    }
    let everywhere = began.elapsed();
    println!("accepted after {accepted:?}, in force everywhere after {everywhere:?}");
    assert!(everywhere < IN_FORCE, "{everywhere:?}");
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
fn apply_makes_a_difference_once() {
    let site = site();
    let (_folder, path) = file("[defaults]\nretry-budget = 0.2\n");
    let apply = ["apply", &path, "--yes", "--reason", "more retries"];
    assert_eq!(run(&site, &["diff", &path]).code, Some(5));
    assert!(run(&site, &apply).stdout.contains("applied; revision 1"));
    assert_eq!(run(&site, &["diff", &path]).code, Some(0));
    assert!(run(&site, &apply).stdout.contains("nothing to do; revision 1"));
}

#[test]
fn invalid_declaration_is_refused_with_its_line() {
    let site = site();
    let (_folder, path) = file("[defaults]\nno-such-setting = 1\n");
    let applied = run(&site, &["apply", &path, "--yes", "--reason", "a try"]);
    assert_eq!(applied.code, Some(1), "{applied:?}");
    assert!(applied.stderr.contains("line 2"), "{applied:?}");
    assert_eq!(revision(admin(&site, 0)), Revision::ZERO);
}

#[test]
fn one_of_two_operators_wins_and_the_other_is_told_who() {
    let site = site();
    let routers = [admin(&site, 0), admin(&site, 1)];
    let answers = std::thread::scope(|scope| {
        let racing = [("ilka", "1.5"), ("bence", "2.5")].into_iter().zip(routers).map(
            |((author, weight), router)| {
                let toml = format!("[defaults]\nwait-weight = {weight}\n");
                scope.spawn(move || {
                    let change = change(&format!("change-of-{author}"), author, &toml);
                    (author, post::<ChangeAnswer>(router, DECLARATION_PATH, &change))
                })
            },
        );
        let racing: Vec<_> = racing.collect();
        racing.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
    });
    let won = answers.iter().find(|(_, (status, _))| *status == 200).unwrap();
    let lost = answers.iter().find(|(_, (status, _))| *status == 409).unwrap();
    assert_eq!(won.1.1, ChangeAnswer::Applied { revision: Revision::new(1) });
    let ChangeAnswer::Conflict { winner } = &lost.1.1 else { panic!("{lost:?}") };
    assert_eq!((winner.author.as_str(), winner.revision), (won.0, Revision::new(1)));
}

#[test]
fn tool_that_comes_second_names_the_change_that_came_first() {
    let site = site();
    let router = admin(&site, 0);
    let meddler = meddler::start(router, Answers::Passed, move || {
        let first = change("c-1", "bence", "[defaults]\nwait-weight = 2.5\n");
        let (status, _) = post::<ChangeAnswer>(router, DECLARATION_PATH, &first);
        assert_eq!(status, 200);
    });
    let (_folder, path) = file("[defaults]\nwait-weight = 1.5\n");
    let second = run_at(&[meddler], &["apply", &path, "--yes", "--reason", "shorter waits"]);
    assert_eq!(second.code, Some(1), "{second:?}");
    assert!(second.stderr.contains("revision 1 by bence"), "{second:?}");
    assert_eq!(revision(router), Revision::new(1));
}

#[test]
fn tool_without_an_answer_says_so_and_the_same_command_is_safe() {
    let site = site();
    let meddler = meddler::start(admin(&site, 0), Answers::Lost, || {});
    let set = ["defaults", "set", "wait-weight", "2.5", "--yes", "--reason", "waits are long"];
    let lost = run_at(&[meddler], &set);
    assert_eq!(lost.code, Some(4), "{lost:?}");
    let again = run(&site, &set);
    assert!(again.stdout.contains("nothing to do; revision 1"), "{again:?}");
}

#[test]
fn change_whose_answer_is_lost_is_sent_again_and_made_once() {
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
fn resent_change_gets_its_first_answer_after_a_restart_of_all() {
    let mut site = site();
    let first = change("c-1", "ilka", "[defaults]\nwait-weight = 1.5\n");
    let applied = (200, ChangeAnswer::Applied { revision: Revision::new(1) });
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
    wait_until("a leader is there again", Duration::from_secs(10), resend).unwrap();
    assert_eq!(post(admin(&site, 1), DECLARATION_PATH, &first), applied);
    let other = change("c-1", "ilka", "[defaults]\nwait-weight = 9.5\n");
    let (status, answer) = post::<ChangeAnswer>(admin(&site, 2), DECLARATION_PATH, &other);
    assert_eq!(status, 409);
    assert!(matches!(answer, ChangeAnswer::ReusedId { .. }), "{answer:?}");
}

#[test]
fn change_without_a_majority_is_made_at_most_once_when_it_is_sent_again() {
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
    wait_until("the change is made", Duration::from_secs(20), again).unwrap();
    let history: History = get(admin(&site, leader), HISTORY_PATH);
    assert_eq!(history.changes.len(), 1, "{history:?}");
}

/// More entries of the log than the daemon applies before a snapshot replaces them.
const SNAPSHOT_ENTRIES: usize = 4_200;

#[test]
fn configuration_is_in_force_after_a_restart_of_all_from_a_snapshot() {
    const THREADS: usize = 12;
    let mut site = site();
    let first = change("c-1", "ilka", "[defaults]\nwait-weight = 1.5\n");
    let (status, _) = post::<ChangeAnswer>(admin(&site, 0), DECLARATION_PATH, &first);
    assert_eq!(status, 200);
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let router = admin(&site, thread % site.daemons.len());
            scope.spawn(move || {
                for i in 0..SNAPSHOT_ENTRIES / THREADS {
                    let late = change(&format!("late-{thread}-{i}"), "bence", "");
                    let (status, _) = post::<ChangeAnswer>(router, DECLARATION_PATH, &late);
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
