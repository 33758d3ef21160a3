//! The two arms that are compared, and the order of their rounds.

use std::fmt;

/// What a conductor does for the distribution of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arm {
    /// It subscribes to control members.
    On,
    /// Its settings are the same without `[distribution]`.
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

/// The arms of a pair of rounds: which comes first changes from pair to pair, so that neither always follows
/// the other.
pub(super) fn order(pair: u32) -> [Arm; 2] {
    if pair.is_multiple_of(2) { [Arm::On, Arm::Off] } else { [Arm::Off, Arm::On] }
}
