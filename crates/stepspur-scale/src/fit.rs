//! Straight lines and exponents through measured points, with intervals from the repeats.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

#[cfg(test)]
mod tests;

/// How sure the intervals are.
const CONFIDENCE: f64 = 0.95;

/// A measured point of one repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    /// The repeat, from 0.
    pub repeat: usize,
    /// The size.
    pub x: f64,
    /// What was measured there.
    pub y: f64,
}

/// A mean, and where the repeats place it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Estimate {
    /// Mean of the repeats.
    pub mean: f64,
    /// Half of the 95% interval by Student's t; none of a single repeat.
    pub half_width: Option<f64>,
}

impl Estimate {
    /// A value that is known without a spread.
    pub(crate) fn exact(mean: f64) -> Self {
        Self { mean, half_width: Some(0.0) }
    }

    /// The estimate of values of repeats; none of no values.
    pub(crate) fn of(values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let square = |value: &f64| (value - mean) * (value - mean);
        let freedom = count - 1.0;
        let half_width = StudentsT::new(0.0, 1.0, freedom).ok().filter(|_| freedom > 0.0).map(|t| {
            let deviation = (values.iter().map(square).sum::<f64>() / freedom).sqrt();
            t.inverse_cdf((1.0 + CONFIDENCE) / 2.0) * deviation / count.sqrt()
        });
        Some(Self { mean, half_width })
    }

    /// So many times as much.
    pub(crate) fn times(self, factor: f64) -> Self {
        let half_width = self.half_width.map(|half| half * factor.abs());
        Self { mean: self.mean * factor, half_width }
    }

    /// The sum with one that errs on its own: half widths add up by their squares.
    pub(crate) fn plus(self, other: Self) -> Self {
        let half_width = self.half_width.zip(other.half_width).map(|(a, b)| a.hypot(b));
        Self { mean: self.mean + other.mean, half_width }
    }
}

/// A line y = a + b·x.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    /// a.
    pub intercept: f64,
    /// b.
    pub slope: f64,
}

impl Line {
    /// y at x.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The line of least squares; none through fewer than two sizes.
pub(crate) fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x) * (x - mean_x)).sum();
    let together: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = together / spread;
    slope.is_finite().then_some(Line { intercept: mean_y - slope * mean_x, slope })
}

/// The exponent of growth, e in y ~ x^e: the slope of the best line through the logarithms. Points that are not above 0
/// have none and are left out; none through fewer than two sizes.
pub(crate) fn exponent(points: &[(f64, f64)]) -> Option<f64> {
    let positive = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<(f64, f64)> = positive.map(|(x, y)| (x.ln(), y.ln())).collect();
    least_squares(&logarithms).map(|line| line.slope)
}

/// What repeats say of one measured thing by size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Fit {
    /// a in y = a + b·x.
    pub intercept: Estimate,
    /// b.
    pub slope: Estimate,
    /// e in y ~ x^e, fitted on logarithms; none where something measured is not above 0.
    pub exponent: Option<Estimate>,
    /// The part of the variance that the line explains, over all points.
    pub r_squared: f64,
}

/// Fits each repeat by itself; the interval is that of the repeats' lines.
pub(crate) fn fit(points: &[Point]) -> Option<Fit> {
    let lines = lines(points);
    let intercepts: Vec<f64> = lines.iter().map(|line| line.intercept).collect();
    let slopes: Vec<f64> = lines.iter().map(|line| line.slope).collect();
    let positive = points.iter().all(|point| point.x > 0.0 && point.y > 0.0);
    let repeats = if positive { by_repeat(points) } else { BTreeMap::new() };
    let exponents: Vec<f64> = repeats.values().filter_map(|points| exponent(points)).collect();
    Some(Fit {
        intercept: Estimate::of(&intercepts)?,
        slope: Estimate::of(&slopes)?,
        exponent: Estimate::of(&exponents),
        r_squared: r_squared(points)?,
    })
}

/// What the line of the repeats says at a size.
pub(crate) fn predict(points: &[Point], x: f64) -> Option<Estimate> {
    Estimate::of(&lines(points).iter().map(|line| line.at(x)).collect::<Vec<_>>())
}

/// What the straight lines between neighbouring sizes say, for a size between the smallest and the largest.
pub(crate) fn interpolate(points: &[Point], x: f64) -> Option<Estimate> {
    let between = |points: &Vec<(f64, f64)>| {
        let below = points.iter().filter(|(size, _)| *size <= x).max_by(|a, b| a.0.total_cmp(&b.0))?;
        let above = points.iter().filter(|(size, _)| *size >= x).min_by(|a, b| a.0.total_cmp(&b.0))?;
        let line = least_squares(&[*below, *above]);
        Some(line.map_or(below.1, |line| line.at(x)))
    };
    let values: Vec<f64> = by_repeat(points).values().filter_map(between).collect();
    Estimate::of(&values)
}

/// What was measured at a size itself.
pub(crate) fn measured(points: &[Point], x: f64) -> Option<Estimate> {
    let there = points.iter().filter(|point| point.x == x).map(|point| point.y);
    Estimate::of(&there.collect::<Vec<_>>())
}

fn by_repeat(points: &[Point]) -> BTreeMap<usize, Vec<(f64, f64)>> {
    let mut repeats: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    for point in points {
        repeats.entry(point.repeat).or_default().push((point.x, point.y));
    }
    repeats
}

fn lines(points: &[Point]) -> Vec<Line> {
    by_repeat(points).values().filter_map(|points| least_squares(points)).collect()
}

fn r_squared(points: &[Point]) -> Option<f64> {
    let pairs: Vec<(f64, f64)> = points.iter().map(|point| (point.x, point.y)).collect();
    let line = least_squares(&pairs)?;
    let mean = pairs.iter().map(|(_, y)| y).sum::<f64>() / pairs.len() as f64;
    let total: f64 = pairs.iter().map(|(_, y)| (y - mean) * (y - mean)).sum();
    let left: f64 = pairs.iter().map(|(x, y)| (y - line.at(*x)) * (y - line.at(*x))).sum();
    Some(if total > 0.0 { 1.0 - left / total } else { 1.0 })
}
