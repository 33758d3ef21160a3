//! A figure on the page: its value, interval and where it comes from.

use crate::fit::Estimate;
use crate::slopes::shown;

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Basis {
    /// It was measured at this size.
    Measured,
    /// It was worked out by a formula from what was measured.
    Derived,
    /// Nothing says it.
    NotKnown,
}

/// A figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Cell {
    /// Its value; none where it is not known.
    pub value: Option<Estimate>,
    /// Where it comes from.
    pub basis: Basis,
}

impl Cell {
    /// Nothing says it.
    pub(super) const NOT_KNOWN: Cell = Cell { value: None, basis: Basis::NotKnown };

    /// Measured at this size.
    pub(super) fn measured(value: Estimate) -> Self {
        Self { value: Some(value), basis: Basis::Measured }
    }

    /// Worked out.
    pub(super) fn derived(value: Estimate) -> Self {
        Self { value: Some(value), basis: Basis::Derived }
    }

    /// Worked out of counts that have no spread.
    pub(super) fn counted(value: f64) -> Self {
        Self::derived(Estimate::exact(value))
    }

    /// So many times as much.
    pub(super) fn times(self, factor: f64) -> Self {
        match self.value {
            Some(value) => Self::derived(value.times(factor)),
            None => Self::NOT_KNOWN,
        }
    }

    /// The sum; not known where a part is not.
    pub(super) fn plus(self, other: Self) -> Self {
        match (self.value, other.value) {
            (Some(one), Some(two)) => Self::derived(one.plus(two)),
            _ => Self::NOT_KNOWN,
        }
    }

    /// The mean, if it is known.
    pub(super) fn mean(self) -> Option<f64> {
        self.value.map(|value| value.mean)
    }

    /// As it stands on the page: `m` measured, `d` derived.
    pub(super) fn text(self) -> String {
        match (self.value, self.basis) {
            (Some(value), Basis::Measured) => format!("{} m", shown(value)),
            (Some(value), _) => format!("{} d", shown(value)),
            (None, _) => "not known".to_owned(),
        }
    }
}
