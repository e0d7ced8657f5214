//! `bench quorum`: measures commits, restarts, elections and the time until a change is in force.

use std::{
    fmt, fs,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Digest, IdempotencyKey, Incarnation, LogIndex, OrganisationId, Term, UnixMillis};
use daemon::{PeerClient, PeerResponse};
use eyre::{ContextCompat as _, ensure};
use fleet::{CallKey, ChangeReply, Claim, ClaimId, Command, Fleet, Owner, Release};
use futures_util::future;
use hdrhistogram::Histogram;
use quorum::{Entry, FolderId, Payload, Snapshot, VoterSet};
use serde::Serialize;
use store::{Log, RealDisk};
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::{
    Fault, operator,
    process::{Daemon, Program},
    site::{Site, SiteSpec},
};

/// Duration of one measurement of commits.
const COMMIT_DURATION: Duration = Duration::from_secs(2);

/// Duration of the measurement without load.
const IDLE_DURATION: Duration = Duration::from_secs(3);

/// One-way delay between data centres.
const ONE_WAY_DELAY: Duration = Duration::from_millis(5);

/// Numbers of concurrent claims.
const CONCURRENCIES: [usize; 3] = [1, 16, 128];

/// Numbers of voters.
const VOTER_COUNTS: [usize; 2] = [3, 5];

/// Number of elections and of changes to measure.
const SAMPLE_COUNT: u64 = 5;

/// Time limit of one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Numbers of changes before a restart.
const CHANGE_COUNTS: [u64; 2] = [1_000, 100_000];

/// Entries per sync while writing a log.
const ENTRIES_PER_SYNC: u64 = 500;

/// Entries after which the written log is replaced by a snapshot, as in the daemon.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Clock ticks per second in which Linux counts a process's CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Results of the measurements.
#[derive(Clone, Debug, Serialize)]
pub struct QuorumReport {
    /// Commits under load.
    pub commits: Vec<CommitReport>,
    /// CPU time of all voters per second without load, in microseconds.
    pub idle_cpu_us: f64,
    /// Bytes written to disk by all voters per second without load.
    pub idle_disk_bytes: f64,
    /// From the leader's kill to the first response of a new leader, in milliseconds.
    pub leaderless_ms: Vec<f64>,
    /// From sending a change until it is in force on all hosts, in milliseconds.
    pub in_force_ms: Vec<f64>,
    /// Times to open and replay a voter's data folder in this process.
    pub restarts: Vec<RestartReport>,
}

/// Commits of claims and releases at one concurrency.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CommitReport {
    /// Number of voters.
    pub voters: usize,
    /// One-way delay between hosts, in milliseconds.
    pub delay_ms: u64,
    /// Concurrent claims.
    pub concurrency: usize,
    /// Commits per second.
    pub per_second: f64,
    /// Median time to commit a claim, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to commit a claim, in milliseconds.
    pub p99_ms: f64,
    /// CPU time of all voters per commit, in microseconds.
    pub cpu_us: f64,
    /// Bytes written to disk by all voters per commit.
    pub disk_bytes: f64,
}

/// A restart after many changes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RestartReport {
    /// Changes before the restart.
    pub changes: u64,
    /// Time to open and replay the data folder, in milliseconds.
    pub millis: f64,
}

/// CPU time and disk writes of a group of processes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_us: f64,
    disk_bytes: f64,
}

/// Measures the quorum.
///
/// # Errors
///
/// Returns an error if a site doesn't start or stops responding.
pub fn run(program: &Program, seed: u64) -> eyre::Result<QuorumReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut commits = Vec::new();
        for voters in VOTER_COUNTS {
            let site = start(program, voters, seed)?;
            commits.extend(measure_commits(&site, voters, Duration::ZERO).await?);
            site.peer_proxies.iter().for_each(|proxy| proxy.set(Fault::delay(ONE_WAY_DELAY)));
            commits.extend(measure_commits(&site, voters, ONE_WAY_DELAY).await?);
        }
        let mut site = start(program, VOTER_COUNTS[0], seed)?;
        let before = usage(&site.daemons)?;
        tokio::time::sleep(IDLE_DURATION).await;
        let idle = usage(&site.daemons)?.since(before);
        let in_force_ms = measure_changes(&site).await?;
        let leaderless_ms = measure_elections(&mut site).await?;
        Ok(QuorumReport {
            commits,
            idle_cpu_us: idle.cpu_us / IDLE_DURATION.as_secs_f64(),
            idle_disk_bytes: idle.disk_bytes / IDLE_DURATION.as_secs_f64(),
            leaderless_ms,
            in_force_ms,
            restarts: CHANGE_COUNTS.into_iter().map(measure_restart).collect::<Result<_, _>>()?,
        })
    })
}

