//! Accepted changes are in force everywhere within seconds and never revert.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use base::Revision;
use bench::{
    Fault, operator,
    process::{Program, wait_until},
    site::{Site, SiteSpec},
};
use daemon::PeerAnswer;
use fleet::{ChangeReply, Command, Owner, OwnerGone};
use wire::{leader::LeaderRequest, operator::ServingState};

const PATIENCE: Duration = Duration::from_secs(20);
const IN_FORCE: Duration = Duration::from_secs(5);
const CHANGES: u64 = 300;
/// Commands after which each voter has replaced its log by a snapshot.
const COMMANDS: u64 = 4_300;
const UNDER_WAY: usize = 64;

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Three voters and a host without a disk.
fn site() -> Site {
    let daemons = vec!["a", "b", "c", "a"];
    let spec = SiteSpec { daemons, engines: vec![], services: vec![], ..SiteSpec::small() };
    Site::start(&program(), spec).unwrap()
}

fn declaration(number: u64) -> String {
    format!("[defaults]\nclaim-wait = \"{}ms\"\n", 1_000 + number)
}

fn revision(admin: SocketAddr) -> Option<Revision> {
    let status = operator::status(admin).ok()?;
    (status.state == ServingState::Ready).then_some(status.revision)
}

/// Watches the revision of each host that is ready; none may ever go down.
struct Watch {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<Vec<String>>>,
}

impl Watch {
    fn start(site: &Site) -> Self {
        let admins: Vec<_> = site.daemons.iter().map(|d| d.spec().admin_listen).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let mut last = vec![Revision::ZERO; admins.len()];
            let mut fallen = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for (last, admin) in last.iter_mut().zip(&admins) {
                    let Some(now) = revision(*admin) else { continue };
                    if now < *last {
                        fallen.push(format!("{admin}: {last} then {now}"));
                    }
                    *last = now;
                }
            }
            fallen
        });
        Self { stop, thread: Some(thread) }
    }

    fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let fallen = self.thread.take().unwrap().join().unwrap();
        assert!(fallen.is_empty(), "{fallen:?}");
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn wait_in_force(site: &Site, number: u64) {
    let begun = Instant::now();
    for daemon in &site.daemons {
        let admin = daemon.spec().admin_listen;
        let in_force = || Some(Revision::new(number)) <= revision(admin);
        wait_until("the change is in force", IN_FORCE, in_force).unwrap();
    }
    assert!(begun.elapsed() < IN_FORCE);
}

fn restart_all(site: &mut Site) {
    site.daemons.iter_mut().for_each(|daemon| daemon.kill().unwrap());
    site.daemons.iter_mut().for_each(|daemon| daemon.start_again().unwrap());
    site.daemons.iter_mut().for_each(|daemon| daemon.wait_ready(PATIENCE).unwrap());
}

async fn change(site: &Site, number: u64) -> ChangeReply {
    let change = operator::change(&format!("change-{number}"), number, &declaration(number));
    operator::submit_change(&site.daemons, change).await.unwrap()
}

#[test]
fn hundreds_of_changes_survive_kills_cuts_and_a_restart_of_all() {
    let mut site = site();
    let watch = Watch::start(&site);
    block_on(async {
        for number in 0..CHANGES {
            let reply = change(&site, number).await;
            assert_eq!(reply, ChangeReply::Changed(Revision::new(number + 1)));
            match number {
                60 => {
                    let leader = operator::leader(&site.daemons).await.unwrap();
                    site.daemons[leader].restart().unwrap();
                }
                120 => site.daemons[3].restart().unwrap(),
                180 => {
                    let leader = operator::leader(&site.daemons).await.unwrap();
                    site.peer_proxies[leader].set(Fault::partition());
                }
                240 => site.peer_proxies.iter().for_each(bench::Proxy::heal),
                _ => {}
            }
        }
        wait_in_force(&site, CHANGES);
        restart_all(&mut site);
        wait_in_force(&site, CHANGES);
        let reply = change(&site, CHANGES).await;
        assert_eq!(reply, ChangeReply::Changed(Revision::new(CHANGES + 1)));
        wait_in_force(&site, CHANGES + 1);
    });
    watch.finish();
}

