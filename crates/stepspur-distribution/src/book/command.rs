//! Commands of the book, and what is wrong with one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::document::{Change, DocumentError, Interest, MAX_NAME_BYTES, Scope};

/// Changes in a command at most.
pub const MAX_CHANGES: usize = 64;
/// Registrations in a command at most.
pub const MAX_REGISTRATIONS: usize = 64;
/// Bytes of a registration at most. An interest that is larger by its tenants is registered without them.
pub const MAX_REGISTRATION_BYTES: usize = 24 << 10;
/// Bytes of a registration that names its tenants at most.
const WITH_TENANTS_BYTES_MOST: usize = 2 << 10;
/// Bytes that a name has beside its letters.
const NAME_BYTES: usize = 4;

/// A command of the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Makes a version: all of these changes or, if any is faulty, none. One to [`MAX_CHANGES`], each key once.
    Change {
        /// The changes.
        changes: Vec<Change>,
    },
    /// Registers subscribers, or their new interests. One to [`MAX_REGISTRATIONS`].
    Register {
        /// The subscribers.
        registrations: Vec<Registration>,
    },
    /// Takes a subscriber out of the register.
    Remove {
        /// Its name.
        name: String,
    },
}

/// A subscriber in the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its name.
    pub name: String,
    /// What concerns it.
    pub interest: Interest,
    /// True: its tenants are too many to be registered. It counts for documents of all tenants of its services.
    pub all_tenants: bool,
}

/// What is wrong with a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// It cannot be read.
    #[error("the command cannot be read")]
    Unreadable,
    /// Too many or no changes or registrations.
    #[error("{count} changes or registrations: 1 to {most} may come together")]
    Count {
        /// As many came.
        count: usize,
        /// As many may.
        most: usize,
    },
    /// A change is faulty.
    #[error("change {place}: {fault}")]
    Change {
        /// Which, from 0.
        place: usize,
        /// What is wrong.
        fault: DocumentError,
    },
    /// Two changes have one key.
    #[error("change {place} is for the same target in the same scope as an earlier one")]
    Twice {
        /// Which, from 0.
        place: usize,
    },
    /// A registration is faulty.
    #[error("registration {place}: {fault}")]
    Registration {
        /// Which, from 0.
        place: usize,
        /// What is wrong.
        fault: RegistrationError,
    },
    /// More documents than may stand.
    #[error("{} documents may stand at once", super::MAX_DOCUMENTS)]
    Documents,
    /// More subscribers than may be registered.
    #[error("{} subscribers may be registered", super::MAX_SUBSCRIBERS)]
    Subscribers,
}

/// What is wrong with a registration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistrationError {
    /// The name.
    #[error("a subscriber's name must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    Name,
    /// The interest.
    #[error(transparent)]
    Interest(#[from] DocumentError),
    /// The interest's services or tenants are not sorted.
    #[error("services and tenants must be sorted, each once")]
    Unsorted,
    /// It is too large.
    #[error("{0} bytes of names are too many: {MAX_REGISTRATION_BYTES} may be registered")]
    TooLarge(usize),
}

impl Command {
    /// As it stands in the log.
    pub fn encode(&self) -> Vec<u8> {
        // Names and numbers: nothing that the format cannot word.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a command, and checks it whole.
    ///
    /// # Errors
    /// The first fault.
    pub fn decode(body: &[u8]) -> Result<Self, CommandError> {
        let command: Self = postcard::from_bytes(body).map_err(|_| CommandError::Unreadable)?;
        command.check()?;
        Ok(command)
    }

    /// Checks it whole.
    ///
    /// # Errors
    /// The first fault.
    pub fn check(&self) -> Result<(), CommandError> {
        match self {
            Self::Change { changes } => check_changes(changes),
            Self::Register { registrations } => check_registrations(registrations),
            Self::Remove { .. } => Ok(()),
        }
    }
}

fn check_count(count: usize, most: usize) -> Result<(), CommandError> {
    if (1..=most).contains(&count) { Ok(()) } else { Err(CommandError::Count { count, most }) }
}

fn check_changes(changes: &[Change]) -> Result<(), CommandError> {
    check_count(changes.len(), MAX_CHANGES)?;
    let mut keys = BTreeSet::new();
    for (place, change) in changes.iter().enumerate() {
        change.check().map_err(|fault| CommandError::Change { place, fault })?;
        if !keys.insert(change.key()) {
            return Err(CommandError::Twice { place });
        }
    }
    Ok(())
}

fn check_registrations(registrations: &[Registration]) -> Result<(), CommandError> {
    check_count(registrations.len(), MAX_REGISTRATIONS)?;
    for (place, registration) in registrations.iter().enumerate() {
        registration.check().map_err(|fault| CommandError::Registration { place, fault })?;
    }
    Ok(())
}

impl Registration {
    /// The registration of a subscriber, without its tenants where these are too many.
    ///
    /// # Errors
    /// The first fault.
    pub fn new(name: &str, interest: &Interest) -> Result<Self, RegistrationError> {
        let mut registration = Self { name: name.to_owned(), interest: interest.clone(), all_tenants: false };
        if registration.size() > WITH_TENANTS_BYTES_MOST {
            registration.all_tenants = true;
            registration.interest.services.iter_mut().for_each(|service| service.tenants.clear());
        }
        registration.check()?;
        Ok(registration)
    }

    /// Bytes that it has in a command at most.
    pub fn size(&self) -> usize {
        let bytes = |name: &String| name.len() + NAME_BYTES;
        let tenants = self.interest.services.iter().flat_map(|service| &service.tenants).map(bytes);
        let services = self.interest.services.iter().map(|service| bytes(&service.service) + NAME_BYTES);
        bytes(&self.name) + bytes(&self.interest.region) + tenants.sum::<usize>() + services.sum::<usize>()
    }

    /// True: a document of this scope must reach the subscriber.
    pub fn covers(&self, scope: &Scope) -> bool {
        if self.all_tenants && scope.tenant.is_some() {
            return self.interest.covers(&Scope { tenant: None, ..scope.clone() });
        }
        self.interest.covers(scope)
    }

    fn check(&self) -> Result<(), RegistrationError> {
        let sound =
            (1..=MAX_NAME_BYTES).contains(&self.name.len()) && !self.name.chars().any(char::is_control);
        if !sound {
            return Err(RegistrationError::Name);
        }
        if self.interest.clone().sorted()? != self.interest {
            return Err(RegistrationError::Unsorted);
        }
        match self.size() {
            size if size > MAX_REGISTRATION_BYTES => Err(RegistrationError::TooLarge(size)),
            _ => Ok(()),
        }
    }
}
