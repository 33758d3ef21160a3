//! Log replication: proposals, entries and heartbeats to followers, and the commit index (paper 5.3 and
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

/// Whether a message is due even if there is nothing new to replicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// Only new entries, and only if none are awaiting an answer.
    IfNew,
    /// Always: without new entries the message is a heartbeat.
    Always,
}

impl RaftNode {
    /// Appends a command to the leader's log. [`RaftOutput::Apply`] follows once it is committed.
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

    /// A leader's timeouts: check-quorum (thesis 6.2), heartbeats, and changes in progress.
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

    /// True: a majority of the voters has answered within the last election timeout.
    fn is_quorum_alive(&self, state: &LeaderState) -> bool {
        let voters = self.log.voters();
        let timeout = self.settings.election_timeout;
        let answered = |voter: &MemberId| {
            state.followers.get(voter).is_some_and(|progress| self.now < progress.heard_at + timeout)
        };
        let alive = voters.iter().filter(|voter| **voter == self.id || answered(voter)).count();
        alive * 2 > voters.len()
    }

    /// Sends a heartbeat or entries to every member.
    pub(crate) fn start_heartbeat_round(&mut self) {
        let RaftRole::Leader(state) = &mut self.role else { return };
        state.round += 1;
        self.send_to_followers(SendMode::Always);
        // A single voter is its own majority.
        self.confirm_reads();
    }

    /// Sends new entries to every member that is not awaited.
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

    /// Sends entries to a member, or a part of the snapshot if the log no longer has the entries that it
    /// needs. One batch is in flight at a time; what stays unanswered for a heartbeat interval is sent again.
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
            None => self.next_snapshot_part(member),
        };
        if let Some(message) = message {
            self.send(member, message);
        }
    }

    /// The entries after `previous`, none while others are awaiting an answer.
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
        progress.announced_commit = progress.announced_commit.max(self.commit.min(last_sent));
        Some(Message::AppendEntries(AppendEntries {
            term: self.term,
            previous,
            entries,
            commit: self.commit,
            round: state.round,
        }))
    }

    /// A leader's entries have come.
    pub(crate) fn handle_append_entries(&mut self, from: MemberId, append: AppendEntries) {
        let (matched, index) = if self.follow_leader(append.term, from) {
            self.append_from_leader(&append)
        } else {
            (false, self.log.last_index())
        };
        let response = AppendEntriesResponse { term: self.term, round: append.round, matched, index };
        self.send(from, Message::AppendEntriesResponse(response));
    }

    /// Appends a leader's entries if the log has the one before them; gives the answer's `matched` and
    /// `index`.
    fn append_from_leader(&mut self, append: &AppendEntries) -> (bool, Index) {
        let base = self.log.base().index;
        let previous = append.previous;
        if previous.index >= base && self.log.term_at(previous.index) != Some(previous.term) {
            return (false, self.retry_after(previous.index));
        }
        let last_matched = append.entries.last().map_or(previous.index, |entry| entry.index).max(base);
        // Entries that the snapshot covers are committed, hence the same.
        let entries = append.entries.iter().filter(|entry| entry.index > base).cloned();
        self.merge_entries(entries.collect());
        let committed = append.commit.min(last_matched);
        if committed > self.commit {
            self.commit_up_to(committed);
        }
        (true, last_matched)
    }

    /// Where the leader tries again after a conflict at `previous`: after the log's end, or one entry before
    /// the conflict (paper 5.3).
    fn retry_after(&self, previous: Index) -> Index {
        if previous > self.log.last_index() {
            self.log.last_index()
        } else {
            previous.previous().max(self.log.base().index)
        }
    }

    fn merge_entries(&mut self, entries: Vec<Entry>) {
        let voters_before = self.log.voters().clone();
        if let Some(first_changed) = self.log.merge(entries) {
            self.writes.mark_entries(first_changed);
        }
        if *self.log.voters() != voters_before {
            self.report_voters();
        }
    }

    /// A member has answered [`AppendEntries`].
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
        if response.matched {
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

    /// Notifies a member that entries which it has just confirmed are committed: it would otherwise apply
    /// them only with the next heartbeat.
    fn announce_commit(&mut self, member: MemberId) {
        let RaftRole::Leader(state) = &self.role else { return };
        let Some(progress) = state.followers.get(&member) else { return };
        if progress.announced_commit < self.commit.min(progress.match_index) {
            self.send_append(member, SendMode::Always);
        }
    }

    /// Commits entries that a majority holds, if the last of them is of the current term (paper 5.4.2).
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
            // Followers learn the commit index at once, not with the next heartbeat.
            self.start_heartbeat_round();
            self.on_voters_committed();
        }
    }

    fn commit_up_to(&mut self, index: Index) {
        let count = (index.0 - self.commit.0) as usize;
        for entry in self.log.entries_from(self.commit.next(), count) {
            self.outputs.push_back(RaftOutput::Apply(entry));
        }
        self.commit = index;
    }

    /// Appends an entry of the current term to the leader's log.
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
