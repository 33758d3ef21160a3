//! Prints a slope as a table to standard output.

use super::result::Slope;
use crate::fit::{self, Estimate};

/// Prints for each metric the mean at each size, the slope and the exponent, then load and notes.
pub(super) fn print(slope: &Slope) {
    let sizes = slope.sizes();
    println!("\n{}", slope.name.counts());
    let header: String = sizes.iter().map(|size| format!("{size:>14}")).collect();
    println!("{:34}{header}{:>26}{:>18}", "", "more for one more", "exponent");
    for metric in slope.metrics() {
        let points = slope.points(metric);
        let mean =
            |size: &f64| fit::measured(&points, *size).map_or(String::new(), |at| format_rounded(at.mean));
        let means: String = sizes.iter().map(|size| format!("{:>14}", mean(size))).collect();
        let fit = slope.fits.get(&metric);
        let more = fit.map_or(String::new(), |fit| format_estimate(fit.slope));
        let exponent = fit.and_then(|fit| fit.exponent).map_or(String::new(), format_estimate);
        println!("{:34}{means}{more:>26}{exponent:>18}", metric.label());
    }
    let loads = slope.runs.iter().map(|run| run.load_average);
    let (min, max) = loads.fold((f64::MAX, 0f64), |(min, max), load| (min.min(load), max.max(load)));
    println!("load of the machine beside it {min:.1} to {max:.1}");
    slope.notes.iter().for_each(|note| println!("not measured: {note}"));
}

/// Formats the mean with half the width of its interval, if it has one.
pub(crate) fn format_estimate(estimate: Estimate) -> String {
    match estimate.half_width {
        None | Some(0.0) => format_rounded(estimate.mean),
        Some(half) => format!("{} ± {}", format_rounded(estimate.mean), format_rounded(half)),
    }
}

/// Formats a value with three significant digits.
pub(crate) fn format_rounded(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let decimals = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    if decimals > 8 { format!("{value:.2e}") } else { format!("{value:.decimals$}") }
}
