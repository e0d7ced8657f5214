//! Measures the quorum: commits, restarts, elections and how fast a change is in force.

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

/// Time of one measurement of commits.
const SPAN: Duration = Duration::from_secs(2);

/// Time of the measurement at rest.
const IDLE: Duration = Duration::from_secs(3);

/// Delay between data centres, one way.
const DELAY: Duration = Duration::from_millis(5);

/// Claims under way at once.
const CONCURRENCY: [usize; 3] = [1, 16, 128];

const VOTERS: [usize; 2] = [3, 5];

/// Times that the leader is killed, and changes timed.
const SAMPLES: u64 = 5;

/// Time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Changes before a restart.
const CHANGES: [u64; 2] = [1_000, 100_000];

/// Entries in one sync of a prepared log.
const BATCH: u64 = 500;

/// Entries after which a snapshot replaces a prepared log, as in the daemon.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Ticks of processor time in a second, as Linux counts them for processes.
const TICKS_PER_SECOND: f64 = 100.0;

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct QuorumFigures {
    /// Commits under load.
    pub commits: Vec<CommitFigures>,
    /// Processor time of all voters in a second at rest, in microseconds.
    pub idle_cpu_us: f64,
    /// Bytes written to disk by all voters in a second at rest.
    pub idle_disk_bytes: f64,
    /// From the leader's death to the next answer of a leader, in milliseconds.
    pub leaderless_ms: Vec<f64>,
    /// From sending a change until it was in force on all hosts, in milliseconds.
    pub in_force_ms: Vec<f64>,
    /// Opening and replaying a voter's folder in this process.
    pub restarts: Vec<RestartFigures>,
}

/// Commits of claims and their releases at one concurrency.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CommitFigures {
    /// Voters.
    pub voters: usize,
    /// Delay between hosts, one way, in milliseconds.
    pub delay_ms: u64,
    /// Claims under way at once.
    pub concurrency: usize,
    /// Commits a second.
    pub per_second: f64,
    /// Median time of a claim's commit, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Processor time of all voters for a commit, in microseconds.
    pub cpu_us: f64,
    /// Bytes written to disk by all voters for a commit.
    pub disk_bytes: f64,
}

/// A restart after many changes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RestartFigures {
    /// Changes before it.
    pub changes: u64,
    /// Its time, in milliseconds.
    pub millis: f64,
}

/// What processes have used.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_us: f64,
    disk_bytes: f64,
}

