//! `bench demo`: runs a whole system on one machine under a mixed load.

use std::time::Duration;

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::{
    declare::apply_declaration,
    load::{self, FakeCounts, Load},
    process::Program,
    report::Summary,
    site::{Site, SiteSpec},
};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Requests per second.
const REQUESTS_PER_SECOND: f64 = 60.0;

/// Starts a site, sends it the load and returns the results.
///
/// # Errors
///
/// Returns an error if the site doesn't start.
pub fn run(program: &Program, seed: u64) -> eyre::Result<Summary> {
    let spec = SiteSpec {
        daemons: vec!["a", "b", "c", "a"],
        engines: vec!["a", "a", "b", "b", "c", "c"],
        kv_store: Some("a"),
        seed,
        ..SiteSpec::small()
    };
    println!("starting 4 daemons, 6 engines, 2 plain services and a KV store");
    let site = Site::start(program, spec)?;
    apply_declaration(&site, "[defaults]\nkv-transfer = \"both\"\n")?;
    let load = Load {
        routers: site.routers(),
        organisations: site.spec.organisations.clone(),
        model: site.spec.model.clone(),
        service: site.spec.service.clone(),
        rate: REQUESTS_PER_SECOND,
        duration: LOAD_DURATION,
        seed,
    };
    let fakes = FakeCounts { tally: site.tally.clone(), orders: site.orders.clone() };
    let bar = ProgressBar::new((REQUESTS_PER_SECOND * LOAD_DURATION.as_secs_f64()) as u64);
    bar.set_style(ProgressStyle::with_template("{elapsed} {wide_bar} {pos} requests, {msg}")?);
    let counts = {
        let bar = bar.clone();
        load::run(&load, &fakes, move |counts| {
            bar.set_position(counts.totals.requests);
            bar.set_message(format!("{} answered", counts.totals.answered));
        })
    };
    bar.finish_and_clear();
    Ok(Summary::new(&counts, &site))
}

/// Returns a summary as a table.
///
/// # Panics
///
/// Panics if a summary isn't a JSON object, which it always is.
pub fn table(summary: &impl Serialize) -> String {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(["figure", "value"]);
    let value = serde_json::to_value(summary).expect("a summary is JSON");
    for (name, value) in value.as_object().expect("a summary is an object") {
        table.add_row([name.clone(), value.to_string()]);
    }
    table.to_string()
}
