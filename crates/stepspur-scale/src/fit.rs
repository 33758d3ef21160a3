//! Fits lines and growth exponents to measured points, with confidence intervals from the repeats.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

#[cfg(test)]
mod tests;

/// Confidence level of the intervals.
const CONFIDENCE: f64 = 0.95;

/// One value measured at one size in one repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    /// Index of the repeat, from 0.
    pub repeat: usize,
    /// Size of what is varied, for example the number of servers.
    pub x: f64,
    /// Value measured at this size.
    pub y: f64,
}

/// A mean over the repeats and its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Estimate {
    /// Mean of the repeats.
    pub mean: f64,
    /// Half the width of the 95% interval by Student's t; `None` for a single repeat, 0 for an exact value.
    pub half_width: Option<f64>,
}

impl Estimate {
    /// An exact value, with an interval of width 0.
    pub(crate) fn exact(mean: f64) -> Self {
        Self { mean, half_width: Some(0.0) }
    }

    /// Estimates the mean of one value per repeat; `None` without values.
    pub(crate) fn from_samples(values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squared_deviation = |value: &f64| (value - mean) * (value - mean);
        let degrees_of_freedom = count - 1.0;
        let half_width =
            StudentsT::new(0.0, 1.0, degrees_of_freedom).ok().filter(|_| degrees_of_freedom > 0.0).map(|t| {
                let deviation =
                    (values.iter().map(squared_deviation).sum::<f64>() / degrees_of_freedom).sqrt();
                t.inverse_cdf((1.0 + CONFIDENCE) / 2.0) * deviation / count.sqrt()
            });
        Some(Self { mean, half_width })
    }

    /// The estimate multiplied by `factor`.
    pub(crate) fn times(self, factor: f64) -> Self {
        let half_width = self.half_width.map(|half| half * factor.abs());
        Self { mean: self.mean * factor, half_width }
    }

    /// The sum with an estimate of independent error: half widths add in quadrature.
    pub(crate) fn plus(self, other: Self) -> Self {
        let half_width = self.half_width.zip(other.half_width).map(|(a, b)| a.hypot(b));
        Self { mean: self.mean + other.mean, half_width }
    }
}

/// The line y = a + b·x.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    /// a: the value at x = 0.
    pub intercept: f64,
    /// b: the increase of y for one more unit of x.
    pub slope: f64,
}

impl Line {
    /// The value of y at x.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The least-squares line through the points; `None` for fewer than two sizes.
pub(crate) fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x) * (x - mean_x)).sum();
    let sum_of_products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = sum_of_products / sum_of_squares;
    slope.is_finite().then_some(Line { intercept: mean_y - slope * mean_x, slope })
}

/// The growth exponent e in y ~ x^e: the slope of the least-squares line through the logarithms. Points with
/// a coordinate of 0 or below have no logarithm and are left out; `None` for fewer than two remaining sizes.
pub(crate) fn exponent(points: &[(f64, f64)]) -> Option<f64> {
    let positive = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<(f64, f64)> = positive.map(|(x, y)| (x.ln(), y.ln())).collect();
    least_squares(&logarithms).map(|line| line.slope)
}

/// A metric as a function of size, fitted over all repeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Fit {
    /// a in y = a + b·x.
    pub intercept: Estimate,
    /// b in y = a + b·x: the cost of one more unit of size.
    pub slope: Estimate,
    /// e in y ~ x^e, fitted on logarithms; `None` if any size or measured value is 0 or below.
    pub exponent: Option<Estimate>,
    /// Share of the variance over all points that the line explains, at most 1.
    pub r_squared: f64,
}

/// Fits each repeat separately; the intervals come from the spread of the repeats' lines.
pub(crate) fn fit(points: &[Point]) -> Option<Fit> {
    let lines = lines(points);
    let intercepts: Vec<f64> = lines.iter().map(|line| line.intercept).collect();
    let slopes: Vec<f64> = lines.iter().map(|line| line.slope).collect();
    let positive = points.iter().all(|point| point.x > 0.0 && point.y > 0.0);
    let repeats = if positive { by_repeat(points) } else { BTreeMap::new() };
    let exponents: Vec<f64> = repeats.values().filter_map(|points| exponent(points)).collect();
    Some(Fit {
        intercept: Estimate::from_samples(&intercepts)?,
        slope: Estimate::from_samples(&slopes)?,
        exponent: Estimate::from_samples(&exponents),
        r_squared: r_squared(points)?,
    })
}

/// The value at size `x` on the repeats' fitted lines.
pub(crate) fn predict(points: &[Point], x: f64) -> Option<Estimate> {
    Estimate::from_samples(&lines(points).iter().map(|line| line.at(x)).collect::<Vec<_>>())
}

/// Interpolates linearly between the neighbouring sizes; `None` outside the measured range.
pub(crate) fn interpolate(points: &[Point], x: f64) -> Option<Estimate> {
    let interpolated = |points: &Vec<(f64, f64)>| {
        let below = points.iter().filter(|(size, _)| *size <= x).max_by(|a, b| a.0.total_cmp(&b.0))?;
        let above = points.iter().filter(|(size, _)| *size >= x).min_by(|a, b| a.0.total_cmp(&b.0))?;
        let line = least_squares(&[*below, *above]);
        Some(line.map_or(below.1, |line| line.at(x)))
    };
    let values: Vec<f64> = by_repeat(points).values().filter_map(interpolated).collect();
    Estimate::from_samples(&values)
}

/// The value measured at exactly size `x`; `None` if that size was not measured.
pub(crate) fn measured(points: &[Point], x: f64) -> Option<Estimate> {
    let values = points.iter().filter(|point| point.x == x).map(|point| point.y);
    Estimate::from_samples(&values.collect::<Vec<_>>())
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
    let residual: f64 = pairs.iter().map(|(x, y)| (y - line.at(*x)) * (y - line.at(*x))).sum();
    Some(if total > 0.0 { 1.0 - residual / total } else { 1.0 })
}
