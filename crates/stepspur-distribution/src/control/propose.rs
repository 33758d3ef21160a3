//! Proposes changes, registrations and removals to the replicated configuration.

use std::time::Duration;

use stepspur_replication::{OperationId, ReplicationClient, ReplicationError};

use crate::configuration::{CONFIGURATION, Command, CommandError, Registration};
use crate::document::Change;
use crate::version::Version;

/// The tenant by which the proposal limits count operators' proposals.
const OPERATORS: &str = "operators";
/// The tenant by which the proposal limits count registrations.
const SUBSCRIBERS: &str = "subscribers";

/// Why a proposal did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The command is invalid: nothing was proposed.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
    /// The encoded command is too large: nothing was proposed.
    #[error("too large: {0}")]
    TooLarge(String),
    /// Too many proposals are in flight: nothing was proposed.
    #[error("too many proposals are in flight; retry after {after:?}")]
    TooManyInFlight {
        /// The time to wait before a retry.
        after: Duration,
    },
    /// The replicated configuration rejected the command; the state is unchanged.
    #[error("refused: {0}")]
    Rejected(String),
    /// The outcome was not known within the time limit: the operation may have taken effect, or may yet. It
    /// can be proposed again with this id and takes effect once.
    #[error("the outcome of {id} is unknown")]
    Unknown {
        /// The id of the operation.
        id: OperationId,
    },
    /// The id is so old that the outcome of an earlier proposal with it may no longer be remembered. This
    /// proposal was not applied, as it might be a repetition.
    #[error("{id} is older than the completed operations that are remembered")]
    TooOld {
        /// The id of the operation.
        id: OperationId,
    },
    /// This member has stopped applying entries, or no leader answered.
    #[error("this member has stopped: {0}")]
    Stopped(String),
}

impl From<ReplicationError> for ProposeError {
    fn from(error: ReplicationError) -> Self {
        match error {
            ReplicationError::TooManyInFlight { after } => Self::TooManyInFlight { after },
            ReplicationError::InvalidCommand(invalid) => Self::TooLarge(invalid.to_string()),
            ReplicationError::Rejected(rejection) => Self::Rejected(rejection.0),
            ReplicationError::UnknownOutcome(id) => Self::Unknown { id },
            ReplicationError::TooOld(id) => Self::TooOld { id },
            ReplicationError::ReadTimeout => Self::Stopped("no leader answered".to_owned()),
            ReplicationError::Stopped(reason) => Self::Stopped(reason),
        }
    }
}

/// Proposes changes. Returns the version that contains them.
pub(super) async fn change(
    replication: &ReplicationClient,
    id: Option<OperationId>,
    changes: Vec<Change>,
    within: Duration,
) -> Result<Version, ProposeError> {
    let command = Command::Change { changes };
    let Applied { id, answer } = propose(replication, id, OPERATORS, &command, within).await?;
    postcard::from_bytes(&answer).map_err(|_| ProposeError::Unknown { id })
}

/// Proposes the removal of a registration. Returns whether the subscriber was registered.
pub(super) async fn remove(
    replication: &ReplicationClient,
    name: &str,
    within: Duration,
) -> Result<bool, ProposeError> {
    let command = Command::Remove { name: name.to_owned() };
    let Applied { id, answer } = propose(replication, None, OPERATORS, &command, within).await?;
    postcard::from_bytes(&answer).map_err(|_| ProposeError::Unknown { id })
}

/// Proposes registrations, several in one command.
pub(super) async fn register(
    replication: &ReplicationClient,
    registrations: Vec<Registration>,
    within: Duration,
) -> Result<(), ProposeError> {
    let command = Command::Register { registrations };
    propose(replication, None, SUBSCRIBERS, &command, within).await.map(drop)
}

/// An operation that was applied, and the encoded answer of the state machine.
struct Applied {
    id: OperationId,
    answer: Vec<u8>,
}

async fn propose(
    replication: &ReplicationClient,
    id: Option<OperationId>,
    tenant: &str,
    command: &Command,
    within: Duration,
) -> Result<Applied, ProposeError> {
    command.check()?;
    let id = id.unwrap_or_else(|| replication.new_operation_id());
    let answer = replication.propose(id, CONFIGURATION, tenant, &command.encode(), within).await?;
    Ok(Applied { id, answer })
}
