//! Errors that prevent a rehearsal from running.

use stepspur_identity::keys::KeyError;

use crate::launch::LaunchError;

/// Why a rehearsal could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An emulated server, relay or node list could not bind its socket.
    #[error("cannot start an emulated server, relay or node list: {0}")]
    Io(#[from] std::io::Error),
    /// A conductor did not start.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The key folder of the rehearsal cannot be created.
    #[error("cannot create the keys of the rehearsal: {0}")]
    Keys(#[from] KeyError),
    /// The plan has more servers and proxies (in this order) than can be emulated with sockets on one
    /// machine.
    #[error(
        "{0} servers and {1} proxies are too many for sockets on one machine: run the plan in virtual time"
    )]
    TooLarge(usize, usize),
    /// A conductor setting of the plan is out of bounds; holds its key and the reason.
    #[error("a conductor setting is out of bounds: {0}")]
    Config(String),
}
