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
use daemon::PeerResponse;
use fleet::{ChangeReply, Command, Owner, OwnerGone};
use wire::{leader::LeaderRequest, operator::ServingState};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);
const CHANGES: u64 = 300;
/// Number of commands after which each voter has replaced its log by a snapshot.
const SNAPSHOT_COMMANDS: u64 = 4_300;
const MAX_IN_FLIGHT: usize = 64;

fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Starts three voters and a host without a disk.
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

/// Polls the revision of each ready host and records every decrease.
struct RevisionMonitor {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<Vec<String>>>,
}

impl RevisionMonitor {
    fn start(site: &Site) -> Self {
        let admins: Vec<_> = site.daemons.iter().map(|d| d.spec().admin_listen).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let mut last = vec![Revision::ZERO; admins.len()];
            let mut decreases = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for (last, admin) in last.iter_mut().zip(&admins) {
                    let Some(now) = revision(*admin) else { continue };
                    if now < *last {
                        decreases.push(format!("{admin}: {last} then {now}"));
                    }
                    *last = now;
                }
            }
            decreases
        });
        Self { stop, thread: Some(thread) }
    }

    fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let decreases = self.thread.take().unwrap().join().unwrap();
        assert!(decreases.is_empty(), "{decreases:?}");
    }
}

impl Drop for RevisionMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn wait_in_force(site: &Site, number: u64) {
    let begun = Instant::now();
    for daemon in &site.daemons {
        let admin = daemon.spec().admin_listen;
        let in_force = || Some(Revision::new(number)) <= revision(admin);
        wait_until("the change is in force", PROPAGATION_TIMEOUT, in_force).unwrap();
    }
    assert!(begun.elapsed() < PROPAGATION_TIMEOUT);
}

fn restart_all(site: &mut Site) {
    site.daemons.iter_mut().for_each(|daemon| daemon.kill().unwrap());
    site.daemons.iter_mut().for_each(|daemon| daemon.start_again().unwrap());
    site.daemons.iter_mut().for_each(|daemon| daemon.wait_ready(WAIT_TIMEOUT).unwrap());
}

async fn change(site: &Site, number: u64) -> ChangeReply {
    let change = operator::change(&format!("change-{number}"), number, &declaration(number));
    operator::submit_change(&site.daemons, change).await.unwrap()
}

#[test]
fn hundreds_of_changes_survive_kills_partitions_and_a_full_restart() {
    let mut site = site();
    let monitor = RevisionMonitor::start(&site);
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
    monitor.finish();
}

#[test]
fn change_is_in_force_in_time_despite_delay_loss_and_a_one_way_partition() {
    let site = site();
    let monitor = RevisionMonitor::start(&site);
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
    monitor.finish();
}

#[test]
fn lone_voter_restores_the_configuration_after_a_restart() {
    let mut site = site();
    block_on(async { change(&site, 0).await });
    wait_in_force(&site, 1);
    site.daemons.iter_mut().for_each(|daemon| daemon.kill().unwrap());
    site.daemons[0].start_again().unwrap();
    site.daemons[0].wait_ready(WAIT_TIMEOUT).unwrap();
    assert_eq!(revision(site.daemons[0].spec().admin_listen), Some(Revision::new(1)));
}

/// Submits commands to the leader until every voter has replaced its log by a snapshot.
///
/// A voter that lost the lead, as while the disk that all share is slow, answers that it did not take
/// a command; the others are then asked who leads.
async fn fill_log(site: &Site) {
    let owner = Owner { host: "nobody".parse().unwrap(), incarnation: base::Incarnation::new(1) };
    let gone = OwnerGone { owner, at: base::UnixMillis::default() };
    let request = LeaderRequest::Command(Command::OwnerGone(gone));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut applied = 0;
    while applied < SNAPSHOT_COMMANDS {
        assert!(Instant::now() < deadline, "{applied} commands applied in time");
        let leader = operator::leader(&site.daemons).await.unwrap();
        let client = operator::connect(&site.daemons[leader]).await.unwrap();
        let mut leads = true;
        while leads && applied < SNAPSHOT_COMMANDS {
            let batch = (0..MAX_IN_FLIGHT).map(|_| client.submit(&request, WAIT_TIMEOUT));
            for response in futures_util::future::join_all(batch).await {
                match response {
                    Ok(PeerResponse::Answered(_)) => applied += 1,
                    Ok(PeerResponse::NotLeader { .. } | PeerResponse::Unknown) => leads = false,
                    Err(e) => panic!("the leader can't be reached: {e}"),
                }
            }
        }
    }
}

fn has_snapshot(site: &Site, host: usize) -> bool {
    let folder = site.data.path().join(format!("host-{}", host + 1)).join("quorum");
    let files = std::fs::read_dir(folder).unwrap();
    files.flatten().any(|file| file.file_name().to_string_lossy().starts_with("snapshot-"))
}

#[test]
fn resent_change_gets_its_first_reply_after_a_snapshot_and_a_full_restart() {
    let mut site = site();
    block_on(async {
        let first = change(&site, 0).await;
        change(&site, 1).await;
        fill_log(&site).await;
        wait_until("each voter has a snapshot", WAIT_TIMEOUT, || {
            (0..3).all(|host| has_snapshot(&site, host))
        })
        .unwrap();
        let monitor = RevisionMonitor::start(&site);
        wait_in_force(&site, 2);
        restart_all(&mut site);
        wait_in_force(&site, 2);
        assert_eq!(change(&site, 0).await, first);
        assert!(matches!(
            operator::submit_change(&site.daemons, operator::change("other", 0, "")).await,
            Ok(ChangeReply::Conflict { current, .. }) if current == Revision::new(2)
        ));
        monitor.finish();
    });
}

#[test]
fn isolated_leader_accepts_no_change_and_adopts_the_new_configuration() {
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
        let monitor = RevisionMonitor::start(&site);
        let isolated_change = operator::change("lonely", 1, "[defaults]\nclaim-wait = \"7s\"\n");
        let isolated_change = LeaderRequest::Command(Command::Change(isolated_change));
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(4) {
            let response =
                operator::send_request(&site.daemons[leader], &isolated_change).await.unwrap();
            assert!(!matches!(response, PeerResponse::Answered(_)), "{response:?}");
        }
        assert_eq!(change(&site, 1).await, ChangeReply::Changed(Revision::new(2)));
        site.peer_proxies.iter().for_each(bench::Proxy::heal);
        wait_in_force(&site, 2);
        for daemon in &site.daemons {
            let configuration = operator::configuration(daemon).await.unwrap().unwrap();
            assert_eq!(*configuration.declaration, *declaration(1));
        }
        monitor.finish();
    });
}
