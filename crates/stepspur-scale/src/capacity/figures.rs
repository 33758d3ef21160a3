//! Looks up and extrapolates the measured slopes.

use super::cell::Cell;
use crate::fit::{Estimate, interpolate, measured, predict};
use crate::slopes::result::{Metric, Name, Slopes};

/// Measured slopes, the source of every figure on the page.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figures<'a>(pub &'a Slopes);

impl Figures<'_> {
    /// The metric at size `x`: the measured value, else interpolated between the neighbouring sizes, else
    /// extrapolated by the fitted line.
    pub(super) fn at(&self, name: Name, metric: Metric, x: f64) -> Cell {
        let Some(slope) = self.0.get(name) else { return Cell::NOT_KNOWN };
        let points = slope.points(metric);
        if let Some(value) = measured(&points, x) {
            return Cell::measured(value);
        }
        interpolate(&points, x).or_else(|| predict(&points, x)).map_or(Cell::NOT_KNOWN, Cell::derived)
    }

    /// The difference of the metric between the sizes `x` and `other`, taken for each repeat, so that an
    /// offset that all sizes of a repeat share cancels out.
    pub(super) fn cost_difference(&self, name: Name, metric: Metric, x: f64, other: f64) -> Cell {
        if x == other {
            return Cell::counted(0.0);
        }
        let Some(slope) = self.0.get(name) else { return Cell::NOT_KNOWN };
        let points = slope.points(metric);
        let repeats = points.iter().map(|point| point.repeat).max().map_or(0, |last| last + 1);
        let difference = |repeat: usize| {
            let of_repeat: Vec<_> = points.iter().filter(|point| point.repeat == repeat).copied().collect();
            let at = |x| interpolate(&of_repeat, x).or_else(|| predict(&of_repeat, x)).map(|at| at.mean);
            Some(at(x)? - at(other)?)
        };
        let differences: Vec<f64> = (0..repeats).filter_map(difference).collect();
        Estimate::from_samples(&differences).map_or(Cell::NOT_KNOWN, Cell::derived)
    }

    /// The cost of one more unit of size, by the fitted line.
    pub(super) fn marginal_cost(&self, name: Name, metric: Metric) -> Cell {
        let fit = self.0.get(name).and_then(|slope| slope.fits.get(&metric));
        fit.map_or(Cell::NOT_KNOWN, |fit| Cell::derived(fit.slope))
    }

    /// The largest measured size of a slope; `None` if the slope was not measured.
    pub(super) fn largest(&self, name: Name) -> Option<f64> {
        self.0.get(name)?.sizes().last().copied()
    }
}
