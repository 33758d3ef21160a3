//! Errors of playing a day.

use stepspur_identity::keys::KeyError;

use crate::launch::LaunchError;

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An emulated server, proxy or node list could not open its socket.
    #[error("a stand-in cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// The conductor did not start.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The day's own keys cannot be made.
    #[error("the day's keys: {0}")]
    Keys(#[from] KeyError),
    /// The plan has more servers and proxies than one machine has sockets for.
    #[error("{0} servers and {1} proxies are too many for sockets on one machine: play it in virtual time")]
    TooLarge(usize, usize),
    /// The plan's settings for the conductor are out of bounds.
    #[error("the day's settings are out of bounds: {0}")]
    Config(String),
}
