//! The weighted median.

/// A value and its weight.
#[derive(Clone, Copy)]
pub(super) struct Weighted {
    /// The value.
    pub(super) value: f64,
    /// Its weight, not negative.
    pub(super) weight: f64,
}

/// The value below which half of the total weight lies; 0 without values.
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
