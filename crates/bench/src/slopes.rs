//! `bench slopes`: measures how messages, CPU time and memory grow with the size of a fleet.
//!
//! Most measurements run the protocol logic in memory on a virtual clock; those of streams and idle
//! peers run real daemons.

mod cache;
mod claims;
mod fit;
mod frame;
mod gossip;
mod idle;
mod memory;
mod net;
mod organisations;
mod routing;
mod streams;
mod voters;

use std::time::Instant;

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};

use crate::process::Program;

pub use self::fit::Slope;

/// Runs every measurement and returns the fitted slopes.
///
/// # Errors
///
/// Returns an error if a daemon doesn't start, or a system call or disk operation fails.
pub fn run(program: &Program) -> eyre::Result<Vec<Slope>> {
    let started = Instant::now();
    let mut slopes = Vec::new();
    let mut collect = |family: &str, measured: eyre::Result<Vec<Slope>>| -> eyre::Result<()> {
        slopes.extend(measured?);
        eprintln!("{:5.1} s: {family}", started.elapsed().as_secs_f64());
        Ok(())
    };
    collect("memory", memory::slopes())?;
    collect("frames", Ok(frame::slopes()))?;
    collect("cached blocks", Ok(cache::slopes()))?;
    collect("routing", Ok(routing::slopes()))?;
    collect("organisations", organisations::slopes())?;
    collect("claims", claims::slopes())?;
    collect("peers and endpoints", gossip::slopes())?;
    collect("idle daemons", idle::slopes(program))?;
    collect("streams", streams::slopes(program))?;
    Ok(slopes)
}

/// Returns the slopes as a table.
pub fn table(slopes: &[Slope]) -> String {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header([
        "name",
        "x",
        "y",
        "points",
        "intercept",
        "slope",
        "residual",
        "r2",
    ]);
    for slope in slopes {
        let points: Vec<_> =
            slope.points.iter().map(|[x, y]| format!("{x}: {}", format_significant(*y))).collect();
        table.add_row([
            slope.name.to_owned(),
            slope.unit_x.to_owned(),
            slope.unit_y.to_owned(),
            points.join("\n"),
            format_significant(slope.intercept),
            format_significant(slope.slope),
            format_significant(slope.residual),
            format!("{:.3}", slope.r2),
        ]);
    }
    table.to_string()
}

/// Formats a number with four significant digits.
fn format_significant(number: f64) -> String {
    if number == 0.0 {
        return "0".to_owned();
    }
    let digits = 3 - number.abs().log10().floor() as i32;
    format!("{number:.*}", usize::try_from(digits).unwrap_or(0))
}
