//! The agreed book of documents: what stands, what changed lately, and the register of subscribers.
//!
//! Members come to the same book by the same entries, so nothing here knows a clock, chance or hash order. A delta from
//! a version holds, of each document that changed after it, the last change: it is computed from the changes kept in
//! [`MAX_RECENT_CHANGES`]. Whoever asks from an earlier version needs a snapshot.

mod command;
mod query;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;
use stepspur_replication::{Rejection, ReplicatedStateMachine, RestoreError, StateMachineId};

pub use self::command::{
    Command, CommandError, MAX_CHANGES, MAX_REGISTRATION_BYTES, MAX_REGISTRATIONS, Registration,
    RegistrationError,
};
pub(crate) use self::query::document_bytes;
pub use self::query::{Delta, Next};
use crate::document::{Change, Document, Key, Setting};
use crate::version::Version;

/// The number of the book of configuration.
pub const CONFIGURATION: StateMachineId = StateMachineId(10);
/// Changes that are kept for deltas at most; beyond that the oldest versions go.
pub const MAX_RECENT_CHANGES: usize = 16_384;
/// Documents that stand at most.
pub const MAX_DOCUMENTS: usize = 250_000;
/// Subscribers in the register at most.
pub const MAX_SUBSCRIBERS: usize = 10_000;

/// A document's setting and the version that changed it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RolloutStatus {
    setting: Setting,
    version: Version,
}

/// The changes of one version, each key once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Recent {
    version: Version,
    changes: Vec<Change>,
}

/// The book: documents, recent changes, the register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationState {
    /// The last version.
    head: Version,
    /// Deltas reach back to this version, and no further.
    oldest: Version,
    /// What stands, in the order of service, tenant, region, target.
    documents: BTreeMap<Key, RolloutStatus>,
    /// Versions after `oldest`, rising. What was lifted stands here alone.
    recent: VecDeque<Recent>,
    /// Changes in `recent`.
    recent_changes: usize,
    /// Whom versions must reach, by name.
    register: BTreeMap<String, Registration>,
}

/// The book in a snapshot of the council.
#[derive(Serialize, Deserialize)]
struct Whole {
    head: Version,
    oldest: Version,
    documents: Vec<Document>,
    recent: Vec<Recent>,
    register: Vec<Registration>,
}

impl ConfigurationState {
    fn change(&mut self, version: Version, changes: Vec<Change>) -> Result<(), CommandError> {
        let raised = changes.iter().filter(|change| change.setting.is_some()).count();
        if self.documents.len() + raised > MAX_DOCUMENTS {
            return Err(CommandError::Documents);
        }
        for change in &changes {
            match change.setting {
                Some(setting) => self.documents.insert(change.key(), RolloutStatus { setting, version }),
                None => self.documents.remove(&change.key()),
            };
        }
        self.head = version;
        self.recent_changes += changes.len();
        self.recent.push_back(Recent { version, changes });
        while self.recent_changes > MAX_RECENT_CHANGES
            && let Some(gone) = self.recent.pop_front()
        {
            self.recent_changes -= gone.changes.len();
            self.oldest = gone.version;
        }
        Ok(())
    }

    fn register(&mut self, registrations: Vec<Registration>) -> Result<(), CommandError> {
        let new = registrations.iter().filter(|r| !self.register.contains_key(&r.name)).count();
        if self.register.len() + new > MAX_SUBSCRIBERS {
            return Err(CommandError::Subscribers);
        }
        for registration in registrations {
            self.register.insert(registration.name.clone(), registration);
        }
        Ok(())
    }

    fn whole(&self) -> Whole {
        Whole {
            head: self.head,
            oldest: self.oldest,
            documents: self.documents(),
            recent: self.recent.iter().cloned().collect(),
            register: self.register.values().cloned().collect(),
        }
    }

    fn from_whole(whole: Whole) -> Result<Self, String> {
        let Whole { head, oldest, documents, recent, register } = whole;
        let mut book = Self { head, oldest, ..Self::default() };
        for document in documents {
            let setting = document.setting.ok_or("a document that was lifted")?;
            if document.version > head {
                return Err(format!("a document of version {}, after the head {head}", document.version));
            }
            book.documents.insert(document.key, RolloutStatus { setting, version: document.version });
        }
        let versions = std::iter::once(oldest).chain(recent.iter().map(|recent| recent.version));
        let versions: Vec<Version> = versions.collect();
        if !versions.is_sorted_by(|a, b| a < b) || versions.last() != Some(&head) {
            return Err("recent versions that do not rise to the head".to_owned());
        }
        book.recent_changes = recent.iter().map(|recent| recent.changes.len()).sum();
        book.recent = recent.into();
        book.register = register.into_iter().map(|r| (r.name.clone(), r)).collect();
        Ok(book)
    }
}

impl ReplicatedStateMachine for ConfigurationState {
    fn id(&self) -> StateMachineId {
        CONFIGURATION
    }

    fn version(&self) -> u16 {
        1
    }

    /// A change answers with its version, a removal with whether the name was registered.
    fn apply(&mut self, position: LogPosition, _: u16, body: &[u8]) -> Result<Bytes, Rejection> {
        let refused = |fault: CommandError| Rejection(fault.to_string());
        let answer = match Command::decode(body).map_err(refused)? {
            Command::Change { changes } => {
                let version = Version::from(position);
                self.change(version, changes).map_err(refused)?;
                postcard::to_stdvec(&version)
            }
            Command::Register { registrations } => {
                self.register(registrations).map_err(refused)?;
                Ok(Vec::new())
            }
            Command::Remove { name } => postcard::to_stdvec(&self.register.remove(&name).is_some()),
        };
        // Numbers and a truth value: nothing that the format cannot word.
        Ok(answer.unwrap_or_default().into())
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.whole()).unwrap_or_default()
    }

    fn restore(&mut self, _: u16, part: &[u8]) -> Result<(), RestoreError> {
        *self = match part.is_empty() {
            true => Self::default(),
            false => Self::from_whole(postcard::from_bytes(part).map_err(RestoreError::new)?)
                .map_err(RestoreError::new)?,
        };
        Ok(())
    }
}

#[cfg(test)]
mod tests;
