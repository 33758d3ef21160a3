//! What the slopes say at a size.

use super::cell::Cell;
use crate::fit::{Estimate, measured, predict};
use crate::slopes::result::{Metric, Name, Slopes};

/// Measured slopes to work from.
#[derive(Clone, Copy, Debug)]
pub struct Figures<'a>(pub &'a Slopes);

impl Figures<'_> {
    /// At a size: what was measured there, else what the line says.
    pub fn at(&self, name: Name, metric: Metric, x: f64) -> Cell {
        let Some(slope) = self.0.get(name) else { return Cell::NOT_KNOWN };
        let points = slope.points(metric);
        if let Some(value) = measured(&points, x) {
            return Cell::measured(value);
        }
        predict(&points, x).map_or(Cell::NOT_KNOWN, Cell::derived)
    }

    /// What the line says where nothing grows yet.
    pub fn base(&self, name: Name, metric: Metric) -> Cell {
        self.fitted(name, metric, |intercept, _| intercept)
    }

    /// What one more costs.
    pub fn more(&self, name: Name, metric: Metric) -> Cell {
        self.fitted(name, metric, |_, slope| slope)
    }

    fn fitted(&self, name: Name, metric: Metric, pick: fn(Estimate, Estimate) -> Estimate) -> Cell {
        let fit = self.0.get(name).and_then(|slope| slope.fits.get(&metric));
        fit.map_or(Cell::NOT_KNOWN, |fit| Cell::derived(pick(fit.intercept, fit.slope)))
    }

    /// The largest size of a slope that was measured.
    pub fn largest(&self, name: Name) -> Option<f64> {
        self.0.get(name)?.sizes().last().copied()
    }
}
