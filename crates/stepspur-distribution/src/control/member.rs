//! The state that the tasks of a control member share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stepspur_consensus_node::Transport;
use stepspur_replication::ReplicationClient;
use tokio::time::{Instant, timeout};

use super::local_configuration::LocalConfiguration;
use super::progress_table::ProgressTable;
use super::settings::{ControlMember, ControlSettings};
use super::snapshot_admission::SnapshotAdmission;
use super::summary_collector::SummaryCollector;

/// Time limit for reading the status of the consensus node.
const NODE_STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The value of `last_known_leader` while the leader is unknown. Ids of members start at 1.
const UNKNOWN_LEADER: u64 = 0;

/// The shared state of a control member.
pub(super) struct Member {
    pub(super) settings: ControlSettings,
    /// All control members except this one.
    pub(super) others: Vec<ControlMember>,
    pub(super) replication: ReplicationClient,
    pub(super) net: Arc<dyn Transport>,
    pub(super) configuration: LocalConfiguration,
    pub(super) progress: ProgressTable,
    pub(super) admission: SnapshotAdmission,
    pub(super) collector: SummaryCollector,
    /// Bytes written to subscribers, over all connections.
    pub(super) bytes_written: Arc<AtomicU64>,
    pub(super) started: Instant,
    /// Id of the leader, or [`UNKNOWN_LEADER`].
    last_known_leader: AtomicU64,
}

impl Member {
    pub(super) fn new(
        settings: ControlSettings,
        replication: ReplicationClient,
        net: Arc<dyn Transport>,
    ) -> Self {
        let others = settings.members.iter().filter(|other| other.id != settings.id).cloned().collect();
        let ids = settings.members.iter().map(|member| member.id).chain([settings.id]).collect();
        let configuration = LocalConfiguration::new(replication.clone());
        let max_subscribers = settings.subscribers_max as usize;
        Self {
            others,
            progress: ProgressTable::new(configuration.clone(), settings.member_count(), max_subscribers),
            configuration,
            admission: SnapshotAdmission::new(settings.snapshot_bytes_per_s),
            collector: SummaryCollector::new(ids),
            bytes_written: Arc::default(),
            started: Instant::now(),
            last_known_leader: AtomicU64::new(UNKNOWN_LEADER),
            settings,
            replication,
            net,
        }
    }

    /// The leader as the consensus node knows it. `None` if it knows none or does not answer in time.
    pub(super) async fn leader(&self) -> Option<u64> {
        let status = timeout(NODE_STATUS_TIMEOUT, self.replication.node().status()).await;
        status.ok()?.ok()?.leader.map(|leader| leader.0)
    }

    /// The leader at the reporter's last round; costs no call to the consensus node.
    pub(super) fn last_known_leader(&self) -> Option<u64> {
        Some(self.last_known_leader.load(Ordering::Relaxed)).filter(|leader| *leader != UNKNOWN_LEADER)
    }

    pub(super) fn set_last_known_leader(&self, leader: Option<u64>) {
        self.last_known_leader.store(leader.unwrap_or(UNKNOWN_LEADER), Ordering::Relaxed);
    }
}
