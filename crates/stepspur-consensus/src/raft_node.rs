//! Raft's state machine for one member: its state, its clock, and the dispatch of messages.
//!
//! It has no clock, socket, storage or source of randomness of its own: it takes events with their time and
//! gives back outputs.

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

/// Raft's state machine for one member.
#[derive(Clone, Debug)]
pub struct RaftNode {
    pub(crate) id: MemberId,
    pub(crate) settings: Settings,
    /// Draws election timeouts.
    pub(crate) rng: ChaCha8Rng,
    /// The latest time that an event came with.
    pub(crate) now: Micros,
    pub(crate) term: Term,
    /// Whom it voted for in the current term.
    pub(crate) vote: Option<MemberId>,
    pub(crate) log: RaftLog,
    pub(crate) commit: Index,
    pub(crate) role: RaftRole,
    pub(crate) leader: Option<MemberId>,
    /// When the last message of a leader of the current term was received.
    pub(crate) leader_heard_at: Option<Micros>,
    /// When the election timeout ends.
    pub(crate) election_at: Micros,
    pub(crate) writes: WriteTracker,
    /// A snapshot that is being received.
    pub(crate) partial_snapshot: Option<PartialSnapshot>,
    /// Read requests so far.
    pub(crate) read_requests: u64,
    /// Outputs that were not taken yet.
    pub(crate) outputs: VecDeque<RaftOutput>,
}

impl RaftNode {
    /// A member with its persistent state. First members of a group begin with [`RaftNode::bootstrap`], those
    /// that only follow with an empty state.
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
            leader_heard_at: None,
            election_at: 0,
            partial_snapshot: None,
            read_requests: 0,
            outputs: VecDeque::new(),
        };
        node.outputs.push_back(RaftOutput::RestoreSnapshot(Arc::clone(node.log.base())));
        node.reset_election_timeout();
        node
    }

    /// The persistent state that the first members of a group begin with: a snapshot at index 1 and term 1
    /// that names all of them.
    pub fn bootstrap(voters: Voters) -> PersistentState {
        let base = Snapshot { index: Index(1), term: Term(1), voters, state: Bytes::new() };
        PersistentState { term: Term(1), vote: None, log: RaftLog::new(Arc::new(base), []) }
    }

    /// Its identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Its current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Its log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// The last entry that it knows to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The leader, as far as it knows.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// True: it leads, and the first entry of its term is committed, so that it knows all committed entries.
    pub fn is_leader(&self) -> bool {
        matches!(&self.role, RaftRole::Leader(state) if self.commit >= state.first_index)
    }

    /// True: it leads and votes no more until it is restarted, see
    /// [`on_storage_failure`](RaftNode::on_storage_failure). After a storage failure its
    /// [`Member`](crate::Member) still follows; after an entry that it cannot apply it does not.
    pub fn is_halted(&self) -> bool {
        matches!(self.role, RaftRole::Halted)
    }

    /// When [`RaftNode::tick`] is due at the latest.
    pub fn next_tick_at(&self) -> Micros {
        match &self.role {
            RaftRole::Leader(_) => self.now + self.settings.heartbeat_interval / 2,
            RaftRole::Halted => Micros::MAX,
            RaftRole::Follower | RaftRole::PreCandidate(_) | RaftRole::Candidate(_) => self.election_at,
        }
    }

    /// Takes the outputs since the last call, to be done in this order.
    pub fn take_outputs(&mut self) -> Vec<RaftOutput> {
        self.request_write();
        self.outputs.drain(..).collect()
    }

    /// Acts on timeouts that have ended by `now`.
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
                if self.now >= self.election_at {
                    self.become_pre_candidate();
                }
            }
        }
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, now: Micros, from: MemberId, message: Message) {
        self.advance_clock(now);
        if self.is_halted() || from == self.id || self.ignores_election(&message) {
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
            Message::InstallSnapshot(part) => self.handle_install_snapshot(from, part),
            Message::InstallSnapshotResponse(response) => {
                self.handle_install_snapshot_response(from, &response);
            }
            Message::TimeoutNow { term } => self.handle_timeout_now(term),
        }
    }

    /// Time never goes back.
    pub(crate) fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// The last entry that the member's own storage is known to hold.
    pub(crate) fn durable_index(&self) -> Index {
        self.writes.durable_index()
    }

    /// The state that decides what the member does next, apart from random numbers, for model checking: times
    /// are replaced by what they mean now.
    #[doc(hidden)]
    pub fn fingerprint(&self) -> String {
        let mut role = self.role.clone();
        if let RaftRole::Leader(state) = &mut role {
            for progress in state.followers.values_mut() {
                let silent = self.now >= progress.heard_at + self.settings.election_timeout;
                progress.heard_at = u64::from(silent);
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
