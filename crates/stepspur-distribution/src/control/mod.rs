//! A control member: it serves the agreed book to its subscribers, and tells where a version is in force.
//!
//! [`Control::start`] runs these tasks, each of them until [`Control::stop`]:
//! - the listener, which takes subscribers ([`session`](self)) and, at the leader, other members' reports;
//! - the evaluator, which holds each new version against the attached subscribers and wakes those whom it concerns;
//! - the registrar, which has the council agree on attached subscribers that it does not know;
//! - the reporter, which tells the leader each second what has changed.

mod admission;
mod collector;
mod connection;
mod listener;
mod messages;
mod propose;
mod registration;
mod registry;
mod reporter;
mod reports;
mod session;
mod settings;
mod standing;
mod summary;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use stepspur_consensus_node::Net;
use stepspur_replication::{OperationId, ReplicationClient};
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use self::admission::Admission;
use self::collector::Collector;
pub use self::messages::{MAX_DELTA_BYTES, MAX_PART_BYTES};
pub use self::propose::ProposeError;
use self::registry::{Counts, Registry};
pub use self::reporter::SUMMARY_INTERVAL;
pub use self::settings::{ControlMember, ControlSettings, ControlStartError, KEEP_ALIVE};
pub use self::standing::{
    MAX_PENDING_LISTED, PendingSubscriber, RolloutStatus, RolloutStatusError, SUMMARY_MAX_AGE,
};
use crate::configuration::{CONFIGURATION, ConfigurationState};
use crate::document::{Change, Document};
use crate::version::Version;

/// The register is read within this to answer where a version is in force.
const READ_WITHIN: Duration = Duration::from_secs(3);

/// What the tasks of a control member share.
pub(crate) struct Member {
    settings: ControlSettings,
    /// All members but this one.
    others: Vec<ControlMember>,
    shared: ReplicationClient,
    net: Arc<dyn Net>,
    registry: Registry,
    admission: Admission,
    collector: Collector,
    /// Bytes written to subscribers.
    bytes_written: Arc<AtomicU64>,
    /// Who leads, as the reporter saw last; 0: unknown.
    leader: AtomicU64,
    began: Instant,
}

/// A running control member.
pub struct Control {
    member: Arc<Member>,
    address: SocketAddr,
    stop: CancellationToken,
    _end: DropGuard,
    tasks: TaskTracker,
}

/// How a control member stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// Its identity.
    pub id: u64,
    /// Who leads, as far as it knew a second ago.
    pub leader: Option<u64>,
    /// True: itself.
    pub leads: bool,
    /// The last version that it has.
    pub head: Version,
    /// Deltas reach back to this version.
    pub oldest: Version,
    /// Documents that stand.
    pub documents: usize,
    /// Subscribers in the register, over all control members.
    pub registered: usize,
    /// Subscribers attached here.
    pub attached: usize,
    /// Of them, those that have not in force what concerns them.
    pub behind: usize,
    /// Registered subscribers that were attached here last, as far as this member knows, and are not any more.
    pub detached: usize,
    /// Attached subscribers that wait for the rest of a snapshot.
    pub snapshots_waiting: usize,
    /// Bytes written to subscribers since the start.
    pub bytes_written: u64,
}

impl Control {
    /// Starts a control member on a member of the council whose books hold [`ConfigurationState`].
    ///
    /// # Errors
    /// See [`ControlStartError`].
    pub async fn start(
        settings: ControlSettings,
        shared: ReplicationClient,
        net: Arc<dyn Net>,
    ) -> Result<Self, ControlStartError> {
        settings.check()?;
        if shared.registry().version(CONFIGURATION).is_none() {
            return Err(ControlStartError::NoBook);
        }
        let at = settings.listen;
        let listen = |cause| ControlStartError::Listen { address: at, cause };
        let listener = net.listen(at).await.map_err(listen)?;
        let address = listener.address();
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let member = Arc::new(Member::new(settings, shared, net));
        tasks.spawn(listener::run(Arc::clone(&member), listener, tasks.clone(), stop.clone()));
        tasks.spawn(evaluate(Arc::clone(&member), stop.clone()));
        tasks.spawn(registration::run(Arc::clone(&member), stop.clone()));
        tasks.spawn(reporter::run(Arc::clone(&member), stop.clone()));
        Ok(Self { member, address, _end: stop.clone().drop_guard(), stop, tasks })
    }

