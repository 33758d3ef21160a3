//! The weighted median of measurements.

/// A value and its weight in a weighted median.
#[derive(Clone, Copy)]
pub(super) struct Weighted {
    /// The measured value, in any unit.
    pub(super) value: f64,
    /// Its weight relative to the other values, not negative.
    pub(super) weight: f64,
}

/// Returns the smallest value at which the values up to it have at least half of the total weight; 0 without
/// values.
pub(super) fn weighted_median(mut values: Vec<Weighted>) -> f64 {
    values.sort_by(|a, b| a.value.total_cmp(&b.value));
    let mut remaining = values.iter().map(|v| v.weight).sum::<f64>() / 2.0;
    for item in &values {
        remaining -= item.weight;
        if remaining <= 0.0 {
            return item.value;
        }
    }
    0.0
}

#[cfg(test)]
mod tests;
