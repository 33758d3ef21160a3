//! The handle of a running member: propose, and read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stepspur_consensus::Index;
use stepspur_consensus_node::NodeHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::book::{Rejection, ReplicatedStateMachine, StateMachineId};
use crate::books::StateMachineRegistry;
use crate::command::{Command, MAX_BODY_BYTES, OperationId, Outcome};
use crate::turns::ProposalLimiter;

/// What a member lets through at once, and how long it waits.
#[derive(Clone, Debug)]
pub struct ProposalLimits {
    /// Proposals under way on a book.
    pub by_book: usize,
    /// Of them, those of one tenant.
    pub by_tenant: usize,
    /// A proposal or question without an answer goes out again after this.
    pub again: Duration,
    /// Who is refused for want of room may come again after this.
    pub come_back: Duration,
}

impl Default for ProposalLimits {
    fn default() -> Self {
        let [again, come_back] = [300, 500].map(Duration::from_millis);
        Self { by_book: 256, by_tenant: 64, again, come_back }
    }
}

/// Why a proposal or a read has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicationError {
    /// Too much is under way: nothing was proposed.
    #[error("too much is under way; come again after {after:?}")]
    Full {
        /// When to come again.
        after: Duration,
    },
    /// The body is too large, or the book unknown: nothing was proposed.
    #[error("no such command: {0}")]
    Senseless(String),
    /// The book's rules refuse it, at every member; nothing has changed.
    #[error("refused: {0}")]
    Refused(#[from] Rejection),
    /// No answer came in time: it may have taken effect, and may yet. Proposed again under this id it takes effect once.
    #[error("the outcome of {0} is unknown")]
    Unknown(OperationId),
    /// It came so late that whether it took effect before is forgotten; it did not now.
    #[error("{0} is too old to be told from what was forgotten")]
    TooOld(OperationId),
    /// No leader answered in time.
    #[error("no leader answered in time")]
    NoLeader,
    /// The member applies no more.
    #[error("this member has stopped: {0}")]
    Stopped(String),
}

/// Up to where a stale read goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleRead {
    /// The last entry that this member has applied.
    pub applied: Index,
    /// How long ago it last applied any, by its own clock; what was agreed meanwhile elsewhere is not known here.
    pub since: Duration,
}

/// A running member's books.
#[derive(Clone)]
pub struct ReplicationClient {
    peers: Arc<NodeHandle>,
    books: StateMachineRegistry,
    limits: ProposalLimits,
    turns: ProposalLimiter,
    life: u64,
    numbers: Arc<AtomicU64>,
    /// When the last entry was applied, in milliseconds from `from`.
    applied_at: Arc<AtomicU64>,
    from: Instant,
}

impl ReplicationClient {
    /// The handle of a member that was started with these books. `life` must differ from that of any earlier start of
    /// this member: a random number.
    pub fn new(
        peers: Arc<NodeHandle>,
        books: StateMachineRegistry,
        limits: ProposalLimits,
        life: u64,
    ) -> Self {
        let (from, applied_at) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let (mut progress, at) = (peers.applied(), Arc::clone(&applied_at));
        // It ends with the member, which drops the other side.
        tokio::spawn(async move {
            while progress.changed().await.is_ok() {
                at.store(millis(from.elapsed()), Ordering::Relaxed);
            }
        });
        let numbers = Arc::new(AtomicU64::new(0));
        Self { peers, books, limits, turns: ProposalLimiter::default(), life, numbers, applied_at, from }
    }

    /// The member.
    pub fn peers(&self) -> &NodeHandle {
        &self.peers
    }

    /// The books as they stand here.
    pub fn books(&self) -> &StateMachineRegistry {
        &self.books
    }

