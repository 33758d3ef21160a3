//! A slope as a table on standard output.

use super::result::Slope;
use crate::fit::{self, Estimate};

/// Prints the means of the repeats at each size, and the fits.
pub(super) fn print(slope: &Slope) {
    let sizes = slope.sizes();
    println!("\n{}", slope.name.counts());
    let head: String = sizes.iter().map(|size| format!("{size:>14}")).collect();
    println!("{:34}{head}{:>26}{:>18}", "", "more for one more", "exponent");
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
    let (least, most) = loads.fold((f64::MAX, 0f64), |(least, most), load| (least.min(load), most.max(load)));
    println!("load of the machine beside it {least:.1} to {most:.1}");
    slope.notes.iter().for_each(|note| println!("not measured: {note}"));
}

/// A value with its half interval.
pub(crate) fn format_estimate(estimate: Estimate) -> String {
    match estimate.half_width {
        None | Some(0.0) => format_rounded(estimate.mean),
        Some(half) => format!("{} ± {}", format_rounded(estimate.mean), format_rounded(half)),
    }
}

/// Three digits that count.
pub(crate) fn format_rounded(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let places = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    if places > 8 { format!("{value:.2e}") } else { format!("{value:.places$}") }
}
