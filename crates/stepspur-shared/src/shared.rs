//! The handle of a running member: propose, and read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stepspur_council::Index;
use stepspur_peers::Peers;
use tokio::time::{Instant, timeout, timeout_at};

use crate::book::{Book, BookId, Refusal};
use crate::books::Books;
use crate::command::{BODY_MOST, Command, OpId, Outcome};
use crate::turns::Turns;

/// What a member lets through at once, and how long it waits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Proposals under way on a book.
    pub by_book: usize,
    /// Of them, those of one tenant.
    pub by_tenant: usize,
    /// A proposal or question without an answer goes out again after this.
    pub again: Duration,
    /// Who is refused for want of room may come again after this.
    pub come_back: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let [again, come_back] = [300, 500].map(Duration::from_millis);
        Self { by_book: 256, by_tenant: 64, again, come_back }
    }
}

/// Why a proposal or a read has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failed {
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
    Refused(#[from] Refusal),
    /// No answer came in time: it may have taken effect, and may yet. Proposed again under this id it takes effect once.
    #[error("the outcome of {0} is unknown")]
    Unknown(OpId),
    /// It came so late that whether it took effect before is forgotten; it did not now.
    #[error("{0} is too old to be told from what was forgotten")]
    TooOld(OpId),
    /// No leader answered in time.
    #[error("no leader answered in time")]
    NoLeader,
    /// The member applies no more.
    #[error("this member has stopped: {0}")]
    Stopped(String),
}

/// Up to where a stale read goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The last entry that this member has applied.
    pub applied: Index,
    /// How long ago it last applied any, by its own clock; what was agreed meanwhile elsewhere is not known here.
    pub since: Duration,
}

/// A running member's books.
#[derive(Clone)]
pub struct Shared {
    peers: Arc<Peers>,
    books: Books,
    limits: Limits,
    turns: Turns,
    life: u64,
    numbers: Arc<AtomicU64>,
    /// When the last entry was applied, in milliseconds from `from`.
    applied_at: Arc<AtomicU64>,
    from: Instant,
}

impl Shared {
    /// The handle of a member that was started with these books. `life` must differ from that of any earlier start of
    /// this member: a random number.
    pub fn new(peers: Arc<Peers>, books: Books, limits: Limits, life: u64) -> Self {
        let (from, applied_at) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let (mut progress, at) = (peers.applied(), Arc::clone(&applied_at));
        // It ends with the member, which drops the other side.
        tokio::spawn(async move {
            while progress.changed().await.is_ok() {
                at.store(millis(from.elapsed()), Ordering::Relaxed);
            }
        });
        let numbers = Arc::new(AtomicU64::new(0));
        Self { peers, books, limits, turns: Turns::default(), life, numbers, applied_at, from }
    }

    /// The member.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The books as they stand here.
    pub fn books(&self) -> &Books {
        &self.books
    }

    /// A new operation's id. Keep it to propose the operation again after an unknown outcome.
    pub fn new_id(&self) -> OpId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let since = self.peers.applied().borrow().index;
        OpId { member: self.peers.id(), life: self.life, number, since }
    }

    /// Has the council agree on a command and waits, so long at most, until it is applied here: the book's answer.
    ///
    /// # Errors
    /// See [`Failed`].
    pub async fn propose(
        &self,
        id: OpId,
        book: BookId,
        tenant: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<Vec<u8>, Failed> {
        let until = Instant::now() + within;
        if body.len() > BODY_MOST {
            return Err(Failed::Senseless(format!("{} bytes, {BODY_MOST} at most", body.len())));
        }
        let version = self.books.version(book);
        let version = version.ok_or_else(|| Failed::Senseless(format!("book {book} is not known here")))?;
        let room = self.turns.take(book, tenant, self.limits.by_book, self.limits.by_tenant);
        let _turn = room.ok_or(Failed::Full { after: self.limits.come_back })?;
        self.runs()?;
        let command = Command { id, book, version, body: body.to_vec() }.encode();
        let mut told = self.books.wait(id);
        let brought = async {
            loop {
                if self.peers.command(command.clone()).await.is_err() {
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
            Ok(Some(Outcome::TooOld)) => Err(Failed::TooOld(id)),
            Ok(None) | Err(_) => Err(Failed::Unknown(id)),
        }
    }

    /// Looks at a book as it is after all that was agreed before this was asked (thesis 6.4).
    ///
    /// # Errors
    /// [`Failed::NoLeader`], [`Failed::Stopped`], [`Failed::Senseless`] if there is no such book.
    pub async fn read<B: Book, T>(
        &self,
        book: BookId,
        within: Duration,
        look: impl FnOnce(&B) -> T,
    ) -> Result<T, Failed> {
        let until = Instant::now() + within;
        let late = |_| Failed::NoLeader;
        let asked = async {
            loop {
                self.runs()?;
                match timeout(self.limits.again, self.peers.read_index()).await {
                    Ok(Ok(Some(index))) => return Ok(index),
                    // It points elsewhere: a leader is being elected, most likely.
                    Ok(Ok(None)) => tokio::time::sleep(self.limits.again / 8).await,
                    Ok(Err(gone)) => return Err(Failed::Stopped(gone.to_string())),
                    Err(_) => {}
                }
            }
        };
        let index = timeout_at(until, asked).await.map_err(late)??;
        let mut progress = self.peers.applied();
        let reached = progress.wait_for(|now| now.index >= index || now.stopped.is_some());
        timeout_at(until, reached).await.map_err(late)?.map_err(|_| Failed::NoLeader)?;
        self.runs()?;
        self.look(book, look)
    }

    /// Looks at a book as it stands here, and tells how old that may be.
    ///
    /// # Errors
    /// [`Failed::Senseless`] if there is no such book.
    pub fn read_stale<B: Book, T>(
        &self,
        book: BookId,
        look: impl FnOnce(&B) -> T,
    ) -> Result<(T, Stale), Failed> {
        let applied = self.peers.applied().borrow().index;
        let at = Duration::from_millis(self.applied_at.load(Ordering::Relaxed));
        let since = self.from.elapsed().saturating_sub(at);
        Ok((self.look(book, look)?, Stale { applied, since }))
    }

    fn look<B: Book, T>(&self, book: BookId, look: impl FnOnce(&B) -> T) -> Result<T, Failed> {
        let unknown = || Failed::Senseless(format!("book {book} is not known here"));
        self.books.look(book, look).ok_or_else(unknown)
    }

    fn runs(&self) -> Result<(), Failed> {
        match &self.peers.applied().borrow().stopped {
            Some(why) => Err(Failed::Stopped(why.clone())),
            None => Ok(()),
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
