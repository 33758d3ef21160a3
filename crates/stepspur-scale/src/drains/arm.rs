//! The two arms of the comparison and the order of their rounds.

use std::fmt;

/// Whether the measured conductor takes part in the distribution of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arm {
    /// It subscribes to the control members.
    On,
    /// It has the same settings, but without `[distribution]`.
    Off,
}

impl fmt::Display for Arm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::On => "on",
            Self::Off => "off",
        })
    }
}

/// Order of the arms in a pair of rounds. It alternates, so that effects of the order cancel out.
pub(super) fn order(pair: u32) -> [Arm; 2] {
    if pair.is_multiple_of(2) { [Arm::On, Arm::Off] } else { [Arm::Off, Arm::On] }
}
