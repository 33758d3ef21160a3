//! A member of the consensus group: a voter, or a follower without a vote. It holds roles under leases, and
//! grants them while it leads.
//!
//! - `raft_outputs` carries out the outputs of [`RaftNode`]; `apply` applies committed entries and snapshots.
//! - `proposals` handles commands and membership changes; `reads` handles linearizable reads.
//! - `renewals` requests and answers renewals of leases; `role_assignment` grants roles while the member
//!   leads.
//! - `following` fetches committed entries for members to which no leader replicates, and serves them.

use std::collections::VecDeque;

use crate::ids::{MemberId, Micros};
use crate::lease::{HeldLease, LeaseHolder};
use crate::member_output::MemberOutput;
use crate::peer_message::PeerMessage;
use crate::persistent_state::PersistentState;
use crate::raft_log::Voters;
use crate::raft_node::RaftNode;
use crate::roles::{FencingToken, RoleName, RoleTable};
use crate::settings::Settings;
use crate::state_machine::StateMachine;

mod apply;
mod fetch_state;
mod following;
mod pending_request;
mod proposals;
mod pushed_followers;
mod raft_outputs;
mod reads;
mod renewals;
mod role_assigner;
mod role_assignment;
mod snapshot_codec;

use fetch_state::FetchState;
use pending_request::{FIRST_READ_REQUEST, PendingRequest};
use pushed_followers::PushedFollowers;
use role_assigner::{RoleAssigner, RolePreferences};

/// A member of the consensus group, which replicates the roles and the state machine `S`.
#[derive(Clone, Debug)]
pub struct Member<S = ()> {
    raft: RaftNode,
    state: S,
    /// Why the member has stopped applying entries: it cannot apply one, or cannot read a snapshot.
    halt_reason: Option<String>,
    settings: Settings,
    /// The voters to send requests to as long as the log names none.
    initial_voters: Voters,
    roles: RoleTable,
    /// Grants roles; `None` while the member does not lead.
    assigner: Option<RoleAssigner>,
    /// Renewal and read requests that wait for the confirmation of this member's leadership, oldest first.
    pending_requests: VecDeque<PendingRequest>,
    lease_holder: LeaseHolder,
    preferences: RolePreferences,
    /// A round-robin position among the other voters, see `next_other_voter`.
    next_voter: usize,
    /// The leader according to the last response of another member, for members to which no leader
    /// replicates.
    leader_hint: Option<MemberId>,
    /// When the next renewal request is due.
    renewal_due_at: Micros,
    fetching: FetchState,
    pushed_followers: PushedFollowers,
    /// The number of reads that this member has requested so far.
    read_requests: u64,
    /// The latest time passed with an event.
    now: Micros,
    outputs: Vec<MemberOutput>,
}

/// The configuration that a member is started with.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The member's id.
    pub id: MemberId,
    /// The voters to which the member sends requests as long as its log names none.
    pub initial_voters: Voters,
    /// The settings that all members of the group share.
    pub settings: Settings,
    /// The seed of the member's random election timeouts.
    pub seed: u64,
}

impl Member {
    /// Creates a member from its persistent state. It replicates nothing but the roles.
    pub fn new(config: MemberConfig, stored: PersistentState, now: Micros) -> Self {
        Self::with_state(config, stored, now, ())
    }
}

impl<S: StateMachine> Member<S> {
    /// Creates a member from its persistent state. `state` is the state machine in its initial state.
    pub fn with_state(config: MemberConfig, stored: PersistentState, now: Micros, state: S) -> Self {
        let MemberConfig { id, initial_voters, settings, seed } = config;
        let mut member = Self {
            raft: RaftNode::new(id, stored, settings.clone(), seed, now),
            state,
            halt_reason: None,
            settings,
            initial_voters,
            roles: RoleTable::default(),
            assigner: None,
            pending_requests: VecDeque::new(),
            lease_holder: LeaseHolder::default(),
            preferences: RolePreferences::default(),
            next_voter: id.0 as usize,
            leader_hint: None,
            renewal_due_at: now,
            fetching: FetchState::new(now),
            pushed_followers: PushedFollowers::default(),
            read_requests: 0,
            now,
            outputs: Vec::new(),
        };
        member.process_raft_outputs();
        member
    }

    /// Sets the roles that the member wants: up to 64 prefixes of their names, and its share of them relative
    /// to other members' weights. A weight of 0 means no roles; a negative or non-finite one counts as 0.
    pub fn set_role_preferences(&mut self, prefixes: impl IntoIterator<Item = String>, weight: f64) {
        let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
        self.preferences = RolePreferences::new(prefixes, weight);
    }

    /// Returns the member's Raft state.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the state machine as this member has applied it.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns why the member has stopped applying entries; `None` if it has not.
    pub fn halt_reason(&self) -> Option<&str> {
        self.halt_reason.as_deref()
    }

    /// Returns the replicated roles as this member has applied them.
    pub fn roles(&self) -> &RoleTable {
        &self.roles
    }

