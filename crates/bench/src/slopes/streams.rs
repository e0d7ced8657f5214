//! Streams through one daemon, by their number.

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
const DECODE: Duration = Duration::from_millis(79);

/// Tokens of an answer.
const TOKENS: u64 = 48;

/// Time over which the streams' starts are spread, about that of an answer.
const RAMP: Duration = Duration::from_millis(3_800);

/// How long each measurement lasts.
const SPAN: Duration = Duration::from_secs(3);

/// What a number of streams took.
struct Carried {
    cores: f64,
    mib: f64,
}

/// Measures one daemon at a fixed rate of tokens a stream.
pub(super) fn slopes(program: &Program) -> eyre::Result<Vec<Slope>> {
    let spec = SiteSpec::one_daemon(|cfg| {
        cfg.prefill_token = Duration::ZERO;
        cfg.decode_token = DECODE;
        cfg.decode_share = Duration::ZERO;
        cfg.max_running = 2_000;
    });
    let site = Site::start(program, spec)?;
    let mut measured = Vec::new();
    for streams in STREAMS {
        measured.push((streams, measure(&site, streams)?));
        eprintln!("  {streams} streams");
    }
    let fit = |name, unit_y, y: fn(&Carried) -> f64| {
        let points = measured.iter().map(|(streams, carried)| [*streams as f64, y(carried)]);
        Slope::fit(name, "streams of 12.7 tokens/s", unit_y, points.collect())
    };
    Ok(vec![
        fit("streams/daemon processor time", "cores", |carried| carried.cores),
        fit("streams/daemon memory", "MiB", |carried| carried.mib),
    ])
}

fn measure(site: &Site, streams: usize) -> eyre::Result<Carried> {
    let pid = site.daemons[0].pid();
    let failed = AtomicU64::new(0);
    let until = Instant::now() + RAMP + SPAN;
    let carried = thread::scope(|scope| {
        scope.spawn(|| drive(site, streams, until, &failed));
        thread::sleep(RAMP);
        let before = usage(pid)?;
        thread::sleep(SPAN);
        let after = usage(pid)?;
        let cores = (after.cpu - before.cpu).as_secs_f64() / SPAN.as_secs_f64();
        eyre::Ok(Carried { cores, mib: after.mib })
    })?;
    let failed = failed.load(Ordering::Relaxed);
    eyre::ensure!(failed == 0, "{failed} answers of {streams} streams were not whole");
    Ok(carried)
}

/// Keeps the streams under way until a time.
fn drive(site: &Site, streams: usize, until: Instant, failed: &AtomicU64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    let target = site.routers()[0];
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let streams = (0..streams).map(|number| {
            let offset = RAMP.mul_f64(number as f64 / streams as f64);
            stream(target, sample_completion(site, number as u64, TOKENS), offset, until, failed)
        });
        futures_util::future::join_all(streams).await;
    });
}

async fn stream(
    target: SocketAddr,
    ask: CompletionSpec,
    offset: Duration,
    until: Instant,
    failed: &AtomicU64,
) {
    tokio::time::sleep(offset).await;
    while Instant::now() < until {
        if !matches!(caller::complete(target, &ask).await, Outcome::Answered(_)) {
            failed.fetch_add(1, Ordering::Relaxed);
        }
    }
}
