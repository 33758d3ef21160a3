//! What the slopes say at a size.

use super::cell::Cell;
use crate::fit::{Estimate, interpolate, measured, predict};
use crate::slopes::result::{Metric, Name, Slopes};

/// Measured slopes to work from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figures<'a>(pub &'a Slopes);

impl Figures<'_> {
    /// At a size: what was measured there; else what the neighbouring sizes say; beyond all sizes what the line says.
    pub(super) fn at(&self, name: Name, metric: Metric, x: f64) -> Cell {
        let Some(slope) = self.0.get(name) else { return Cell::NOT_KNOWN };
        let points = slope.points(metric);
        if let Some(value) = measured(&points, x) {
            return Cell::measured(value);
        }
        interpolate(&points, x).or_else(|| predict(&points, x)).map_or(Cell::NOT_KNOWN, Cell::derived)
    }

    /// What one size costs above another, repeat by repeat.
    pub(super) fn above(&self, name: Name, metric: Metric, x: f64, other: f64) -> Cell {
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
        Estimate::of(&differences).map_or(Cell::NOT_KNOWN, Cell::derived)
    }

    /// What one more costs, by the line.
    pub(super) fn more(&self, name: Name, metric: Metric) -> Cell {
        let fit = self.0.get(name).and_then(|slope| slope.fits.get(&metric));
        fit.map_or(Cell::NOT_KNOWN, |fit| Cell::derived(fit.slope))
    }

    /// The largest size of a slope that was measured.
    pub(super) fn largest(&self, name: Name) -> Option<f64> {
        self.0.get(name)?.sizes().last().copied()
    }
}
