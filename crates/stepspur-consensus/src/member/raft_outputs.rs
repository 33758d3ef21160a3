//! Carrying out the outputs of a member's [`RaftNode`](crate::RaftNode).

use super::Member;
use super::role_assigner::RoleAssigner;
use crate::member_output::MemberOutput;
use crate::peer_message::PeerMessage;
use crate::raft_output::RaftOutput;
use crate::state_machine::StateMachine;

impl<S: StateMachine> Member<S> {
    /// Carries out the outputs of the Raft node, then what depends on the newly applied entries: answers to
    /// pending requests, pushes to followers, and compaction of the log.
    pub(super) fn process_raft_outputs(&mut self) {
        for output in self.raft.take_outputs() {
            match output {
                RaftOutput::Send { to, message } => self.send(to, PeerMessage::Raft(message)),
                RaftOutput::Persist(write) => self.outputs.push(MemberOutput::Persist(write)),
                RaftOutput::Apply(entry) => self.apply(entry),
                RaftOutput::RestoreSnapshot(snapshot) => self.restore(&snapshot.state, snapshot.index),
                RaftOutput::ReadIndex { request, .. } => self.on_leadership_confirmed(request),
                RaftOutput::ReadAborted { request } => self.on_read_aborted(request),
                RaftOutput::Event(event) => self.outputs.push(MemberOutput::Event(event)),
            }
        }
        self.update_leadership();
        self.answer_requests();
        self.push_committed_entries();
        self.compact_if_due();
    }

    /// Creates the state for granting roles when the member becomes the leader, and drops it when it steps
    /// down.
    fn update_leadership(&mut self) {
        if !self.raft.is_leader() {
            self.assigner = None;
        } else if self.assigner.is_none() {
            self.assigner = Some(RoleAssigner::new(self.now));
        }
    }

    /// Replaces applied entries by a snapshot once the log exceeds
    /// [`Settings::max_log_entries`](crate::Settings::max_log_entries).
    fn compact_if_due(&mut self) {
        let applied = self.roles.applied();
        let is_due = self.raft.log().len() > self.settings.max_log_entries && applied <= self.raft.commit();
        if !is_due {
            return;
        }
        self.raft.compact(applied, self.encode_snapshot());
        // Requests the write of the snapshot in the same step.
        for output in self.raft.take_outputs() {
            if let RaftOutput::Persist(write) = output {
                self.outputs.push(MemberOutput::Persist(write));
            }
        }
    }
}
