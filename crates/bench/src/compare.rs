//! `bench compare`: runs every routing policy on the same requests.

use std::path::Path;

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea as _,
    element::{Rectangle, Text},
    prelude::SVGBackend,
    style::{Color as _, Palette as _, Palette99},
};
use route::PolicyKind;
use serde::Serialize;

use crate::{
    process::Program,
    run::{self, RunSpec, RunSummary},
};

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1_200, 700);

/// A metric to compare.
struct Metric {
    name: &'static str,
    value: fn(&RunSummary) -> f64,
}

const METRICS: [Metric; 9] = [
    Metric { name: "hit rate", value: |run| run.summary.hit_rate },
    Metric { name: "of bound", value: |run| run.summary.hit_rate / run.bound_hit_rate },
    Metric { name: "wasted tokens", value: |run| run.summary.wasted_tokens as f64 },
    Metric { name: "TTFT p50 ms", value: |run| run.summary.ttft_p50_ms },
    Metric { name: "TTFT p95 ms", value: |run| run.summary.ttft_p95_ms },
    Metric { name: "TTFT p99 ms", value: |run| run.summary.ttft_p99_ms },
    Metric { name: "gap p95 ms", value: |run| run.summary.gap_p95_ms },
    Metric { name: "not run", value: |run| run.summary.totals.not_run as f64 },
    Metric { name: "load spread", value: |run| run.load_spread },
];

/// Results of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRuns {
    /// The policy's name.
    pub policy: String,
    /// One result per seed.
    pub runs: Vec<RunSummary>,
}

impl PolicyRuns {
    /// Returns the mean of a metric over the runs.
    fn mean(&self, metric: &Metric) -> f64 {
        let sum: f64 = self.runs.iter().map(metric.value).sum();
        sum / self.runs.len().max(1) as f64
    }
}

/// Runs every policy with every seed; the other settings are those of `spec`.
///
/// # Errors
///
/// Returns an error if a site doesn't start.
pub fn run(program: &Program, spec: &RunSpec, seeds: &[u64]) -> eyre::Result<Vec<PolicyRuns>> {
    let mut results = Vec::new();
    for policy in PolicyKind::ALL {
        let runs = seeds.iter().map(|&seed| {
            let summary = run::run(program, &RunSpec { policy, seed, ..*spec })?;
            eprintln!("{policy}, seed {seed}: hit rate {:.3}", summary.summary.hit_rate);
            Ok(summary)
        });
        let runs = runs.collect::<eyre::Result<_>>()?;
        results.push(PolicyRuns { policy: policy.to_string(), runs });
    }
    Ok(results)
}

/// Returns the means over the seeds as a table.
pub fn table(results: &[PolicyRuns]) -> String {
    let mut table = Table::new();
    let names = METRICS.iter().map(|metric| metric.name);
    table.load_preset(UTF8_FULL_CONDENSED).set_header(["policy"].into_iter().chain(names));
    for runs in results {
        let values = METRICS.iter().map(|metric| format!("{:.3}", runs.mean(metric)));
        table.add_row([runs.policy.clone()].into_iter().chain(values));
    }
    table.to_string()
}

/// Plots the means over the seeds as bar charts into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot(results: &[PolicyRuns], path: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&plotters::style::WHITE)?;
    let areas = root.split_evenly((3, 3));
    for (metric, area) in METRICS.iter().zip(&areas) {
        let means: Vec<f64> = results.iter().map(|runs| runs.mean(metric)).collect();
        let top = means.iter().copied().fold(f64::MIN_POSITIVE, f64::max) * 1.2;
        let mut chart = ChartBuilder::on(area)
            .caption(metric.name, ("sans-serif", 16))
            .margin(8)
            .build_cartesian_2d(0.0..results.len() as f64, 0.0..top)?;
        let bars = means.iter().enumerate().map(|(i, &mean)| {
            let left = i as f64;
            let colour = Palette99::pick(i).filled();
            Rectangle::new([(left + 0.1, 0.0), (left + 0.9, mean)], colour)
        });
        chart.draw_series(bars)?;
        let labels = results.iter().zip(&means).enumerate().map(|(i, (runs, &mean))| {
            let label = format!("{} {mean:.2}", runs.policy);
            Text::new(label, (i as f64 + 0.1, mean + top * 0.07), ("sans-serif", 10))
        });
        chart.draw_series(labels)?;
    }
    root.present()?;
    Ok(())
}
