//! The conductor's member of the consensus group. If the conductor is a control member, its state machine is
//! the replicated configuration.

use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use stepspur_consensus_node::{ConsensusConfig, NodeHandle};
use stepspur_distribution::configuration::ConfigurationState;
use stepspur_replication::{ProposalLimits, ReplicatedStateMachine, ReplicationClient, StateMachineRegistry};

use super::super::error::StartError;
use crate::config::Config;

/// A consensus member. Its parts are none if the settings name no consensus group.
#[derive(Default)]
pub(in crate::service) struct ConsensusMember {
    node: Option<Arc<NodeHandle>>,
    /// Present if the conductor is a control member of the distribution.
    pub(super) replication: Option<ReplicationClient>,
}

impl ConsensusMember {
    /// Starts the member if the settings name a consensus group. `seed` seeds its random numbers.
    ///
    /// # Errors
    /// [`StartError::Consensus`] if the member cannot start.
    pub(in crate::service) async fn start(config: &Config, seed: u64) -> Result<Self, StartError> {
        let Some(consensus) = &config.council else { return Ok(Self::default()) };
        if config.distribution.as_ref().is_some_and(|distribution| distribution.control.is_some()) {
            return Self::start_replicated(consensus, seed).await;
        }
        Ok(Self { node: Some(Arc::new(consensus.start(seed).await?)), replication: None })
    }

    /// Starts the member with the replicated configuration.
    async fn start_replicated(consensus: &ConsensusConfig, seed: u64) -> Result<Self, StartError> {
        let configuration: Box<dyn ReplicatedStateMachine> = Box::new(ConfigurationState::default());
        let registry = StateMachineRegistry::new([configuration]);
        let node = Arc::new(consensus.start_with_state_machine(seed, registry.clone()).await?);
        // The incarnation must differ between starts of the conductor, so that operation ids are unique.
        let incarnation = RandomState::new().hash_one(seed);
        let limits = ProposalLimits::default();
        let replication = ReplicationClient::new(Arc::clone(&node), registry, limits, incarnation);
        Ok(Self { node: Some(node), replication: Some(replication) })
    }

    /// Returns the handle to the consensus node; none if the conductor has no consensus member.
    pub(in crate::service) fn into_node(self) -> Option<Arc<NodeHandle>> {
        self.node
    }
}
