//! Applying committed entries and snapshots to the roles and the state machine.

use bytes::Bytes;

use super::Member;
use super::snapshot_codec::{self, SnapshotError};
use crate::ids::Index;
use crate::member_output::MemberOutput;
use crate::raft_log::{Entry, Payload};
use crate::roles::{RoleChange, RoleTable};
use crate::state_machine::{STATE_MACHINE_COMMAND_TAG, StateMachine};

impl<S: StateMachine> Member<S> {
    /// Applies a committed entry if it is the next one. Others are ignored, as the member may receive an
    /// entry both by its log and by a fetch.
    pub(super) fn apply(&mut self, entry: Entry) {
        if entry.index != self.roles.applied().next() || self.halt_reason.is_some() {
            return;
        }
        let changes = match self.apply_payload(&entry) {
            Ok(changes) => changes,
            Err(cause) => return self.halt(format!("entry {}: {cause}", entry.index)),
        };
        if let Some(assigner) = &mut self.assigner {
            assigner.on_applied(entry.index);
        }
        for change in changes {
            if let Some(assigner) = &mut self.assigner {
                assigner.grantor.on_role_change(&change, self.now);
            }
            self.outputs.push(MemberOutput::RoleChanged(change));
        }
    }

    /// Applies an entry's payload, and returns the changes of roles or why it cannot be applied.
    fn apply_payload(&mut self, entry: &Entry) -> Result<Vec<RoleChange>, String> {
        match &entry.payload {
            Payload::Command(command) => match command.split_first() {
                Some((&STATE_MACHINE_COMMAND_TAG, command)) => self.state.apply(entry.position(), command)?,
                _ => return Ok(self.roles.apply(entry.index, command)),
            },
            Payload::Empty | Payload::Voters(_) => {}
        }
        self.roles.skip(entry.index);
        Ok(Vec::new())
    }

    /// Replaces the whole replicated state by a snapshot, unless the state is newer. Halts the member if the
    /// snapshot cannot be read.
    pub(super) fn restore(&mut self, snapshot: &[u8], index: Index) {
        if index < self.roles.applied() {
            return;
        }
        if let Err(cause) = self.decode_snapshot(snapshot, index) {
            self.halt(format!("cannot restore the snapshot at entry {index}: {cause}"));
        }
    }

    /// Stops applying entries: skipping an entry would make this member's state differ from the others'. The
    /// member halts as after a storage failure. A leader therefore logs `consensus_stepped_down` with the
    /// reason "its disk has failed"; the actual reason is in the `consensus_halted` event that follows.
    fn halt(&mut self, reason: String) {
        if self.halt_reason.is_none() {
            self.raft.on_storage_failure(reason.clone());
            self.halt_reason = Some(reason);
        }
    }

    /// Encodes the whole replicated state as a snapshot.
    pub(super) fn encode_snapshot(&self) -> Bytes {
        snapshot_codec::encode(self.roles.encode(), &self.state.encode())
    }

    fn decode_snapshot(&mut self, snapshot: &[u8], index: Index) -> Result<(), SnapshotError> {
        let parts = snapshot_codec::decode(snapshot)?;
        let roles = RoleTable::decode(parts.roles, index)?;
        self.state.restore(index, parts.state).map_err(SnapshotError::InvalidState)?;
        self.roles = roles;
        Ok(())
    }
}
