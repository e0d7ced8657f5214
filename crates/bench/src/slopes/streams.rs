//! Resource use of a daemon, by the number of its streams.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller::{self, CompletionSpec, Outcome},
    load::sample_completion,
    process::Program,
    site::{Site, SiteSpec},
    usage::usage,
};

use super::Slope;

const STREAMS: [usize; 5] = [1, 125, 250, 500, 1_000];

/// Time between two tokens of a stream.
const DECODE_TIME: Duration = Duration::from_millis(79);

/// Tokens of a response.
const TOKENS: u64 = 48;

/// Time over which the streams' starts are spread: about the duration of one response.
const RAMP_UP: Duration = Duration::from_millis(3_800);

/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// Resource use of the daemon at a number of streams.
struct DaemonUsage {
    cores: f64,
    mib: f64,
}

/// Measures one daemon at a fixed rate of tokens per stream.
pub(super) fn slopes(program: &Program) -> eyre::Result<Vec<Slope>> {
    let spec = SiteSpec::one_daemon(|cfg| {
        cfg.prefill_token = Duration::ZERO;
        cfg.decode_token = DECODE_TIME;
        cfg.decode_share = Duration::ZERO;
        cfg.max_running = 2_000;
    });
    let site = Site::start(program, spec)?;
    let mut measured = Vec::new();
    for streams in STREAMS {
        measured.push((streams, measure(&site, streams)?));
        eprintln!("  {streams} streams");
    }
    let fit = |name, unit_y, y: fn(&DaemonUsage) -> f64| {
        let points =
            measured.iter().map(|(streams, daemon_usage)| [*streams as f64, y(daemon_usage)]);
        Slope::fit(name, "streams of 12.7 tokens/s", unit_y, points.collect())
    };
    Ok(vec![
        fit("streams/daemon processor time", "cores", |daemon_usage| daemon_usage.cores),
        fit("streams/daemon memory", "MiB", |daemon_usage| daemon_usage.mib),
    ])
}

fn measure(site: &Site, streams: usize) -> eyre::Result<DaemonUsage> {
    let pid = site.daemons[0].pid();
    let failed = AtomicU64::new(0);
    let until = Instant::now() + RAMP_UP + MEASUREMENT_TIME;
    let daemon_usage = thread::scope(|scope| {
        scope.spawn(|| run_streams(site, streams, until, &failed));
        thread::sleep(RAMP_UP);
        let before = usage(pid)?;
        thread::sleep(MEASUREMENT_TIME);
        let after = usage(pid)?;
        let cores = (after.cpu - before.cpu).as_secs_f64() / MEASUREMENT_TIME.as_secs_f64();
        eyre::Ok(DaemonUsage { cores, mib: after.mib })
    })?;
    let failed = failed.load(Ordering::Relaxed);
    eyre::ensure!(failed == 0, "incomplete responses: {failed}, streams: {streams}");
    Ok(daemon_usage)
}

/// Runs `streams` concurrent streams, each restarted when it ends, until `until`.
fn run_streams(site: &Site, streams: usize, until: Instant, failed: &AtomicU64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let target = site.routers()[0];
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let streams = (0..streams).map(|number| {
            let offset = RAMP_UP.mul_f64(number as f64 / streams as f64);
            stream(target, sample_completion(site, number as u64, TOKENS), offset, until, failed)
        });
        futures_util::future::join_all(streams).await;
    });
}

async fn stream(
    target: SocketAddr,
    request: CompletionSpec,
    offset: Duration,
    until: Instant,
    failed: &AtomicU64,
) {
    tokio::time::sleep(offset).await;
    while Instant::now() < until {
        if !matches!(caller::complete(target, &request).await, Outcome::Answered(_)) {
            failed.fetch_add(1, Ordering::Relaxed);
        }
    }
}
