//! `bench compare`: the policies in turn, on the same requests.

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

/// A figure that is compared.
struct Figure {
    name: &'static str,
    of: fn(&RunSummary) -> f64,
}

const FIGURES: [Figure; 9] = [
    Figure { name: "hit rate", of: |run| run.summary.hit_rate },
    Figure { name: "of bound", of: |run| run.summary.hit_rate / run.bound_hit_rate },
    Figure { name: "wasted tokens", of: |run| run.summary.wasted_tokens as f64 },
    Figure { name: "TTFT p50 ms", of: |run| run.summary.ttft_p50_ms },
    Figure { name: "TTFT p95 ms", of: |run| run.summary.ttft_p95_ms },
    Figure { name: "TTFT p99 ms", of: |run| run.summary.ttft_p99_ms },
    Figure { name: "gap p95 ms", of: |run| run.summary.gap_p95_ms },
    Figure { name: "not run", of: |run| run.summary.totals.not_run as f64 },
    Figure { name: "load spread", of: |run| run.load_spread },
];

/// The runs of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRuns {
    /// The policy.
    pub policy: String,
    /// A run for each seed.
    pub runs: Vec<RunSummary>,
}

impl PolicyRuns {
    /// Returns the mean of a figure over the runs.
    fn mean(&self, figure: &Figure) -> f64 {
        let sum: f64 = self.runs.iter().map(figure.of).sum();
        sum / self.runs.len().max(1) as f64
    }
}

/// Runs every policy with every seed; `spec` gives the rest.
///
/// # Errors
///
/// Returns an error if a site doesn't come up.
pub fn run(program: &Program, spec: &RunSpec, seeds: &[u64]) -> eyre::Result<Vec<PolicyRuns>> {
    let mut compared = Vec::new();
    for policy in PolicyKind::ALL {
        let runs = seeds.iter().map(|&seed| {
            let summary = run::run(program, &RunSpec { policy, seed, ..*spec })?;
            eprintln!("{policy}, seed {seed}: hit rate {:.3}", summary.summary.hit_rate);
            Ok(summary)
        });
        let runs = runs.collect::<eyre::Result<_>>()?;
        compared.push(PolicyRuns { policy: policy.to_string(), runs });
    }
    Ok(compared)
}

/// Returns the means over the seeds as a table.
pub fn table(compared: &[PolicyRuns]) -> String {
    let mut table = Table::new();
    let names = FIGURES.iter().map(|figure| figure.name);
    table.load_preset(UTF8_FULL_CONDENSED).set_header(["policy"].into_iter().chain(names));
    for runs in compared {
        let values = FIGURES.iter().map(|figure| format!("{:.3}", runs.mean(figure)));
        table.add_row([runs.policy.clone()].into_iter().chain(values));
    }
    table.to_string()
}

/// Draws the means over the seeds as bars into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot(compared: &[PolicyRuns], path: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&plotters::style::WHITE)?;
    let areas = root.split_evenly((3, 3));
    for (figure, area) in FIGURES.iter().zip(&areas) {
        let means: Vec<f64> = compared.iter().map(|runs| runs.mean(figure)).collect();
        let top = means.iter().copied().fold(f64::MIN_POSITIVE, f64::max) * 1.2;
        let mut chart = ChartBuilder::on(area)
            .caption(figure.name, ("sans-serif", 16))
            .margin(8)
            .build_cartesian_2d(0.0..compared.len() as f64, 0.0..top)?;
        let bars = means.iter().enumerate().map(|(i, &mean)| {
            let left = i as f64;
            let colour = Palette99::pick(i).filled();
            Rectangle::new([(left + 0.1, 0.0), (left + 0.9, mean)], colour)
        });
        chart.draw_series(bars)?;
        let labels = compared.iter().zip(&means).enumerate().map(|(i, (runs, &mean))| {
            let label = format!("{} {mean:.2}", runs.policy);
            Text::new(label, (i as f64 + 0.1, mean + top * 0.07), ("sans-serif", 10))
        });
        chart.draw_series(labels)?;
    }
    root.present()?;
    Ok(())
}
