//! `bench restarts`: measures failures, latency and hit rate when one router, or all of them at once,
//! are killed and started again.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::{
    balancer::{BalancedOutcome, Balancer},
    caller::{CompletionSpec, block_on},
    load,
    process::Program,
    report::{histogram, record},
    site::{Site, SiteSpec, organisation_key},
};

/// Requests per second.
const REQUESTS_PER_SECOND: f64 = 40.0;

/// Time before the first window.
const WARM_UP_TIME: Duration = Duration::from_secs(8);

/// Duration of a window.
const WINDOW_DURATION: Duration = Duration::from_secs(10);

/// Time to recover between the windows after restarts.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Largest allowed drop of the hit rate after a restart.
const MAX_HIT_RATE_LOSS: f64 = 0.02;

/// Largest allowed ratio of the p99 time to first token after a restart to that before.
const MAX_TTFT_RATIO: f64 = 1.2;

/// Counts and latencies of a time window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Completed requests, failed ones included.
    pub requests: u64,
    /// Requests without a complete response.
    pub failed: u64,
    /// Reason of the first failure.
    pub failure: Option<String>,
    /// Connections refused and retried at another host.
    pub refused: u64,
    /// Streams cut and resumed at another host.
    pub cut: u64,
    /// Share of prompt tokens that were cached.
    pub hit_rate: f64,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_p99_ms: f64,
}

/// The measured windows, and whether those after restarts meet the targets.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Window without restarts.
    pub steady: Window,
    /// Window after one router was killed and started again.
    pub after_one: Window,
    /// Window after all routers were killed and started again at once.
    pub after_all: Window,
    /// Whether, after one restart, the hit rate is at most 2 points lower, the p99 TTFT at most 1.2
    /// times as long, and no request failed.
    pub one_meets_targets: bool,
    /// The same for the restart of all routers.
    pub all_meet_targets: bool,
}

/// Measures restarts on a new site.
///
/// # Errors
///
/// Returns an error if the site doesn't start, or a daemon can't be restarted.
pub fn run(program: &Program, seed: u64) -> eyre::Result<Report> {
    let spec = SiteSpec {
        daemons: vec!["a", "a", "b", "b", "c", "c"],
        engines: vec!["a", "a", "b", "b", "c", "c"],
        services: Vec::new(),
        seed,
        ..SiteSpec::small()
    };
    let mut site = Site::start(program, spec)?;
    let load = RunningLoad::start(&site, REQUESTS_PER_SECOND, seed);
    std::thread::sleep(WARM_UP_TIME);
    let steady = load.measure_window(&site);
    site.daemons[0].restart()?;
    let after_one = load.measure_window(&site);
    std::thread::sleep(SETTLE_TIME);
    for daemon in &mut site.daemons {
        daemon.kill()?;
    }
    for daemon in &mut site.daemons {
        daemon.start_again()?;
    }
    let after_all = load.measure_window(&site);
    load.stop();
    Ok(Report {
        one_meets_targets: meets_targets(&steady, &after_one),
        all_meet_targets: meets_targets(&steady, &after_all),
        steady,
        after_one,
        after_all,
    })
}

fn meets_targets(steady: &Window, after: &Window) -> bool {
    steady.hit_rate - MAX_HIT_RATE_LOSS <= after.hit_rate
        && after.ttft_p99_ms <= steady.ttft_p99_ms * MAX_TTFT_RATIO
        && after.failed == 0
}

/// Returns the report as a table.
pub fn table(report: &Report) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED);
    let header =
        "window|requests|failed|refused|cut|hit rate|TTFT p50 ms|TTFT p99 ms|meets targets";
    table.set_header(header.split('|'));
    let rows = [
        ("steady", &report.steady, None),
        ("one restarted", &report.after_one, Some(report.one_meets_targets)),
        ("all restarted", &report.after_all, Some(report.all_meet_targets)),
    ];
    for (name, window, meets) in rows {
        table.add_row([
            name.to_owned(),
            window.requests.to_string(),
            window.failed.to_string(),
            window.refused.to_string(),
            window.cut.to_string(),
            format!("{:.4}", window.hit_rate),
            format!("{:.1}", window.ttft_p50_ms),
            format!("{:.1}", window.ttft_p99_ms),
            meets.map_or("-".into(), |meets| meets.to_string()),
        ]);
    }
    table
}

