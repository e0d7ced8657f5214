/// A least-squares fit of a line, in which older points count less.
///
/// It keeps sums of deviations from the means, which lose no precision for points far from zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinearFit {
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl LinearFit {
    /// Adds a point; the fit is over about `span` points.
    pub(crate) fn add(&mut self, span: f64, x: f64, y: f64) {
        let kept = 1.0 - 1.0 / span;
        let (dx, dy) = (x - self.mean_x, y - self.mean_y);
        self.weight = self.weight * kept + 1.0;
        self.mean_x += dx / self.weight;
        self.mean_y += dy / self.weight;
        self.xx = self.xx * kept + dx * (x - self.mean_x);
        self.xy = self.xy * kept + dx * (y - self.mean_y);
        self.yy = self.yy * kept + dy * (y - self.mean_y);
    }

    /// Returns the value at `x` of the line with this slope.
    pub(crate) fn value_at(&self, x: f64, slope: f64) -> f64 {
        self.mean_y + slope * (x - self.mean_x)
    }

    /// Returns the slope, if the fit is over at least `min_weight` points and the slope exceeds zero by
    /// `significance` standard errors.
    pub(crate) fn slope(&self, min_weight: f64, significance: f64) -> Option<f64> {
        if self.weight < min_weight.max(3.0) || self.xx <= 0.0 {
            return None;
        }
        let slope = self.xy / self.xx;
        let residual = (self.yy - slope * self.xy).max(0.0);
        let error = (residual / (self.weight - 2.0) / self.xx).sqrt();
        (0.0 < slope && significance * error <= slope).then_some(slope)
    }
}
