//! All books of a member, and which operations took effect.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use stepspur_consensus::{Index, LogPosition, StateMachine};
use tokio::sync::oneshot;

use crate::book::{Rejection, ReplicatedStateMachine, StateMachineId};
use crate::command::{Command, MAX_BODY_BYTES, OperationId, Outcome};

/// Ids of operations are kept for so many entries: a repeat within them is known, and one that was first proposed
/// before them is refused, as it might have been applied and forgotten.
pub const MAX_OUTCOMES: u64 = 16_384;
/// Bytes of a book's answer at most; a longer one is cut, as it is kept with its id.
pub const MAX_OUTCOME_BYTES: usize = 1_024;

/// The books, as the member's task and its readers hold them.
#[derive(Clone)]
pub struct StateMachineRegistry(Arc<RwLock<Inner>>);

struct Inner {
    books: BTreeMap<StateMachineId, Box<dyn ReplicatedStateMachine>>,
    /// Operations that took effect, by entry; they are forgotten in that order.
    order: VecDeque<(Index, OperationId)>,
    done: BTreeMap<OperationId, Outcome>,
    applied: Index,
    /// Those who wait for an operation here, each by a number of its own. It is no part of what is agreed.
    waiting: BTreeMap<(OperationId, u64), oneshot::Sender<Outcome>>,
    waits: u64,
}

/// Someone waits for an operation, until this is dropped.
pub(crate) struct Wait {
    books: StateMachineRegistry,
    place: (OperationId, u64),
    told: oneshot::Receiver<Outcome>,
}

impl Wait {
    /// What became of it, once it is applied here.
    pub(crate) async fn outcome(&mut self) -> Option<Outcome> {
        (&mut self.told).await.ok()
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.books.change(|inner| drop(inner.waiting.remove(&self.place)));
    }
}

/// The state in a snapshot.
#[derive(Serialize, Deserialize)]
struct Whole {
    applied: Index,
    /// Each book's number, version and part.
    books: Vec<(StateMachineId, u16, Vec<u8>)>,
    done: Vec<(Index, OperationId, Outcome)>,
}

impl StateMachineRegistry {
    /// The books as they are at the founding. Of two with one number the later counts.
    pub fn new(books: impl IntoIterator<Item = Box<dyn ReplicatedStateMachine>>) -> Self {
        let books = books.into_iter().map(|book| (book.id(), book)).collect();
        Self(Arc::new(RwLock::new(Inner {
            books,
            order: VecDeque::new(),
            done: BTreeMap::new(),
            applied: Index(0),
            waiting: BTreeMap::new(),
            waits: 0,
        })))
    }

    fn inner(&self) -> RwLockReadGuard<'_, Inner> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.0.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// The last entry of a book that was applied.
    pub fn applied(&self) -> Index {
        self.inner().applied
    }

    /// Looks at a book; none if there is no such book of this type.
    pub fn inspect<B: ReplicatedStateMachine, T>(
        &self,
        id: StateMachineId,
        look: impl FnOnce(&B) -> T,
    ) -> Option<T> {
        let inner = self.inner();
        let book: &dyn std::any::Any = inner.books.get(&id)?.as_ref();
        book.downcast_ref::<B>().map(look)
    }

    /// The version of a book's commands that this program writes.
    pub fn version(&self, id: StateMachineId) -> Option<u16> {
        self.inner().books.get(&id).map(|book| book.version())
    }

    /// Each book's digest: the same at every member that has applied the same entries.
    pub fn digests(&self) -> BTreeMap<StateMachineId, [u8; 32]> {
        let inner = self.inner();
        inner.books.iter().map(|(id, book)| (*id, Sha256::digest(book.encode()).into())).collect()
    }

    /// Tells of this operation once it is applied here; at once if it was. Several may wait for the same.
    pub(crate) fn wait(&self, id: OperationId) -> Wait {
        let (tell, told) = oneshot::channel();
        let place = self.change(|inner| {
            inner.waits += 1;
            let place = (id, inner.waits);
            match inner.done.get(&id) {
                Some(outcome) => drop(tell.send(outcome.clone())),
                None => drop(inner.waiting.insert(place, tell)),
            }
            place
        });
        Wait { books: self.clone(), place, told }
    }
}