#[test]
fn change_is_in_force_in_time_over_delay_loss_and_a_one_way_cut() {
    let site = site();
    let watch = Watch::start(&site);
    let lossy = Fault { loss: 0.02, ..Fault::delay(Duration::from_millis(5)) };
    site.peer_proxies.iter().for_each(|proxy| proxy.set(lossy.clone()));
    block_on(async {
        let leader = operator::leader(&site.daemons).await.unwrap();
        let ip = site.daemons[leader].spec().listen.ip();
        let one_way = Fault { hold_requests: true, ..lossy };
        site.peer_proxies[(leader + 1) % 3].set_for(ip, one_way);
        for number in 0..20 {
            let reply = change(&site, number).await;
            assert_eq!(reply, ChangeReply::Changed(Revision::new(number + 1)));
            wait_in_force(&site, number + 1);
        }
    });
    watch.finish();
}

#[test]
fn voter_alone_keeps_the_configuration_in_force_over_a_restart() {
    let mut site = site();
    block_on(async { change(&site, 0).await });
    wait_in_force(&site, 1);
    site.daemons.iter_mut().for_each(|daemon| daemon.kill().unwrap());
    site.daemons[0].start_again().unwrap();
    site.daemons[0].wait_ready(PATIENCE).unwrap();
    assert_eq!(revision(site.daemons[0].spec().admin_listen), Some(Revision::new(1)));
}

/// Has the leader write commands until every voter has replaced its log by a snapshot.
async fn fill_log(site: &Site) {
    let owner = Owner { host: "nobody".parse().unwrap(), incarnation: base::Incarnation::new(1) };
    let gone = OwnerGone { owner, at: base::UnixMillis::default() };
    let request = LeaderRequest::Command(Command::OwnerGone(gone));
    let leader = operator::leader(&site.daemons).await.unwrap();
    let client = operator::connect(&site.daemons[leader]).await.unwrap();
    let mut answered = 0;
    while answered < COMMANDS {
        let batch = (0..UNDER_WAY).map(|_| client.submit(&request, PATIENCE));
        for answer in futures_util::future::join_all(batch).await {
            assert!(matches!(answer, Ok(PeerAnswer::Answered(_))), "{answer:?}");
            answered += 1;
        }
    }
}

fn has_snapshot(site: &Site, host: usize) -> bool {
    let folder = site.data.path().join(format!("host-{}", host + 1)).join("quorum");
    let files = std::fs::read_dir(folder).unwrap();
    files.flatten().any(|file| file.file_name().to_string_lossy().starts_with("snapshot-"))
}

#[test]
fn resent_change_gets_its_first_answer_after_a_snapshot_and_a_restart_of_all() {
    let mut site = site();
    block_on(async {
        let first = change(&site, 0).await;
        change(&site, 1).await;
        fill_log(&site).await;
        wait_until("each voter has a snapshot", PATIENCE, || {
            (0..3).all(|host| has_snapshot(&site, host))
        })
        .unwrap();
        let watch = Watch::start(&site);
        wait_in_force(&site, 2);
        restart_all(&mut site);
        wait_in_force(&site, 2);
        assert_eq!(change(&site, 0).await, first);
        assert!(matches!(
            operator::submit_change(&site.daemons, operator::change("other", 0, "")).await,
            Ok(ChangeReply::Conflict { current, .. }) if current == Revision::new(2)
        ));
        watch.finish();
    });
}

#[test]
fn leader_cut_off_for_long_accepts_nothing_and_comes_back_to_the_others_word() {
    let site = site();
    block_on(async {
        change(&site, 0).await;
        wait_in_force(&site, 1);
        let leader = operator::leader(&site.daemons).await.unwrap();
        let ip = site.daemons[leader].spec().listen.ip();
        for (host, proxy) in site.peer_proxies.iter().enumerate() {
            if host == leader {
                proxy.set(Fault::partition());
            } else {
                proxy.set_for(ip, Fault::partition());
            }
        }
        let watch = Watch::start(&site);
        let lonely = operator::change("lonely", 1, "[defaults]\nclaim-wait = \"7s\"\n");
        let lonely = LeaderRequest::Command(Command::Change(lonely));
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(4) {
            let answer = operator::send_request(&site.daemons[leader], &lonely).await.unwrap();
            assert!(!matches!(answer, PeerAnswer::Answered(_)), "{answer:?}");
        }
        assert_eq!(change(&site, 1).await, ChangeReply::Changed(Revision::new(2)));
        site.peer_proxies.iter().for_each(bench::Proxy::heal);
        wait_in_force(&site, 2);
        for daemon in &site.daemons {
            let held = operator::configuration(daemon).await.unwrap().unwrap();
            assert_eq!(*held.declaration, *declaration(1));
        }
        watch.finish();
    });
}