fn start(program: &Program, voters: usize, seed: u64) -> eyre::Result<Site> {
    let daemons = ["a", "b", "c", "a", "b"][..voters].to_vec();
    let spec =
        SiteSpec { daemons, voters, engines: vec![], services: vec![], seed, ..SiteSpec::small() };
    Site::start(program, spec)
}

async fn measure_commits(
    site: &Site,
    voters: usize,
    delay: Duration,
) -> eyre::Result<Vec<CommitReport>> {
    let mut reports = Vec::new();
    for concurrency in CONCURRENCIES {
        let leader = operator::leader(&site.daemons).await?;
        let client = operator::connect(&site.daemons[leader]).await?;
        let before = usage(&site.daemons)?;
        let started = Instant::now();
        let claimers = (0..concurrency).map(|number| run_claims(&client, number, started));
        let latencies = future::try_join_all(claimers).await?;
        let elapsed = started.elapsed().as_secs_f64();
        let used = usage(&site.daemons)?.since(before);
        let mut histogram = Histogram::<u64>::new(3)?;
        for latency in latencies.into_iter().flatten() {
            histogram.record(u64::try_from(latency.as_micros())?)?;
        }
        let commits = 2.0 * histogram.len() as f64;
        reports.push(CommitReport {
            voters,
            delay_ms: u64::try_from(delay.as_millis())?,
            concurrency,
            per_second: commits / elapsed,
            p50_ms: histogram.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: histogram.value_at_quantile(0.99) as f64 / 1e3,
            cpu_us: used.cpu_us / commits,
            disk_bytes: used.disk_bytes / commits,
        });
    }
    Ok(reports)
}

/// Claims and releases calls for [`COMMIT_DURATION`]; returns the time to commit each claim.
async fn run_claims(
    client: &PeerClient,
    number: usize,
    started: Instant,
) -> eyre::Result<Vec<Duration>> {
    let organisation: OrganisationId = format!("organisation-{number}").parse()?;
    let owner = Owner { host: "bench".parse()?, incarnation: Incarnation::new(1) };
    let mut latencies = Vec::new();
    while started.elapsed() < COMMIT_DURATION {
        let id: u128 = rand::random();
        let key: IdempotencyKey = format!("{id:032x}").parse()?;
        let claim = Claim {
            call: CallKey { organisation: organisation.clone(), key },
            request: Digest::of(b"100 diaries"),
            id: ClaimId::new(id),
            owner: owner.clone(),
            at: UnixMillis::default(),
        };
        let release = Release {
            call: claim.call.clone(),
            request: claim.request,
            id: claim.id,
            owner: claim.owner.clone(),
            at: claim.at,
        };
        let sent = Instant::now();
        commit(client, Command::Claim(claim)).await?;
        latencies.push(sent.elapsed());
        commit(client, Command::Release(release)).await?;
    }
    Ok(latencies)
}

async fn commit(client: &PeerClient, command: Command) -> eyre::Result<()> {
    let response = client.submit(&LeaderRequest::Command(command), RESPONSE_TIMEOUT).await?;
    let committed = matches!(response, PeerResponse::Answered(LeaderResponse::Reply(_)));
    ensure!(committed, "command not committed: {response:?}");
    Ok(())
}

async fn measure_changes(site: &Site) -> eyre::Result<Vec<f64>> {
    let mut millis = Vec::new();
    for number in 0..SAMPLE_COUNT {
        let change = operator::change(&format!("change-{number}"), number, "");
        let started = Instant::now();
        let reply = operator::submit_change(&site.daemons, change).await?;
        let ChangeReply::Changed(revision) = reply else {
            eyre::bail!("change refused: {reply:?}")
        };
        for daemon in &site.daemons {
            while operator::configuration(daemon).await?.is_none_or(|c| c.revision < revision) {}
        }
        millis.push(in_millis(started.elapsed()));
    }
    Ok(millis)
}

