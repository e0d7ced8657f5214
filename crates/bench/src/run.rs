//! `bench run`: measures one routing policy on one site.

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
    declare::apply_declaration,
    fake::EngineCounts,
    load::{self, FakeCounts},
    process::Program,
    report::{Completions, Summary},
    site::{Site, SiteSpec},
    sites::{self, SiteKind},
    workload::{self, Workload},
};

/// Time before the measurement in which the caches fill.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// Time between two samples of the engines' counts.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks for due actions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of engines that [`RunFault::Engines`] kills.
const KILLED_ENGINE_COUNT: usize = 3;

/// A fault injected halfway through the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFault {
    /// Some engines are killed and restart with empty caches.
    Engines,
    /// Other prefixes become popular.
    Shift,
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunSpec {
    /// The site.
    pub site: SiteKind,
    /// The routing policy of all routers.
    pub policy: PolicyKind,
    /// Seed of all random choices.
    pub seed: u64,
    /// Completions per second, as a share of the site's capacity.
    pub load: f64,
    /// Duration of the measurement, after the warm-up.
    pub duration: Duration,
    /// Where engines may fetch cached blocks from.
    pub kv_transfer: KvTransfer,
    /// The fault injected after half of that time.
    pub fault: Option<RunFault>,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunSummary {
    /// The site.
    pub site: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Completions sent per second.
    pub rate: f64,
    /// Counts and latencies.
    #[serde(flatten)]
    pub summary: Summary,
    /// Hit rate that one cache with the blocks of all engines would reach on the same requests.
    pub bound_hit_rate: f64,
    /// Ratio of the busiest engine's requests to the mean of all engines.
    pub load_spread: f64,
    /// Completions that reached an engine.
    pub engine_requests: u64,
    /// Completions by organisation.
    pub organisations: BTreeMap<OrganisationId, Completions>,
    /// Hit rate in each second.
    pub hit_rates: Vec<f64>,
}

/// Starts a site, sends it its workload and returns the results.
///
/// # Errors
///
/// Returns an error if the site doesn't start.
pub fn run(program: &Program, spec: &RunSpec) -> eyre::Result<RunSummary> {
    let kv_store = spec.kv_transfer.fetches_from_store().then_some("a");
    let mut site = Site::start(program, SiteSpec { kv_store, ..spec.site.spec(spec.seed) })?;
    sites::set_data_centre_delay(&site, spec.site.one_way_delay());
    sites::set_kv_store_delay(&site, spec.site.one_way_delay());
    let declaration = spec.site.declaration(spec.policy);
    apply_declaration(&site, &format!("{declaration}kv-transfer = \"{}\"\n", spec.kv_transfer))?;
    let workload = spec.workload(&site);
    let planned = workload.plan();
    let cache_blocks = sites::CACHE_BLOCKS;
    let bound_hit_rate = workload::max_hit_rate(&planned, site.engines.len(), cache_blocks);
    let fakes = FakeCounts { tally: site.tally.clone(), orders: site.orders.clone() };
    let (counts, sampler) = thread::scope(|scope| {
        let sending = scope.spawn(|| load::send(planned, &fakes, |_| {}));
        let sampler = EngineSampler::run(&mut site, spec, || sending.is_finished());
        (sending.join().expect("the load doesn't panic"), sampler)
    });
    let mut summary = Summary::new(&counts, &site);
    summary.set_engine_counts(&sampler.counts_since_warm_up(&site));
    Ok(RunSummary {
        site: spec.site.to_string(),
        policy: spec.policy.to_string(),
        seed: spec.seed,
        rate: workload.rate,
        bound_hit_rate,
        load_spread: load_spread(&site),
        engine_requests: sampler.total_counts(&site).requests,
        organisations: counts.organisations,
        hit_rates: sampler.hit_rates,
        summary,
    })
}

impl RunSpec {
    fn fault_time(&self) -> Duration {
        WARM_UP_TIME + self.duration / 2
    }

    fn workload(&self, site: &Site) -> Workload {
        Workload {
            routers: site.routers(),
            organisations: site.spec.organisations.clone(),
            model: site.spec.model.clone(),
            service: site.spec.service.clone(),
            shape: self.site.shape(),
            rate: self.site.capacity() * self.load,
            warm_up: WARM_UP_TIME,
            duration: WARM_UP_TIME + self.duration,
            shift: (self.fault == Some(RunFault::Shift)).then_some(self.fault_time()),
            seed: self.seed,
        }
    }
}

/// Samples the engines' counts while the load runs, and injects the fault.
struct EngineSampler {
    hit_rates: Vec<f64>,
    /// Counts of engines before they were killed.
    killed: EngineCounts,
    /// Counts of all engines at the end of the warm-up.
    warm_up: Option<EngineCounts>,
}

impl EngineSampler {
    fn run(site: &mut Site, spec: &RunSpec, is_finished: impl Fn() -> bool) -> Self {
        let started = Instant::now();
        let mut sampler =
            Self { hit_rates: Vec::new(), killed: EngineCounts::default(), warm_up: None };
        let mut last = EngineCounts::default();
        let mut fault_injected = spec.fault != Some(RunFault::Engines);
        while !is_finished() {
            thread::sleep(POLL_INTERVAL);
            if sampler.warm_up.is_none() && WARM_UP_TIME <= started.elapsed() {
                sampler.warm_up = Some(sampler.total_counts(site));
            }
            if !fault_injected && spec.fault_time() <= started.elapsed() {
                fault_injected = true;
                sampler.kill_engines(site);
            }
            if SAMPLE_INTERVAL * (sampler.hit_rates.len() as u32 + 1) <= started.elapsed() {
                let total = sampler.total_counts(site);
                let counts = total.minus(&last);
                let rate = counts.cached_tokens as f64 / counts.prompt_tokens.max(1) as f64;
                sampler.hit_rates.push(rate);
                last = total;
            }
        }
        sampler
    }

    fn kill_engines(&mut self, site: &mut Site) {
        for i in 0..KILLED_ENGINE_COUNT {
            let counts = site.restart_engine(i, Incarnation::new(2));
            self.killed = self.killed.plus(&counts);
        }
    }

    /// Returns the counts of all engines since the warm-up.
    fn counts_since_warm_up(&self, site: &Site) -> EngineCounts {
        self.total_counts(site).minus(&self.warm_up.unwrap_or_default())
    }

    /// Returns the counts of all engines, killed ones included.
    fn total_counts(&self, site: &Site) -> EngineCounts {
        let counts = site.engines.iter().map(|node| node.engine.counts());
        counts.fold(self.killed, |sum, counts| sum.plus(&counts))
    }
}

fn load_spread(site: &Site) -> f64 {
    let requests: Vec<_> = site.engines.iter().map(|node| node.engine.counts().requests).collect();
    let max = requests.iter().copied().max().unwrap_or(0) as f64;
    let sum: u64 = requests.iter().sum();
    max * requests.len() as f64 / sum.max(1) as f64
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
