//! Changes and removals, brought to the council.

use std::time::Duration;

use stepspur_shared::{Failed, OpId, Shared};

use crate::book::{CONFIGURATION, Command, CommandFault};
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
    Faulty(#[from] CommandFault),
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
        id: OpId,
    },
    /// It came so late that whether it took effect before is forgotten; it did not now.
    #[error("{id} is too old to be told from what was forgotten")]
    TooOld {
        /// The operation.
        id: OpId,
    },
    /// This member applies no more.
    #[error("this member has stopped: {0}")]
    Stopped(String),
}

impl From<Failed> for ProposeError {
    fn from(failed: Failed) -> Self {
        match failed {
            Failed::Full { after } => Self::Full { after },
            Failed::Senseless(why) => Self::TooLarge(why),
            Failed::Refused(refusal) => Self::Refused(refusal.0),
            Failed::Unknown(id) => Self::Unknown { id },
            Failed::TooOld(id) => Self::TooOld { id },
            Failed::NoLeader => Self::Stopped("no leader answered".to_owned()),
            Failed::Stopped(why) => Self::Stopped(why),
        }
    }
}

/// Has the council agree on changes: the version that they made.
pub(super) async fn change(
    shared: &Shared,
    id: Option<OpId>,
    changes: Vec<Change>,
    within: Duration,
) -> Result<Version, ProposeError> {
    let command = Command::Change { changes };
    let (id, answer) = bring(shared, id, OPERATORS, &command, within).await?;
    postcard::from_bytes(&answer).map_err(|_| ProposeError::Unknown { id })
}

/// Has the council take a subscriber out of the register: true, if it was in it.
pub(super) async fn remove(shared: &Shared, name: &str, within: Duration) -> Result<bool, ProposeError> {
    let command = Command::Remove { name: name.to_owned() };
    let (id, answer) = bring(shared, None, OPERATORS, &command, within).await?;
    postcard::from_bytes(&answer).map_err(|_| ProposeError::Unknown { id })
}

/// Has the council agree on registrations.
pub(super) async fn register(
    shared: &Shared,
    registrations: Vec<crate::book::Registration>,
    within: Duration,
) -> Result<(), ProposeError> {
    let command = Command::Register { registrations };
    bring(shared, None, SUBSCRIBERS, &command, within).await.map(drop)
}

async fn bring(
    shared: &Shared,
    id: Option<OpId>,
    whose: &str,
    command: &Command,
    within: Duration,
) -> Result<(OpId, Vec<u8>), ProposeError> {
    command.check()?;
    let id = id.unwrap_or_else(|| shared.new_id());
    let answer = shared.propose(id, CONFIGURATION, whose, &command.encode(), within).await?;
    Ok((id, answer))
}