/// A load that is sent through a balancer from a background thread.
pub struct RunningLoad {
    stop: Arc<AtomicBool>,
    counts: Arc<Mutex<WindowCounts>>,
    thread: JoinHandle<()>,
}

struct WindowCounts {
    window: Window,
    first_token: Histogram<u64>,
}

impl Default for WindowCounts {
    fn default() -> Self {
        Self { window: Window::default(), first_token: histogram() }
    }
}

impl RunningLoad {
    /// Starts to send `rate` completions per second to a site.
    pub fn start(site: &Site, rate: f64, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Mutex::new(WindowCounts::default()));
        let balancer = Balancer::start(&site.daemons);
        let spec = site.spec.clone();
        let thread = {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            std::thread::spawn(move || {
                block_on(send_load(&spec, &balancer, rate, seed, &stop, &counts));
            })
        };
        Self { stop, counts, thread }
    }

    /// Measures a window that starts now.
    pub fn measure_window(&self, site: &Site) -> Window {
        let before = prompt_tokens(site);
        self.take();
        std::thread::sleep(WINDOW_DURATION);
        let WindowCounts { mut window, first_token } = self.take();
        let after = prompt_tokens(site);
        let [prompt, cached] = [after[0] - before[0], after[1] - before[1]];
        window.hit_rate = cached as f64 / prompt.max(1) as f64;
        window.ttft_p50_ms = first_token.value_at_quantile(0.50) as f64 / 1e3;
        window.ttft_p99_ms = first_token.value_at_quantile(0.99) as f64 / 1e3;
        window
    }

    /// Returns the counts since the last call and resets them.
    fn take(&self) -> WindowCounts {
        std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stops the load, waits for all responses and returns the counts since the last window.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub fn stop(self) -> Window {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("callers don't panic");
        std::mem::take(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner).window)
    }
}

/// Returns the prompt tokens received by the engines, and how many of them were cached.
fn prompt_tokens(site: &Site) -> [u64; 2] {
    let counts = site.engines.iter().map(|node| node.engine.counts());
    counts
        .fold([0, 0], |sum, counts| [sum[0] + counts.prompt_tokens, sum[1] + counts.cached_tokens])
}

async fn send_load(
    spec: &SiteSpec,
    balancer: &Balancer,
    rate: f64,
    seed: u64,
    stop: &AtomicBool,
    counts: &Arc<Mutex<WindowCounts>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let started = tokio::time::Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    for number in 0.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        tokio::time::sleep_until(started + due).await;
        if stop.load(Ordering::Acquire) {
            break;
        }
        let request = plan_completion(spec, number, &mut rng);
        let (balancer, counts) = (balancer.clone(), Arc::clone(counts));
        tasks.push(tokio::task::spawn_local(async move {
            let outcome = balancer.complete(&request).await;
            count(&outcome, &mut counts.lock().unwrap_or_else(PoisonError::into_inner));
        }));
    }
    for task in tasks {
        task.await.expect("a caller doesn't panic");
    }
}

fn plan_completion(spec: &SiteSpec, number: u64, rng: &mut Pcg64Mcg) -> CompletionSpec {
    let organisation = &spec.organisations[rng.random_range(0..spec.organisations.len())];
    let book = rng.random_range(0..2);
    let page = rng.random_range(0..6);
    CompletionSpec {
        key: organisation_key(organisation),
        model: spec.model.to_string(),
        prompt: load::prompt(organisation, book, page, number),
        tokens: rng.random_range(4..24),
        chat: rng.random_bool(0.25),
    }
}

fn count(outcome: &BalancedOutcome, counts: &mut WindowCounts) {
    counts.window.requests += 1;
    counts.window.refused += outcome.refused;
    counts.window.cut += outcome.cut;
    if let Some(reason) = &outcome.failed {
        counts.window.failed += 1;
        counts.window.failure.get_or_insert_with(|| reason.clone());
    }
    if let Some(first_token) = outcome.first_token {
        record(&mut counts.first_token, first_token);
    }
}
