//! One member's Raft state, and the dispatch of timeouts and messages to the other modules.
//!
//! A [`RaftNode`] does no I/O and reads no clock: its caller passes events with their time and carries out
//! the returned outputs.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ids::{Index, MemberId, Micros, Term};
use crate::message::Message;
use crate::partial_snapshot::PartialSnapshot;
use crate::persistent_state::PersistentState;
use crate::raft_event::StepDownReason;
use crate::raft_log::{RaftLog, Snapshot, Voters};
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;
use crate::settings::Settings;
use crate::write_tracker::WriteTracker;

/// One member of a Raft group (Raft paper, figure 2), without I/O.
#[derive(Clone, Debug)]
pub struct RaftNode {
    pub(crate) id: MemberId,
    pub(crate) settings: Settings,
    /// Draws election timeouts.
    pub(crate) rng: ChaCha8Rng,
    /// The latest time passed with an event.
    pub(crate) now: Micros,
    /// The current term (`currentTerm`).
    pub(crate) term: Term,
    /// The candidate that the member voted for in the current term (`votedFor`).
    pub(crate) vote: Option<MemberId>,
    pub(crate) log: RaftLog,
    /// The last entry known to be committed (`commitIndex`).
    pub(crate) commit: Index,
    pub(crate) role: RaftRole,
    /// The leader of the current term; `None` if the member does not know it.
    pub(crate) leader: Option<MemberId>,
    /// When the last message of the leader at that time was received; `None` before the first one.
    pub(crate) leader_contact_at: Option<Micros>,
    /// When the member starts an election unless it receives a message of a leader.
    pub(crate) election_deadline: Micros,
    /// Tracks which changes of the persistent state are durable.
    pub(crate) writes: WriteTracker,
    /// The snapshot that the member is receiving in chunks, if any.
    pub(crate) partial_snapshot: Option<PartialSnapshot>,
    /// The number of read requests so far, which is also the last [`ReadRequestId`](crate::ReadRequestId).
    pub(crate) read_requests: u64,
    /// Outputs that the caller has not taken yet.
    pub(crate) outputs: VecDeque<RaftOutput>,
}

impl RaftNode {
    /// Creates a member from its persistent state. The first voters of a group start with
    /// [`RaftNode::bootstrap`], all other members with an empty state. `seed` determines the election
    /// timeouts.
    pub fn new(id: MemberId, stored: PersistentState, settings: Settings, seed: u64, now: Micros) -> Self {
        let mut node = Self {
            id,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            term: stored.term,
            vote: stored.vote,
            commit: stored.log.base().index,
            writes: WriteTracker::new(stored.log.last_index()),
            log: stored.log,
            role: RaftRole::Follower,
            leader: None,
            leader_contact_at: None,
            election_deadline: 0,
            partial_snapshot: None,
            read_requests: 0,
            outputs: VecDeque::new(),
        };
        node.outputs.push_back(RaftOutput::RestoreSnapshot(Arc::clone(node.log.base())));
        node.reset_election_timeout();
        node
    }

    /// Returns the persistent state that the first voters of a group start with: a snapshot at index 1 and
    /// term 1 that names them all.
    pub fn bootstrap(voters: Voters) -> PersistentState {
        let base = Snapshot { index: Index(1), term: Term(1), voters, state: Bytes::new() };
        PersistentState { term: Term(1), vote: None, log: RaftLog::new(Arc::new(base), []) }
    }

    /// Returns this member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Returns the last entry that this member knows to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the leader of the current term; `None` if this member does not know it.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns true if this member leads and has committed the first entry of its term. Before that it may
    /// not know all committed entries (Raft paper 8).
    pub fn is_leader(&self) -> bool {
        matches!(&self.role, RaftRole::Leader(state) if self.commit >= state.first_index)
    }

