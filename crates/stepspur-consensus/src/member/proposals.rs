//! Proposals of commands, membership changes and leadership transfer.

use bytes::{BufMut, Bytes, BytesMut};

use super::Member;
use crate::error::RequestError;
use crate::ids::{MemberId, Micros};
use crate::member_output::MemberOutput;
use crate::membership::MembershipChange;
use crate::peer_message::PeerMessage;
use crate::roles::RoleCommand;
use crate::state_machine::{STATE_MACHINE_COMMAND_TAG, StateMachine};

/// The request number of forwarded proposals, whose rejection the sender does not track.
const UNTRACKED_REQUEST: u64 = 0;

impl<S: StateMachine> Member<S> {
    /// Proposes a command for the roles, which is forwarded to the leader if this member does not lead.
    /// [`MemberOutput::RoleChanged`] reports its effect. The proposal may be lost; the caller repeats it if
    /// needed. A holder must have stopped acting before it releases or transfers its role.
    pub fn propose_role_command(&mut self, now: Micros, command: &RoleCommand) -> Vec<MemberOutput> {
        self.propose_or_forward(now, command.encode())
    }

    /// Proposes a command for the state machine, which is forwarded to the leader if this member does not
    /// lead. The proposal may be lost; [`Member::state`] shows whether it was applied.
    pub fn propose_command(&mut self, now: Micros, command: &[u8]) -> Vec<MemberOutput> {
        let mut tagged = BytesMut::with_capacity(command.len() + 1);
        tagged.put_u8(STATE_MACHINE_COMMAND_TAG);
        tagged.put_slice(command);
        self.propose_or_forward(now, tagged.freeze())
    }

    /// Starts a change of the voters, see
    /// [`RaftNode::change_membership`](crate::RaftNode::change_membership).
    ///
    /// # Errors
    /// Those of [`RaftNode::change_membership`](crate::RaftNode::change_membership).
    pub fn change_membership(
        &mut self,
        now: Micros,
        change: MembershipChange,
    ) -> Result<Vec<MemberOutput>, RequestError> {
        self.raft.change_membership(now, change)?;
        self.process_raft_outputs();
        Ok(self.take_outputs())
    }

    /// Transfers the leadership, see [`RaftNode::transfer_leadership`](crate::RaftNode::transfer_leadership).
    ///
    /// # Errors
    /// Those of [`RaftNode::transfer_leadership`](crate::RaftNode::transfer_leadership).
    pub fn transfer_leadership(
        &mut self,
        now: Micros,
        to: MemberId,
    ) -> Result<Vec<MemberOutput>, RequestError> {
        self.raft.transfer_leadership(now, to)?;
        self.process_raft_outputs();
        Ok(self.take_outputs())
    }

    /// Handles a proposal that another member has forwarded. A rejection is answered, an acceptance is not.
    pub(super) fn handle_proposal(&mut self, from: MemberId, request: u64, command: Bytes) {
        if self.raft.propose(self.now, command).is_err() {
            self.send_request_rejected(from, request);
        }
        self.process_raft_outputs();
    }

    /// Proposes a command if this member leads, otherwise forwards it to the leader.
    fn propose_or_forward(&mut self, now: Micros, command: Bytes) -> Vec<MemberOutput> {
        self.advance_clock(now);
        if self.raft.is_leader() {
            // A rejection is ignored: proposals may also be lost on the way to a leader, so callers repeat
            // them anyway.
            let _ = self.raft.propose(self.now, command);
            self.process_raft_outputs();
        } else {
            self.send_to_leader(PeerMessage::Propose { request: UNTRACKED_REQUEST, command });
        }
        self.take_outputs()
    }

    /// Sends a request to the leader, or to another voter if the leader is unknown; a voter that does not
    /// lead rejects it and names the leader it knows.
    pub(super) fn send_to_leader(&mut self, message: PeerMessage) {
        let leader = self.leader().filter(|leader| *leader != self.raft.id());
        match leader {
            Some(leader) => {
                // The hint is dropped, so that the next request goes to another voter if this one gets no
                // response. A fetch finds the leader anew.
                self.leader_hint = None;
                self.fetching.bring_forward(self.now + self.settings.heartbeat_interval);
                self.send(leader, message);
            }
            None => {
                if let Some(voter) = self.next_other_voter() {
                    self.send(voter, message);
                }
            }
        }
    }
}
