//! Straight lines through measured points.

use serde::Serialize;

/// How a quantity grows with a size: measured points, and the line of least squares through them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub unit_x: &'static str,
    /// The unit of the quantity.
    pub unit_y: &'static str,
    /// The points, each a size and a quantity.
    pub points: Vec<[f64; 2]>,
    /// The line's value at size zero.
    pub intercept: f64,
    /// The line's growth for one unit of size.
    pub slope: f64,
    /// Root mean square of the points' distances from the line, in the quantity's unit.
    pub residual: f64,
    /// Share of the points' variance that the line explains.
    pub r2: f64,
}

impl Slope {
    /// Fits a line to points with at least two sizes.
    pub fn fit(
        name: &'static str,
        unit_x: &'static str,
        unit_y: &'static str,
        points: Vec<[f64; 2]>,
    ) -> Self {
        let mean = |part: fn(&[f64; 2]) -> f64| mean(points.iter().map(part));
        let (mean_x, mean_y) = (mean(|point| point[0]), mean(|point| point[1]));
        let sum = |part: &dyn Fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|[x, y]| part(x - mean_x, y - mean_y)).sum()
        };
        let slope = sum(&|x, y| x * y) / sum(&|x, _| x * x);
        let intercept = mean_y - slope * mean_x;
        let misses = sum(&|x, y| (y - slope * x).powi(2));
        let spread = sum(&|_, y| y * y);
        let residual = (misses / points.len() as f64).sqrt();
        let r2 = if spread == 0.0 { 1.0 } else { 1.0 - misses / spread };
        Self { name, unit_x, unit_y, points, intercept, slope, residual, r2 }
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}
