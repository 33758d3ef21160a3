//! The commands that change the replicated configuration, and their checks.
//!
//! The texts of [`CommandError`] and [`RegistrationError`] are replicated as a rejection's reason. They must
//! not change: members of different program versions must reject a command with the same text.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::limits::{
    MAX_CHANGES, MAX_DOCUMENTS, MAX_REGISTRATION_BYTES, MAX_REGISTRATION_BYTES_WITH_TENANTS,
    MAX_REGISTRATIONS, MAX_SUBSCRIBERS,
};
use crate::document::{Change, DocumentError, Interest, MAX_NAME_BYTES, Scope, is_valid_name};

/// Upper bound of the encoding overhead of each name in a registration, in bytes.
const NAME_OVERHEAD_BYTES: usize = 4;

/// A command to the replicated configuration. It is a log entry; the order of variants and fields is its
/// encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a version with all these changes, or rejects them all if any is invalid. Has 1 to
    /// [`MAX_CHANGES`], each key once.
    Change {
        /// The changes, of distinct documents.
        changes: Vec<Change>,
    },
    /// Registers subscribers or replaces their registrations. Has 1 to [`MAX_REGISTRATIONS`].
    Register {
        /// The subscribers to register.
        registrations: Vec<Registration>,
    },
    /// Removes the registration of a subscriber.
    Remove {
        /// Name of the subscriber.
        name: String,
    },
}

/// The registration of a subscriber: rollouts of versions that concern it wait for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the subscriber, unique among all.
    pub name: String,
    /// Which documents concern it.
    pub interest: Interest,
    /// Whether its tenants are omitted because they are too many. Documents of every tenant of its services
    /// then count as concerning it.
    pub all_tenants: bool,
}

/// Why a command is invalid or rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command cannot be decoded.
    #[error("the command cannot be read")]
    Malformed,
    /// The command has no changes or registrations, or too many.
    #[error("{count} changes or registrations: 1 to {max} may come together")]
    Count {
        /// The number in the command.
        count: usize,
        /// The maximum for this kind of command.
        max: usize,
    },
    /// A change is invalid.
    #[error("change {index}: {error}")]
    InvalidChange {
        /// The change's index in the command, from 0.
        index: usize,
        /// Why it is invalid.
        error: DocumentError,
    },
    /// Two changes have the same key.
    #[error("change {index} is for the same target in the same scope as an earlier one")]
    DuplicateKey {
        /// The index of the later change, from 0.
        index: usize,
    },
    /// A registration is invalid.
    #[error("registration {index}: {error}")]
    InvalidRegistration {
        /// The registration's index in the command, from 0.
        index: usize,
        /// Why it is invalid.
        error: RegistrationError,
    },
    /// The changes would exceed [`MAX_DOCUMENTS`].
    #[error("{MAX_DOCUMENTS} documents may stand at once")]
    TooManyDocuments,
    /// The registrations would exceed [`MAX_SUBSCRIBERS`].
    #[error("{MAX_SUBSCRIBERS} subscribers may be registered")]
    TooManySubscribers,
}

/// Why a registration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistrationError {
    /// The name is empty, too long or has control characters.
    #[error("a subscriber's name must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName,
    /// The interest is invalid.
    #[error(transparent)]
    InvalidInterest(#[from] DocumentError),
    /// Services or tenants of the interest are unsorted or repeated.
    #[error("services and tenants must be sorted, each once")]
    Unsorted,
    /// The names exceed [`MAX_REGISTRATION_BYTES`]. Contains their encoded length.
    #[error("{0} bytes of names are too many: {MAX_REGISTRATION_BYTES} may be registered")]
    TooLarge(usize),
}

impl Command {
    /// Encodes the command for the replicated log.
    pub fn encode(&self) -> Vec<u8> {
        // Cannot fail: the command consists of strings and numbers.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes and checks a command.
    ///
    /// # Errors
    /// [`CommandError::Malformed`], or the first error that [`Command::check`] finds.
    pub fn decode(body: &[u8]) -> Result<Self, CommandError> {
        let command: Self = postcard::from_bytes(body).map_err(|_| CommandError::Malformed)?;
        command.check()?;
        Ok(command)
    }

    /// Checks the number and the content of the changes or registrations.
    ///
    /// # Errors
    /// The first error found.
    pub fn check(&self) -> Result<(), CommandError> {
        match self {
            Self::Change { changes } => check_changes(changes),
            Self::Register { registrations } => check_registrations(registrations),
            Self::Remove { .. } => Ok(()),
        }
    }
}

fn check_count(count: usize, max: usize) -> Result<(), CommandError> {
    if (1..=max).contains(&count) { Ok(()) } else { Err(CommandError::Count { count, max }) }
}

fn check_changes(changes: &[Change]) -> Result<(), CommandError> {
    check_count(changes.len(), MAX_CHANGES)?;
    let mut keys = BTreeSet::new();
    for (index, change) in changes.iter().enumerate() {
        change.check().map_err(|error| CommandError::InvalidChange { index, error })?;
        if !keys.insert(change.key()) {
            return Err(CommandError::DuplicateKey { index });
        }
    }
    Ok(())
}

fn check_registrations(registrations: &[Registration]) -> Result<(), CommandError> {
    check_count(registrations.len(), MAX_REGISTRATIONS)?;
    for (index, registration) in registrations.iter().enumerate() {
        registration.check().map_err(|error| CommandError::InvalidRegistration { index, error })?;
    }
    Ok(())
}

impl Registration {
    /// Creates the registration of a subscriber. Its tenants are omitted if they need too many bytes.
    ///
    /// # Errors
    /// The first error found in the name or the interest.
    pub fn new(name: &str, interest: &Interest) -> Result<Self, RegistrationError> {
        let mut registration = Self { name: name.to_owned(), interest: interest.clone(), all_tenants: false };
        if registration.encoded_bytes() > MAX_REGISTRATION_BYTES_WITH_TENANTS {
            registration.all_tenants = true;
            for service in &mut registration.interest.services {
                service.tenants.clear();
            }
        }
        registration.check()?;
        Ok(registration)
    }

    /// Upper bound of the registration's length in a command, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let mut bytes = name_bytes(&self.name) + name_bytes(&self.interest.region);
        for service in &self.interest.services {
            bytes += name_bytes(&service.service) + NAME_OVERHEAD_BYTES;
            bytes += service.tenants.iter().map(|tenant| name_bytes(tenant)).sum::<usize>();
        }
        bytes
    }

    /// Whether a document of this scope concerns the subscriber, as far as the registration shows.
    pub fn covers(&self, scope: &Scope) -> bool {
        if self.all_tenants && scope.tenant.is_some() {
            return self.interest.covers(&Scope { tenant: None, ..scope.clone() });
        }
        self.interest.covers(scope)
    }

    fn check(&self) -> Result<(), RegistrationError> {
        if !is_valid_name(&self.name) {
            return Err(RegistrationError::InvalidName);
        }
        if self.interest.clone().sorted()? != self.interest {
            return Err(RegistrationError::Unsorted);
        }
        let bytes = self.encoded_bytes();
        if bytes > MAX_REGISTRATION_BYTES {
            return Err(RegistrationError::TooLarge(bytes));
        }
        Ok(())
    }
}

fn name_bytes(name: &str) -> usize {
    name.len() + NAME_OVERHEAD_BYTES
}
