//! A control member: it serves the configuration to its subscribers, and answers where a version is applied.
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

/// Time limit of the linearizable read of the registrations for a rollout status.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A running control member.
pub struct Control {
    member: Arc<Member>,
    address: SocketAddr,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
    tasks: TaskTracker,
}

/// The status of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// Its id in the consensus group.
    pub id: u64,
    /// The leader, as known a second ago.
    pub leader: Option<u64>,
    /// Whether this member is the leader.
    pub leads: bool,
    /// The last version that it has applied.
    pub head: Version,
    /// The earliest version from which a delta can be computed.
    pub oldest: Version,
    /// The number of documents.
    pub documents: usize,
    /// Registered subscribers of all control members.
    pub registered: usize,
    /// Subscribers attached to this member.
    pub attached: usize,
    /// Attached subscribers that have not applied all changes that concern them.
    pub behind: usize,
    /// Registered subscribers that were attached to this member before, as far as it knows.
    pub detached: usize,
    /// Attached subscribers that wait for the rest of a snapshot.
    pub snapshots_waiting: usize,
    /// Bytes written to subscribers since the start.
    pub bytes_written: u64,
}

/// The configuration's part of a status.
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
    /// [`ControlStartError`] if a setting is invalid, the state machine is missing or the address cannot be
    /// listened on.
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

    /// The address at which it accepts subscribers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Proposes changes, and returns the version that they make: all of them or none. Proposed again with the
    /// id of an earlier proposal they take effect once.
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

    /// Removes the registration of a subscriber, so that no version waits for it. Returns whether it was
    /// registered. An attached subscriber is registered again.
    ///
    /// # Errors
    /// [`ProposeError`] if the removal is rejected or its outcome unknown.
    pub async fn remove(&self, subscriber: &str, within: Duration) -> Result<bool, ProposeError> {
        propose::remove(&self.member.replication, subscriber, within).await
    }

    /// Where a version is applied. Only the leader answers, after a linearizable read of the registrations.
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

    /// The status of this member.
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