    /// Returns the leader that the member knows of, if any. It may be outdated.
    pub fn leader(&self) -> Option<MemberId> {
        self.replicating_leader().or(self.leader_hint)
    }

    /// Returns the fencing token with which the member may act on a role at `now`; `None` if it may not act.
    ///
    /// Call it right before each order, and send the token with the order: the receiver rejects a lower token
    /// than the highest one that it has seen (see [`Fence`](crate::Fence)).
    pub fn token(&self, role: &RoleName, now: Micros) -> Option<FencingToken> {
        let lease = self.lease_holder.lease(self.raft.id(), role, &self.roles, &self.settings)?;
        (now < lease.expires_at).then_some(lease.token)
    }

    /// Iterates over the member's leases, including expired ones.
    pub fn leases(&self) -> impl Iterator<Item = (&RoleName, HeldLease)> {
        self.roles.iter().filter_map(|(name, _)| {
            let lease = self.lease_holder.lease(self.raft.id(), name, &self.roles, &self.settings)?;
            Some((name, lease))
        })
    }

    /// Returns the latest time at which the caller must call [`Member::tick`].
    pub fn next_tick_at(&self) -> Micros {
        let fetch_at = if self.needs_fetch() { self.fetching.due_at() } else { Micros::MAX };
        let renewal_at = if self.raft.is_halted() { Micros::MAX } else { self.renewal_due_at };
        self.raft.next_tick_at().min(renewal_at).min(fetch_at)
    }

    /// Handles all timeouts up to `now`.
    pub fn tick(&mut self, now: Micros) -> Vec<MemberOutput> {
        self.advance_clock(now);
        self.raft.tick(self.now);
        self.process_raft_outputs();
        self.fetch_if_due();
        self.assign_roles();
        self.renew_if_due();
        self.take_outputs()
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Micros, from: MemberId, message: PeerMessage) -> Vec<MemberOutput> {
        self.advance_clock(now);
        match message {
            PeerMessage::Raft(message) => {
                self.raft.receive(self.now, from, message);
                self.process_raft_outputs();
            }
            PeerMessage::RenewLeases { request, last_answered, weight, role_prefixes } => {
                let preferences = RolePreferences::new(role_prefixes, weight);
                self.handle_renewal(from, request, last_answered, preferences);
            }
            PeerMessage::LeasesRenewed { request, applied } => {
                self.leader_hint = Some(from);
                self.lease_holder.on_granted(request, applied);
            }
            PeerMessage::Propose { request, command } => self.handle_proposal(from, request, command),
            PeerMessage::RequestRejected { request, leader } => self.handle_request_rejected(request, leader),
            PeerMessage::ReadIndex { request } => self.handle_read(from, request),
            PeerMessage::ReadIndexResponse { request, index } => {
                self.leader_hint = Some(from);
                self.outputs.push(MemberOutput::ReadCompleted { request, index: Some(index) });
            }
            PeerMessage::Fetch { from: first } => self.handle_fetch(from, first),
            PeerMessage::CommittedEntries { entries, leader } => {
                self.handle_committed_entries(from, entries, leader);
            }
            PeerMessage::CommittedSnapshot { index, state, leader } => {
                self.handle_committed_snapshot(from, index, &state, leader);
            }
        }
        self.take_outputs()
    }

    /// Handles the completion of all writes up to this number.
    pub fn on_persisted(&mut self, now: Micros, number: u64) -> Vec<MemberOutput> {
        self.advance_clock(now);
        self.raft.on_persisted(self.now, number);
        self.process_raft_outputs();
        self.take_outputs()
    }

    /// Handles a storage failure: the member neither leads nor votes until it is restarted, but still fetches
    /// and applies committed entries, without writing them.
    pub fn on_storage_failure(&mut self, reason: impl Into<String>) -> Vec<MemberOutput> {
        self.raft.on_storage_failure(reason);
        self.process_raft_outputs();
        self.take_outputs()
    }

    /// Handles the rejection of a request by another member, which may name the leader.
    fn handle_request_rejected(&mut self, request: u64, leader: Option<MemberId>) {
        if request >= FIRST_READ_REQUEST {
            self.outputs.push(MemberOutput::ReadCompleted { request, index: None });
        } else {
            self.lease_holder.on_answer(request);
        }
        self.leader_hint = leader;
        // The next renewal is not sent at once: two members that name each other as the leader would exchange
        // messages in a loop.
        let retry_at = self.now + self.settings.heartbeat_interval;
        self.renewal_due_at = self.renewal_due_at.min(retry_at);
    }

    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn take_outputs(&mut self) -> Vec<MemberOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn send(&mut self, to: MemberId, message: PeerMessage) {
        self.outputs.push(MemberOutput::Send { to, message });
    }

    /// Rejects a request of another member and names the leader, if known.
    fn send_request_rejected(&mut self, to: MemberId, request: u64) {
        let leader = self.raft.leader();
        self.send(to, PeerMessage::RequestRejected { request, leader });
    }
}
