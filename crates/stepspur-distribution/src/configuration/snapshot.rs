//! The stored form of the replicated state in a consensus snapshot.

use serde::{Deserialize, Serialize};

use super::command::Registration;
use super::state::{ConfigurationState, CurrentSetting, VersionChanges};
use crate::document::Document;
use crate::version::Version;

/// The stored form. It is encoded by position: the order of fields must not change.
#[derive(Serialize, Deserialize)]
pub(super) struct ConfigurationSnapshot {
    head: Version,
    oldest: Version,
    pub(super) documents: Vec<Document>,
    pub(super) recent: Vec<VersionChanges>,
    registrations: Vec<Registration>,
}

/// Why a snapshot cannot be restored as the state of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationSnapshotError {
    /// The bytes cannot be decoded.
    #[error("malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// A current document has no setting.
    #[error("a current document of version {0} has no setting")]
    MissingSetting(Version),
    /// A document has a later version than the head.
    #[error("a document has version {version}, which is later than the head {head}")]
    DocumentAfterHead {
        /// Version of the document.
        version: Version,
        /// The head version of the snapshot.
        head: Version,
    },
    /// The versions of the recent changes do not ascend from the oldest version to the head.
    #[error("recent versions do not ascend from {oldest} to the head {head}")]
    UnorderedVersions {
        /// The version before the first of the recent changes.
        oldest: Version,
        /// The head version of the snapshot.
        head: Version,
    },
}

impl ConfigurationSnapshot {
    pub(super) fn of(state: &ConfigurationState) -> Self {
        Self {
            head: state.head,
            oldest: state.oldest,
            documents: state.documents(),
            recent: state.recent.iter().cloned().collect(),
            registrations: state.registrations.values().cloned().collect(),
        }
    }

    fn check_versions(&self) -> Result<(), ConfigurationSnapshotError> {
        let recent = self.recent.iter().map(|recent| recent.version);
        let versions: Vec<Version> = std::iter::once(self.oldest).chain(recent).collect();
        if versions.is_sorted_by(|a, b| a < b) && versions.last() == Some(&self.head) {
            return Ok(());
        }
        Err(ConfigurationSnapshotError::UnorderedVersions { oldest: self.oldest, head: self.head })
    }
}

impl TryFrom<ConfigurationSnapshot> for ConfigurationState {
    type Error = ConfigurationSnapshotError;

    fn try_from(snapshot: ConfigurationSnapshot) -> Result<Self, ConfigurationSnapshotError> {
        snapshot.check_versions()?;
        let head = snapshot.head;
        let mut state = Self { head, oldest: snapshot.oldest, ..Self::default() };
        for Document { key, setting, version } in snapshot.documents {
            let setting = setting.ok_or(ConfigurationSnapshotError::MissingSetting(version))?;
            if version > head {
                return Err(ConfigurationSnapshotError::DocumentAfterHead { version, head });
            }
            state.documents.insert(key, CurrentSetting { setting, version });
        }
        state.recent_change_count = snapshot.recent.iter().map(|recent| recent.changes.len()).sum();
        state.recent = snapshot.recent.into();
        let registrations = snapshot.registrations.into_iter();
        state.registrations = registrations.map(|one| (one.name.clone(), one)).collect();
        Ok(state)
    }
}
