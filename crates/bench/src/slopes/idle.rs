//! Resource use of idle daemons, by the number of daemons.

use std::{thread, time::Duration};

use crate::{
    process::Program,
    site::{Site, SiteSpec},
    usage::{Usage, usage},
};

use super::Slope;

const DAEMON_COUNTS: [usize; 4] = [4, 8, 16, 32];
const VOTERS: usize = 3;

/// Time for gossip to reach a steady state.
const WARM_UP: Duration = Duration::from_secs(2);

/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Mean resource use over daemons of one kind.
struct MeanUsage {
    cores: f64,
    mib: f64,
    threads: f64,
}

/// Measures voters and routers without a vote.
pub(super) fn slopes(program: &Program) -> eyre::Result<Vec<Slope>> {
    let mut measured = Vec::new();
    for peers in DAEMON_COUNTS {
        measured.push((peers, measure(program, peers)?));
        eprintln!("  {peers} idle daemons");
    }
    let fit = |name, unit_y, y: fn(&[MeanUsage; 2]) -> f64| {
        let points = measured.iter().map(|(peers, means)| [*peers as f64, y(means)]).collect();
        Slope::fit(name, "daemons", unit_y, points)
    };
    Ok(vec![
        fit("idle/router processor time", "cores", |[_, router]| router.cores),
        fit("idle/router memory", "MiB", |[_, router]| router.mib),
        fit("idle/router threads", "threads", |[_, router]| router.threads),
        fit("idle/voter processor time", "cores", |[voter, _]| voter.cores),
        fit("idle/voter memory", "MiB", |[voter, _]| voter.mib),
    ])
}

fn measure(program: &Program, daemons: usize) -> eyre::Result<[MeanUsage; 2]> {
    let spec = SiteSpec {
        daemons: vec!["a"; daemons],
        voters: VOTERS,
        engines: vec!["a"],
        services: Vec::new(),
        ..SiteSpec::small()
    };
    let site = Site::start(program, spec)?;
    thread::sleep(WARM_UP);
    let before = usages(&site)?;
    thread::sleep(MEASUREMENT_TIME);
    let after = usages(&site)?;
    let pairs: Vec<_> = before.into_iter().zip(after).collect();
    let (voters, routers) = pairs.split_at(VOTERS);
    Ok([mean(voters), mean(routers)])
}

fn usages(site: &Site) -> eyre::Result<Vec<Usage>> {
    site.daemons.iter().map(|daemon| usage(daemon.pid())).collect()
}

fn mean(pairs: &[(Usage, Usage)]) -> MeanUsage {
    let count = pairs.len() as f64;
    let sum = |part: &dyn Fn(&Usage, &Usage) -> f64| -> f64 {
        pairs.iter().map(|(before, after)| part(before, after)).sum()
    };
    MeanUsage {
        cores: sum(&|before, after| (after.cpu - before.cpu).as_secs_f64())
            / MEASUREMENT_TIME.as_secs_f64()
            / count,
        mib: sum(&|_, after| after.mib) / count,
        threads: sum(&|_, after| after.threads as f64) / count,
    }
}