    /// Where subscribers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has the council agree on changes, all or none: the version that they make. Under the id of an earlier proposal
    /// they take effect once.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn propose(
        &self,
        id: Option<OperationId>,
        changes: Vec<Change>,
        within: Duration,
    ) -> Result<Version, ProposeError> {
        propose::change(&self.member.shared, id, changes, within).await
    }

    /// Takes a subscriber out of the register, so that no version waits for it: true, if it was in it. One that is
    /// attached is registered again.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn remove(&self, subscriber: &str, within: Duration) -> Result<bool, ProposeError> {
        propose::remove(&self.member.shared, subscriber, within).await
    }

    /// Where a version is in force. The register is read as it stands now; only the leader answers.
    ///
    /// # Errors
    /// See [`RolloutStatusError`].
    pub async fn rollout_status(&self, version: Version) -> Result<RolloutStatus, RolloutStatusError> {
        let member = &self.member;
        let leader = reporter::leader_of(member).await;
        if leader != Some(member.settings.id) {
            return Err(RolloutStatusError::NotLeader { leader });
        }
        let read =
            |book: &ConfigurationState| (book.subscribers_concerned(version), book.head(), book.oldest());
        let (expected, head, oldest) = member.shared.read(CONFIGURATION, READ_WITHIN, read).await?;
        let expected = expected.ok_or(RolloutStatusError::UnknownVersion { head, oldest })?;
        let (now, runs_for) = (Instant::now(), member.began.elapsed());
        let answer =
            member.collector.look(|tables| standing::answer(version, &expected, tables, runs_for, now));
        Ok(answer)
    }

    /// What stands, as far as this member has applied, sorted by key.
    pub fn documents(&self) -> Vec<Document> {
        self.member.registry.look(ConfigurationState::documents)
    }

    /// How this member stands.
    pub fn status(&self) -> ControlStatus {
        let member = &self.member;
        let Counts { attached, behind, detached } = member.registry.counts();
        let book =
            |book: &ConfigurationState| (book.head(), book.oldest(), book.len(), book.registered_count());
        let (head, oldest, documents, registered) = member.registry.look(book);
        let leader = Some(member.leader.load(Ordering::Relaxed)).filter(|leader| *leader != 0);
        ControlStatus {
            id: member.settings.id,
            leader,
            leads: leader == Some(member.settings.id),
            head,
            oldest,
            documents,
            registered,
            attached,
            behind,
            detached,
            snapshots_waiting: member.admission.waiting(),
            bytes_written: member.bytes_written.load(Ordering::Relaxed),
        }
    }

    /// Ends every task and connection, and waits for them.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Member {
    fn new(settings: ControlSettings, shared: ReplicationClient, net: Arc<dyn Net>) -> Self {
        let others = settings.members.iter().filter(|other| other.id != settings.id).cloned().collect();
        let ids = settings.members.iter().map(|member| member.id).chain([settings.id]).collect();
        Self {
            others,
            registry: Registry::new(shared.clone(), settings.count(), settings.subscribers_max as usize),
            admission: Admission::new(settings.snapshot_bytes_per_s),
            collector: Collector::new(ids),
            bytes_written: Arc::default(),
            leader: AtomicU64::new(0),
            began: Instant::now(),
            settings,
            shared,
            net,
        }
    }
}

/// Holds what the council applies against the attached subscribers, until stopped.
async fn evaluate(member: Arc<Member>, stop: CancellationToken) {
    let mut progress = member.shared.node().applied();
    loop {
        member.registry.evaluate();
        tokio::select! {
            () = stop.cancelled() => return,
            changed = progress.changed() => if changed.is_err() { return },
        }
    }
}