    /// A new operation's id. Keep it to propose the operation again after an unknown outcome.
    pub fn new_id(&self) -> OperationId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let since = self.peers.applied().borrow().index;
        OperationId { member: self.peers.id(), life: self.life, number, since }
    }

    /// Has the council agree on a command and waits, so long at most, until it is applied here: the book's answer.
    ///
    /// # Errors
    /// See [`ReplicationError`].
    pub async fn propose(
        &self,
        id: OperationId,
        book: StateMachineId,
        tenant: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<Vec<u8>, ReplicationError> {
        let until = Instant::now() + within;
        if body.len() > MAX_BODY_BYTES {
            return Err(ReplicationError::Senseless(format!(
                "{} bytes, {MAX_BODY_BYTES} at most",
                body.len()
            )));
        }
        let version = self.books.version(book);
        let version =
            version.ok_or_else(|| ReplicationError::Senseless(format!("book {book} is not known here")))?;
        let room = self.turns.take(book, tenant, self.limits.by_book, self.limits.by_tenant);
        let _turn = room.ok_or(ReplicationError::Full { after: self.limits.come_back })?;
        self.runs()?;
        let command = Command { id, book, version, body: body.to_vec() }.encode();
        let mut told = self.books.wait(id);
        let brought = async {
            loop {
                if self.peers.propose_command(command.clone()).await.is_err() {
                    return None;
                }
                // A repeat is harmless: the id takes effect once.
                if let Ok(outcome) = timeout(self.limits.again, told.outcome()).await {
                    return outcome;
                }
            }
        };
        match timeout_at(until, brought).await {
            Ok(Some(Outcome::Done(answer))) => Ok(answer),
            Ok(Some(Outcome::Refused(refusal))) => Err(refusal.into()),
            Ok(Some(Outcome::TooOld)) => Err(ReplicationError::TooOld(id)),
            Ok(None) | Err(_) => Err(ReplicationError::Unknown(id)),
        }
    }

    /// Looks at a book as it is after all that was agreed before this was asked (thesis 6.4).
    ///
    /// # Errors
    /// [`ReplicationError::NoLeader`], [`ReplicationError::Stopped`], [`ReplicationError::Senseless`] if there is no such book.
    pub async fn read<B: ReplicatedStateMachine, T>(
        &self,
        book: StateMachineId,
        within: Duration,
        look: impl FnOnce(&B) -> T,
    ) -> Result<T, ReplicationError> {
        let until = Instant::now() + within;
        let late = |_| ReplicationError::NoLeader;
        let asked = async {
            loop {
                self.runs()?;
                match timeout(self.limits.again, self.peers.read_index()).await {
                    Ok(Ok(Some(index))) => return Ok(index),
                    // It points elsewhere: a leader is being elected, most likely.
                    Ok(Ok(None)) => tokio::time::sleep(self.limits.again / 8).await,
                    Ok(Err(gone)) => return Err(ReplicationError::Stopped(gone.to_string())),
                    Err(_) => {}
                }
            }
        };
        let index = timeout_at(until, asked).await.map_err(late)??;
        let mut progress = self.peers.applied();
        let reached = progress.wait_for(|now| now.index >= index || now.halt_reason.is_some());
        timeout_at(until, reached).await.map_err(late)?.map_err(|_| ReplicationError::NoLeader)?;
        self.runs()?;
        self.look(book, look)
    }

    /// Looks at a book as it stands here, and tells how old that may be.
    ///
    /// # Errors
    /// [`ReplicationError::Senseless`] if there is no such book.
    pub fn read_stale<B: ReplicatedStateMachine, T>(
        &self,
        book: StateMachineId,
        look: impl FnOnce(&B) -> T,
    ) -> Result<(T, StaleRead), ReplicationError> {
        let applied = self.peers.applied().borrow().index;
        let at = Duration::from_millis(self.applied_at.load(Ordering::Relaxed));
        let since = self.from.elapsed().saturating_sub(at);
        Ok((self.look(book, look)?, StaleRead { applied, since }))
    }

    fn look<B: ReplicatedStateMachine, T>(
        &self,
        book: StateMachineId,
        look: impl FnOnce(&B) -> T,
    ) -> Result<T, ReplicationError> {
        let unknown = || ReplicationError::Senseless(format!("book {book} is not known here"));
        self.books.inspect(book, look).ok_or_else(unknown)
    }

    fn runs(&self) -> Result<(), ReplicationError> {
        match &self.peers.applied().borrow().halt_reason {
            Some(why) => Err(ReplicationError::Stopped(why.clone())),
            None => Ok(()),
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