    /// Returns true if this member neither leads nor votes until it is restarted, see
    /// [`on_storage_failure`](RaftNode::on_storage_failure). After a storage failure its
    /// [`Member`](crate::Member) still applies committed entries; after an entry that it cannot apply it does
    /// not.
    pub fn is_halted(&self) -> bool {
        matches!(self.role, RaftRole::Halted)
    }

    /// Returns the latest time at which the caller must call [`RaftNode::tick`].
    pub fn next_tick_at(&self) -> Micros {
        match &self.role {
            RaftRole::Leader(_) => self.now + self.settings.heartbeat_interval / 2,
            RaftRole::Halted => Micros::MAX,
            RaftRole::Follower | RaftRole::PreCandidate(_) | RaftRole::Candidate(_) => self.election_deadline,
        }
    }

    /// Takes the outputs since the last call, in the order in which the caller must carry them out.
    pub fn take_outputs(&mut self) -> Vec<RaftOutput> {
        self.request_write();
        self.outputs.drain(..).collect()
    }

    /// Handles all timeouts up to `now`.
    pub fn tick(&mut self, now: Micros) {
        self.advance_clock(now);
        if self.writes.is_stalled(self.now, self.settings.write_timeout) {
            self.step_down(StepDownReason::StorageStalled);
            self.reset_election_timeout();
            return;
        }
        match self.role {
            RaftRole::Leader(_) => self.tick_leader(),
            RaftRole::Halted => {}
            RaftRole::Follower | RaftRole::PreCandidate(_) | RaftRole::Candidate(_) => {
                if self.now >= self.election_deadline {
                    self.become_pre_candidate();
                }
            }
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Micros, from: MemberId, message: Message) {
        self.advance_clock(now);
        if self.is_halted() || from == self.id || self.ignores_vote_request(&message) {
            return;
        }
        if let Some(term) = message.term().filter(|term| *term > self.term) {
            self.enter_term(term, StepDownReason::HigherTerm);
        }
        match message {
            Message::PreVoteRequest { term, last_log } => self.handle_pre_vote_request(from, term, last_log),
            Message::PreVoteResponse { term, granted } => {
                self.handle_pre_vote_response(from, term, granted);
            }
            Message::VoteRequest { term, last_log, .. } => self.handle_vote_request(from, term, last_log),
            Message::VoteResponse { term, granted } => self.handle_vote_response(from, term, granted),
            Message::AppendEntries(append) => self.handle_append_entries(from, append),
            Message::AppendEntriesResponse(response) => {
                self.handle_append_entries_response(from, &response);
            }
            Message::InstallSnapshot(chunk) => self.handle_install_snapshot(from, chunk),
            Message::InstallSnapshotResponse(response) => {
                self.handle_install_snapshot_response(from, &response);
            }
            Message::TimeoutNow { term } => self.handle_timeout_now(term),
        }
    }

    /// Sets the current time. An earlier time than the current one is ignored.
    pub(crate) fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Returns the last entry that is durable in this member's own storage.
    pub(crate) fn durable_index(&self) -> Index {
        self.writes.durable_index()
    }

    /// Returns a text that is equal for states with the same behavior, for model checking. Random numbers are
    /// left out, and times are replaced by whether their timeout has passed.
    #[doc(hidden)]
    pub fn fingerprint(&self) -> String {
        let mut role = self.role.clone();
        if let RaftRole::Leader(state) = &mut role {
            for progress in state.followers.values_mut() {
                let timed_out = self.now >= progress.last_response_at + self.settings.election_timeout;
                progress.last_response_at = u64::from(timed_out);
                progress.sent_at = 0;
                progress.awaiting_since = progress.awaiting_since.map(|_| 0);
            }
        }
        let state = (
            self.term,
            self.vote,
            &self.log,
            self.commit,
            self.durable_index(),
            self.leader,
            self.has_live_leader(),
        );
        format!("{state:?} {role:?} {:?}", self.writes.held_messages())
    }
}
