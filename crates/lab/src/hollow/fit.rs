//! Least-squares fits of a figure against the number of nodes.

/// `figure = intercept + slope * basis(nodes)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The figure at basis 0.
    pub intercept: f64,
    /// What one step of the basis adds.
    pub slope: f64,
    /// The root of the mean squared difference between measured and fitted, in the figure's unit.
    pub error: f64,
}

impl Fit {
    /// Fits points of (basis, figure); `None` where there are fewer than three or all have one basis.
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_basis, mean_figure) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - mean_basis).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let common: f64 = points.iter().map(|point| (point.0 - mean_basis) * (point.1 - mean_figure)).sum();
        let slope = common / spread;
        let intercept = mean_figure - slope * mean_basis;
        let residual = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).powi(2);
        let error = (points.iter().map(residual).sum::<f64>() / count).sqrt();
        Some(Self { intercept, slope, error })
    }

    /// The fitted figure.
    pub fn at(&self, basis: f64) -> f64 {
        self.intercept + self.slope * basis
    }
}