/// Measures the quorum.
///
/// # Errors
///
/// Returns an error if a site doesn't come up or stops answering.
pub fn run(program: &Program, seed: u64) -> eyre::Result<QuorumFigures> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut commits = Vec::new();
        for voters in VOTERS {
            let site = start(program, voters, seed)?;
            commits.extend(measure_commits(&site, voters, Duration::ZERO).await?);
            site.peer_proxies.iter().for_each(|proxy| proxy.set(Fault::delay(DELAY)));
            commits.extend(measure_commits(&site, voters, DELAY).await?);
        }
        let mut site = start(program, VOTERS[0], seed)?;
        let before = usage(&site.daemons)?;
        tokio::time::sleep(IDLE).await;
        let idle = usage(&site.daemons)?.since(before);
        let in_force_ms = measure_changes(&site).await?;
        let leaderless_ms = measure_elections(&mut site).await?;
        Ok(QuorumFigures {
            commits,
            idle_cpu_us: idle.cpu_us / IDLE.as_secs_f64(),
            idle_disk_bytes: idle.disk_bytes / IDLE.as_secs_f64(),
            leaderless_ms,
            in_force_ms,
            restarts: CHANGES.into_iter().map(measure_restart).collect::<Result<_, _>>()?,
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
) -> eyre::Result<Vec<CommitFigures>> {
    let mut figures = Vec::new();
    for concurrency in CONCURRENCY {
        let leader = operator::leader(&site.daemons).await?;
        let client = operator::connect(&site.daemons[leader]).await?;
        let before = usage(&site.daemons)?;
        let begun = Instant::now();
        let claimers = (0..concurrency).map(|number| claim_for_a_while(&client, number, begun));
        let latencies = future::try_join_all(claimers).await?;
        let elapsed = begun.elapsed().as_secs_f64();
        let used = usage(&site.daemons)?.since(before);
        let mut histogram = Histogram::<u64>::new(3)?;
        for latency in latencies.into_iter().flatten() {
            histogram.record(u64::try_from(latency.as_micros())?)?;
        }
        let commits = 2.0 * histogram.len() as f64;
        figures.push(CommitFigures {
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
    Ok(figures)
}

/// Claims calls and releases them; returns how long each claim's commit took.
async fn claim_for_a_while(
    client: &PeerClient,
    number: usize,
    begun: Instant,
) -> eyre::Result<Vec<Duration>> {
    let organisation: OrganisationId = format!("organisation-{number}").parse()?;
    let owner = Owner { host: "bench".parse()?, incarnation: Incarnation::new(1) };
    let mut latencies = Vec::new();
    while begun.elapsed() < SPAN {
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
    let answer = client.submit(&LeaderRequest::Command(command), ANSWER_TIMEOUT).await?;
    let committed = matches!(answer, PeerResponse::Answered(LeaderResponse::Reply(_)));
    ensure!(committed, "not committed: {answer:?}");
    Ok(())
}

async fn measure_changes(site: &Site) -> eyre::Result<Vec<f64>> {
    let mut millis = Vec::new();
    for number in 0..SAMPLES {
        let change = operator::change(&format!("change-{number}"), number, "");
        let begun = Instant::now();
        let reply = operator::submit_change(&site.daemons, change).await?;
        let ChangeReply::Changed(revision) = reply else { eyre::bail!("refused: {reply:?}") };
        for daemon in &site.daemons {
            while operator::configuration(daemon).await?.is_none_or(|c| c.revision < revision) {}
        }
        millis.push(in_millis(begun.elapsed()));
    }
    Ok(millis)
}

async fn measure_elections(site: &mut Site) -> eyre::Result<Vec<f64>> {
    let mut millis = Vec::new();
    for _ in 0..SAMPLES {
        let leader = operator::leader(&site.daemons).await?;
        site.daemons[leader].kill()?;
        let begun = Instant::now();
        operator::leader(&site.daemons).await?;
        millis.push(in_millis(begun.elapsed()));
        site.daemons[leader].start_again()?;
        site.daemons[leader].wait_ready(ANSWER_TIMEOUT)?;
    }
    Ok(millis)
}

/// Times the opening of a folder that has taken `changes`, in this process.
fn measure_restart(changes: u64) -> eyre::Result<RestartFigures> {
    let folder = tempfile::tempdir()?;
    write_changes(folder.path(), changes)?;
    let begun = Instant::now();
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
    let millis = in_millis(begun.elapsed());
    ensure!(fleet.revision().as_u64() == changes, "changes are missing");
    Ok(RestartFigures { changes, millis })
}

fn write_changes(folder: &std::path::Path, changes: u64) -> eyre::Result<()> {
    let (mut log, _) = Log::open(folder, RealDisk, FolderId::new(1))?;
    let mut fleet = Fleet::default();
    let mut covered = 0;
    for first in (0..changes).step_by(usize::try_from(BATCH)?) {
        let mut entries = Vec::new();
        for number in first..changes.min(first + BATCH) {
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
        if SNAPSHOT_ENTRIES <= applied.as_u64() - covered {
            covered = applied.as_u64();
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
        let written: u64 = written.wrap_err("no count of bytes written")?.parse()?;
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

impl fmt::Display for QuorumFigures {
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
        writeln!(f, "idle second: {:.0} us, {:.0} B", self.idle_cpu_us, self.idle_disk_bytes)?;
        writeln!(f, "without a leader, ms: {:.0?}", self.leaderless_ms)?;
        writeln!(f, "change in force on all, ms: {:.0?}", self.in_force_ms)?;
        for restart in &self.restarts {
            writeln!(f, "restart after {} changes: {:.1} ms", restart.changes, restart.millis)?;
        }
        Ok(())
    }
}