impl Inner {
    fn apply(&mut self, position: LogPosition, command: &[u8]) -> Result<(), String> {
        let index = position.index;
        let command = Command::decode(command)?;
        let Some(book) = self.books.get_mut(&command.book) else {
            return Err(format!("book {} is not known to this program: start a newer one", command.book));
        };
        let known = book.oldest()..=book.version();
        if !known.contains(&command.version) {
            let (book, version) = (command.book, command.version);
            return Err(format!("book {book} in version {version}, and this program knows {known:?}"));
        }
        self.applied = index;
        let id = command.id;
        let outcome = if let Some(before) = self.done.get(&id) {
            before.clone()
        } else if index.0 > id.since.0 + MAX_OUTCOMES {
            Outcome::TooOld
        } else {
            let outcome = match book.apply(position, command.version, &command.body) {
                Ok(answer) => Outcome::Done(answer.iter().copied().take(MAX_OUTCOME_BYTES).collect()),
                Err(Rejection(why)) => {
                    Outcome::Refused(Rejection(why.chars().take(MAX_OUTCOME_BYTES / 4).collect()))
                }
            };
            self.done.insert(id, outcome.clone());
            self.order.push_back((index, id));
            outcome
        };
        // An operation of `since` S is refused after S + KEPT, and its entry lies after S: it can be forgotten then.
        while let Some((_, id)) = self.order.pop_front_if(|(at, _)| at.0 + MAX_OUTCOMES < index.0) {
            self.done.remove(&id);
        }
        self.tell(id, &outcome);
        Ok(())
    }

    /// Tells all who wait for an operation.
    fn tell(&mut self, id: OperationId, outcome: &Outcome) {
        let places: Vec<_> = self.waiting.range((id, 0)..=(id, u64::MAX)).map(|(place, _)| *place).collect();
        for tell in places.iter().filter_map(|place| self.waiting.remove(place)).collect::<Vec<_>>() {
            let _ = tell.send(outcome.clone());
        }
    }

    fn encode(&self) -> Vec<u8> {
        let books = self.books.iter().map(|(id, book)| (*id, book.version(), book.encode())).collect();
        let done = self.order.iter().filter_map(|(at, id)| Some((*at, *id, self.done.get(id)?.clone())));
        let whole = Whole { applied: self.applied, books, done: done.collect() };
        postcard::to_stdvec(&whole).unwrap_or_default()
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), String> {
        let whole: Whole = match state.is_empty() {
            true => Whole { applied: Index(0), books: Vec::new(), done: Vec::new() },
            false => postcard::from_bytes(state).map_err(|cause| cause.to_string())?,
        };
        for (id, version, _) in &whole.books {
            let known = self.books.get(id).map(|book| book.oldest()..=book.version());
            if !known.is_some_and(|known| known.contains(version)) {
                return Err(format!("book {id} in version {version} is not known to this program"));
            }
        }
        for (id, book) in &mut self.books {
            let part = whole.books.iter().find(|(of, ..)| of == id);
            let (version, part) =
                part.map_or((book.version(), &[][..]), |(_, v, part)| (*v, part.as_slice()));
            book.restore(version, part).map_err(|cause| format!("book {id}: {cause}"))?;
        }
        self.applied = whole.applied;
        self.order = whole.done.iter().map(|(at, id, _)| (*at, *id)).collect();
        self.done = whole.done.into_iter().map(|(_, id, outcome)| (id, outcome)).collect();
        let told: BTreeSet<OperationId> = self.waiting.keys().map(|(id, _)| *id).collect();
        for id in told {
            if let Some(outcome) = self.done.get(&id).cloned() {
                self.tell(id, &outcome);
            }
        }
        Ok(())
    }
}

impl StateMachine for StateMachineRegistry {
    fn apply(&mut self, position: LogPosition, command: &[u8]) -> Result<(), String> {
        if command.len() > 2 * MAX_BODY_BYTES {
            return Err(format!("a command of {} bytes", command.len()));
        }
        self.change(|inner| inner.apply(position, command))
    }

    fn encode(&self) -> Bytes {
        self.inner().encode().into()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), String> {
        self.change(|inner| inner.restore(state))
    }
}

#[cfg(test)]
mod tests;
