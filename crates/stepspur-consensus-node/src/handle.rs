//! The handle to a running member.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use stepspur_consensus::{
    FencingToken, Index, MemberId, MembershipChange, PersistentState, RequestError, RoleCommand, RoleName,
    StateMachine,
};
use stepspur_consensus_storage::Store;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::lease_table::LeaseTable;
use crate::request::Request;
use crate::settings::{Settings, StartError};
use crate::startup::{self, Environment};
use crate::status::{AppliedState, Status};
use crate::storage::Storage;
use crate::tcp::Tcp;
use crate::transport::Transport;

/// The request was not answered, because the member has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the consensus member has stopped")]
pub struct NodeStopped;

/// The handle to a running member. Dropping it stops the member without waiting; [`NodeHandle::stop`] waits.
#[derive(Debug)]
pub struct NodeHandle {
    id: MemberId,
    address: SocketAddr,
    requests: mpsc::Sender<Request>,
    applied: watch::Receiver<AppliedState>,
    leases: Arc<LeaseTable>,
    clock: Clock,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
    tasks: TaskTracker,
}

impl NodeHandle {
    /// Starts a member over TCP whose only replicated state is the role table.
    ///
    /// `storage` is the open state file with the state read from it. Without it the member applies committed
    /// entries but never votes. `seed` seeds its random numbers, for example its election timeouts.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(
        settings: Settings,
        storage: Option<(Store, PersistentState)>,
        seed: u64,
    ) -> Result<Self, StartError> {
        let storage = storage.map(|(store, stored)| (Box::new(store) as Box<dyn Storage>, stored));
        Self::start_with_environment(Arc::new(Tcp), settings, storage, seed, ()).await
    }

    /// As [`NodeHandle::start`], on any transport and storage. `state` is the replicated state machine as it
    /// is in a new group, before any entry is applied.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start_with_environment<S: StateMachine + Send + Sync + 'static>(
        transport: Arc<dyn Transport>,
        settings: Settings,
        storage: Option<(Box<dyn Storage>, PersistentState)>,
        seed: u64,
        state: S,
    ) -> Result<Self, StartError> {
        let (storage, stored) = match storage {
            Some((storage, stored)) => (Some(storage), stored),
            None => (None, PersistentState::default()),
        };
        startup::validate(&settings, storage.as_deref())?;
        let listen_error = |cause| StartError::Listen { address: settings.listen, cause };
        let listener = transport.listen(settings.listen).await.map_err(listen_error)?;
        let address = listener.address();
        let environment = Environment { transport, listener, storage };
        let running = startup::start_tasks(&settings, environment, stored, seed, state)?;
        tracing::info!(event = "consensus_started", member = %settings.id, %address);
        Ok(Self {
            id: settings.id,
            address,
            requests: running.requests,
            applied: running.applied,
            leases: running.leases,
            clock: running.clock,
            _stop_on_drop: running.stop.clone().drop_guard(),
            stop: running.stop,
            tasks: running.tasks,
        })
    }

    /// Returns the member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the address at which the member accepts peers, with the port that the system has chosen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Watches the last applied index, and the reason why no more entries are applied, if so.
    pub fn applied(&self) -> watch::Receiver<AppliedState> {
        self.applied.clone()
    }

    /// Returns the fencing token of a role whose lease the member holds now; `None` if it may not act on the
    /// role.
    ///
    /// Call it right before each action under the role, and send the token with the action: a receiver
    /// rejects tokens lower than the highest that it has seen ([`stepspur_consensus::Fence`]).
    pub fn token(&self, role: &RoleName) -> Option<FencingToken> {
        self.leases.token(role, self.clock.now())
    }

    /// Requests the member's status.
    ///
    /// # Errors
    /// [`NodeStopped`] if the member has stopped.
    pub async fn status(&self) -> Result<Status, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Status { reply }).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Proposes a command for the state machine, through the leader. The command may be lost, and if it is
    /// proposed again it may be applied twice. Only the state machine shows whether it was applied.
    ///
    /// # Errors
    /// [`NodeStopped`] if the member has stopped.
    pub async fn propose_command(&self, command: Bytes) -> Result<(), NodeStopped> {
        self.send(Request::ProposeCommand { command }).await
    }

    /// Proposes a command for the role table, through the leader. The command may be lost; its effect shows
    /// in the status.
    ///
    /// # Errors
    /// [`NodeStopped`] if the member has stopped.
    pub async fn propose_role_command(&self, command: RoleCommand) -> Result<(), NodeStopped> {
        self.send(Request::ProposeRoleCommand { command }).await
    }

    /// Requests a read index (Raft thesis, section 6.4): once the entry at this index is applied, a read of
    /// the local state sees all that was committed before the request. `None` if the request has to be
    /// repeated.
    ///
    /// The future never completes if no leader answers, so call it with a timeout.
    ///
    /// # Errors
    /// [`NodeStopped`] if the member has stopped.
    pub async fn read_index(&self) -> Result<Option<Index>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::ReadIndex { reply }).await?;
        Ok(answer.await.unwrap_or_default())
    }

    /// Starts a change of the voters. Only the leader accepts it. See
    /// [`stepspur_consensus::RaftNode::change_membership`].
    ///
    /// # Errors
    /// [`NodeStopped`] if the member has stopped; the inner error says why the member rejects the change.
    pub async fn change_membership(
        &self,
        change: MembershipChange,
    ) -> Result<Result<(), RequestError>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::ChangeMembership { change, reply }).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Starts a leadership transfer. Only the leader accepts it. See
    /// [`stepspur_consensus::RaftNode::transfer_leadership`].
    ///
    /// # Errors
    /// [`NodeStopped`] if the member has stopped; the inner error says why the member rejects the transfer.
    pub async fn transfer_leadership(&self, to: MemberId) -> Result<Result<(), RequestError>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::TransferLeadership { to, reply }).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Stops the member, and waits until its tasks have ended and its storage has finished the queued writes.
    /// Storage that hangs is abandoned after two seconds.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn send(&self, request: Request) -> Result<(), NodeStopped> {
        self.requests.send(request).await.map_err(|_| NodeStopped)
    }
}
