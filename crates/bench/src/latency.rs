//! `bench latency`: what a daemon adds to a direct call, and what it takes to carry streams.

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

/// Streams at once, a measurement each.
const STREAMS: [usize; 3] = [1, 32, 256];

/// How long each measurement lasts.
const SPAN: Duration = Duration::from_secs(5);

/// Tokens of each answer.
const TOKENS: u64 = 64;

/// Time between two tokens of an engine.
const DECODE: Duration = Duration::from_millis(20);

/// Time for an answer, about.
const ANSWER_SPAN: Duration = Duration::from_millis(1_300);

/// One measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Streams at once.
    pub streams: usize,
    /// Answers that were not whole, on either path.
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
    /// Tokens a second through the daemon.
    pub tokens_per_second: f64,
    /// Requests a second through the daemon.
    pub requests_per_second: f64,
    /// Processor time that the daemon took, in cores.
    pub daemon_cores: f64,
    /// The daemon's resident memory, in MiB.
    pub daemon_mib: f64,
    /// The daemon's threads.
    pub daemon_threads: u64,
}

/// What one path showed.
struct Path {
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    tokens: u64,
    answers: u64,
    failed: u64,
    took: Duration,
}

/// Measures direct calls and calls through one daemon in turn.
///
/// # Errors
///
/// Returns an error if the site doesn't come up.
pub fn run(program: &Program) -> eyre::Result<Vec<Row>> {
    let spec = SiteSpec::one_daemon(|cfg| {
        cfg.prefill_token = Duration::ZERO;
        cfg.decode_token = DECODE;
        cfg.decode_share = Duration::ZERO;
        cfg.max_running = 1_000;
    });
    let site = Site::start(program, spec)?;
    STREAMS.into_iter().map(|streams| measure(&site, streams)).collect()
}

fn measure(site: &Site, streams: usize) -> eyre::Result<Row> {
    let engines: Vec<_> = site.engines.iter().map(|node| node.proxy.address()).collect();
    let direct = drive(site, &engines, streams);
    let pid = site.daemons[0].pid();
    let before = usage(pid)?;
    let routed = drive(site, &site.routers(), streams);
    let after = usage(pid)?;
    let seconds = routed.took.as_secs_f64();
    let p = percentile_ms;
    Ok(Row {
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
        requests_per_second: routed.answers as f64 / seconds,
        daemon_cores: (after.cpu - before.cpu).as_secs_f64() / seconds,
        daemon_mib: after.mib,
        daemon_threads: after.threads,
    })
}

/// Keeps `streams` streams under way for a while.
fn drive(site: &Site, targets: &[SocketAddr], streams: usize) -> Path {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let tasks = tokio::task::LocalSet::new();
    let path = Rc::new(RefCell::new(Path::new()));
    let begun = Instant::now();
    tasks.block_on(&runtime, async {
        let streams = (0..streams).map(|number| {
            let target = targets[number % targets.len()];
            let ask = sample_completion(site, number as u64, TOKENS);
            let offset = ANSWER_SPAN.mul_f64(number as f64 / streams as f64);
            tokio::task::spawn_local(stream(ask, target, offset, begun + SPAN, Rc::clone(&path)))
        });
        for stream in streams.collect::<Vec<_>>() {
            stream.await.expect("a caller doesn't panic");
        }
    });
    let mut path = path.replace(Path::new());
    path.took = begun.elapsed();
    path
}

/// Asks again and again; the streams' starts are spread over the time of one answer.
async fn stream(
    ask: CompletionSpec,
    target: SocketAddr,
    offset: Duration,
    until: Instant,
    path: Rc<RefCell<Path>>,
) {
    tokio::time::sleep(offset).await;
    while Instant::now() < until {
        let outcome = caller::complete(target, &ask).await;
        path.borrow_mut().count(outcome);
    }
}

impl Path {
    fn new() -> Self {
        Self {
            first_token: histogram(),
            gap: histogram(),
            tokens: 0,
            answers: 0,
            failed: 0,
            took: Duration::ZERO,
        }
    }

    fn count(&mut self, outcome: Outcome) {
        let Outcome::Answered(timing) = outcome else {
            self.failed += 1;
            return;
        };
        self.answers += 1;
        self.tokens += TOKENS;
        record(&mut self.first_token, timing.first_token);
        for gap in timing.gaps {
            record(&mut self.gap, gap);
        }
    }
}

/// Returns the measurements as a table.
pub fn table(rows: &[Row]) -> String {
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
    for row in rows {
        table.add_row([
            row.streams.to_string(),
            row.failed.to_string(),
            format!("{:.2}", row.added_p50_ms),
            format!("{:.2}", row.added_p99_ms),
            format!("{:.2}", row.added_gap_p50_ms),
            format!("{:.2}", row.added_gap_p99_ms),
            format!("{:.0}", row.tokens_per_second),
            format!("{:.1}", row.requests_per_second),
            format!("{:.2}", row.daemon_cores),
            format!("{:.1}", row.daemon_mib),
            row.daemon_threads.to_string(),
        ]);
    }
    table.to_string()
}
