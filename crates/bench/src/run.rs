//! `bench run`: one site under one policy.

use std::{
    collections::BTreeMap,
    fmt,
    str::FromStr,
    thread,
    time::{Duration, Instant},
};

use base::{Incarnation, OrganisationId, ParseError};
use fleet::setting::KvTransfer;
use route::PolicyKind;
use serde::Serialize;

use crate::{
    declare::declare,
    fake::EngineCounts,
    load::{self, FakeCounts},
    process::Program,
    report::{Completions, Summary},
    site::{Site, SiteSpec},
    sites::{self, SiteKind},
    workload::{self, Workload},
};

/// Time before the measurement begins, in which the caches fill.
const WARM_UP: Duration = Duration::from_secs(6);

/// Time between two looks at what the engines counted.
const SAMPLE: Duration = Duration::from_secs(1);

/// Time between looks at whether something is due.
const POLL: Duration = Duration::from_millis(20);

/// Engines that a fault kills.
const KILLED_ENGINES: usize = 3;

/// A fault in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFault {
    /// Some engines are killed and come back empty.
    Engines,
    /// Other prefixes become hot.
    Shift,
}

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct RunSpec {
    /// The site.
    pub site: SiteKind,
    /// The policy of all routers.
    pub policy: PolicyKind,
    /// Decides everything that is random.
    pub seed: u64,
    /// Completions a second as a share of the site's capacity.
    pub load: f64,
    /// How long to measure, after the warm-up.
    pub span: Duration,
    /// Where engines may fetch cached blocks from.
    pub kv_transfer: KvTransfer,
    /// What goes wrong at half of that time.
    pub fault: Option<RunFault>,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunSummary {
    /// The site.
    pub site: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Completions sent a second.
    pub rate: f64,
    /// What callers and engines saw.
    #[serde(flatten)]
    pub summary: Summary,
    /// The hit rate of one cache with all engines' blocks on the same requests.
    pub bound_hit_rate: f64,
    /// The most requests of an engine, against the mean.
    pub load_spread: f64,
    /// Completions that reached an engine.
    pub engine_requests: u64,
    /// Completions by organisation.
    pub organisations: BTreeMap<OrganisationId, Completions>,
    /// The hit rate in each second.
    pub hit_rates: Vec<f64>,
}

/// Starts a site, sends it its traffic and returns the figures.
///
/// # Errors
///
/// Returns an error if the site doesn't come up.
pub fn run(program: &Program, spec: &RunSpec) -> eyre::Result<RunSummary> {
    let kept_kv = spec.kv_transfer.asks_store().then_some("a");
    let mut site = Site::start(program, SiteSpec { kept_kv, ..spec.site.spec(spec.seed) })?;
    sites::separate_data_centres(&site, spec.site.one_way());
    sites::place_kept_kv(&site, spec.site.one_way());
    let declaration = spec.site.declaration(spec.policy);
    declare(&site, &format!("{declaration}kv-transfer = \"{}\"\n", spec.kv_transfer))?;
    let workload = spec.workload(&site);
    let planned = workload.plan();
    let cache_blocks = sites::CACHE_BLOCKS;
    let bound_hit_rate = workload::bound(&planned, site.engines.len(), cache_blocks);
    let observed = FakeCounts { tally: site.tally.clone(), orders: site.orders.clone() };
    let (counts, watched) = thread::scope(|scope| {
        let sending = scope.spawn(|| load::send(planned, &observed, |_| {}));
        let watched = Watch::until(&mut site, spec, || sending.is_finished());
        (sending.join().expect("the load doesn't panic"), watched)
    });
    let mut summary = Summary::new(&counts, &site);
    summary.count_engines(&watched.measured(&site));
    Ok(RunSummary {
        site: spec.site.to_string(),
        policy: spec.policy.to_string(),
        seed: spec.seed,
        rate: workload.rate,
        bound_hit_rate,
        load_spread: load_spread(&site),
        engine_requests: watched.total(&site).requests,
        organisations: counts.organisations,
        hit_rates: watched.hit_rates,
        summary,
    })
}

impl RunSpec {
    fn half_time(&self) -> Duration {
        WARM_UP + self.span / 2
    }

    fn workload(&self, site: &Site) -> Workload {
        Workload {
            routers: site.routers(),
            organisations: site.spec.organisations.clone(),
            model: site.spec.model.clone(),
            service: site.spec.service.clone(),
            shape: self.site.shape(),
            rate: self.site.capacity() * self.load,
            warm_up: WARM_UP,
            span: WARM_UP + self.span,
            shift: (self.fault == Some(RunFault::Shift)).then_some(self.half_time()),
            seed: self.seed,
        }
    }
}

/// Looks at the engines while the load runs, and brings the fault about.
struct Watch {
    hit_rates: Vec<f64>,
    /// What engines counted before they were killed.
    killed: EngineCounts,
    /// What they counted by the end of the warm-up.
    warm_up: Option<EngineCounts>,
}

impl Watch {
    fn until(site: &mut Site, spec: &RunSpec, is_over: impl Fn() -> bool) -> Self {
        let begun = Instant::now();
        let mut watch =
            Self { hit_rates: Vec::new(), killed: EngineCounts::default(), warm_up: None };
        let mut last = EngineCounts::default();
        let mut faulted = spec.fault != Some(RunFault::Engines);
        while !is_over() {
            thread::sleep(POLL);
            if watch.warm_up.is_none() && WARM_UP <= begun.elapsed() {
                watch.warm_up = Some(watch.total(site));
            }
            if !faulted && spec.half_time() <= begun.elapsed() {
                faulted = true;
                watch.kill_engines(site);
            }
            if SAMPLE * (watch.hit_rates.len() as u32 + 1) <= begun.elapsed() {
                let total = watch.total(site);
                let counts = total.minus(&last);
                let rate = counts.cached_tokens as f64 / counts.prompt_tokens.max(1) as f64;
                watch.hit_rates.push(rate);
                last = total;
            }
        }
        watch
    }

    fn kill_engines(&mut self, site: &mut Site) {
        for i in 0..KILLED_ENGINES {
            let counts = site.restart_engine(i, Incarnation::new(2));
            self.killed = self.killed.plus(&counts);
        }
    }

    /// Returns what all engines counted after the warm-up.
    fn measured(&self, site: &Site) -> EngineCounts {
        self.total(site).minus(&self.warm_up.unwrap_or_default())
    }

    /// Returns what all engines counted, killed ones included.
    fn total(&self, site: &Site) -> EngineCounts {
        let counts = site.engines.iter().map(|node| node.engine.counts());
        counts.fold(self.killed, |sum, counts| sum.plus(&counts))
    }
}

fn load_spread(site: &Site) -> f64 {
    let requests: Vec<_> = site.engines.iter().map(|node| node.engine.counts().requests).collect();
    let most = requests.iter().copied().max().unwrap_or(0) as f64;
    let sum: u64 = requests.iter().sum();
    most * requests.len() as f64 / sum.max(1) as f64
}

impl fmt::Display for RunFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engines => "engines",
            Self::Shift => "shift",
        })
    }
}

impl FromStr for RunFault {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "engines" => Ok(Self::Engines),
            "shift" => Ok(Self::Shift),
            _ => Err(ParseError::new("fault", text, "engines or shift")),
        }
    }
}
