//! Log replication: proposals, AppendEntries to followers, and the commit index (Raft paper, 5.3 and
//! 5.4.2).

use bytes::Bytes;

use crate::error::RequestError;
use crate::ids::{Index, LogPosition, MemberId, Micros};
use crate::leader_state::LeaderState;
use crate::message::{AppendEntries, AppendEntriesResponse, Message};
use crate::raft_event::{RaftEvent, StepDownReason};
use crate::raft_log::{Entry, Payload};
use crate::raft_node::RaftNode;
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;

/// When `send_append` sends a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// Only if there are new entries and no others await a response.
    IfNew,
    /// Always. Without new entries the message is a heartbeat.
    Always,
}

impl RaftNode {
    /// Appends a command to the leader's log and returns the index of its entry. [`RaftOutput::Apply`]
    /// follows once it is committed. If the member loses its leadership before that, another leader may
    /// overwrite the entry.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`], [`RequestError::TooManyPending`], [`RequestError::CommandTooLarge`], and
    /// [`RequestError::ChangeInProgress`] during a leadership transfer.
    pub fn propose(&mut self, now: Micros, command: Bytes) -> Result<Index, RequestError> {
        self.advance_clock(now);
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader()));
        }
        if command.len() > self.settings.max_command_bytes {
            return Err(RequestError::CommandTooLarge);
        }
        let uncommitted = self.log.last_index().0 - self.commit.0;
        if uncommitted >= self.settings.max_pending_requests as u64 {
            return Err(RequestError::TooManyPending);
        }
        if matches!(&self.role, RaftRole::Leader(LeaderState { transfer: Some(_), .. })) {
            return Err(RequestError::ChangeInProgress);
        }
        let index = self.append_entry(Payload::Command(command));
        self.replicate();
        Ok(index)
    }

    /// Handles a leader's timeouts: check-quorum (Raft thesis, 6.2), heartbeats, and changes in
    /// progress.
    pub(crate) fn tick_leader(&mut self) {
        let RaftRole::Leader(state) = &self.role else { return };
        if !self.is_quorum_alive(state) {
            return self.step_down(StepDownReason::QuorumLost);
        }
        let now = self.now;
        let interval = self.settings.heartbeat_interval;
        let RaftRole::Leader(state) = &mut self.role else { return };
        if state.transfer.is_some_and(|transfer| now >= transfer.expires_at) {
            state.transfer = None;
        }
        if state.followers.values().any(|progress| now >= progress.sent_at + interval) {
            self.start_heartbeat_round();
        }
        self.update_catch_up();
    }

    /// Returns true if a majority of the voters, including the leader, has responded within the last election
    /// timeout.
    fn is_quorum_alive(&self, state: &LeaderState) -> bool {
        let voters = self.log.voters();
        let timeout = self.settings.election_timeout;
        let has_responded = |voter: &MemberId| {
            state.followers.get(voter).is_some_and(|progress| self.now < progress.last_response_at + timeout)
        };
        let responsive = voters.iter().filter(|voter| **voter == self.id || has_responded(voter)).count();
        responsive * 2 > voters.len()
    }

    /// Starts a heartbeat round: sends entries or a heartbeat to every follower. Responses with the round's
    /// number confirm that the member was still the leader at its start.
    pub(crate) fn start_heartbeat_round(&mut self) {
        let RaftRole::Leader(state) = &mut self.role else { return };
        state.round += 1;
        self.send_to_followers(SendMode::Always);
        // A single voter is a majority by itself.
        self.confirm_reads();
    }

    /// Sends new entries to every follower that has none awaiting a response, and advances the commit
    /// index if a majority of the voters has stored more entries.
    pub(crate) fn replicate(&mut self) {
        self.send_to_followers(SendMode::IfNew);
        self.maybe_commit();
    }

    fn send_to_followers(&mut self, mode: SendMode) {
        let RaftRole::Leader(state) = &self.role else { return };
        let members: Vec<MemberId> = state.followers.keys().copied().collect();
        for member in members {
            self.send_append(member, mode);
        }
    }

    /// Sends entries to a follower, or a snapshot chunk if the log no longer has the entries that it needs.
    /// At most one batch is in flight per follower; it is sent again after a heartbeat interval without a
    /// response.
    pub(crate) fn send_append(&mut self, member: MemberId, mode: SendMode) {
        let now = self.now;
        let interval = self.settings.heartbeat_interval;
        let last_index = self.log.last_index();
        let RaftRole::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.followers.get_mut(&member) else { return };
        if progress.awaiting_since.is_some_and(|at| now >= at + interval) {
            progress.awaiting_since = None;
        }
        let nothing_new = progress.awaiting_since.is_some() || progress.next_index > last_index;
        if mode == SendMode::IfNew && nothing_new {
            return;
        }
        progress.sent_at = now;
        let previous = progress.next_index.previous();
        let message = match self.log.term_at(previous) {
            Some(term) => self.next_entries(member, LogPosition { term, index: previous }),
            None => self.next_snapshot_chunk(member),
        };
        if let Some(message) = message {
            self.send(member, message);
        }
    }

    /// Returns an AppendEntries message with the entries after `previous`, or a heartbeat while other entries
    /// await a response.
    fn next_entries(&mut self, member: MemberId, previous: LogPosition) -> Option<Message> {
        let RaftRole::Leader(state) = &mut self.role else { return None };
        let progress = state.followers.get_mut(&member)?;
        let entries = match progress.awaiting_since {
            Some(_) => Vec::new(),
            None => self.log.entries_from(progress.next_index, self.settings.max_batch_entries),
        };
        if !entries.is_empty() {
            progress.awaiting_since = Some(self.now);
        }
        progress.snapshot = None;
        let last_sent = entries.last().map_or(previous.index, |entry| entry.index);
        progress.sent_commit = progress.sent_commit.max(self.commit.min(last_sent));
        Some(Message::AppendEntries(AppendEntries {
            term: self.term,
            previous,
            entries,
            commit: self.commit,
            round: state.round,
        }))
    }

    /// Handles entries or a heartbeat of a leader. A message of an older term is rejected, and the sender
    /// learns the current term by the response.
    pub(crate) fn handle_append_entries(&mut self, from: MemberId, append: AppendEntries) {
        let (success, index) = if self.follow_leader(append.term, from) {
            self.append_from_leader(&append)
        } else {
            (false, self.log.last_index())
        };
        let response = AppendEntriesResponse { term: self.term, round: append.round, success, index };
        self.send(from, Message::AppendEntriesResponse(response));
    }

    /// Appends a leader's entries if the log contains the entry before them (Raft paper, 5.3). Returns the
    /// response's `success` and `index`.
    fn append_from_leader(&mut self, append: &AppendEntries) -> (bool, Index) {
        let base = self.log.base().index;
        let previous = append.previous;
        if previous.index >= base && self.log.term_at(previous.index) != Some(previous.term) {
            return (false, self.mismatch_hint(previous.index));
        }
        let last_matched = append.entries.last().map_or(previous.index, |entry| entry.index).max(base);
        // Entries that the snapshot covers are committed, so they equal the leader's.
        let entries = append.entries.iter().filter(|entry| entry.index > base).cloned();
        self.merge_entries(entries.collect());
        let committed = append.commit.min(last_matched);
        if committed > self.commit {
            self.commit_up_to(committed);
        }
        (true, last_matched)
    }

    /// Returns the entry after which the leader sends next, when the log has no matching entry at `previous`:
    /// the log's last one, or the one before the conflict (Raft paper, 5.3).
    fn mismatch_hint(&self, previous: Index) -> Index {
        if previous > self.log.last_index() {
            self.log.last_index()
        } else {
            previous.previous().max(self.log.base().index)
        }
    }

    /// Merges a leader's entries into the log, and reports new voters.
    fn merge_entries(&mut self, entries: Vec<Entry>) {
        let voters_before = self.log.voters().clone();
        if let Some(first_changed) = self.log.merge(entries) {
            self.writes.mark_entries(first_changed);
        }
        if *self.log.voters() != voters_before {
            self.report_voters();
        }
    }

    /// Handles a follower's response to [`AppendEntries`].
    pub(crate) fn handle_append_entries_response(
        &mut self,
        from: MemberId,
        response: &AppendEntriesResponse,
    ) {
        if response.term != self.term {
            return;
        }
        let last_index = self.log.last_index();
        let RaftRole::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.followers.get_mut(&from) else { return };
        progress.record_response(response.round, self.now);
        if response.success {
            progress.record_match(response.index);
        } else {
            progress.record_mismatch(response.index, last_index);
        }
        self.confirm_reads();
        self.maybe_commit();
        self.update_catch_up();
        self.maybe_send_timeout_now();
        self.send_append(from, SendMode::IfNew);
        self.announce_commit(from);
    }

    /// Sends the commit index to a follower that has just confirmed committed entries. Otherwise it would
    /// apply them only at the next heartbeat.
    fn announce_commit(&mut self, member: MemberId) {
        let RaftRole::Leader(state) = &self.role else { return };
        let Some(progress) = state.followers.get(&member) else { return };
        if progress.sent_commit < self.commit.min(progress.match_index) {
            self.send_append(member, SendMode::Always);
        }
    }

    /// Commits the entries that a majority of the voters has stored, if the last of them is of the current
    /// term. Entries of older terms are never committed by counting replicas alone (Raft paper, 5.4.2).
    pub(crate) fn maybe_commit(&mut self) {
        let RaftRole::Leader(state) = &self.role else { return };
        let voters = self.log.voters();
        let durable = self.durable_index();
        let majority = state.reached_by_majority(voters, self.id, durable, |follower| {
            follower.map_or(Index(0), |progress| progress.match_index)
        });
        let Some(majority) = majority else { return };
        if majority > self.commit && self.log.term_at(majority) == Some(self.term) {
            self.commit_up_to(majority);
            // Sends the commit index at once instead of with the next heartbeat.
            self.start_heartbeat_round();
            self.on_voters_committed();
        }
    }

    /// Advances the commit index and outputs the newly committed entries.
    fn commit_up_to(&mut self, index: Index) {
        let count = (index.0 - self.commit.0) as usize;
        for entry in self.log.entries_from(self.commit.next(), count) {
            self.outputs.push_back(RaftOutput::Apply(entry));
        }
        self.commit = index;
    }

    /// Appends an entry of the current term to the leader's log and returns its index.
    pub(crate) fn append_entry(&mut self, payload: Payload) -> Index {
        let changes_voters = matches!(payload, Payload::Voters(_));
        let entry = self.log.append(self.term, payload);
        self.writes.mark_entries(entry.index);
        if changes_voters {
            self.report_voters();
        }
        entry.index
    }

    fn report_voters(&mut self) {
        let voters = self.log.voters().clone();
        self.outputs.push_back(RaftOutput::Event(RaftEvent::VotersChanged { voters }));
    }
}
