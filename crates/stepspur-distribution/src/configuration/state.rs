//! The replicated state, and its changes by commands.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{CommandError, Registration};
use super::limits::{MAX_DOCUMENTS, MAX_RECENT_CHANGES, MAX_SUBSCRIBERS};
use crate::document::{Change, Key, Setting};
use crate::version::Version;

/// The setting of a current document and the version that last changed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CurrentSetting {
    pub(super) setting: Setting,
    pub(super) version: Version,
}

/// The changes that make up one version, each key once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VersionChanges {
    pub(super) version: Version,
    pub(super) changes: Vec<Change>,
}

/// The state of the replicated configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationState {
    /// The last version; [`Version::NONE`] before the first change.
    pub(super) head: Version,
    /// The earliest version from which a delta can be computed.
    pub(super) oldest: Version,
    /// The current documents, ordered by service, tenant, region and target.
    pub(super) documents: BTreeMap<Key, CurrentSetting>,
    /// The retained versions after `oldest`, ascending. Only these contain removals of documents.
    pub(super) recent: VecDeque<VersionChanges>,
    /// The number of changes in `recent`.
    pub(super) recent_change_count: usize,
    /// Registered subscribers by name. A rollout is complete once those that it concerns have applied the
    /// version.
    pub(super) registrations: BTreeMap<String, Registration>,
}

impl ConfigurationState {
    /// Applies changes as the new head version.
    pub(super) fn change(&mut self, version: Version, changes: Vec<Change>) -> Result<(), CommandError> {
        let set_count = changes.iter().filter(|change| change.setting.is_some()).count();
        if self.documents.len() + set_count > MAX_DOCUMENTS {
            return Err(CommandError::TooManyDocuments);
        }
        for change in &changes {
            match change.setting {
                Some(setting) => self.documents.insert(change.key(), CurrentSetting { setting, version }),
                None => self.documents.remove(&change.key()),
            };
        }
        self.head = version;
        self.recent_change_count += changes.len();
        self.recent.push_back(VersionChanges { version, changes });
        self.discard_old_changes();
        Ok(())
    }

    /// Discards the oldest versions beyond [`MAX_RECENT_CHANGES`].
    fn discard_old_changes(&mut self) {
        while self.recent_change_count > MAX_RECENT_CHANGES
            && let Some(discarded) = self.recent.pop_front()
        {
            self.recent_change_count -= discarded.changes.len();
            self.oldest = discarded.version;
        }
    }

    /// Registers subscribers, or replaces their registrations.
    pub(super) fn register(&mut self, registrations: Vec<Registration>) -> Result<(), CommandError> {
        let is_new = |registration: &&Registration| !self.registrations.contains_key(&registration.name);
        let new_count = registrations.iter().filter(is_new).count();
        if self.registrations.len() + new_count > MAX_SUBSCRIBERS {
            return Err(CommandError::TooManySubscribers);
        }
        for registration in registrations {
            self.registrations.insert(registration.name.clone(), registration);
        }
        Ok(())
    }

    /// Removes a registration. Returns whether the subscriber was registered.
    pub(super) fn remove(&mut self, name: &str) -> bool {
        self.registrations.remove(name).is_some()
    }
}
