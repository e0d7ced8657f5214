//! `bench restarts`: what it costs that routers are killed and start again, one and all at once.

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
    balancer::{Balanced, Balancer},
    caller::{CompletionSpec, block_on},
    load,
    process::Program,
    report::{histogram, record},
    site::{Site, SiteSpec, organisation_key},
};

/// Requests a second.
const RATE: f64 = 40.0;

/// Time before anything is counted.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time over which a window counts.
const WINDOW: Duration = Duration::from_secs(10);

/// Time between two windows.
const SETTLE: Duration = Duration::from_secs(3);

/// Most that the hit rate may fall after a restart.
const MAX_HIT_RATE_LOSS: f64 = 0.02;

/// Most that the time to first token may grow after a restart.
const MAX_FIRST_TOKEN_RATIO: f64 = 1.2;

/// What happened in a window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Requests that ended.
    pub requests: u64,
    /// Requests without a whole answer.
    pub failed: u64,
    /// Why the first of them failed.
    pub failure: Option<String>,
    /// Connections refused and tried at another host.
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

/// The windows, and whether those after restarts meet the targets.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Without restarts.
    pub steady: Window,
    /// After one router was killed and started again.
    pub after_one: Window,
    /// After all routers were killed and started again at once.
    pub after_all: Window,
    /// Whether one restart costs at most 2 points of hit rate and 1.2 times the p99 TTFT.
    pub one_meets_targets: bool,
    /// Whether the restart of all does.
    pub all_meet_targets: bool,
}

/// Measures the restarts on a site of its own.
///
/// # Errors
///
/// Returns an error if the site doesn't come up, or a daemon can't be restarted.
pub fn run(program: &Program, seed: u64) -> eyre::Result<Report> {
    let spec = SiteSpec {
        daemons: vec!["a", "a", "b", "b", "c", "c"],
        engines: vec!["a", "a", "b", "b", "c", "c"],
        services: Vec::new(),
        seed,
        ..SiteSpec::small()
    };
    let mut site = Site::start(program, spec)?;
    let load = RunningLoad::start(&site, RATE, seed);
    std::thread::sleep(WARM_UP);
    let steady = load.window(&site);
    site.daemons[0].restart()?;
    let after_one = load.window(&site);
    std::thread::sleep(SETTLE);
    for daemon in &mut site.daemons {
        daemon.kill()?;
    }
    for daemon in &mut site.daemons {
        daemon.start_again()?;
    }
    let after_all = load.window(&site);
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
        && after.ttft_p99_ms <= steady.ttft_p99_ms * MAX_FIRST_TOKEN_RATIO
        && after.failed == 0
}

/// Returns the report as a table.
pub fn table(report: &Report) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED);
    let head = "window|requests|failed|refused|cut|hit rate|TTFT p50 ms|TTFT p99 ms|meets targets";
    table.set_header(head.split('|'));
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

/// A load that runs on a thread of its own, through a balancer.
pub struct RunningLoad {
    stop: Arc<AtomicBool>,
    counted: Arc<Mutex<Counted>>,
    thread: JoinHandle<()>,
}

struct Counted {
    window: Window,
    first_token: Histogram<u64>,
}

impl Default for Counted {
    fn default() -> Self {
        Self { window: Window::default(), first_token: histogram() }
    }
}

impl RunningLoad {
    /// Starts to send `rate` completions a second to a site.
    pub fn start(site: &Site, rate: f64, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counted = Arc::new(Mutex::new(Counted::default()));
        let balancer = Balancer::start(&site.daemons);
        let spec = site.spec.clone();
        let thread = {
            let (stop, counted) = (Arc::clone(&stop), Arc::clone(&counted));
            std::thread::spawn(move || {
                block_on(send(&spec, &balancer, rate, seed, &stop, &counted));
            })
        };
        Self { stop, counted, thread }
    }

    /// Counts what happens in a window from now.
    pub fn window(&self, site: &Site) -> Window {
        let before = prompt_tokens(site);
        self.take();
        std::thread::sleep(WINDOW);
        let Counted { mut window, first_token } = self.take();
        let after = prompt_tokens(site);
        let [prompt, cached] = [after[0] - before[0], after[1] - before[1]];
        window.hit_rate = cached as f64 / prompt.max(1) as f64;
        window.ttft_p50_ms = first_token.value_at_quantile(0.50) as f64 / 1e3;
        window.ttft_p99_ms = first_token.value_at_quantile(0.99) as f64 / 1e3;
        window
    }

    /// Returns what was counted since the last call.
    fn take(&self) -> Counted {
        std::mem::take(&mut *self.counted.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Ends the load, waits for all answers and returns what was counted since the last window.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub fn stop(self) -> Window {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("callers don't panic");
        std::mem::take(&mut self.counted.lock().unwrap_or_else(PoisonError::into_inner).window)
    }
}

/// Returns the prompt tokens that arrived at engines, and those of them that were cached.
fn prompt_tokens(site: &Site) -> [u64; 2] {
    let counts = site.engines.iter().map(|node| node.engine.counts());
    counts
        .fold([0, 0], |sum, counts| [sum[0] + counts.prompt_tokens, sum[1] + counts.cached_tokens])
}

async fn send(
    spec: &SiteSpec,
    balancer: &Balancer,
    rate: f64,
    seed: u64,
    stop: &AtomicBool,
    counted: &Arc<Mutex<Counted>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let begun = tokio::time::Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    for number in 0.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        tokio::time::sleep_until(begun + due).await;
        if stop.load(Ordering::Acquire) {
            break;
        }
        let ask = plan(spec, number, &mut rng);
        let (balancer, counted) = (balancer.clone(), Arc::clone(counted));
        tasks.push(tokio::task::spawn_local(async move {
            let balanced = balancer.ask(&ask).await;
            count(&balanced, &mut counted.lock().unwrap_or_else(PoisonError::into_inner));
        }));
    }
    for task in tasks {
        task.await.expect("a caller doesn't panic");
    }
}

fn plan(spec: &SiteSpec, number: u64, rng: &mut Pcg64Mcg) -> CompletionSpec {
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

fn count(balanced: &Balanced, counted: &mut Counted) {
    counted.window.requests += 1;
    counted.window.refused += balanced.refused;
    counted.window.cut += balanced.cut;
    if let Some(why) = &balanced.failed {
        counted.window.failed += 1;
        counted.window.failure.get_or_insert_with(|| why.clone());
    }
    if let Some(first_token) = balanced.first_token {
        record(&mut counted.first_token, first_token);
    }
}
