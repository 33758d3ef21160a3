//! A control member: it serves the configuration to its subscribers and reports rollout status, that is,
//! which subscribers have applied a version.
//!
//! [`Control::start`] runs these tasks until [`Control::stop`]:
//! - the listener, which accepts subscribers and, at the leader, summaries of other control members;
//! - the evaluator, which finds the subscribers that each new version concerns and wakes their connections;
//! - the registrar, which registers attached subscribers in the replicated configuration;
//! - the reporter, which sends the leader a summary of changed subscriber states each second.

mod attached;
mod connection;
mod evaluator;
mod listener;
mod local_configuration;
mod member;
mod messages;
mod progress_table;
mod propose;
mod registrar;
mod reporter;
mod rollout_status;
mod settings;
mod snapshot_admission;
mod subscribe_request;
mod subscriber_session;
mod subscriber_state;
mod summary_collector;
mod summary_encoder;
mod summary_receiver;
mod update_sender;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use stepspur_consensus_node::Transport;
use stepspur_replication::{OperationId, ReplicationClient};
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use self::member::Member;
pub use self::messages::{MAX_DELTA_BYTES, MAX_PART_BYTES};
pub use self::propose::ProposeError;
pub use self::reporter::SUMMARY_INTERVAL;
use self::rollout_status::RolloutEvaluation;
pub use self::rollout_status::{
    MAX_PENDING_LISTED, PendingSubscriber, RolloutStatus, RolloutStatusError, SUMMARY_MAX_AGE,
};
pub use self::settings::{
    ControlMember, ControlSettings, ControlStartError, InvalidControlSetting, KEEP_ALIVE,
};
use crate::configuration::{CONFIGURATION, ConfigurationState};
use crate::document::{Change, Document};
use crate::version::Version;

/// Time limit for the linearizable read of the registrations that a rollout status is based on.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A running control member. Dropping it stops its tasks without waiting; [`Control::stop`] waits.
pub struct Control {
    member: Arc<Member>,
    address: SocketAddr,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
    tasks: TaskTracker,
}

/// A control member's state at one time, for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// Its id in the consensus group.
    pub id: u64,
    /// Id of the consensus leader as of the last summary, at most about a second ago. `None` if unknown.
    pub leader: Option<u64>,
    /// Whether this member is the leader, by the same information.
    pub leads: bool,
    /// The last version that this member's replica has applied.
    pub head: Version,
    /// The earliest version from which it can compute a delta. Older subscribers need a snapshot.
    pub oldest: Version,
    /// The number of documents that currently have a setting.
    pub documents: usize,
    /// The number of subscribers registered in the replicated configuration, at whichever control member.
    pub registered: usize,
    /// The number of subscribers connected to this member.
    pub attached: usize,
    /// The number of attached subscribers that have not applied all changes that concern them.
    pub behind: usize,
    /// The number of registered subscribers whose last connection to this member ended. They may be attached
    /// to another member.
    pub detached: usize,
    /// The number of attached subscribers whose snapshot is not completely sent.
    pub snapshots_waiting: usize,
    /// Bytes written to subscribers since this member started.
    pub bytes_written: u64,
}

/// The fields of [`ControlStatus`] that are read from the replicated configuration.
#[derive(Default)]
struct ConfigurationSummary {
    head: Version,
    oldest: Version,
    documents: usize,
    registered: usize,
}

impl ConfigurationSummary {
    fn of(state: &ConfigurationState) -> Self {
        Self {
            head: state.head(),
            oldest: state.oldest(),
            documents: state.len(),
            registered: state.registered_count(),
        }
    }
}

