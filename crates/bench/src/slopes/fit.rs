//! Linear regression of measured points.

use serde::Serialize;

/// Growth of a quantity with a size: the measured points and their least-squares line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The name of the measurement.
    pub name: &'static str,
    /// The unit of the size.
    pub unit_x: &'static str,
    /// The unit of the quantity.
    pub unit_y: &'static str,
    /// The measured points, each a size and a quantity.
    pub points: Vec<[f64; 2]>,
    /// The line's value at size zero.
    pub intercept: f64,
    /// The line's increase per unit of size.
    pub slope: f64,
    /// Root mean square of the residuals, in the quantity's unit.
    pub residual: f64,
    /// Coefficient of determination of the line.
    pub r2: f64,
}

impl Slope {
    /// Fits a line to points with at least two different sizes.
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
        let residual_sum = sum(&|x, y| (y - slope * x).powi(2));
        let total_sum = sum(&|_, y| y * y);
        let residual = (residual_sum / points.len() as f64).sqrt();
        let r2 = if total_sum == 0.0 { 1.0 } else { 1.0 - residual_sum / total_sum };
        Self { name, unit_x, unit_y, points, intercept, slope, residual, r2 }
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}
