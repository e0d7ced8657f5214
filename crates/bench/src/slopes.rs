//! `bench slopes`: how messages, processor time and memory grow with the size of a fleet.
//!
//! The cores run in memory on a virtual clock; streams and idle peers are real daemons.

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

/// Measures every slope.
///
/// # Errors
///
/// Returns an error if a daemon doesn't come up, or the kernel or a disk refuses.
pub fn run(program: &Program) -> eyre::Result<Vec<Slope>> {
    let begun = Instant::now();
    let mut slopes = Vec::new();
    let mut take = |family: &str, measured: eyre::Result<Vec<Slope>>| -> eyre::Result<()> {
        slopes.extend(measured?);
        eprintln!("{:5.1} s: {family}", begun.elapsed().as_secs_f64());
        Ok(())
    };
    take("memory", memory::slopes())?;
    take("frames", Ok(frame::slopes()))?;
    take("cached blocks", Ok(cache::slopes()))?;
    take("routing", Ok(routing::slopes()))?;
    take("organisations", organisations::slopes())?;
    take("claims", claims::slopes())?;
    take("peers and endpoints", gossip::slopes())?;
    take("idle daemons", idle::slopes(program))?;
    take("streams", streams::slopes(program))?;
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
            slope.points.iter().map(|[x, y]| format!("{x}: {}", short(*y))).collect();
        table.add_row([
            slope.name.to_owned(),
            slope.unit_x.to_owned(),
            slope.unit_y.to_owned(),
            points.join("\n"),
            short(slope.intercept),
            short(slope.slope),
            short(slope.residual),
            format!("{:.3}", slope.r2),
        ]);
    }
    table.to_string()
}

/// Writes a number with four significant digits.
fn short(number: f64) -> String {
    if number == 0.0 {
        return "0".to_owned();
    }
    let digits = 3 - number.abs().log10().floor() as i32;
    format!("{number:.*}", usize::try_from(digits).unwrap_or(0))
}