impl Control {
    /// Starts a control member on a consensus member that replicates [`ConfigurationState`].
    ///
    /// # Errors
    /// [`ControlStartError`] if a setting is invalid, the configuration is not replicated here, or the
    /// address cannot be bound.
    pub async fn start(
        settings: ControlSettings,
        replication: ReplicationClient,
        net: Arc<dyn Transport>,
    ) -> Result<Self, ControlStartError> {
        settings.check()?;
        if replication.registry().version(CONFIGURATION).is_none() {
            return Err(ControlStartError::MissingStateMachine);
        }
        let address = settings.listen;
        let listener = net.listen(address).await;
        let listener = listener.map_err(|cause| ControlStartError::Listen { address, cause })?;
        let address = listener.address();
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let member = Arc::new(Member::new(settings, replication, net));
        tasks.spawn(listener::run(Arc::clone(&member), listener, tasks.clone(), stop.clone()));
        tasks.spawn(evaluator::run(Arc::clone(&member), stop.clone()));
        tasks.spawn(registrar::run(Arc::clone(&member), stop.clone()));
        tasks.spawn(reporter::run(Arc::clone(&member), stop.clone()));
        Ok(Self { member, address, _stop_on_drop: stop.clone().drop_guard(), stop, tasks })
    }

    /// The address at which it accepts subscribers, with the port that the system assigned for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Proposes changes, and returns the version that contains them. Either all changes take effect or none.
    /// `id` makes a retry idempotent: a proposal that is repeated with the same id takes effect once.
    /// `within` limits the wait for the outcome.
    ///
    /// # Errors
    /// [`ProposeError`] if the changes are invalid or rejected, or their outcome is unknown.
    pub async fn propose(
        &self,
        id: Option<OperationId>,
        changes: Vec<Change>,
        within: Duration,
    ) -> Result<Version, ProposeError> {
        propose::change(&self.member.replication, id, changes, within).await
    }

    /// Removes the registration of a subscriber, so that rollouts no longer wait for it. Returns whether it
    /// was registered. A subscriber that is still attached is registered again.
    ///
    /// # Errors
    /// [`ProposeError`] if the removal is rejected or its outcome unknown.
    pub async fn remove(&self, subscriber: &str, within: Duration) -> Result<bool, ProposeError> {
        propose::remove(&self.member.replication, subscriber, within).await
    }

    /// Which of the subscribers that a version concerns have applied it. Only the leader answers, after a
    /// linearizable read of the registrations.
    ///
    /// # Errors
    /// [`RolloutStatusError`] if this member is not the leader, the version is unknown or the read fails.
    pub async fn rollout_status(&self, version: Version) -> Result<RolloutStatus, RolloutStatusError> {
        let member = &self.member;
        let leader = member.leader().await;
        if leader != Some(member.settings.id) {
            return Err(RolloutStatusError::NotLeader { leader });
        }
        let read = |state: &ConfigurationState| {
            let unknown = RolloutStatusError::UnknownVersion { head: state.head(), oldest: state.oldest() };
            state.subscribers_concerned(version).ok_or(unknown)
        };
        let expected = member.replication.read(CONFIGURATION, READ_TIMEOUT, read).await??;
        let now = Instant::now();
        let leader_uptime = member.started.elapsed();
        Ok(member
            .collector
            .read(|summaries| RolloutEvaluation { version, summaries, leader_uptime, now }.status(&expected)))
    }

    /// All documents as this member has applied them, sorted by key.
    pub fn documents(&self) -> Vec<Document> {
        self.member.configuration.read(ConfigurationState::documents)
    }

    /// The current status of this member, without a read from the group.
    pub fn status(&self) -> ControlStatus {
        let member = &self.member;
        let counts = member.progress.counts();
        let configuration = member.configuration.read(ConfigurationSummary::of);
        let leader = member.last_known_leader();
        ControlStatus {
            id: member.settings.id,
            leader,
            leads: leader == Some(member.settings.id),
            head: configuration.head,
            oldest: configuration.oldest,
            documents: configuration.documents,
            registered: configuration.registered,
            attached: counts.attached,
            behind: counts.behind,
            detached: counts.detached,
            snapshots_waiting: member.admission.waiting_count(),
            bytes_written: member.bytes_written.load(Ordering::Relaxed),
        }
    }

    /// Stops all tasks and connections, and waits for them.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
