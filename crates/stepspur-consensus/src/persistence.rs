//! Write requests to stable storage, and the messages that wait for their completion.

use std::sync::Arc;

use crate::ids::{Index, MemberId, Micros};
use crate::message::Message;
use crate::persistent_state::WriteRequest;
use crate::raft_event::{RaftEvent, StepDownReason};
use crate::raft_node::RaftNode;
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;

impl RaftNode {
    /// Handles the completion of all [`WriteRequest`]s up to this number: sends the messages that waited for
    /// them, and counts the member's own vote or entries.
    pub fn on_persisted(&mut self, now: Micros, number: u64) {
        self.advance_clock(now);
        for held in self.writes.complete(number, self.log.last_index()) {
            self.outputs.push_back(RaftOutput::Send { to: held.to, message: held.message });
        }
        self.count_own_vote();
        self.maybe_commit();
    }

    /// Halts the member after its storage has failed, or if it cannot apply an entry. It steps down and drops
    /// all messages that wait for a write, as it must not promise what is not durable.
    pub fn on_storage_failure(&mut self, reason: impl Into<String>) {
        self.step_down(StepDownReason::StorageFailed);
        self.role = RaftRole::Halted;
        self.writes.drop_held_messages();
        self.outputs.push_back(RaftOutput::Event(RaftEvent::Halted { reason: reason.into() }));
    }

    /// Sends a message once all changes made so far are durable (Raft paper 5.1: updated on stable storage
    /// before responding to RPCs).
    ///
    /// A leader's entries and snapshot chunks are sent at once, in parallel with its own write: it counts its
    /// own copy only when that is durable (Raft thesis 10.2.1).
    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        let replicates = matches!(message, Message::AppendEntries(_) | Message::InstallSnapshot(_));
        let ready = if replicates && matches!(self.role, RaftRole::Leader(_)) {
            Some(message)
        } else {
            self.writes.hold(to, message)
        };
        if let Some(message) = ready {
            self.outputs.push_back(RaftOutput::Send { to, message });
        }
    }

    /// Requests one write for all changes of the persistent state since the last request, if there are any.
    pub(crate) fn request_write(&mut self) {
        let Some((number, changes)) = self.writes.start_write(self.now, self.log.last_index()) else {
            return;
        };
        let entries = |first: Index| self.log.entries_from(first, usize::MAX);
        let write = WriteRequest {
            number,
            term: self.term,
            vote: self.vote,
            snapshot: changes.snapshot.then(|| Arc::clone(self.log.base())),
            truncate_from: changes.first_index,
            entries: changes.first_index.map_or(Vec::new(), entries),
        };
        // The write precedes the other outputs of this step, as they may depend on it.
        self.outputs.push_front(RaftOutput::Persist(write));
    }
}
