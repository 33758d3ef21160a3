//! Changes and removals, brought to the council.

use std::time::Duration;

use stepspur_replication::{OperationId, ReplicationClient, ReplicationError};

use crate::configuration::{CONFIGURATION, Command, CommandError};
use crate::document::Change;
use crate::version::Version;

/// Under whose name operators' commands take their turns.
const OPERATORS: &str = "operators";
/// Under whose name registrations take their turns.
const SUBSCRIBERS: &str = "subscribers";

/// Why a change or removal has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// It is faulty: nothing was proposed.
    #[error(transparent)]
    Faulty(#[from] CommandError),
    /// It is too large for one command: nothing was proposed.
    #[error("too large: {0}")]
    TooLarge(String),
    /// Too much is under way: nothing was proposed.
    #[error("too much is under way; come again after {after:?}")]
    Full {
        /// When to come again.
        after: Duration,
    },
    /// The book's rules refuse it; nothing has changed.
    #[error("refused: {0}")]
    Refused(String),
    /// No answer came in time: it may have taken effect, and may yet. Proposed again under this id it takes effect once.
    #[error("the outcome of {id} is unknown")]
    Unknown {
        /// The operation.
        id: OperationId,
    },
    /// It came so late that whether it took effect before is forgotten; it did not now.
    #[error("{id} is too old to be told from what was forgotten")]
    TooOld {
        /// The operation.
        id: OperationId,
    },
    /// This member applies no more.
    #[error("this member has stopped: {0}")]
    Stopped(String),
}

impl From<ReplicationError> for ProposeError {
    fn from(failed: ReplicationError) -> Self {
        match failed {
            ReplicationError::Full { after } => Self::Full { after },
            ReplicationError::InvalidCommand(invalid) => Self::TooLarge(invalid.to_string()),
            ReplicationError::Refused(refusal) => Self::Refused(refusal.0),
            ReplicationError::Unknown(id) => Self::Unknown { id },
            ReplicationError::TooOld(id) => Self::TooOld { id },
            ReplicationError::NoLeader => Self::Stopped("no leader answered".to_owned()),
            ReplicationError::Stopped(why) => Self::Stopped(why),
        }
    }
}

/// Has the council agree on changes: the version that they made.
pub(super) async fn change(
    shared: &ReplicationClient,
    id: Option<OperationId>,
    changes: Vec<Change>,
    within: Duration,
) -> Result<Version, ProposeError> {
    let command = Command::Change { changes };
    let (id, answer) = bring(shared, id, OPERATORS, &command, within).await?;
    postcard::from_bytes(&answer).map_err(|_| ProposeError::Unknown { id })
}

/// Has the council take a subscriber out of the register: true, if it was in it.
pub(super) async fn remove(
    shared: &ReplicationClient,
    name: &str,
    within: Duration,
) -> Result<bool, ProposeError> {
    let command = Command::Remove { name: name.to_owned() };
    let (id, answer) = bring(shared, None, OPERATORS, &command, within).await?;
    postcard::from_bytes(&answer).map_err(|_| ProposeError::Unknown { id })
}

/// Has the council agree on registrations.
pub(super) async fn register(
    shared: &ReplicationClient,
    registrations: Vec<crate::configuration::Registration>,
    within: Duration,
) -> Result<(), ProposeError> {
    let command = Command::Register { registrations };
    bring(shared, None, SUBSCRIBERS, &command, within).await.map(drop)
}

async fn bring(
    shared: &ReplicationClient,
    id: Option<OperationId>,
    whose: &str,
    command: &Command,
    within: Duration,
) -> Result<(OperationId, Vec<u8>), ProposeError> {
    command.check()?;
    let id = id.unwrap_or_else(|| shared.new_id());
    let answer = shared.propose(id, CONFIGURATION, whose, &command.encode(), within).await?;
    Ok((id, answer))
}
