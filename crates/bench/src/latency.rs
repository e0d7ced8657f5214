//! `bench latency`: measures the latency that a daemon adds to a direct call, and the daemon's CPU
//! time and memory while it relays streams.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    caller::{self, CompletionSpec, Outcome},
    load::sample_completion,
    process::Program,
    report::{histogram, percentile_ms, record},
    site::{Site, SiteSpec},
    usage::usage,
};

/// Numbers of concurrent streams; each is measured separately.
const STREAM_COUNTS: [usize; 3] = [1, 32, 256];

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);

/// Tokens in each response.
const RESPONSE_TOKENS: u64 = 64;

/// Time between two tokens of a stream at the engine.
const DECODE_TIME_PER_TOKEN: Duration = Duration::from_millis(20);

/// Approximate time of one response.
const RESPONSE_TIME: Duration = Duration::from_millis(1_300);

/// Result for one number of concurrent streams.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyResult {
    /// Concurrent streams.
    pub streams: usize,
    /// Requests without a complete response, on either path.
    pub failed: u64,
    /// Time to first token of a direct call, median, in milliseconds.
    pub direct_ttft_p50_ms: f64,
    /// Time to first token of a direct call, 99th percentile, in milliseconds.
    pub direct_ttft_p99_ms: f64,
    /// Time to first token through the daemon, median, in milliseconds.
    pub routed_ttft_p50_ms: f64,
    /// Time to first token through the daemon, 99th percentile, in milliseconds.
    pub routed_ttft_p99_ms: f64,
    /// Difference of the medians, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub added_p99_ms: f64,
    /// Difference of the median times between tokens, in milliseconds.
    pub added_gap_p50_ms: f64,
    /// Difference of the 99th percentiles of the time between tokens, in milliseconds.
    pub added_gap_p99_ms: f64,
    /// Tokens per second through the daemon.
    pub tokens_per_second: f64,
    /// Requests per second through the daemon.
    pub requests_per_second: f64,
    /// CPU time used by the daemon, in cores.
    pub daemon_cores: f64,
    /// The daemon's resident memory, in MiB.
    pub daemon_mib: f64,
    /// The daemon's threads.
    pub daemon_threads: u64,
}

/// Measurements of one path: direct, or through the daemon.
struct PathStats {
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    tokens: u64,
    responses: u64,
    failed: u64,
    elapsed: Duration,
}

/// Measures direct calls and calls through one daemon in turn.
///
/// # Errors
///
/// Returns an error if the site doesn't start.
pub fn run(program: &Program) -> eyre::Result<Vec<LatencyResult>> {
    let spec = SiteSpec::one_daemon(|cfg| {
        cfg.prefill_token = Duration::ZERO;
        cfg.decode_token = DECODE_TIME_PER_TOKEN;
        cfg.decode_share = Duration::ZERO;
        cfg.max_running = 1_000;
    });
    let site = Site::start(program, spec)?;
    STREAM_COUNTS.into_iter().map(|streams| measure(&site, streams)).collect()
}

fn measure(site: &Site, streams: usize) -> eyre::Result<LatencyResult> {
    let engines: Vec<_> = site.engines.iter().map(|node| node.proxy.address()).collect();
    let direct = run_streams(site, &engines, streams);
    let pid = site.daemons[0].pid();
    let before = usage(pid)?;
    let routed = run_streams(site, &site.routers(), streams);
    let after = usage(pid)?;
    let seconds = routed.elapsed.as_secs_f64();
    let p = percentile_ms;
    Ok(LatencyResult {
        streams,
        failed: direct.failed + routed.failed,
        direct_ttft_p50_ms: p(&direct.first_token, 50.0),
        direct_ttft_p99_ms: p(&direct.first_token, 99.0),
        routed_ttft_p50_ms: p(&routed.first_token, 50.0),
        routed_ttft_p99_ms: p(&routed.first_token, 99.0),
        added_p50_ms: p(&routed.first_token, 50.0) - p(&direct.first_token, 50.0),
        added_p99_ms: p(&routed.first_token, 99.0) - p(&direct.first_token, 99.0),
        added_gap_p50_ms: p(&routed.gap, 50.0) - p(&direct.gap, 50.0),
        added_gap_p99_ms: p(&routed.gap, 99.0) - p(&direct.gap, 99.0),
        tokens_per_second: routed.tokens as f64 / seconds,
        requests_per_second: routed.responses as f64 / seconds,
        daemon_cores: (after.cpu - before.cpu).as_secs_f64() / seconds,
        daemon_mib: after.mib,
        daemon_threads: after.threads,
    })
}

/// Runs `streams` concurrent streams for [`MEASUREMENT_DURATION`].
fn run_streams(site: &Site, targets: &[SocketAddr], streams: usize) -> PathStats {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let tasks = tokio::task::LocalSet::new();
    let path = Rc::new(RefCell::new(PathStats::new()));
    let started = Instant::now();
    tasks.block_on(&runtime, async {
        let streams = (0..streams).map(|number| {
            let target = targets[number % targets.len()];
            let spec = sample_completion(site, number as u64, RESPONSE_TOKENS);
            let offset = RESPONSE_TIME.mul_f64(number as f64 / streams as f64);
            tokio::task::spawn_local(repeat_completion(
                spec,
                target,
                offset,
                started + MEASUREMENT_DURATION,
                Rc::clone(&path),
            ))
        });
        for stream in streams.collect::<Vec<_>>() {
            stream.await.expect("a caller doesn't panic");
        }
    });
    let mut path = path.replace(PathStats::new());
    path.elapsed = started.elapsed();
    path
}

/// Requests completions one after another; `offset` spreads the streams over one response time.
async fn repeat_completion(
    spec: CompletionSpec,
    target: SocketAddr,
    offset: Duration,
    until: Instant,
    path: Rc<RefCell<PathStats>>,
) {
    tokio::time::sleep(offset).await;
    while Instant::now() < until {
        let outcome = caller::complete(target, &spec).await;
        path.borrow_mut().count(outcome);
    }
}

impl PathStats {
    fn new() -> Self {
        Self {
            first_token: histogram(),
            gap: histogram(),
            tokens: 0,
            responses: 0,
            failed: 0,
            elapsed: Duration::ZERO,
        }
    }

    fn count(&mut self, outcome: Outcome) {
        let Outcome::Answered(timing) = outcome else {
            self.failed += 1;
            return;
        };
        self.responses += 1;
        self.tokens += RESPONSE_TOKENS;
        record(&mut self.first_token, timing.first_token);
        for gap in timing.gaps {
            record(&mut self.gap, gap);
        }
    }
}

/// Returns the results as a table.
pub fn table(results: &[LatencyResult]) -> String {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header([
        "streams",
        "failed",
        "added TTFT p50 ms",
        "p99",
        "added gap p50 ms",
        "p99",
        "tokens/s",
        "requests/s",
        "cores",
        "MiB",
        "threads",
    ]);
    for result in results {
        table.add_row([
            result.streams.to_string(),
            result.failed.to_string(),
            format!("{:.2}", result.added_p50_ms),
            format!("{:.2}", result.added_p99_ms),
            format!("{:.2}", result.added_gap_p50_ms),
            format!("{:.2}", result.added_gap_p99_ms),
            format!("{:.0}", result.tokens_per_second),
            format!("{:.1}", result.requests_per_second),
            format!("{:.2}", result.daemon_cores),
            format!("{:.1}", result.daemon_mib),
            result.daemon_threads.to_string(),
        ]);
    }
    table.to_string()
}