async fn measure_elections(site: &mut Site) -> eyre::Result<Vec<f64>> {
    let mut millis = Vec::new();
    for _ in 0..SAMPLE_COUNT {
        let leader = operator::leader(&site.daemons).await?;
        site.daemons[leader].kill()?;
        let started = Instant::now();
        operator::leader(&site.daemons).await?;
        millis.push(in_millis(started.elapsed()));
        site.daemons[leader].start_again()?;
        site.daemons[leader].wait_ready(RESPONSE_TIMEOUT)?;
    }
    Ok(millis)
}

/// Measures the time to open a data folder that holds `changes` changes, in this process.
fn measure_restart(changes: u64) -> eyre::Result<RestartReport> {
    let folder = tempfile::tempdir()?;
    write_changes(folder.path(), changes)?;
    let started = Instant::now();
    let (_log, restored) = Log::open(folder.path(), RealDisk, FolderId::new(1))?;
    let mut fleet = match &restored.snapshot {
        Some(snapshot) => Fleet::from_snapshot(&snapshot.data)?,
        None => Fleet::default(),
    };
    for entry in &restored.entries {
        if let Payload::Command(command) = &entry.payload {
            fleet.apply(entry.index, &Command::from_bytes(command)?);
        }
    }
    let millis = in_millis(started.elapsed());
    ensure!(fleet.revision().as_u64() == changes, "some changes were not restored");
    Ok(RestartReport { changes, millis })
}

fn write_changes(folder: &std::path::Path, changes: u64) -> eyre::Result<()> {
    let (mut log, _) = Log::open(folder, RealDisk, FolderId::new(1))?;
    let mut fleet = Fleet::default();
    let mut snapshot_index = 0;
    for first in (0..changes).step_by(usize::try_from(ENTRIES_PER_SYNC)?) {
        let mut entries = Vec::new();
        for number in first..changes.min(first + ENTRIES_PER_SYNC) {
            let text = format!("[defaults]\nclaim-wait = \"{}ms\"\n", 1_000 + number % 1_000);
            let change = operator::change(&format!("change-{number}"), number, &text);
            let command = Command::Change(change);
            let index = LogIndex::new(number + 1);
            fleet.apply(index, &command);
            let payload = Payload::Command(Arc::from(command.to_bytes()));
            entries.push(Entry { index, term: Term::new(1), payload });
        }
        log.stage(None, &entries);
        log.sync()?;
        let applied = fleet.applied();
        if SNAPSHOT_ENTRIES <= applied.as_u64() - snapshot_index {
            snapshot_index = applied.as_u64();
            log.save_snapshot(&Snapshot {
                last_index: applied,
                last_term: Term::new(1),
                voters: VoterSet::default(),
                data: fleet.to_snapshot().into(),
            })?;
        }
    }
    Ok(())
}

fn usage(daemons: &[Daemon]) -> eyre::Result<Usage> {
    let mut sum = Usage::default();
    for daemon in daemons {
        let pid = daemon.pid();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        let ticks: u64 = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        sum.cpu_us += ticks as f64 / TICKS_PER_SECOND * 1e6;
        let io = fs::read_to_string(format!("/proc/{pid}/io"))?;
        let written = io.lines().find_map(|line| line.strip_prefix("write_bytes: "));
        let written: u64 = written.wrap_err("the process has no write_bytes counter")?.parse()?;
        sum.disk_bytes += written as f64;
    }
    Ok(sum)
}

fn in_millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl Usage {
    fn since(self, before: Self) -> Self {
        Self {
            cpu_us: self.cpu_us - before.cpu_us,
            disk_bytes: self.disk_bytes - before.disk_bytes,
        }
    }
}

impl fmt::Display for QuorumReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "voters delay/ms claims commits/s p50/ms p99/ms cpu/us disk/B")?;
        for row in &self.commits {
            writeln!(
                f,
                "{:6} {:8} {:6} {:9.0} {:6.2} {:6.2} {:6.0} {:6.0}",
                row.voters,
                row.delay_ms,
                row.concurrency,
                row.per_second,
                row.p50_ms,
                row.p99_ms,
                row.cpu_us,
                row.disk_bytes
            )?;
        }
        writeln!(f, "idle, per second: {:.0} us, {:.0} B", self.idle_cpu_us, self.idle_disk_bytes)?;
        writeln!(f, "time without a leader, ms: {:.0?}", self.leaderless_ms)?;
        writeln!(f, "time until a change is in force on all hosts, ms: {:.0?}", self.in_force_ms)?;
        for restart in &self.restarts {
            writeln!(f, "restart after {} changes: {:.1} ms", restart.changes, restart.millis)?;
        }
        Ok(())
    }
}
