//! Reads the configuration as this member has applied it, without a call to the consensus group.

use stepspur_replication::ReplicationClient;

use crate::configuration::{CONFIGURATION, ConfigurationState};

/// Reads the local configuration, which may lag behind the leader's.
#[derive(Clone)]
pub(super) struct LocalConfiguration {
    replication: ReplicationClient,
}

impl LocalConfiguration {
    pub(super) fn new(replication: ReplicationClient) -> Self {
        Self { replication }
    }

    /// Calls `read` with the configuration and returns the result; the default if no configuration is
    /// replicated, which [`super::Control::start`] rules out.
    pub(super) fn read<T: Default>(&self, read: impl FnOnce(&ConfigurationState) -> T) -> T {
        self.replication.registry().inspect(CONFIGURATION, read).unwrap_or_default()
    }
}
