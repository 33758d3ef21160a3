//! A figure on the page: its value, its confidence interval and how it was obtained.

use crate::fit::Estimate;
use crate::slopes::format_estimate;

/// How a figure was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Basis {
    /// Measured at exactly this size.
    Measured,
    /// Calculated from measured values.
    Derived,
    /// No measurement gives it.
    NotKnown,
}

/// One figure of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Cell {
    /// Mean and interval; `None` where the figure is not known.
    pub value: Option<Estimate>,
    /// How it was obtained.
    pub basis: Basis,
}

impl Cell {
    /// The figure that no measurement gives.
    pub(super) const NOT_KNOWN: Cell = Cell { value: None, basis: Basis::NotKnown };

    /// A figure that was measured at exactly this size.
    pub(super) fn measured(value: Estimate) -> Self {
        Self { value: Some(value), basis: Basis::Measured }
    }

    /// A figure calculated from measured values.
    pub(super) fn derived(value: Estimate) -> Self {
        Self { value: Some(value), basis: Basis::Derived }
    }

    /// A figure calculated from exact counts, without an interval.
    pub(super) fn counted(value: f64) -> Self {
        Self::derived(Estimate::exact(value))
    }

    /// The figure multiplied by `factor`.
    pub(super) fn times(self, factor: f64) -> Self {
        match self.value {
            Some(value) => Self::derived(value.times(factor)),
            None => Self::NOT_KNOWN,
        }
    }

    /// The sum of both figures; not known if either is not known.
    pub(super) fn plus(self, other: Self) -> Self {
        match (self.value, other.value) {
            (Some(one), Some(two)) => Self::derived(one.plus(two)),
            _ => Self::NOT_KNOWN,
        }
    }

    /// The mean; `None` if the figure is not known.
    pub(super) fn mean(self) -> Option<f64> {
        self.value.map(|value| value.mean)
    }

    /// The figure as the page shows it: marked `m` if measured, `d` if derived.
    pub(super) fn text(self) -> String {
        match (self.value, self.basis) {
            (Some(value), Basis::Measured) => format!("{} m", format_estimate(value)),
            (Some(value), _) => format!("{} d", format_estimate(value)),
            (None, _) => "not known".to_owned(),
        }
    }
}
